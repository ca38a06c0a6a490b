"""SIGHUP signals that arrive before the process can reload its settings."""

import signal

__all__ = ["defer_sighup", "consume_sighup"]

received = []


def defer_sighup():
    """Record SIGHUP instead of terminating, until another handler is installed."""
    signal.signal(signal.SIGHUP, lambda number, frame: received.append(number))


def consume_sighup() -> bool:
    """Return whether a SIGHUP was recorded, and clear the record."""
    was_received = bool(received)
    received.clear()
    return was_received
