"""Measure `calls`: processor time of a cell process for the usual calls of callers."""

import asyncio
import contextlib
import itertools
import pathlib
import statistics
import tempfile
import time

import attrs
import yaml

import wasabipaddle
from wasabipaddle.demo.processes import spawn_process
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import CellConfiguration, JobSpec, Pool, Queue, StepSpec
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.platform.client import JobCaller, encode_configuration
from wasabipaddle.platform.server import store_routes
from wasabipaddle.standins.listener import Listener, reserve_port
from wasabipaddle.standins.transactions import MemoryTransactions, TransactionsClient

__all__ = ["CallsMeasure"]

HOST = "127.0.0.1"
QUEUE = Queue(name="q", host="q.example", prefix="/q/", pool="pool")
JOB = JobSpec(payload="x" * 200, steps=(StepSpec(count=1, cpu=100, memory_mb=10),))
FIRST_JOB = "0" * 16
KINDS = ("submit", "phase", "waiting")
PAIRS = 9
QUICK_PAIRS = 2
# Calls of each kind in a batch, so that batches of all kinds take a similar time.
CALLS = {"submit": 80, "phase": 640, "waiting": 640}
QUICK_SHARE = 4
# Callers at once, each on a connection of its own.
CALLERS = 8
# Order in which the two processes of a pair get their batches, so that a drift of the
# machine affects both alike.
ORDER = (0, 1, 1, 0) * 4
START_LIMIT_S = 30.0
CALL_LIMIT_S = 30.0
POLL_S = 0.05
US_PER_S = 1_000_000
# Linux numbers the processor clock of a process by its id and this kind of clock; the
# ticks in /proc are too coarse for a batch.
PROCESS_CLOCK = 2
STATUS_OK = 200


