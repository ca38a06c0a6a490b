"""Tests of starts that a leader sends while it can't write its journal."""

import asyncio
import json

import pytest
from result import Err

from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import VmList, VmRole, VmStatus
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.standins import MemoryWorker, compute_verdict

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


def add_worker(cell, name):
    """Add a worker that the VM list shows at once."""
    capacity = cell.size.worker
    worker = MemoryWorker(name=name, capacity=capacity, ledger=cell.ledger)
    cell.workers[name] = worker
    cell._add_vm_entry(name, VmRole.WORKER, "dc0", "dc0-r0", resources=capacity)


async def replace_vm_list(process, vms):
    """Let a process read another VM list from now on."""
    plugins = process.context.plugins
    await plugins["fleet"].stop()
    plugins["platform"].vms = vms
    await process.run(plugins["fleet"].start())


class _FailingVmList(VmList):
    """VM list that one process can't read."""

    async def read(self, *, data_centre=None):
        """Return an error."""
        return Err(Failure(kind=ErrorKind.UNREACHABLE, detail="cut off"))


def test_new_leader_waits_for_a_vm_list_of_its_term(run_cell):
    """Guards against a second start of a run that began on a worker not yet listed.

    The earlier leader starts a run without a journal record on a worker that the new
    leader, which has an older VM list, doesn't know.
    """

    async def scenario(cell):
        (process,) = cell.leaders(SHARD)
        old = process.name
        (new,) = (n for n, c in cell.data_centre_of.items() if c == "dc0" and n != old)
        await replace_vm_list(cell.processes[new], _FailingVmList())
        add_worker(cell, "dc0-w002")
        cell.partition([old], ["dc0-w000", "dc0-w001"])
        await asyncio.sleep(10.0)
        await submit(cell, old, "a", 60.0)
        cut_off_leader(cell, old)
        await asyncio.sleep(15.0)
        await replace_vm_list(cell.processes[new], cell.vms)
        await asyncio.sleep(15.0)
        cell.heal()
        await asyncio.sleep(60.0)
        verdict = compute_verdict(cell.ledger.record)
        assert verdict.clean, verdict

    run_cell(scenario)
