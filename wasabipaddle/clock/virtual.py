"""An asyncio event loop on virtual time.

Timers fire in order without waiting, so a run takes only processor time and is
reproducible for a given seed. Tasks can be grouped into processes that are paused,
resumed and killed as a whole.
"""

import asyncio
import contextvars
import selectors

__all__ = [
    "VirtualTimeLoop",
    "cancel_leftover_tasks",
    "process_context",
    "run_virtual",
]

CANCEL_ROUNDS = 20
CANCEL_ROUND_S = 0.1

_PROCESS = contextvars.ContextVar("process", default=None)


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.time_s = 0.0

    def select(self, timeout=None):
        """Return ready files if there are any, else advance time by `timeout`.

        Files are polled only before time would advance, which saves a system call in
        each iteration that has ready callbacks.
        """
        if timeout == 0:
            return []
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("virtual-time loop is idle: no timer and no ready task")
        self.time_s += max(timeout, 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose `time` advances only when nothing is ready to run.

    Callbacks that were scheduled in the context of a process (see
    `process_context`) are held back while the process is paused or killed.
    """

    is_virtual = True

    def __init__(self):
        super().__init__(_VirtualSelector())
        self.held_callbacks = {}
        self.killed = set()

    def time(self):
        """Return virtual time in seconds since the loop was created."""
        return self._selector.time_s

    def pause(self, process):
        """Hold back every callback of a process."""
        self.held_callbacks.setdefault(process, [])

    def resume(self, process):
        """Schedule the held callbacks of a paused process, in order, and end its pause.

        A killed process is not resumed.
        """
        if process in self.killed:
            return
        for handle, callback, args, context in self.held_callbacks.pop(process, ()):
            self.call_soon(self._run_held, handle, callback, args, context=context)

    def kill(self, process):
        """Hold back every callback of a process until `release`."""
        self.pause(process)
        self.killed.add(process)

    def release(self):
        """End all pauses and kills.

        The held callbacks are run, because a task whose wake-up callback never runs
        cannot be cancelled.
        """
        self.killed.clear()
        for process in list(self.held_callbacks):
            self.resume(process)

    def call_soon(self, callback, *args, context=None):
        """Schedule a callback, which is held back while its process is paused."""
        return self._schedule_gated(super().call_soon, callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        """Schedule a callback at `when`, held back while its process is paused."""

        def schedule(function, *function_args, context):
            return super(VirtualTimeLoop, self).call_at(
                when, function, *function_args, context=context
            )

        return self._schedule_gated(schedule, callback, args, context)

    def _schedule_gated(self, schedule, callback, args, context):
        if context is None:  # `not context` would also replace an empty context
            context = contextvars.copy_context()
        process = context.get(_PROCESS)
        if process is None:
            return schedule(callback, *args, context=context)
        handle_cell = []  # passes the handle to the callback that it belongs to
        handle = schedule(
            self._run_or_hold,
            process,
            handle_cell,
            callback,
            args,
            context,
            context=context,
        )
        handle_cell.append(handle)
        return handle

    def _run_held(self, handle, callback, args):
        """Run a held callback, unless it was cancelled in the meantime."""
        if not handle.cancelled():
            callback(*args)

    def _run_or_hold(self, process, handle_cell, callback, args, context):
        held_callbacks = self.held_callbacks.get(process)
        if held_callbacks is not None:
            held_callbacks.append((handle_cell[0], callback, args, context))
            return
        callback(*args)


def process_context(process) -> contextvars.Context:
    """Return a context whose tasks belong to `process`.

    Parameters
    ----------
    process : hashable
        Identifier of one incarnation of a process.
    """
    context = contextvars.copy_context()
    context.run(_PROCESS.set, process)
    return context


def run_virtual(coroutine):
    """Run `coroutine` to completion on a new virtual-time loop.

    Parameters
    ----------
    coroutine : coroutine
        The main coroutine; tasks that are left when it ends are cancelled.

    Returns
    -------
    object
        Return value of the coroutine.
    """

    async def main():
        try:
            return await coroutine
        finally:
            asyncio.get_running_loop().release()
            await asyncio.sleep(0)  # lets callbacks run that are ready now
            await cancel_leftover_tasks()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main())


async def cancel_leftover_tasks():
    """Cancel all other tasks, repeatedly while any is left.

    `asyncio.wait_for` loses a cancellation that coincides with the end of the awaited
    task, and the end of a run wakes many tasks at the same time. After
    `CANCEL_ROUNDS` rounds the remaining tasks are left alone.
    """
    for _ in range(CANCEL_ROUNDS):
        leftover = asyncio.all_tasks() - {asyncio.current_task()}
        if not leftover:
            return
        for task in leftover:
            task.cancel()
        await asyncio.wait(leftover, timeout=CANCEL_ROUND_S)
