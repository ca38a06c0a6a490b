"""Tests of runs on a complete cell in memory, with injected failures."""

import asyncio
import json

import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.interfaces import Usage
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.messages import CancelRun, RunOutcome, RunState, StopRun, WaitRun
from wasabipaddle.standins import compute_verdict
from wasabipaddle.timeline import EventKind

SETTLE_S = 6.0
DOCUMENT = """\
service: {service}
team: t
kind: {kind}
urgency: normal
needs: {{cpu: 4, memory: 8GB}}
placement: {{data_centres: [dc0]}}
quota: {{resources: {{cpu: 400, memory: 800GB}}}}
run: {{tasks: {tasks}, max_attempts: 5}}
"""


@pytest.fixture
def run_cell():
    """Return a function that runs a scenario on a small cell.

    The cell has a batch service `pages` and a gang service `model`.
    """

    def run(scenario, **options):
        async def main():
            size = CellSize(entries=4, data_centres=2, workers=8, endpoints=2)
            cell = WholeCell(size=size, **options)
            for service, kind, tasks in (("pages", "batch", 2), ("model", "gang", 6)):
                text = DOCUMENT.format(service=service, kind=kind, tasks=tasks)
                await cell.write_document(text, service)
            await cell.start()
            await asyncio.sleep(SETTLE_S)
            await scenario(cell)

        run_virtual(main())

    return run


def payload(work, run_s=1.0, **keys):
    return json.dumps({"work": work, "run_s": run_s, **keys})


async def submit(cell, key, *, service="pages", process="e01", run_s=1.0, **keys):
    result = await cell.submit(process, service, key, payload(key, run_s, **keys))
    tasks = 6 if service == "model" else 2
    for index in range(tasks):
        cell.ledger.accept(f"{key}/{index}")
    return result.unwrap().run


async def outcome(cell, run, *, process="e01", wait_s=60.0):
    view = await cell.operate(process, WaitRun(run=run, wait_s=wait_s))
    return view.unwrap().outcome


def assert_clean(cell, *, completed):
    verdict = compute_verdict(cell.ledger.record)
    assert verdict.clean, verdict
    assert verdict.completed == completed


@pytest.mark.parametrize("service", ["pages", "model"])
def test_run_completes_once(run_cell, service):
    """Guards against a run that is lost, or executed twice if submitted twice."""

    async def scenario(cell):
        run = await submit(cell, "a", service=service)
        again = await submit(cell, "a", service=service, process="e03")
        assert again == run
        assert await outcome(cell, run) is RunOutcome.COMPLETED
        assert_clean(cell, completed=6 if service == "model" else 2)

    run_cell(scenario)


def test_failed_attempts_are_retried_up_to_the_limit(run_cell):
    """Guards against lost work after a failure and against unlimited retries."""

    async def scenario(cell):
        good = await submit(cell, "good", fail_attempts=2)
        bad = await submit(cell, "bad", fail=True)
        assert await outcome(cell, good) is RunOutcome.COMPLETED
        assert await outcome(cell, bad) is RunOutcome.FAILED

    run_cell(scenario)


def test_cancellation_prevails_over_a_start_in_flight(run_cell):
    """Guards against a cancelled run that still completes or keeps running."""

    async def scenario(cell):
        run = await submit(cell, "a", run_s=5.0)
        view = await cell.operate("e00", CancelRun(run=run))
        assert view.unwrap().outcome is RunOutcome.CANCELLED
        await asyncio.sleep(10)
        executions = cell.ledger.record.executions
        assert not any(e.completed for e in executions)
        assert all(e.ended_s is not None for e in executions)

    run_cell(scenario)


def test_stop_ends_the_run_and_its_tasks(run_cell):
    """Guards against a stopped run whose tasks go on or that gets no outcome."""

    async def scenario(cell):
        run = await submit(cell, "a", run_s=None, stop_s=2.0)
        await asyncio.sleep(3)
        await cell.operate("e00", StopRun(run=run, grace_s=5.0))
        assert await outcome(cell, run) is RunOutcome.STOPPED
        ended = [e.ended_s for e in cell.ledger.record.executions]
        assert len(ended) == 2
        assert all(e is not None for e in ended)

    run_cell(scenario)


@pytest.mark.parametrize("service", ["pages", "model"])
def test_lost_worker_restarts_its_tasks_elsewhere(run_cell, service):
    """Guards against lost tasks, and against a gang of which only a part runs."""

    async def scenario(cell):
        run = await submit(cell, "a", service=service, run_s=20.0)
        await asyncio.sleep(3)
        busy = next(e.place for e in cell.ledger.record.executions)
        cell.lose_worker(busy)
        assert await outcome(cell, run) is RunOutcome.COMPLETED
        assert_clean(cell, completed=6 if service == "model" else 2)

    run_cell(scenario)


