"""Cancellation of tasks that may lose a cancellation."""

import asyncio

__all__ = ["cancel_and_wait"]

# Time after which a task that has not ended is cancelled again.
CANCEL_AGAIN_S = 0.5


async def cancel_and_wait(tasks):
    """Cancel tasks and wait until they have ended.

    A task can lose a cancellation, for example if a library takes it for the end of a
    timeout. It would go on without end, so it is cancelled again.

    Parameters
    ----------
    tasks : iterable of asyncio.Task
        Tasks whose results and errors do not matter any more.
    """
    remaining = set(tasks)
    while remaining:
        for task in remaining:
            task.cancel()
        _, remaining = await asyncio.wait(remaining, timeout=CANCEL_AGAIN_S)
