"""Large lasting tasks of a soak test: room, tickets, failures and the check."""

import asyncio
import math
import types

import attrs
import pytest

from wasabipaddle.commands.soak import LEAST_MEMORY_BOUND_RUNNERS
from wasabipaddle.interfaces import EndCause, Refusal, StartOrder
from wasabipaddle.jobs import JobSpec, RunnerEntry, StepSpec, TaskId
from wasabipaddle.soak import memory_bound
from wasabipaddle.soak.concurrency import ConcurrentRunner
from wasabipaddle.soak.eligibility import PARTS, EligibilityService, SoakEligibility
from wasabipaddle.soak.lasting import LastingWatch
from wasabipaddle.soak.ledger import JobRecord, SoakLedger
from wasabipaddle.soak.queues import ADVISED, RESIDENT
from wasabipaddle.soak.room import Room
from wasabipaddle.soak.shapes import COMPUTE, GENERAL, MEMORY, MIXED_SHAPES
from wasabipaddle.standins.runners import MemoryRunner, TaskBehaviour

# Steps of this job may not run on w003, w006 and so on.
JOB = "0" * 16
OTHER = "f" * 16
TASK = TaskId(JOB, 0, 0, 0)
STEP = StepSpec(count=1, cpu=100, memory_mb=7_000, lasting=True)


class Cell:
    """A lasting job, other work, and runners that the test calls itself."""

    def __init__(self, names, *, mean_life_s=math.inf, other_mb=12_000):
        self.ledger = SoakLedger()
        self.eligibility = SoakEligibility(ledger=self.ledger)
        self._add_job(JOB, ADVISED, STEP, mean_life_s)
        other = attrs.evolve(STEP, memory_mb=other_mb)
        self._add_job(OTHER, RESIDENT, other, math.inf)
        self.runners = {name: self._make_runner(name) for name in names}
        self.faults = types.SimpleNamespace(last_disturbance_end_s=-math.inf)
        self.watch = LastingWatch(
            ledger=self.ledger, faults=self.faults, room=Room(platform=self)
        )

    def _add_job(self, job, queue, step, mean_life_s):
        behaviour = TaskBehaviour(work_s=math.inf, mean_life_s=mean_life_s)
        self.ledger.jobs[job] = JobRecord(
            id=job,
            queue=queue,
            spec=JobSpec(payload="p", steps=(step,)),
            behaviours=(behaviour,),
            accepted_s=0.1 if job == JOB else 0.0,
        )

    def _make_runner(self, name):
        entry = RunnerEntry(
            id=name, address="", data_centre="a", pool="p", capacity=GENERAL.capacity
        )
        return MemoryRunner(entry=entry, ledger=self.ledger, lease_max_s=1_000.0)

    async def start(self, name, job=JOB, *, run=1, ticket=""):
        """Start the task of a job and return the reason of a refusal."""
        runner = self.runners[name]
        client = ConcurrentRunner(runner=runner, seed=1, admits=self.eligibility.admits)
        order = StartOrder(
            task=TaskId(job, 0, 0, 0),
            run=run,
            payload="p",
            start_before_ms=runner.clock_ms() + 1_000_000,
            epoch=1,
            ticket=ticket,
        )
        return (await client.start(order, timeout_s=None)).ok().refusal

    async def wait(self, seconds):
        """Check periodically and return the detected violations."""
        until_s = self.ledger.now() + seconds
        while self.ledger.now() < until_s:
            await asyncio.sleep(0.25)
            self.watch.check()
        return [violation.promise for violation in self.ledger.violations]


@pytest.mark.parametrize(
    ("names", "other_mb", "promises"),
    [
        (["w001"], 2_000, ["idle"]),
        (["w001"], 3_000, []),
        (["w003"], 2_000, []),
        (["w001", "w002"], 12_000, ["idle"]),
        (["w001", "w003"], 12_000, []),
    ],
    ids=["room", "room for one", "ineligible", "room beside full", "none beside full"],
)
def test_large_task_is_owed_a_run_with_room_on_eligible_runners(
    run_virtual, names, other_mb, promises
):
    """Guards against a check that ignores memory, or counts room of no use."""

    async def scenario():
        cell = Cell(names, other_mb=other_mb)
        await cell.start(names[0], OTHER)
        return await cell.wait(8.5), await cell.wait(1.5)

    assert run_virtual(scenario) == ([], promises)