@attrs.define(kw_only=True, eq=False)
class _Process:
    """Cell process of one checkout, its store, and its callers.

    Parameters
    ----------
    checkout : str
        Directory whose package the process runs.
    directory : pathlib.Path
        Settings and log of the process.
    """

    checkout: str
    directory: pathlib.Path
    numbers: object = attrs.field(factory=lambda: itertools.count(1))
    child: object = None
    store: object = None
    holders: list = attrs.field(factory=list)
    caller: JobCaller = attrs.field(factory=lambda: JobCaller(wait_s=CALL_LIMIT_S))
    address: str = ""

    async def start(self):
        """Start the store and the process, connect, and submit a first job."""
        memory = MemoryTransactions()
        configuration = CellConfiguration(
            version=1, queues=(QUEUE,), pools={QUEUE.pool: Pool(name=QUEUE.pool)}
        )
        key, value = encode_configuration(configuration)
        memory.apply((), (Put(key=key, value=value),), ())
        store = TransactionsClient(memory=memory, client="p0")
        self.store = Listener(routes=store_routes(store), host=HOST)
        await self.store.start()
        self.holders = [reserve_port(HOST) for _ in range(3)]
        self.address, readiness, internal = (
            f"{HOST}:{holder.getsockname()[1]}" for holder in self.holders
        )
        settings = {
            "process": "p0",
            "data_centre": "a",
            "region": "r",
            "callers": self.address,
            "readiness": readiness,
            "internal": internal,
            "platform": {"store": f"{HOST}:{self.store.port}"},
        }
        path = self.directory / "p0.yaml"
        path.write_text(yaml.safe_dump(settings))
        log_path = self.directory / "p0.log"
        self.child = await spawn_process(log_path, "cell", path, checkout=self.checkout)
        async with asyncio.timeout(START_LIMIT_S):
            while not await self._is_led(readiness):
                await asyncio.sleep(POLL_S)
        await self._submit(FIRST_JOB)
        for kind in KINDS:
            await self.play(kind, CALLERS)

    async def _is_led(self, readiness) -> bool:
        """Return whether the process is ready and its dispatcher answers."""
        if not await self.caller.is_ready(readiness):
            return False
        result = await self.caller.count_waiting(self.address, QUEUE)
        return result.status == STATUS_OK

    async def play(self, kind, calls) -> float:
        """Make calls of one kind, `CALLERS` at a time.

        Returns
        -------
        float
            Processor time of one call, or of a submission and its cancellation, in
            microseconds.
        """
        call = {
            "submit": self._submit_and_cancel,
            "phase": self._find_phase,
            "waiting": self._count_waiting,
        }[kind]
        began_s = self.processor_s()
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(_repeat(call, calls // CALLERS))
        return (self.processor_s() - began_s) / calls * US_PER_S

    async def _submit(self, job):
        _check(await self.caller.submit(self.address, QUEUE, job, JOB))

    async def _submit_and_cancel(self):
        """Submit a job and cancel it, so that the number of jobs does not grow."""
        job = f"{next(self.numbers):016x}"
        await self._submit(job)
        _check(await self.caller.cancel(self.address, QUEUE, job))

    async def _find_phase(self):
        _check(await self.caller.find_phase(self.address, QUEUE, FIRST_JOB))

    async def _count_waiting(self):
        _check(await self.caller.count_waiting(self.address, QUEUE))

    def processor_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        return time.clock_gettime(~self.child.pid << 3 | PROCESS_CLOCK)

    async def close(self):
        """Close the connections, and kill the process."""
        await self.caller.close()
        if self.child is not None:
            with contextlib.suppress(ProcessLookupError):
                self.child.kill()
            await self.child.wait()
        if self.store is not None:
            await self.store.close()
        for holder in self.holders:
            holder.close()


async def _repeat(call, count):
    for _ in range(count):
        await call()


def _check(result):
    if result.status != STATUS_OK:
        raise AssertionError(f"a usual call has no answer: {result}")


async def _measure_pair(checkouts, calls):
    """Return the processor time for each kind of call, for each of two checkouts.

    Parameters
    ----------
    calls : dict of str to int
        Calls of each kind in a batch.
    """
    costs_us = [dict.fromkeys(KINDS, 0.0) for _ in checkouts]
    async with contextlib.AsyncExitStack() as stack:
        processes = []
        for checkout in checkouts:
            directory = stack.enter_context(
                tempfile.TemporaryDirectory(prefix="wasabipaddle-measure-")
            )
            process = _Process(checkout=checkout, directory=pathlib.Path(directory))
            stack.push_async_callback(process.close)
            await process.start()
            processes.append(process)
        for kind in KINDS:
            for index in ORDER:
                cost_us = await processes[index].play(kind, calls[kind])
                costs_us[index][kind] += cost_us * len(checkouts) / len(ORDER)
    return costs_us


class CallsMeasure(Measure):
    """Usual calls on connections that stay open, to a cell of one real process.

    The processes of a pair run side by side, one with this code and one with that of
    the checkout named by `--against`, and take turns. Each pair has new processes. The
    ratio is the median over the pairs of what the other code needs for one call of each
    kind, relative to this code. Without `--against` both run this code, and the ratio
    shows how steady the measure is; there is no bound then.
    """

    name = "calls"
    bounds = (Bound(figure="throughput_ratio", comparison=">=", value=0.97),)

    def run(self, *, seed, quick):
        """Measure the pairs; the seed has no effect, as the calls are always alike."""
        pairs = QUICK_PAIRS if quick else PAIRS
        share = QUICK_SHARE if quick else 1
        calls = {kind: number // share for kind, number in CALLS.items()}
        present = str(pathlib.Path(wasabipaddle.__file__).parents[1])
        checkouts = (present, self.against or present)
        costs = [asyncio.run(_measure_pair(checkouts, calls)) for _ in range(pairs)]
        figures, baseline = (
            {
                f"{kind}_us": round(statistics.median(c[kind] for c in column), 1)
                for kind in KINDS
            }
            for column in zip(*costs, strict=True)
        )
        ratios = [sum(old.values()) / sum(new.values()) for new, old in costs]
        figures["throughput_ratio"] = round(statistics.median(ratios), 3)
        figures["lowest_ratio"] = round(min(ratios), 3)
        figures["highest_ratio"] = round(max(ratios), 3)
        for kind in KINDS:
            by_kind = [old[kind] / new[kind] for new, old in costs]
            figures[f"{kind}_ratio"] = round(statistics.median(by_kind), 3)
        measured = self.measurement(
            seed=seed,
            sizes={"pairs": pairs, "callers": CALLERS, **calls},
            figures=figures,
            baseline=baseline,
        )
        return measured if self.against else attrs.evolve(measured, bounds=())
