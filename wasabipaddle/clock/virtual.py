"""An asyncio loop on virtual time.

Timers fire in order without waiting, so a run takes only processor time and is
the same each time for the same seed. Tasks can be grouped into processes that are
paused, resumed and killed as a whole.
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
    """Selector that moves virtual time in place of waiting."""

    def __init__(self):
        super().__init__()
        self.time_s = 0.0

    def select(self, timeout=None):
        """Return ready files at once and advance time by `timeout`."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("virtual loop is idle: no timer and no ready task")
        self.time_s += max(timeout, 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose `time` advances only when nothing is ready to run.

    Callbacks that were scheduled in the context of a process (see
    `process_context`) are held while it is paused or killed.
    """

    is_virtual = True

    def __init__(self):
        super().__init__(_VirtualSelector())
        self.held = {}
        self.killed = set()

    def time(self):
        """Return virtual time in seconds since the loop was made."""
        return self._selector.time_s

    def pause(self, process):
        """Hold every callback of a process."""
        self.held.setdefault(process, [])

    def resume(self, process):
        """Run what was held, in order, and go on; a killed process stays."""
        if process in self.killed:
            return
        for handle, callback, args, context in self.held.pop(process, ()):
            if not handle.cancelled():
                self.call_soon(callback, *args, context=context)

    def kill(self, process):
        """Hold every callback of a process until the end of the run."""
        self.pause(process)
        self.killed.add(process)

    def release(self):
        """End all pauses and kills.

        Held callbacks run once more, since a task whose wake-up is missing could
        not be cancelled.
        """
        self.killed.clear()
        for process in list(self.held):
            self.resume(process)

    def call_soon(self, callback, *args, context=None):
        """Schedule a callback, which waits while its process is paused."""
        return self._gated(super().call_soon, callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        """Schedule a callback at a time, which waits while its process is paused."""

        def schedule(gate, *gate_args, context):
            return super(VirtualTimeLoop, self).call_at(
                when, gate, *gate_args, context=context
            )

        return self._gated(schedule, callback, args, context)

    def _gated(self, schedule, callback, args, context):
        if context is None:  # an empty context is false
            context = contextvars.copy_context()
        process = context.get(_PROCESS)
        if process is None:
            return schedule(callback, *args, context=context)
        own = []
        handle = schedule(
            self._gate, process, own, callback, args, context, context=context
        )
        own.append(handle)
        return handle

    def _gate(self, process, own, callback, args, context):
        held = self.held.get(process)
        if held is not None:
            held.append((own[0], callback, args, context))
            return
        callback(*args)


def process_context(process) -> contextvars.Context:
    """Return a context whose tasks belong to `process`.

    Parameters
    ----------
    process : hashable
        Name of one incarnation of a process.
    """
    context = contextvars.copy_context()
    context.run(_PROCESS.set, process)
    return context


def run_virtual(coroutine):
    """Run `coroutine` to completion on a new virtual-time loop.

    Parameters
    ----------
    coroutine : coroutine
        The main coroutine; tasks that it leaves behind are cancelled.

    Returns
    -------
    object
        What the coroutine returns.
    """

    async def main():
        try:
            return await coroutine
        finally:
            asyncio.get_running_loop().release()
            await asyncio.sleep(0)  # what is ready now still runs
            await cancel_leftover_tasks()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main())


async def cancel_leftover_tasks():
    """Cancel all other tasks, again while any is left.

    `asyncio.wait_for` loses a cancellation that meets the end of what it waits for,
    and the end of a run wakes many tasks at the same time.
    """
    for _ in range(CANCEL_ROUNDS):
        others = asyncio.all_tasks() - {asyncio.current_task()}
        if not others:
            return
        for task in others:
            task.cancel()
        await asyncio.wait(others, timeout=CANCEL_ROUND_S)
