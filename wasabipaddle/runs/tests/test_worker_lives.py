"""Tests of a shard leader whose workers restart or answer out of order."""

import asyncio
import json

import attrs
import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.interfaces import WorkerClient
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.messages import RunOutcome, WaitRun
from wasabipaddle.standins import compute_verdict

SETTLE_S = 6.0
WORKERS = ("dc0-w000", "dc0-w001")
# Of the two workers, each has room for one task.
DOCUMENT = """\
service: pages
team: t
kind: batch
needs: {cpu: 40, memory: 8GB}
placement: {data_centres: [dc0]}
quota: {resources: {cpu: 400, memory: 800GB}}
run: {tasks: 1, max_attempts: 5}
"""
MANY_TASKS = """\
service: many
team: t
kind: batch
needs: {cpu: 1, memory: 1GB}
placement: {data_centres: [dc0]}
quota: {resources: {cpu: 400, memory: 800GB}}
run: {tasks: 12, max_attempts: 5}
"""


@attrs.define(kw_only=True, eq=False)
class _Worker(WorkerClient):
    """Client of a worker that has a clock of its own and a slow way back."""

    cell: object
    inner: WorkerClient

    async def sync(self, command):
        """Send one batch of commands."""
        if command.lease_base_s is not None:
            base_s = command.lease_base_s - self.cell.clock_ahead_s
            command = attrs.evolve(command, lease_base_s=base_s)
        result = await self.inner.sync(command)
        ahead_s = self.cell.clock_ahead_s
        result = result.map(lambda r: attrs.evolve(r, clock_s=r.clock_s + ahead_s))
        if not command.starts:
            await asyncio.sleep(self.cell.poll_delay_s)
        return result


class _Cell(WholeCell):
    """Cell with two workers per data centre.

    Attributes
    ----------
    clock_ahead_s : float
        Time by which the workers' clocks are ahead of that of the loop.
    poll_delay_s : float
        Time for which the answer to a call without starts is under way.
    """

    def __init__(self):
        self.clock_ahead_s = 0.0
        self.poll_delay_s = 0.0
        size = CellSize(entries=4, data_centres=2, workers=2, endpoints=2)
        super().__init__(size=size)

    def worker_client(self, process, vm):
        """Return the client of a worker for one process."""
        return _Worker(cell=self, inner=super().worker_client(process, vm))

    def restart_workers(self, *workers):
        """Replace workers by new ones without tasks before the VM list shows it."""
        for worker in workers:
            self.workers[worker].set_faults(gone=True)
            self.workers[worker].set_faults(gone=False)

    async def submit_task(self, key, run_s, process="e01"):
        """Submit a run of one task and return its id."""
        use = {"cpu_milli": 40_000, "memory_mb": 8000}
        payload = json.dumps({"work": key, "run_s": run_s, **use})
        result = await self.submit(process, "pages", key, payload)
        self.ledger.accept(f"{key}/0")
        return result.unwrap().run

    async def outcome(self, run, process="e01"):
        """Wait for the end of a run and return its outcome."""
        view = await self.operate(process, WaitRun(run=run, wait_s=50.0))
        return view.unwrap().outcome


@pytest.fixture
def run_cell():
    """Return a function that runs a scenario on a small cell."""

    def run(scenario, *, clock_ahead_s=0.0):
        async def main():
            cell = _Cell()
            cell.clock_ahead_s = clock_ahead_s
            await cell.write_document(DOCUMENT, "pages")
            await cell.start()
            await asyncio.sleep(SETTLE_S)
            await scenario(cell)

        run_virtual(main())

    return run


def test_inventory_from_before_a_start_does_not_end_the_attempt(run_cell):
    """Guards against a second attempt for a task that an older inventory lacks.

    After an unnoticed restart of a worker, every answer holds its whole inventory. The
    one that is under way when a start is confirmed does not contain the task.
    """

    async def scenario(cell):
        for n in range(8):
            await cell.outcome(await cell.submit_task(f"early{n}", 0.2))
        cell.restart_workers(*WORKERS)
        await asyncio.sleep(20.0)
        cell.poll_delay_s = 1.0
        runs = [await cell.submit_task(f"short{n}", 3.0) for n in range(2)]
        ends = [e.started_s + 3.0 for e in cell.ledger.record.executions[-2:]]
        await asyncio.sleep(max(ends) - asyncio.get_running_loop().time() + 0.1)
        runs.append(await cell.submit_task("long", 10.0))
        for run in runs:
            assert await cell.outcome(run) is RunOutcome.COMPLETED
        attempts = [e.attempt for e in cell.ledger.record.executions[-3:]]
        assert attempts == [1, 1, 1]
        verdict = compute_verdict(cell.ledger.record)
        assert verdict.clean, verdict

    run_cell(scenario)


def test_task_that_ends_after_an_unnoticed_restart_is_reported(run_cell):
    """Guards against a run without an outcome after a restart of its worker.

    The restarted worker counts its versions from 0 again. A change that gets the
    version up to which the leader had seen the earlier process must not be skipped.
    """

    async def scenario(cell):
        for n in range(8):
            await cell.outcome(await cell.submit_task(f"early{n}", 0.2))
        cell.restart_workers(*WORKERS)
        await asyncio.sleep(20.0)
        for n in range(12):
            run = await cell.submit_task(f"late{n}", 0.2)
            assert await cell.outcome(run) is RunOutcome.COMPLETED

    run_cell(scenario)


@pytest.mark.parametrize("clock", ["restarted", "stood still"])
def test_lease_that_a_clock_set_back_prolongs_is_waited_for(run_cell, clock):
    """Guards against a second run while a lease counts from a reading in the future.

    The clock of the worker restarts, or stands still, after its last reading. A lease
    that counts from the leader's estimate then ends later than the leader assumes.
    """

    async def scenario(cell):
        if clock == "restarted":
            cell.restart_workers(*WORKERS)
            cell.clock_ahead_s = 0.0
        else:
            cell.clock_ahead_s -= 5.0
        run = await cell.submit_task("a", 60.0)
        await asyncio.sleep(0.3)
        (execution,) = cell.ledger.record.executions
        cell.workers[execution.place].set_faults(silent=True)
        await asyncio.sleep(70.0)
        cell.workers[execution.place].set_faults(silent=False)
        assert await cell.outcome(run) is RunOutcome.COMPLETED
        verdict = compute_verdict(cell.ledger.record)
        assert verdict.clean, verdict

    run_cell(scenario, clock_ahead_s=1000.0)


def test_restart_of_a_worker_during_many_starts_is_noticed(run_cell):
    """Guards against a lost task of a worker whose restart shows in no version.

    The new process makes more changes than the earlier one before its first answer.
    """

    async def scenario(cell):
        cell.partition(cell.processes, ["dc0-w001"])
        await asyncio.sleep(30.0)
        await cell.write_document(MANY_TASKS, "many")
        run = await cell.submit_task("a", 40.0)
        await asyncio.sleep(10.0)
        cell.restart_workers("dc0-w000")
        await cell.submit("e01", "many", "b", json.dumps({"work": "b", "run_s": 5.0}))
        await asyncio.sleep(80.0)
        assert await cell.outcome(run) is RunOutcome.COMPLETED

    run_cell(scenario)
