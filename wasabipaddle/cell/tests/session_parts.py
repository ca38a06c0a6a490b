"""Surroundings of the parts of a dispatch session, for tests."""

import asyncio

from wasabipaddle.cell.keys import LEADER_KEY
from wasabipaddle.cell.session import DispatchSession
from wasabipaddle.clock import run_virtual
from wasabipaddle.dispatch import Scheduler
from wasabipaddle.dispatch.state import Timing
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import Capacity, RunnerEntry
from wasabipaddle.platform import REGISTRY_PREFIX

RUNNER = (
    b'{"service":"p","address":"127.0.0.1:9","zone":"a","state":"STATE",'
    b'"capacity":{"cpu":1000}}'
)
# Time for a takeover without jobs.
TAKEOVER_S = 1.0


class FakeSession:
    """Stand-in for `DispatchSession` with an epoch, a clock and settings."""

    def __init__(self, process):
        self.settings = process.context.settings
        self.clock = process.context.clock
        self.began_s = self.clock.now()
        self.epoch = 0
        self.term = 3

    def now(self):
        return self.clock.now()

    def wake(self):
        """Do nothing; the stand-in does not plan."""


class FakeProof:
    """Stand-in for `LeadershipProof`.

    Attributes
    ----------
    present_s : float
        Age of the proof.
    readable : bool
        Whether reads of the leader key succeed.
    """

    def __init__(self):
        self.present_s = 0.0
        self.readable = True

    def age_s(self):
        return self.present_s

    async def read(self):
        await asyncio.sleep(0.01)
        return self.readable


class FakeElection:
    """Stand-in for `ElectionPlugin` that confirms the leadership after 0.1 s."""

    def __init__(self, *, epoch):
        self.epoch = epoch
        self.confirmations = 0
        self.proof = FakeProof()

    async def confirm(self):
        await asyncio.sleep(0.1)
        self.confirmations += 1

    def step_down(self, reason, *, epoch):
        """Do nothing; the stand-in goes on leading."""


def make_session(cell):
    process = cell["p0"]
    scheduler = Scheduler(timing=Timing(), journal=lambda kind, **values: None)
    session = FakeSession(process)
    put = Put(key=LEADER_KEY, value=b"p0")
    session.epoch = cell.memory.apply((), [put], ()).ok()
    return process, scheduler, session


def runner_entry(name):
    return RunnerEntry(
        id=name,
        address="127.0.0.1:9",
        data_centre="a",
        pool="p",
        capacity=Capacity(cpu=1000),
    )


def with_cell(make_test_cell, scenario, *, count=1):
    async def main():
        cell = make_test_cell(count)
        tasks = []
        try:
            await scenario(cell, tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await cell.close()

    run_virtual(main())


async def _start(session):
    session.start()


def put(cell, key, value):
    cell.memory.apply((), [Put(key=key, value=value)], ())


def put_runner(cell, state):
    """Register the runner r0 as `ready` or `draining`."""
    put(cell, REGISTRY_PREFIX + "r0", RUNNER.replace(b"STATE", state))


def with_leading_session(make_test_cell, scenario, *, context=None):
    """Run a scenario with a cell and a session that leads and makes no calls.

    The registry has the runner r0. The session runs in `context`, if it is given.
    """

    async def main(cell, tasks):
        process, _, leader = make_session(cell)
        put_runner(cell, b"ready")
        session = DispatchSession(
            context=process.context,
            store_plugin=process.store_plugin,
            members=process.members,
            configuration=process.entry.configuration,
            epoch=leader.epoch,
            term=leader.term,
            election=FakeElection(epoch=leader.epoch),
        )
        session.calls.ensure_inventory = lambda runner: None
        await asyncio.create_task(_start(session), context=context)
        await asyncio.sleep(TAKEOVER_S)
        assert session.loaded
        await scenario(cell, session)
        await session.close()

    with_cell(make_test_cell, main)
