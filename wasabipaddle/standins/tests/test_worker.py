"""Tests of the in-memory worker."""

import asyncio

import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.documents import Resources
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import TaskOrder, TaskOutcome, TaskPhase
from wasabipaddle.standins import compute_verdict
from wasabipaddle.standins.tests.conftest import make_start, make_sync

ORDER = TaskOrder(task="r/0", attempt=1, grace_s=5.0)


async def sync(worker, *starts, **fields):
    return (await worker.sync(make_sync(*starts, **fields))).unwrap()


def outcomes(report):
    return {t.task: t.outcome for t in report.tasks}


def test_task_completes_and_is_kept_until_acknowledged(worker):
    """Guards against losing the end of a task if its first report is lost."""

    async def main():
        first = await sync(worker, make_start(run_s=2, answer="42"))
        assert first.tasks[0].phase is TaskPhase.RUNNING
        later = await sync(worker, seen_version=first.version, wait_s=9)
        assert later.tasks[0].answer == "42"
        assert outcomes(await sync(worker)) == {"r/0": TaskOutcome.COMPLETED}
        gone = await sync(worker, acknowledgements=(ORDER,))
        assert gone.whole and gone.tasks == ()

    run_virtual(main())


def test_refusals(worker):
    """Guards against overcommitment, repeated attempts and outdated leaders."""

    async def main():
        big = make_start("r/1", needs=Resources(cpu_milli=5000))
        report = await sync(worker, make_start(), big, epoch=2)
        assert [(r.task, r.kind) for r in report.refusals] == [
            ("r/1", ErrorKind.NO_CAPACITY)
        ]
        old = await worker.sync(make_sync(epoch=1))
        assert old.unwrap_err().kind is ErrorKind.STALE_EPOCH
        again = await sync(worker, make_start(), epoch=2)
        assert again.refusals == () and len(again.tasks) == 1
        await asyncio.sleep(2)
        await sync(worker, epoch=2, acknowledgements=(ORDER,))
        seen = await sync(worker, make_start(), epoch=2)
        assert seen.refusals[0].kind is ErrorKind.CONFLICT
        early = await sync(worker, epoch=2, stops=(TaskOrder(task="r/9", attempt=1),))
        assert early.refusals == ()
        late = await sync(worker, make_start("r/9"), epoch=2)
        assert late.refusals[0].kind is ErrorKind.CONFLICT

    run_virtual(main())


def test_lease_expires_by_the_clock_of_the_worker(worker, ledger):
    """Guards against a task that outlives its lease, also during a pause."""

    async def main():
        start = asyncio.get_running_loop().time()
        await sync(
            worker, make_start(run_s=None), make_start("r/1", run_s=4), lease_s=3
        )
        worker.set_faults(paused=True)
        await asyncio.sleep(9)
        assert ledger.record.executions[0].ended_s is None
        worker.set_faults(paused=False)
        report = await sync(worker)
        assert set(outcomes(report).values()) == {TaskOutcome.LEASE_EXPIRED}
        ends = {e.ended_s - start for e in ledger.record.executions}
        assert all(3 <= e < 3.1 for e in ends)

    run_virtual(main())


def test_lease_base_bounds_a_delayed_renewal(worker):
    """Guards against a delayed renewal that lasts longer than the leader assumes."""

    async def main():
        first = await sync(worker, make_start(run_s=None), lease_s=3)
        worker.faults.extra_latency_s = 4.0
        late = worker.client(timeout_s=9).sync(
            make_sync(lease_s=3, lease_base_s=first.clock_s)
        )
        # Sent at 0 s, received at 2 s, answered at 4 s. A lease that began with the
        # receipt would last until 5 s.
        assert (await late).is_ok()
        worker.faults.extra_latency_s = 0.0
        report = await sync(worker, lease_s=0)
        assert outcomes(report) == {"r/0": TaskOutcome.LEASE_EXPIRED}

    run_virtual(main())


def test_higher_epoch_ends_a_waiting_call(worker):
    """Guards against a call of the old leader that keeps waiting after a takeover."""

    async def main():
        report = await sync(worker)
        wait = make_sync(seen_version=report.version, wait_s=5)
        old = asyncio.create_task(worker.sync(wait))
        await asyncio.sleep(1)
        await sync(worker, epoch=2)
        assert (await old).unwrap_err().kind is ErrorKind.STALE_EPOCH

    run_virtual(main())


