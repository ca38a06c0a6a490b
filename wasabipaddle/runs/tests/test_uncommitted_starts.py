"""Tests of starts that a leader sends while it can't write its journal."""

import asyncio
import json

import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.interfaces import VmStatus
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.standins import compute_verdict

SETTLE_S = 6.0
SHARD = "dc0-0"
DOCUMENT = """\
service: pages
team: t
kind: batch
needs: {cpu: 4, memory: 8GB}
placement: {data_centres: [dc0]}
quota: {resources: {cpu: 400, memory: 800GB}}
run: {tasks: 1, max_attempts: 5}
"""


@pytest.fixture
def run_cell():
    """Return a function that runs a scenario on a small cell."""

    def run(scenario):
        async def main():
            size = CellSize(entries=4, data_centres=2, workers=2, endpoints=2)
            cell = WholeCell(size=size)
            await cell.write_document(DOCUMENT, "pages")
            await cell.start()
            await asyncio.sleep(SETTLE_S)
            await scenario(cell)

        run_virtual(main())

    return run


async def submit(cell, process, key, run_s):
    payload = json.dumps({"work": key, "run_s": run_s})
    result = await cell.submit(process, "pages", key, payload)
    cell.ledger.accept(f"{key}/0")
    return result.unwrap().run


def cut_off_leader(cell, old):
    """Cut the leader off from the store and from all other processes."""
    cell.cut([old], [n for n in cell.processes if n != old])
    cell.set_store_partition([old], True)


async def assert_one_place(cell, old, *, listed):
    """Replace the idle worker, and check that nothing runs on it under `old`."""
    (execution,) = cell.ledger.record.executions
    assert execution.place == "dc0-w000"
    worker = "dc0-w001"
    cell.partition([p for p in cell.processes if p != old], [worker])
    cell.workers[worker].set_faults(gone=True)
    if listed:
        cell.vms.set_status(worker, VmStatus.GONE)
        await asyncio.sleep(20.0)
        cell.vms.set_status(worker, VmStatus.LIVE)
    cell.workers[worker].set_faults(gone=False)
    cell.partition([old], [worker], partitioned=False)
    await asyncio.sleep(30.0)
    verdict = compute_verdict(cell.ledger.record)
    assert verdict.two_places == 0, cell.ledger.record.executions


@pytest.mark.parametrize("listed", [True, False])
def test_replaced_leader_starts_no_queued_run_on_a_new_worker(run_cell, listed):
    """Guards against a run that the earlier and the new leader both start.

    A worker that comes back without its state doesn't know the new epoch. Until the
    new leader calls it, it accepts a start of the earlier leader, which is cut off from
    the store and sends starts that its journal doesn't contain.
    """

    async def scenario(cell):
        (process,) = cell.leaders(SHARD)
        old = process.name
        cell.partition([old], cell.workers)
        await asyncio.sleep(10.0)
        await submit(cell, old, "a", 120.0)
        cut_off_leader(cell, old)
        await asyncio.sleep(40.0)
        await assert_one_place(cell, old, listed=listed)

    run_cell(scenario)


def test_replaced_leader_repeats_no_start_on_a_restarted_worker(run_cell):
    """Guards against a start that arrives after the new leader found the task missing.

    The start is in the journal, but no call to the worker succeeded before the new
    leader read its inventory.
    """

    async def scenario(cell):
        (process,) = cell.leaders(SHARD)
        old = process.name
        cell.partition([old], ["dc0-w000"])
        await asyncio.sleep(10.0)
        cell.workers["dc0-w001"].set_faults(silent=True)
        await submit(cell, old, "a", 120.0)
        await asyncio.sleep(1.0)
        cut_off_leader(cell, old)
        await asyncio.sleep(8.0)
        cell.partition([old], ["dc0-w001"])
        cell.workers["dc0-w001"].set_faults(silent=False)
        await asyncio.sleep(3.0)
        await assert_one_place(cell, old, listed=False)

    run_cell(scenario)
