"""Simulated delivery of calls and answers, independent of the caller's task."""

import asyncio
import contextvars

from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["call_later", "exchange", "fail", "reply"]


def call_later(delay_s, action, *args) -> asyncio.TimerHandle:
    """Schedule an action of a stand-in outside the context of the calling process.

    The virtual-time loop holds back callbacks in the context of a simulated process
    that is paused or killed. The action is carried out nevertheless, because it has a
    new context.
    """
    loop = asyncio.get_running_loop()
    return loop.call_later(delay_s, action, *args, context=contextvars.Context())


async def exchange(arrive, *, one_way_s, timeout_s, target):
    """Deliver a call and wait for its answer.

    The call is delivered even if the caller has timed out or was cancelled.

    Parameters
    ----------
    arrive : callable
        Carries out the call on its arrival; takes the future of the answer.
    one_way_s, timeout_s : float
        One-way latency, and longest wait for the answer.
    target : str
        Name of the target for the error message.

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
        return fail(ErrorKind.TIMEOUT, f"no answer from {target}")


def reply(answer, result, *, one_way_s, delivered=None):
    """Set the future of an answer after the one-way latency.

    Parameters
    ----------
    answer : asyncio.Future
        Future for which the caller waits; it stays as it is if it is already done.
    result : result.Result
        The answer.
    one_way_s : float
        One-way latency.
    delivered : callable or None
        Called after the answer was delivered to a caller that still waited.
    """

    def deliver():
        if answer.done():
            return
        answer.set_result(result)
        if delivered is not None:
            delivered()

    call_later(one_way_s, deliver)


def fail(kind, detail=""):
    """Return an `Err` with a failure of the given kind."""
    return Err(Failure(kind=kind, detail=detail))
