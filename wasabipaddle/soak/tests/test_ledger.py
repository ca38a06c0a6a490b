"""Tests that the ledger of a soak test detects every violated guarantee."""

import asyncio
import math
import types

import attrs
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
from wasabipaddle.soak.backlog import find_deadlines
from wasabipaddle.soak.lasting import LastingWatch
from wasabipaddle.soak.ledger import JobRecord, SoakLedger
from wasabipaddle.standins.runners import MemoryRunner, TaskBehaviour

QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p", max_attempts=2)
JOB = "00000000000000aa"


class LedgerSetup:
    """A ledger with one job and two runners."""

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
        """Start a task on the runner with the given index."""
        target = self.runners[runner]
        order = StartOrder(
            task=TaskId(JOB, 0, step, index),
            run=run,
            payload=payload,
            start_before_ms=target.clock_ms() + 5_000,
            epoch=1,
        )
        return (await target.start(order, timeout_s=None)).ok().refusal

    async def sync_lease(self, runner, acknowledged=0):
        """Extend the lease of a runner and return its inventory."""
        target = self.runners[runner]
        inventory = await target.inventory(
            epoch=1,
            acknowledged=acknowledged,
            lease_until_ms=target.clock_ms() + 5_000,
            wait_s=0.0,
            timeout_s=None,
        )
        return inventory.ok()

    @property
    def promises(self):
        """Names of the violated guarantees in the order of detection."""
        return [violation.promise for violation in self.ledger.violations]


def step(count=1, **options):
    return StepSpec(**{"count": count, "cpu": 1_000, **options})


@pytest.fixture
def run():
    return asyncio.run


def test_task_that_runs_on_two_runners_is_found(run):
    """Guards against missing that a task runs on two runners at once."""

    async def scenario():
        setup = LedgerSetup(step())
        await setup.start(0)
        await setup.start(1, run=2)
        return setup.promises

    assert run(scenario()) == ["twice"]


def test_copies_of_a_speculative_task_are_allowed(run):
    """Guards against reporting speculative copies as duplicate runs."""

    async def scenario():
        setup = LedgerSetup(step(speculative=True))
        await setup.start(0)
        await setup.start(1, run=2)
        return setup.promises

    assert run(scenario()) == []


def test_start_after_an_acknowledged_end_is_found(run):
    """Guards against missing that a task with an acknowledged end runs again."""

    async def scenario():
        setup = LedgerSetup(step(), work_s=0.0)
        await setup.start(0)
        ended = (await setup.sync_lease(0)).ended
        assert [end.cause for end in ended] == [EndCause.COMPLETED]
        await setup.sync_lease(0, acknowledged=1)
        await setup.start(1, run=2)
        return setup.promises

    assert run(scenario()) == ["twice"]


def test_end_that_is_acknowledged_after_a_second_start_is_found(run):
    """Guards against ignoring an end that is acknowledged after a second start."""

    async def scenario():
        setup = LedgerSetup(step(), work_s=0.0)
        await setup.start(0)
        await setup.sync_lease(0)
        await setup.start(1, run=2)
        before = list(setup.promises)
        await setup.sync_lease(0, acknowledged=1)
        return before, setup.promises

    assert run(scenario()) == ([], ["twice"])


def test_end_that_is_lost_with_its_runner_may_be_repeated(run):
    """Guards against reporting a repeated run whose first end was lost in a crash."""

    async def scenario():
        setup = LedgerSetup(step(), work_s=0.0)
        await setup.start(0)
        await setup.sync_lease(0)
        setup.runners[0].crash(2)
        await setup.start(1, run=2)
        return setup.promises

    assert run(scenario()) == []


def test_end_whose_lease_expired_before_its_acknowledgement_may_be_repeated(run):
    """Guards against reporting a repetition that the platform allows (seed 125).

    The lease of the runner expires before the end of the first run is acknowledged, so
    the dispatcher repeats the task. The acknowledgement follows only then.
    """

    async def scenario():
        setup = LedgerSetup(step(), work_s=0.0)
        await setup.start(0)
        await setup.sync_lease(0)
        setup.runners[0].lease_until_ms = 0
        setup.runners[0].advance()
        await setup.start(1, run=2)
        await setup.sync_lease(0, acknowledged=1)
        return setup.promises

    assert run(scenario()) == []


def test_overfilled_runner_and_early_step_are_found(run):
    """Guards against missing an overcommitted runner and a step started too early."""

    async def scenario():
        setup = LedgerSetup(step(3), step(after=(0,)))
        for index in range(3):
            await setup.start(0, index=index)
        await setup.start(1, step=1)
        return setup.promises

    assert run(scenario()) == ["room", "order"]


