"""Tests of the runner that handles calls concurrently."""

import asyncio

import attrs
import pytest

from wasabipaddle.interfaces import EndCause, StartOrder
from wasabipaddle.jobs import Capacity, RunnerEntry, StepSpec, TaskId
from wasabipaddle.soak.concurrency import ConcurrentRunner
from wasabipaddle.standins.runners import MemoryRunner, TaskBehaviour

TASK = TaskId("00000000000000aa", 0, 0, 0)
LEASE_MS = 5_000
SEEDS = range(20)


class FakeLedger:
    """Ledger of one task with a duration; accepts every order."""

    def __init__(self, work_s):
        self.work_s = work_s
        self.ends = []

    def is_valid_order(self, order):
        return True

    def behaviour(self, task):
        return StepSpec(count=1), TaskBehaviour(work_s=self.work_s)

    def record_start(self, runner, run, order):
        pass

    def record_end(self, runner, run, cause):
        self.ends.append(cause)

    def record_acknowledgement(self, runner, end):
        pass


class RunnerSetup:
    """A runner that is called concurrently, and its ledger."""

    def __init__(self, *, work_s=60.0, seed=0, **faults):
        self.ledger = FakeLedger(work_s)
        entry = RunnerEntry(
            id="r1",
            address="",
            data_centre="a",
            pool="p",
            capacity=Capacity(cpu=1_000, memory_mb=100),
            incarnation=1,
        )
        self.runner = MemoryRunner(entry=entry, ledger=self.ledger)
        self.runner.faults = attrs.evolve(self.runner.faults, **faults)
        self.client = ConcurrentRunner(runner=self.runner, seed=seed)
        self.advancing = asyncio.ensure_future(self.runner.advance_periodically())

    async def start(self, run=1):
        """Start the task and return the reply."""
        order = StartOrder(
            task=TASK,
            run=run,
            payload="p",
            start_before_ms=self.runner.clock_ms() + LEASE_MS,
            epoch=1,
        )
        return (await self.client.start(order, timeout_s=None)).ok()

    async def read(self, wait_s=0.0):
        """Extend the lease and return the inventory."""
        found = await self.client.inventory(
            epoch=1,
            acknowledged=0,
            lease_until_ms=self.runner.clock_ms() + LEASE_MS,
            wait_s=wait_s,
            timeout_s=None,
        )
        return found.ok()


@pytest.fixture
def play(run_virtual):
    """Return a function that plays a scenario with a new setup."""

    def run(scenario, **options):
        async def main():
            setup = RunnerSetup(**options)
            try:
                return await scenario(setup)
            finally:
                setup.advancing.cancel()

        return run_virtual(main)

    return run


def test_inventory_that_began_before_a_start_lacks_the_run(play):
    """Guards against lists that are always as new as the clock beside them."""

    async def scenario(setup):
        reading = asyncio.ensure_future(setup.read())
        await asyncio.sleep(0.001)
        started = await setup.start()
        inventory = await reading
        return inventory.clock_ms > started.clock_ms and not inventory.running

    assert any(play(scenario, seed=seed, list_gap_s=0.4) for seed in SEEDS)
    assert not any(play(scenario, seed=seed) for seed in SEEDS)


def test_run_that_ends_between_the_lists_is_in_none_of_them(play):
    """Guards against ended runs that are always read together with the others."""

    async def scenario(setup):
        await setup.start()
        await setup.read()
        inventory = await setup.read()
        missing = not inventory.running and not inventory.ended
        return missing and (await setup.read()).ended[0].cause is EndCause.COMPLETED

    options = {"list_gap_s": 0.4, "work_s": 0.3}
    assert any(play(scenario, seed=seed, **options) for seed in SEEDS)


def test_reply_of_an_earlier_life_arrives_after_one_of_the_new_life(play):
    """Guards against restarts after which only the new life is heard."""

    async def scenario(setup):
        await setup.start()
        reading = asyncio.ensure_future(setup.read(wait_s=1.0))
        await asyncio.sleep(0.5)
        before_ms = setup.runner.clock_ms()
        setup.client.restart(2)
        new = await setup.read()
        assert not reading.done()
        old = await reading
        return before_ms, new, old

    before_ms, new, old = play(scenario)
    assert (new.incarnation, new.running, new.clock_ms < before_ms) == (2, (), True)
    assert (old.incarnation, len(old.running), old.clock_ms) == (1, 1, before_ms)


def test_frozen_runner_keeps_clock_lease_and_work_and_answers_later(play):
    """Guards against a frozen runner whose lease expires or whose task ends."""

    async def scenario(setup):
        await setup.start()
        await setup.read()
        before_ms = setup.runner.clock_ms()
        setup.client.freeze()
        reading = asyncio.ensure_future(setup.read())
        await asyncio.sleep(20.0)
        frozen = (setup.runner.clock_ms() - before_ms, reading.done())
        setup.client.unfreeze()
        inventory = await reading
        await asyncio.sleep(2.0)
        return frozen, inventory.clock_ms - before_ms, setup.ledger.ends

    frozen, passed_ms, ends = play(scenario, work_s=1.0)
    assert frozen == (0, False)
    assert passed_ms == 0
    assert ends == [EndCause.COMPLETED]


def test_frozen_runner_ends_its_runs_once_its_own_lease_is_over(play):
    """Guards against a lease that never expires after a runner stood still."""

    async def scenario(setup):
        await setup.start()
        setup.client.freeze()
        await asyncio.sleep(20.0)
        setup.client.unfreeze()
        await asyncio.sleep(LEASE_MS / 1000 + 1.0)
        return setup.ledger.ends

    assert play(scenario) == [EndCause.LEASE_EXPIRED]


def test_replies_overtake_each_other(play):
    """Guards against replies that always arrive in the order of their calls."""

    async def scenario(setup):
        arrived = []

        async def start(run):
            await setup.start(run)
            arrived.append(run)

        await asyncio.gather(start(1), start(2))
        return arrived

    orders = [play(scenario, seed=seed, overtaking_s=0.5) for seed in SEEDS]
    assert [2, 1] in orders
    assert play(scenario) == [1, 2]
