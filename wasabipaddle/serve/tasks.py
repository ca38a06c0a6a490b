"""Background tasks of a role."""

import asyncio

from absl import logging

from wasabipaddle.clock import cancel_and_wait

__all__ = ["TaskSet"]

# Pause before a task that failed is run again.
RESTART_PAUSE_S = 0.2


class TaskSet:
    """Background tasks of one role, cancelled together when the role stops.

    Attributes
    ----------
    closed : bool
        Whether the tasks have been cancelled; loops are not run again.
    """

    def __init__(self):
        self.tasks = set()
        self.closed = False

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine as a task; an exception in it is logged."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def keep_running(self, function, *args) -> asyncio.Task:
        """Run a coroutine function as a task, and again after each exception in it.

        For loops on which a role depends as long as it runs: without them its state
        would stand still.
        """
        return self.spawn(self._run_again(function, args))

    async def _run_again(self, function, args):
        while not self.closed:
            try:
                return await function(*args)
            except Exception:
                logging.exception("background task failed and is run again")
                await asyncio.sleep(RESTART_PAUSE_S)

    async def close(self):
        """Cancel all tasks and wait until they have ended.

        A loop that loses its cancellation is not run again, and cancelled again.
        """
        self.closed = True
        while running := [task for task in self.tasks if not task.done()]:
            await cancel_and_wait(running)

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("background task failed", exc_info=task.exception())