@pytest.mark.parametrize(("calm_s", "promises"), [(6.9, []), (7.3, ["idle"])])
def test_large_task_is_owed_a_run_after_calm_with_lasting_room(
    run_virtual, calm_s, promises
):
    """Guards against violations by faults or by room that was there for a moment."""

    async def scenario():
        cell = Cell(["w001"])
        await cell.start("w001", OTHER)
        assert await cell.wait(20.0) == []
        cell.runners["w001"].crash(2)
        assert await cell.wait(2.9) == []
        cell.faults.last_disturbance_end_s = cell.ledger.now() + 1.0 - calm_s
        return await cell.wait(1.0)

    assert run_virtual(scenario) == promises


def test_runner_refuses_a_ticket_that_has_expired(run_virtual):
    """Guards against tickets that stay valid, so that nothing has to renew them."""

    async def scenario():
        cell = Cell(["w001", "w002"])
        service = EligibilityService(eligibility=cell.eligibility)
        names = ["w001", "w002", "w003", "odd"]
        began_s = cell.ledger.now()
        advice = await service.ask(
            job=JOB, occurrence=0, step=0, runners=names, timeout_s=None
        )
        took_s = cell.ledger.now() - began_s
        tickets = advice.ok().tickets
        refusals = [await cell.start("w002", ticket=tickets["w001"])]
        await asyncio.sleep(2.4)
        refusals.append(await cell.start("w001", ticket=tickets["w001"]))
        await asyncio.sleep(0.2)
        refusals.append(await cell.start("w002", run=2, ticket=tickets["w002"]))
        return round(took_s, 3), sorted(tickets), refusals

    expected = [Refusal.TICKET, Refusal.NONE, Refusal.TICKET]
    assert run_virtual(scenario) == (0.54, ["w001", "w002"], expected)


def test_runs_with_a_mean_life_fail_by_themselves(run_virtual):
    """Guards against lasting tasks that never have to run again."""

    async def scenario():
        cell = Cell(["w001"], mean_life_s=10.0)
        runner = cell.runners["w001"]
        tickets = cell.eligibility.issue(JOB, 0, ["w001"])
        await cell.start("w001", ticket=tickets["w001"])
        await cell.start("w001", OTHER)
        await asyncio.sleep(100.0)
        runner.advance()
        return [(end.task.job, end.cause) for end in runner.ends]

    assert run_virtual(scenario) == [(JOB, EndCause.FAILED)]


def test_every_step_may_run_on_a_runner_with_memory(run_virtual):
    """Guards against steps that are owed nothing: no runner with room is eligible."""
    shapes = MIXED_SHAPES * LEAST_MEMORY_BOUND_RUNNERS
    numbered = enumerate(shapes[:LEAST_MEMORY_BOUND_RUNNERS], start=1)
    names = [f"w{number:03d}" for number, shape in numbered if shape is MEMORY]

    async def scenario():
        eligibility = Cell([]).eligibility
        return [
            any(eligibility.is_eligible(JOB, step, name) for name in names)
            for step in range(PARTS)
        ]

    assert all(run_virtual(scenario))


def test_memory_is_full_where_processors_are_free():
    """Guards against sizes with which memory does not bind, or binds everywhere."""
    cache, index = memory_bound.CACHE_STEP, memory_bound.INDEX_STEP
    least_mb = min(memory_bound.ADVISED_MEMORY_MB)
    tasks = memory_bound.ADVISED_JOBS * memory_bound.MAX_ADVISED_TASKS
    most_mb = tasks * max(memory_bound.ADVISED_MEMORY_MB)
    assert COMPUTE.capacity.memory_mb - cache.memory_mb < least_mb
    assert COMPUTE.capacity.cpu - cache.cpu > COMPUTE.capacity.cpu / 2
    assert 2 * (MEMORY.capacity.memory_mb - index.memory_mb) > most_mb
