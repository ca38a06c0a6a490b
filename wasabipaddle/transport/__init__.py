"""Calls between entry processes."""

from wasabipaddle.transport.base import Transport
from wasabipaddle.transport.http import HttpTransport
from wasabipaddle.transport.memory import MemoryNetwork, MemoryTransport

__all__ = ["HttpTransport", "MemoryNetwork", "MemoryTransport", "Transport"]