def test_stop_checkpoint_and_throttle(worker):
    """Guards against lost progress and against throttling that undoes a stop."""

    async def main():
        await sync(worker, make_start(run_s=10), make_start("r/1", run_s=10))
        await asyncio.sleep(4)
        slow = await sync(worker, throttles=(ORDER,))
        assert slow.tasks[0].phase is TaskPhase.THROTTLED
        await asyncio.sleep(2)
        await sync(worker, checkpoints=(ORDER,))
        stop = TaskOrder(task="r/1", attempt=1, grace_s=5)
        await sync(worker, stops=(stop,), throttles=(stop,))
        await asyncio.sleep(1)
        report = await sync(worker)
        assert outcomes(report) == {
            "r/0": TaskOutcome.CHECKPOINTED,
            "r/1": TaskOutcome.STOPPED,
        }
        saved = next(t.checkpoint for t in report.tasks if t.checkpoint)
        again = make_start(attempt=2, run_s=10, checkpoint=saved)
        await sync(worker, again, acknowledgements=(ORDER,))
        await asyncio.sleep(4.8)
        assert outcomes(await sync(worker))["r/0"] is None
        await asyncio.sleep(0.2)
        assert outcomes(await sync(worker))["r/0"] is TaskOutcome.COMPLETED

    run_virtual(main())


def test_usage_lags_and_pressure_is_recorded(worker, ledger):
    """Guards against usage that is reported before `usage_lag_s` has passed."""

    async def main():
        start = make_start(run_s=None, cpu_milli=300, memory_mb=9000)
        first = await sync(worker, start, lease_s=60)
        assert first.usage.cpu_milli == first.tasks[0].usage.cpu_milli == 0
        later = await sync(worker, seen_version=first.version, wait_s=9)
        assert later.usage.cpu_milli == later.tasks[0].usage.cpu_milli == 300
        assert ledger.record.pressured == {"w1"}

    run_virtual(main())


@pytest.mark.parametrize(
    ("fault", "kind", "runs"),
    [
        ({"unreachable": True}, ErrorKind.UNREACHABLE, False),
        ({"gone": True}, ErrorKind.UNREACHABLE, False),
        ({"silent": True}, ErrorKind.TIMEOUT, False),
        ({"paused": True}, ErrorKind.TIMEOUT, True),
        ({"lost_answer": 1.0}, ErrorKind.TIMEOUT, True),
    ],
)
def test_faults(worker, ledger, fault, kind, runs):
    """Guards against a fault whose reported failure contradicts its effect."""

    async def main():
        worker.set_faults(**fault)
        result = await worker.sync(make_sync(make_start()))
        assert result.unwrap_err().kind is kind
        worker.set_faults(**{name: type(v)(0) for name, v in fault.items()})
        await asyncio.sleep(5)
        assert len(ledger.record.executions) == runs

    run_virtual(main())


def test_worker_that_fails_every_start(worker):
    """Guards against a fault `fails_starts` without an effect on started tasks."""

    async def main():
        worker.set_faults(fails_starts=True)
        await sync(worker, make_start(run_s=None))
        await asyncio.sleep(1)
        assert outcomes(await sync(worker)) == {"r/0": TaskOutcome.FAILED}

    run_virtual(main())


def test_vm_gone_loses_tasks_and_unacknowledged_results(worker, ledger):
    """Guards against counting a completed result that was lost with its VM."""

    async def main():
        ledger.accept("r/0")
        ledger.accept("r/1")
        await sync(worker, make_start(run_s=1), make_start("r/1", run_s=9))
        await asyncio.sleep(2)
        worker.set_faults(gone=True)
        verdict = compute_verdict(ledger.record)
        assert (verdict.lost, verdict.completed) == (2, 0)
        worker.set_faults(gone=False)
        report = await sync(worker, seen_version=4)
        assert report.whole and report.tasks == ()

    run_virtual(main())


def test_end_counts_as_reported_only_when_an_answer_arrives(worker, ledger):
    """Guards against recording an end as reported although its answer was lost."""

    async def main():
        await sync(worker, make_start(run_s=1))
        await asyncio.sleep(2)
        (execution,) = ledger.record.executions
        worker.set_faults(lost_answer=1.0)
        await worker.sync(make_sync())
        assert not execution.reported
        worker.set_faults(lost_answer=0.0)
        await sync(worker)
        assert execution.reported

    run_virtual(main())
