"""Actions: checked commands that run once the whole command line has been parsed.

`fire` calls a command method before it parses the remaining arguments. A method
therefore returns an action instead of acting itself, so that a misspelled flag is a
usage error without side effects.
"""

import asyncio

import attrs

__all__ = ["Action", "UsageError", "run_action"]


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
