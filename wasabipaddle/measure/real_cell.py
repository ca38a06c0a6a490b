"""Cell of real processes on stand-ins, for measures that depend on the machine."""

import asyncio
import contextlib
import itertools
import pathlib
import tempfile

import attrs

from wasabipaddle.jobs import JobSpec
from wasabipaddle.platform.client import JobCaller
from wasabipaddle.soak.cell import CellProcesses, callers_address
from wasabipaddle.soak.keys import SoakKeys
from wasabipaddle.soak.ledger import JobRecord
from wasabipaddle.soak.platform import SoakPlatform
from wasabipaddle.soak.queues import QUEUES
from wasabipaddle.standins.runners import TaskBehaviour

__all__ = ["RealCell", "open_cell"]

CALL_TIMEOUT_S = 3.0
ACCEPT_LIMIT_S = 60.0
POLL_S = 0.02


@attrs.define(kw_only=True, eq=False)
class RealCell:
    """Processes, stand-ins and a caller.

    Parameters
    ----------
    ledger : SoakLedger
        Record of the runs on all runners.
    platform : SoakPlatform
        Store, runners and eligibility service.
    processes : CellProcesses
        Processes of the cell.
    caller : JobCaller
        Calls of the caller.
    """

    ledger: object
    platform: SoakPlatform
    processes: CellProcesses
    caller: JobCaller = attrs.field(factory=lambda: JobCaller(wait_s=CALL_TIMEOUT_S))
    numbers: object = attrs.field(factory=lambda: itertools.count(1))

    def find_queue(self, name):
        """Return a queue of the first configuration."""
        return next(queue for queue in QUEUES if queue.name == name)

    def addresses(self):
        """Return the addresses at which callers reach the processes."""
        return [callers_address(self.platform, p) for p in self.platform.processes]

    async def call(self, method, record, *args):
        """Make a call, again at another process until it succeeds."""
        addresses = itertools.cycle(self.addresses())
        async with asyncio.timeout(ACCEPT_LIMIT_S):
            while True:
                result = await method(next(addresses), record.queue, record.id, *args)
                if 200 <= result.status < 300:
                    return
                await asyncio.sleep(POLL_S)

    async def submit(self, queue, step, work_s) -> JobRecord:
        """Submit a job of one step whose tasks take `work_s`."""
        record = JobRecord(
            id=f"{next(self.numbers):016x}",
            queue=self.find_queue(queue),
            spec=JobSpec(payload="p", steps=(step,)),
            behaviours=(TaskBehaviour(work_s=work_s),),
        )
        self.ledger.jobs[record.id] = record
        await self.call(self.caller.submit, record, record.spec)
        return record

    async def wait(self, condition, limit_s) -> float:
        """Wait for a condition; return the time that it took, at most the limit."""
        began_s = self.ledger.now()
        while not condition():
            if self.ledger.now() - began_s >= limit_s:
                return limit_s
            await asyncio.sleep(POLL_S)
        return self.ledger.now() - began_s


@contextlib.asynccontextmanager
async def open_cell(*, make_ledger, processes, runners, seed, **options):
    """Start a cell of processes named p0, p1 and so on, and end it afterwards.

    Parameters
    ----------
    make_ledger : callable
        Returns the `SoakLedger` of the cell.
    processes, runners : int
        Number of processes and runners.
    **options
        Keyword arguments of `SoakPlatform`.
    """
    ledger = make_ledger()
    platform = SoakPlatform(
        ledger=ledger,
        processes=[f"p{n}" for n in range(processes)],
        runner_count=runners,
        seed=seed,
        keys=SoakKeys(names=()),
        **options,
    )
    with tempfile.TemporaryDirectory(prefix="wasabipaddle-measure-") as directory:
        cell = RealCell(
            ledger=ledger,
            platform=platform,
            processes=CellProcesses(
                platform=platform, directory=pathlib.Path(directory), ledger=ledger
            ),
        )
        await platform.start()
        try:
            await cell.processes.start(cell.caller)
            yield cell
        finally:
            await cell.caller.close()
            await cell.processes.close()
            await platform.close()
