"""Actions: checked commands that run once the whole command line has been parsed.

`fire` calls a command method before it parses the remaining arguments. A method
therefore returns an action instead of acting itself, so that a misspelled flag is a
usage error without side effects.
"""

import asyncio

import attrs

__all__ = ["Action", "UsageError", "non_negative_integer", "run_action"]


class UsageError(Exception):
    """Arguments are missing, invalid or contradict each other."""


@attrs.frozen(kw_only=True)
class Action:
    """A checked command.

    Parameters
    ----------
    run : callable
        Function, or coroutine function, that returns an exit code; None means 0.
    """

    # `fire` would offer a public attribute as a subcommand.
    _run: object


def run_action(action) -> int:
    """Run an action to completion and return its exit code."""
    result = action._run()
    if asyncio.iscoroutine(result):
        result = asyncio.run(result)
    return result or 0


def non_negative_integer(flag, value) -> int:
    """Return the value of a flag; raise `UsageError` unless it is 0 or more."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise UsageError(f"{flag} must be a whole number of at least 0")
    return value
