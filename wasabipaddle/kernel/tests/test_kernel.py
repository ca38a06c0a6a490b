"""Tests of the kernel and the bus."""

import asyncio

import pytest

from wasabipaddle.clock import LoopClock, run_virtual
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.kernel import Bus, Context, Kernel, Mailbox, Plugin


@pytest.fixture
def log():
    return []


@pytest.fixture
def roles(log):
    class Base(Plugin):
        name = "test-base"

        async def start(self):
            log.append("start base")

        async def drain(self):
            log.append("drain base")

    class Top(Plugin):
        name = "test-top"
        requires = ("test-base",)

        async def start(self):
            log.append("start top")

        async def drain(self):
            log.append("drain top")

    return ["test-top"]


def test_plugins_start_after_what_they_require(log, roles):
    """Guards against a role that starts before, or drains after, one it requires."""

    async def main():
        context = Context.create(settings=None, clock=LoopClock(), process="p", seed=1)
        kernel = Kernel(context=context, names=roles)
        await kernel.start()
        await kernel.drain()

    run_virtual(main())
    assert log == ["start base", "start top", "drain top", "drain base"]


def test_ask_without_reply_times_out():
    """Guards against waiting forever for an owner that does not read its mailbox."""

    async def main():
        bus = Bus()
        bus.register(Mailbox(), int)
        result = await bus.ask(1, timeout_s=2.0)
        return result.unwrap_err().kind, asyncio.get_running_loop().time()

    assert run_virtual(main()) == (ErrorKind.TIMEOUT, 2.0)