def test_unreachable_worker_is_not_replaced_before_its_lease_expires(run_cell):
    """Guards against a task that runs on two workers during a partition."""

    async def scenario(cell):
        run = await submit(cell, "a", run_s=20.0)
        await asyncio.sleep(3)
        busy = next(e.place for e in cell.ledger.record.executions)
        cell.partition(cell.processes, [busy])
        assert await outcome(cell, run) is RunOutcome.COMPLETED
        cell.heal()
        await asyncio.sleep(10)
        assert_clean(cell, completed=2)

    run_cell(scenario)


@pytest.mark.parametrize("failure", ["kill", "pause", "drain"])
def test_new_leader_adopts_running_tasks(run_cell, failure):
    """Guards against lost or duplicated runs after a change of leadership."""

    async def scenario(cell):
        runs = [await submit(cell, f"r{i}", run_s=10.0) for i in range(10)]
        await asyncio.sleep(2)
        (old,) = cell.leaders("dc0-0")
        if failure == "kill":
            await cell.kill(old.name)
        elif failure == "pause":
            await old.pause()
        else:
            await old.drain()
            del cell.processes[old.name]
        other = next(n for n in cell.data_centre_of if n != old.name)
        for run in runs:
            assert await outcome(cell, run, process=other) is RunOutcome.COMPLETED
        if failure == "pause":
            await old.resume()
            await asyncio.sleep(SETTLE_S)
        assert_clean(cell, completed=20)

    run_cell(scenario)


def test_store_outage_keeps_tasks_running_and_refuses_new_runs(run_cell):
    """Guards against tasks that a store outage stops and refused runs that start."""

    async def scenario(cell):
        run = await submit(cell, "a", run_s=10.0)
        await asyncio.sleep(2)
        cell.store.faults.down = True
        await asyncio.sleep(2)
        refused = await cell.submit("e01", "pages", "b", payload("b"))
        assert refused.is_err()
        await asyncio.sleep(30)
        cell.store.faults.down = False
        assert await outcome(cell, run) is RunOutcome.COMPLETED
        await asyncio.sleep(10)
        started = {e.work for e in cell.ledger.record.executions}
        if refused.unwrap_err().outcome.value == "not_run":
            assert not any(w.startswith("b/") for w in started)
        assert_clean(cell, completed=2)

    run_cell(scenario)


def test_state_of_a_run_is_visible_from_every_process(run_cell):
    """Guards against an operation that works only on the leader's process."""

    async def scenario(cell):
        run = await submit(cell, "a", run_s=30.0)
        await asyncio.sleep(2)
        for process in cell.processes:
            view = await cell.operate(process, WaitRun(run=run, wait_s=0.0))
            assert view.unwrap().state is RunState.RUNNING

    run_cell(scenario)


def test_tasks_within_their_reservations_are_not_preempted(run_cell):
    """Guards against preemption on a full worker whose tasks use what they reserve."""

    async def scenario(cell):
        run = await submit(cell, "a", run_s=20.0, memory_mb=8000)
        view = await cell.operate("e01", WaitRun(run=run, wait_s=0.0))
        await asyncio.sleep(2)
        view = await cell.operate("e01", WaitRun(run=run, wait_s=0.0))
        worker = view.unwrap().tasks[0].worker
        (leader,) = cell.leaders("dc0-0")
        shard = leader.context.plugins["shards"].leaders["dc0-0"]
        usage = Usage(cpu_milli=64_000, memory_mb=256_000)
        usage_by_task = {f"{run}/0": Usage(cpu_milli=4000, memory_mb=8000)}
        shard.placer.observe(worker, usage, usage_by_task, shard.clock.now())
        assert await outcome(cell, run) is RunOutcome.COMPLETED
        attempts = [e.attempt for e in cell.ledger.record.executions]
        assert attempts == [1, 1]

    run_cell(scenario)


def test_outage_and_quarantine_are_on_the_timeline(run_cell):
    """Guards against outages and quarantines that operators cannot see."""

    async def scenario(cell):
        bad = "dc0-w000"
        cell.workers[bad].set_faults(fails_starts=True)
        # Failures of a single service are not sufficient to quarantine a worker.
        services = [("pages", "model")[i % 2] for i in range(30)]
        runs = [
            await submit(cell, f"r{i}", service=service, run_s=2.0)
            for i, service in enumerate(services)
        ]
        for run in runs:
            assert await outcome(cell, run) is RunOutcome.COMPLETED
        await submit(cell, "last", run_s=5.0)
        cell.store.faults.down = True
        await asyncio.sleep(10)
        cell.store.faults.down = False
        await asyncio.sleep(10)
        (leader,) = cell.leaders("dc0-0")
        events = leader.context.events.events
        assert any(
            e.kind is EventKind.WORKER_QUARANTINED and e.vm == bad for e in events
        )
        kinds = [e.kind for e in events]
        assert kinds.index(EventKind.STORE_DOWN) < kinds.index(EventKind.STORE_UP)

    run_cell(scenario)
