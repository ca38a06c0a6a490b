"""Calls that are made directly after a planning round of a dispatch session."""

import asyncio

__all__ = ["AfterRound"]


class AfterRound:
    """Calls functions with the state that the next planning round leaves.

    Nothing else runs between the round and the calls.

    Attributes
    ----------
    functions : dict of Future to callable
        Functions to call, by the future of their result.
    """

    def __init__(self):
        self.functions = {}

    async def call(self, function, *, timeout_s):
        """Call a function after the next round and return its result.

        Raises
        ------
        TimeoutError
            No round has ended in time, and the function is not called any more.
        """
        result = asyncio.get_running_loop().create_future()
        self.functions[result] = function
        try:
            async with asyncio.timeout(timeout_s):
                return await result
        finally:
            self.functions.pop(result, None)

    def make_calls(self):
        """Make the calls; an exception in one is raised where its result is awaited."""
        functions, self.functions = self.functions, {}
        for result, function in functions.items():
            if result.done():
                continue
            try:
                result.set_result(function())
            except Exception as error:
                result.set_exception(error)
