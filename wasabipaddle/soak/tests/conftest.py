"""Fixture for scenarios of the soak test in virtual time."""

import asyncio
import selectors

import pytest


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that advances the time of its loop instead of waiting."""

    loop = None

    def select(self, timeout=None):
        self.loop.now_s += timeout or 0.0
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop without sockets, whose time passes only while all tasks wait."""

    def __init__(self):
        self.now_s = 100.0
        selector = _SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.now_s


@pytest.fixture
def run_virtual():
    """Return a function that runs a coroutine function in virtual time."""

    def run(scenario):
        with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
            return runner.run(scenario())

    return run
