"""Tests of the promises that a soak checks: each broken one is found."""

import asyncio
import math

import pytest

from wasabipaddle.interfaces import EndCause, StartOrder
from wasabipaddle.jobs import (
    Capacity,
    JobPhase,
    JobSpec,
    Queue,
    RunnerEntry,
    StepSpec,
    TaskId,
)
from wasabipaddle.soak.ledger import JobRecord, SoakLedger
from wasabipaddle.standins.runners import MemoryRunner, TaskBehaviour

QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p", max_attempts=2)
JOB = "00000000000000aa"


class World:
    """A ledger, one job and two runners."""

    def __init__(self, *steps, work_s=0.2, fails=False, cpu=2_000):
        self.ledger = SoakLedger()
        behaviour = TaskBehaviour(work_s=work_s, fails=fails)
        self.record = JobRecord(
            id=JOB,
            queue=QUEUE,
            spec=JobSpec(payload="p", steps=steps),
            behaviours=(behaviour,) * len(steps),
            accepted_s=0.1,
        )
        self.ledger.jobs[JOB] = self.record
        self.runners = [self._runner(f"r{i}", cpu) for i in range(2)]

    def _runner(self, name, cpu):
        entry = RunnerEntry(
            id=name,
            address="",
            data_centre="a",
            pool="p",
            capacity=Capacity(cpu=cpu, memory_mb=100),
            incarnation=1,
        )
        return MemoryRunner(entry=entry, ledger=self.ledger)

    async def start(self, runner, *, run=1, step=0, index=0, payload="p"):
        """Start a task on a runner by its position."""
        target = self.runners[runner]
        order = StartOrder(
            task=TaskId(JOB, 0, step, index),
            run=run,
            payload=payload,
            start_before_ms=target.clock_ms() + 5_000,
            epoch=1,
        )
        return (await target.start(order, timeout_s=None)).ok().refusal

    async def hold(self, runner, acknowledged=0):
        """Extend the lease of a runner and return its lists."""
        target = self.runners[runner]
        lists = await target.inventory(
            epoch=1,
            acknowledged=acknowledged,
            lease_until_ms=target.clock_ms() + 5_000,
            wait_s=0.0,
            timeout_s=None,
        )
        return lists.ok()

    @property
    def promises(self):
        """Promises that were broken, in order."""
        return [violation.promise for violation in self.ledger.violations]


def step(count=1, **options):
    return StepSpec(**{"count": count, "cpu": 1_000, **options})


@pytest.fixture
def run():
    return asyncio.run


def test_task_that_runs_on_two_runners_is_found(run):
    """Guards against a soak that misses a task in two places."""

    async def scenario():
        world = World(step())
        await world.start(0)
        await world.start(1, run=2)
        return world.promises

    assert run(scenario()) == ["twice"]


def test_copies_of_a_speculative_task_are_allowed(run):
    """Guards against a soak that takes copies for doubled tasks."""

    async def scenario():
        world = World(step(speculative=True))
        await world.start(0)
        await world.start(1, run=2)
        return world.promises

    assert run(scenario()) == []


def test_start_after_an_acknowledged_end_is_found(run):
    """Guards against a soak that misses a completed task which runs again."""

    async def scenario():
        world = World(step(), work_s=0.0)
        await world.start(0)
        ended = (await world.hold(0)).ended
        assert [end.cause for end in ended] == [EndCause.COMPLETED]
        await world.hold(0, acknowledged=1)
        await world.start(1, run=2)
        return world.promises

    assert run(scenario()) == ["twice"]


def test_end_that_is_acknowledged_after_a_second_start_is_found(run):
    """Guards against a soak that judges ends only by the time of a start."""

    async def scenario():
        world = World(step(), work_s=0.0)
        await world.start(0)
        await world.hold(0)
        await world.start(1, run=2)
        before = list(world.promises)
        await world.hold(0, acknowledged=1)
        return before, world.promises

    assert run(scenario()) == ([], ["twice"])


def test_end_that_is_lost_with_its_runner_may_be_repeated(run):
    """Guards against a soak that forbids the repetition of a lost end."""

    async def scenario():
        world = World(step(), work_s=0.0)
        await world.start(0)
        await world.hold(0)
        world.runners[0].crash(2)
        await world.start(1, run=2)
        return world.promises

    assert run(scenario()) == []


def test_end_whose_lease_lapsed_before_it_was_noted_may_be_repeated(run):
    """Guards against a soak that forbids what the platform allows (seed 125).

    The dispatcher heard nothing until the lease had ended, and repeated the task.
    """

    async def scenario():
        world = World(step(), work_s=0.0)
        await world.start(0)
        await world.hold(0)
        world.runners[0].lease_until_ms = 0
        world.runners[0].advance()
        await world.start(1, run=2)
        await world.hold(0, acknowledged=1)
        return world.promises

    assert run(scenario()) == []


def test_overfilled_runner_and_early_step_are_found(run):
    """Guards against a soak that misses room and the order of steps."""

    async def scenario():
        world = World(step(3), step(after=(0,)))
        for index in range(3):
            await world.start(0, index=index)
        await world.start(1, step=1)
        return world.promises

    assert run(scenario()) == ["room", "order"]


def test_foreign_payload_and_unknown_task_are_refused_and_found(run):
    """Guards against a soak that lets a runner start what nobody sent."""

    async def scenario():
        world = World(step())
        await world.start(0, payload="other")
        await world.start(0, run=2, index=7)
        return world.promises, len(world.runners[0].runs)

    assert run(scenario()) == (["unasked", "unasked"], 0)


def test_start_after_refusal_cancellation_and_failed_attempts_is_found(run):
    """Guards against a soak that misses starts of jobs that must not run."""

    async def scenario():
        world = World(step(), work_s=0.0, fails=True)
        for number in (1, 2):
            await world.start(0, run=number)
            await world.hold(0)
            await world.hold(0, acknowledged=number)
        world.record.refused = True
        world.record.cancelled_s = -10.0
        await world.start(0, run=3)
        return world.promises

    assert run(scenario()) == ["attempts", "refused", "cancelled"]


def test_states_without_cause_are_found(run):
    """Guards against a soak that believes every state that is shown."""

    async def scenario():
        world = World(step())
        for phase in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED):
            world.record.shown = None
            world.ledger.shown(world.record, phase)
        world.ledger.shown(world.record, JobPhase.RUNNING)
        return world.promises

    assert run(scenario()) == ["state"] * 4


def test_job_without_an_end_and_lasting_task_without_a_run_are_found(run):
    """Guards against a soak that misses a lost job."""

    async def scenario():
        finite, lasting = World(step()), World(step(2, lasting=True), work_s=math.inf)
        finite.ledger.check_end()
        await lasting.start(0)
        lasting.ledger.check_end()
        return finite.promises, lasting.promises

    assert run(scenario()) == (["lost"], ["lost"])
