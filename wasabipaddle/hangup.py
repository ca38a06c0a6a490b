"""Requests to reload that arrive while the program is being loaded."""

import signal

__all__ = ["hold_hangups", "take_hangup"]

held = []


def hold_hangups():
    """Note a SIGHUP instead of ending, until the process handles it."""
    signal.signal(signal.SIGHUP, lambda number, frame: held.append(number))


def take_hangup() -> bool:
    """Return whether a SIGHUP was noted, and forget it."""
    noted = bool(held)
    held.clear()
    return noted
