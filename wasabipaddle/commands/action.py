"""Commands as actions that run after the whole command line has been read.

`fire` calls a method before it looks at the remaining arguments. A command therefore
returns an action, so that a misspelled flag ends in a usage error without an effect.
"""

import asyncio

import attrs

__all__ = ["Action", "UsageError", "run_action"]


class UsageError(Exception):
    """The command line misses or contradicts something."""


@attrs.frozen(kw_only=True)
class Action:
    """A checked command.

    Parameters
    ----------
    run : callable
        Function, or coroutine function, that returns an exit code or None for 0.
    """

    # Private, so that `fire` does not offer it as a further command.
    _run: object


def run_action(action) -> int:
    """Run an action to its end and return its exit code."""
    result = action._run()
    if asyncio.iscoroutine(result):
        result = asyncio.run(result)
    return result or 0
