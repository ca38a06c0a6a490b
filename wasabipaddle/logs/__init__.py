"""Structured log lines that never block and whose volume is bounded."""

from wasabipaddle.logs.journal import Journal

__all__ = ["Journal"]
