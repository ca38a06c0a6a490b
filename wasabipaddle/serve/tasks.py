"""Background tasks of a role."""

import asyncio

from absl import logging

__all__ = ["TaskSet"]


class TaskSet:
    """Background tasks of one role, cancelled together when the role stops."""

    def __init__(self):
        self.tasks = set()

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine as a task; an exception in it is logged."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def close(self):
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("background task failed", exc_info=task.exception())
