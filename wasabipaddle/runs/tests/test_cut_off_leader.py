"""Tests of a leader and its successor on the two sides of a cut."""

import asyncio
import json

from wasabipaddle.clock import run_virtual
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.messages import RunOutcome, WaitRun
from wasabipaddle.standins import compute_verdict

SETTLE_S = 6.0
SHARD = "dc0-0"
RUN_S = 100.0
POLL_S = 9.0  # a poll of the leader has timed out by then
CUT_S = 70.0  # more than three task leases
DOCUMENT = """\
service: pages
team: t
kind: batch
needs: {cpu: 40, memory: 8GB}
placement: {data_centres: [dc0]}
quota: {resources: {cpu: 400, memory: 800GB}}
run: {tasks: 1, max_attempts: 5}
"""


async def submit(cell, key):
    """Submit a run of one task that needs most of a worker, and return its id."""
    use = {"cpu_milli": 40_000, "memory_mb": 8000}
    payload = json.dumps({"work": key, "run_s": RUN_S, **use})
    result = await cell.submit("e01", "pages", key, payload)
    cell.ledger.accept(f"{key}/0")
    return result.unwrap().run


def test_both_sides_of_a_cut_wait_for_each_other():
    """Guards against tasks that one side starts again while the other extends them.

    The leader loses a worker whose leases its successor extends, and the successor
    can't reach a worker whose leases the cut-off leader extends, for longer than a
    lease. The leader also has an idle worker.
    """

    async def main():
        size = CellSize(entries=4, data_centres=2, workers=3, endpoints=2)
        cell = WholeCell(size=size)
        await cell.write_document(DOCUMENT, "pages")
        await cell.start()
        await asyncio.sleep(SETTLE_S)
        runs = [await submit(cell, key) for key in ("a", "b")]
        await asyncio.sleep(1.0)
        first, second = (e.place for e in cell.ledger.record.executions)
        assert first != second
        (process,) = cell.leaders(SHARD)
        old = process.name
        others = [n for n in cell.processes if n != old]
        cell.partition([old], [first])
        await asyncio.sleep(POLL_S)
        cell.cut([old], others)
        cell.set_store_partition([old], True)
        cell.partition(others, [w for w in cell.workers if w != first])
        await asyncio.sleep(CUT_S)
        assert len(cell.leaders(SHARD)) == 2
        assert len(cell.ledger.record.executions) == 2
        cell.heal()
        for run in runs:
            view = await cell.operate("e01", WaitRun(run=run, wait_s=50.0))
            assert view.unwrap().outcome is RunOutcome.COMPLETED
        verdict = compute_verdict(cell.ledger.record)
        assert verdict.clean, verdict

    run_virtual(main())