def test_foreign_payload_and_unknown_task_are_refused_and_found(run):
    """Guards against accepting orders for tasks that no caller submitted."""

    async def scenario():
        setup = LedgerSetup(step())
        await setup.start(0, payload="other")
        await setup.start(0, run=2, index=7)
        return setup.promises, len(setup.runners[0].runs)

    assert run(scenario()) == (["unasked", "unasked"], 0)


def test_start_after_refusal_cancellation_and_failed_attempts_is_found(run):
    """Guards against missing the start of a task that must not run any more."""

    async def scenario():
        setup = LedgerSetup(step(), work_s=0.0, fails=True)
        for number in (1, 2):
            await setup.start(0, run=number)
            await setup.sync_lease(0)
            await setup.sync_lease(0, acknowledged=number)
        setup.record.refused = True
        setup.record.cancelled_s = -10.0
        await setup.start(0, run=3)
        return setup.promises

    assert run(scenario()) == ["attempts", "refused", "cancelled"]


def test_states_without_cause_are_found(run):
    """Guards against accepting phases that contradict the recorded runs."""

    async def scenario():
        setup = LedgerSetup(step())
        for phase in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED):
            setup.record.shown = None
            setup.ledger.record_phase(setup.record, phase)
        setup.ledger.record_phase(setup.record, JobPhase.RUNNING)
        return setup.promises

    assert run(scenario()) == ["state"] * 4


def test_job_without_an_end_and_lasting_task_without_a_run_are_found(run):
    """Guards against missing a lost job, or a lasting job with a task not running."""

    async def scenario():
        finite, lasting = (
            LedgerSetup(step()),
            LedgerSetup(step(2, lasting=True), work_s=math.inf),
        )
        finite.ledger.check_end()
        await lasting.start(0)
        lasting.ledger.check_end()
        return finite.promises, lasting.promises

    assert run(scenario()) == (["lost"], ["lost"])


@pytest.mark.parametrize(("ends_s", "late"), [(19.0, []), (21.0, ["urgent"])])
def test_urgent_job_that_ends_late_is_found_behind_other_work(run, ends_s, late):
    """Guards against a backlog that excuses jobs which go before it."""

    async def scenario():
        setup = LedgerSetup(step(20), work_s=100.0, fails=True)
        ledger, batch = setup.ledger, setup.record
        small = JobSpec(payload="p", steps=(step(cpu=1),))
        queue = attrs.evolve(QUEUE, priority=-1)
        urgent = attrs.evolve(batch, id="urgent", spec=small, queue=queue)
        ledger.jobs[urgent.id] = urgent
        ledger.deadlines_s = find_deadlines(ledger, cpu=2_000, longest_run_s=12.0)
        ledger.started_s -= ends_s
        for record in (urgent, batch):
            ledger.record_phase(record, JobPhase.FAILED)
        ledger.check_end()
        return [violation.job for violation in ledger.violations]

    assert run(scenario()) == late


@pytest.mark.parametrize(
    ("since_s", "fault_end_s", "promises"),
    [(-2.6, -math.inf, ["drain"]), (-2.6, -3.9, []), (-2.4, -math.inf, [])],
    ids=["late start", "recent fault", "early start"],
)
def test_start_on_a_leaving_runner_is_detected(since_s, fault_end_s, promises):
    """Guards against a soak that does not notice starts on runners that leave."""

    async def main():
        setup = LedgerSetup(StepSpec(count=1, cpu=1_000))
        now = setup.ledger.now()
        setup.ledger.draining_since_s["r0"] = now + since_s
        setup.ledger.last_fault_end_s = now + fault_end_s
        await setup.start(0)
        assert setup.promises == promises

    asyncio.run(main())


@pytest.mark.parametrize(
    ("idle_s", "fault_end_s", "cancel_sent", "promises"),
    [
        (9.1, -math.inf, False, ["idle"]),
        (8.9, -math.inf, False, []),
        (9.1, -6.9, False, []),
        (9.1, -7.1, False, ["idle"]),
        (9.1, -math.inf, True, []),
    ],
    ids=["late", "early", "recent fault", "earlier fault", "cancelled"],
)
def test_lasting_task_without_a_run_is_found(
    run, idle_s, fault_end_s, cancel_sent, promises
):
    """Guards against lasting tasks that are away until the end is in sight."""

    async def scenario():
        setup = LedgerSetup(step(lasting=True), work_s=math.inf)
        setup.record.cancel_sent = cancel_sent
        await setup.start(0)
        assert not setup.ledger.idle_since_s
        setup.runners[0].crash(2)
        now = setup.ledger.now()
        (task,) = setup.ledger.idle_since_s
        setup.ledger.idle_since_s[task] = now - idle_s
        faults = types.SimpleNamespace(last_disturbance_end_s=now + fault_end_s)
        watch = LastingWatch(ledger=setup.ledger, faults=faults, room=None)
        watch.check()
        watch.check()
        await setup.start(1, run=2)
        assert not setup.ledger.idle_since_s
        return setup.promises

    assert run(scenario()) == promises
