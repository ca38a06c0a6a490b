"""An asyncio loop on virtual time.

Timers fire in order without waiting, so a run takes only processor time and is
the same each time for the same seed.
"""

import asyncio
import selectors

__all__ = ["VirtualTimeLoop", "run_virtual"]


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
    """Event loop whose `time` advances only when nothing is ready to run."""

    is_virtual = True

    def __init__(self):
        super().__init__(_VirtualSelector())

    def time(self):
        """Return virtual time in seconds since the loop was made."""
        return self._selector.time_s


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
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
