"""Calls to an in-memory stand-in that travel independently of the caller."""

import asyncio
import contextvars

from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["call_later", "exchange", "fail", "reply"]


def call_later(delay_s, action, *args) -> asyncio.TimerHandle:
    """Schedule an action of a stand-in, outside the context of the caller.

    On a virtual-time loop the action then happens even if the process that made the
    call is paused or killed.
    """
    loop = asyncio.get_running_loop()
    return loop.call_later(delay_s, action, *args, context=contextvars.Context())


async def exchange(arrive, *, one_way_s, timeout_s, target):
    """Deliver a call and wait for its answer.

    The call arrives even if the caller has given up or was cancelled.

    Parameters
    ----------
    arrive : callable
        Function that takes the future of the answer and carries the call out.
    one_way_s, timeout_s : float
        Time of the call to its target, and longest wait for the answer.
    target : str
        Name for the error message.

    Returns
    -------
    result.Result
        The answer, or an `Err` of kind `timeout`.
    """
    loop = asyncio.get_running_loop()
    answer = loop.create_future()
    call_later(one_way_s, arrive, answer)
    try:
        async with asyncio.timeout(timeout_s):
            return await answer
    except TimeoutError:
        return fail(ErrorKind.TIMEOUT, f"no answer of {target}")


def reply(answer, result, *, one_way_s, delivered=None):
    """Set the future of an answer after the way back.

    Parameters
    ----------
    delivered : callable or None
        Called once the answer has arrived.
    """

    def deliver():
        if answer.done():
            return
        answer.set_result(result)
        if delivered is not None:
            delivered()

    call_later(one_way_s, deliver)


def fail(kind, detail=""):
    """Return an `Err` of one kind."""
    return Err(Failure(kind=kind, detail=detail))
