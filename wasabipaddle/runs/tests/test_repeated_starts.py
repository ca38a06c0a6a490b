"""Tests of starts that reach a worker more than once."""

import asyncio
import json

import attrs
import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import WorkerClient
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.messages import RunOutcome, WaitRun
from wasabipaddle.standins import compute_verdict
from wasabipaddle.standins.exchange import call_later, fail

SETTLE_S = 6.0
TIMEOUT_S = 1.0
DELAY_S = 10.0
DOCUMENT = """\
service: pages
team: t
kind: batch
needs: {cpu: 4, memory: 8GB}
placement: {data_centres: [dc0]}
quota: {resources: {cpu: 400, memory: 800GB}}
run: {tasks: 1, max_attempts: 5}
"""


@attrs.define(kw_only=True, eq=False)
class _Worker(WorkerClient):
    """Client of a worker whose first start is under way for `DELAY_S`.

    If the cell's `overtakes` is true, it arrives directly after the first refusal.
    """

    cell: object
    inner: WorkerClient

    async def sync(self, command):
        """Send one batch of commands."""
        cell, worker = self.cell, self.inner.worker
        if not command.starts:
            return await self.inner.sync(command)
        if cell.delayed is not None:
            result = await self.inner.sync(command)
            if cell.overtakes and result.unwrap().refusals:
                worker.leave(False)
                cell.arrive()
            return result
        cell.delayed = worker
        answer = asyncio.get_running_loop().create_future()
        cell.arrive = lambda: worker.arrive(command, answer)
        if not cell.overtakes:
            call_later(DELAY_S, cell.arrive)
        await asyncio.sleep(TIMEOUT_S)
        return fail(ErrorKind.TIMEOUT, "no answer in time")


class _Cell(WholeCell):
    """Cell in which the first start is delayed, by the worker in `delayed`."""

    def __init__(self, *, overtakes):
        self.delayed = None
        self.arrive = None
        self.overtakes = overtakes
        size = CellSize(entries=4, data_centres=2, workers=2, endpoints=2)
        super().__init__(size=size)

    def worker_client(self, process, vm):
        """Return the client of a worker for one process."""
        return _Worker(cell=self, inner=super().worker_client(process, vm))


@pytest.mark.parametrize("overtakes", [False, True])
def test_refusal_of_a_repeated_start_is_not_final(overtakes):
    """Guards against a second attempt while the first start is still under way.

    The start times out and is repeated. The worker refuses the repeated one, and could
    still accept the one that is under way.
    """

    async def main():
        cell = _Cell(overtakes=overtakes)
        await cell.write_document(DOCUMENT, "pages")
        await cell.start()
        await asyncio.sleep(SETTLE_S)
        payload = json.dumps({"work": "a", "run_s": 10.0})
        result = await cell.submit("e01", "pages", "a", payload)
        cell.ledger.accept("a/0")
        await asyncio.sleep(0.5)
        cell.delayed.leave()
        await asyncio.sleep(DELAY_S - 1.0)
        cell.delayed.leave(False)
        wait = WaitRun(run=result.unwrap().run, wait_s=50.0)
        view = (await cell.operate("e01", wait)).unwrap()
        assert view.outcome is RunOutcome.COMPLETED
        verdict = compute_verdict(cell.ledger.record)
        assert verdict.clean, cell.ledger.record.executions

    run_virtual(main())
