"""Measure `store`: calls of all processes of a cell to the platform's store."""

import asyncio
import collections
import random

import attrs

from wasabipaddle.clock import LoopClock, run_virtual
from wasabipaddle.documents import ServiceKind
from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.journal import Journal, RunAccepted, RunEnded, TaskEnded, TaskPlaced
from wasabipaddle.leadership import LeaderElected
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.cell import MemoryCell
from wasabipaddle.measure.config_edits import document_value
from wasabipaddle.messages import RunOutcome, encode

__all__ = ["StoreMeasure"]

STARTS_PER_S = 300
ENDS_PER_S = 300
RUNNING = 7_400
CHANGE_PERIOD_S = 43.2  # 2,000 changes a day
TICK_S = 0.01
SETTLE_S = 6.0
KEEP_MS = 60_000  # retention of answers; shorter than a day to limit the state
SERVICES = 20
BASELINE_RETRY_S = 0.1
BASELINE_WATCH_S = 10.0


@attrs.frozen(kw_only=True)
class StoreSizes:
    """Sizes of one run.

    Parameters
    ----------
    cells : tuple of tuple of int
        Entry processes and data centres of each cell.
    load_s : float
        Duration of the load before the outage, and again after it.
    outage_s : float
        Duration of the outage of the store, during which the load continues.
    baseline_s : float
        Duration of the load of the baseline, which has no outage.
    """

    cells: tuple[tuple[int, int], ...]
    load_s: float
    outage_s: float
    baseline_s: float


FULL = StoreSizes(cells=((8, 3), (40, 5)), load_s=30.0, outage_s=600.0, baseline_s=5.0)
QUICK = StoreSizes(cells=((8, 3),), load_s=8.0, outage_s=60.0, baseline_s=2.0)


class StoreMeasure(Measure):
    """Store calls at 300 starts and ends per second, before and after an outage."""

    name = "store"
    bounds = (
        Bound(figure="writes_per_s", comparison="<=", value=150),
        Bound(figure="reads_per_s", comparison="<=", value=500),
        Bound(figure="recovery_throttled", comparison="==", value=0),
    )

    def run(self, *, seed, quick):
        """Run every size of cell; each figure is the largest of all cells."""
        sizes = QUICK if quick else FULL
        runs = [run_virtual(_measure(seed, sizes, *cell)) for cell in sizes.cells]
        baseline_runs = [
            run_virtual(_baseline(seed, sizes, *cell)) for cell in sizes.cells
        ]
        figures = {key: max(r[key] for r in runs) for key in runs[0]}
        baseline = {key: max(r[key] for r in baseline_runs) for key in baseline_runs[0]}
        return self.measurement(
            seed=seed, sizes=attrs.asdict(sizes), figures=figures, baseline=baseline
        )


class RunStream:
    """Starts and ends of runs, the same for the system and for the baseline.

    Parameters
    ----------
    seed : int
        Seed of the shards, services and workers of runs.
    shards : sequence of str
        Shards of the cell.
    """

    def __init__(self, *, seed, shards):
        self.random = random.Random(seed)
        self.shards = shards
        self.number = 0
        self.running = collections.deque()
        for _ in range(RUNNING):
            self.running.append(self.new_run())

    def new_run(self):
        """Return the shard and name of a new run."""
        self.number += 1
        shard = self.random.choice(self.shards)
        return shard, f"{shard}.{self.number:08x}"

    def start(self):
        """Return the shard of a new run and its records of acceptance and placement."""
        shard, run = self.new_run()
        accepted = RunAccepted(
            run=run,
            service=f"service-{self.random.randrange(SERVICES)}",
            team="team",
            key=run,
            payload='{"page":1}',
            accepted_ms=0,
            revision=1,
            kind=ServiceKind.BATCH,
        )
        worker = f"worker-{self.random.randrange(1000)}"
        placed = TaskPlaced(run=run, index=0, attempt=1, worker=worker, epoch=1)
        return shard, accepted, placed

    def end(self, now_ms):
        """Return the shard and both records of the end of a run, if any run is left."""
        if not self.running:
            return None
        shard, run = self.running.popleft()
        task_ended = TaskEnded(
            run=run, index=0, attempt=1, outcome=TaskOutcome.COMPLETED, result="{}"
        )
        run_ended = RunEnded(
            run=run,
            outcome=RunOutcome.COMPLETED,
            ended_ms=now_ms,
            keep_until_ms=now_ms + KEEP_MS,
        )
        return shard, task_ended, run_ended


class ShardJournals:
    """Journals of the shard leaders of a cell.

    Parameters
    ----------
    cell : MemoryCell
        Cell whose processes have started.
    """

    def __init__(self, *, cell):
        self.cell = cell
        self.journals = {}
        self.latencies = []
        self.refused = 0

    async def open(self, shards):
        """Recover the journal of each shard in the process that leads it."""
        for shard in shards:
            (process,) = self.cell.leaders(shard)
            election = process.leadership.elections[shard]
            await self._open(process, LeaderElected(shard=shard, epoch=election.epoch))

    async def _open(self, process, event):
        journal = Journal(
            shard=event.shard,
            process=process.name,
            incarnation=process.membership.table.incarnation,
            store=process.gate.store_for("journal"),
            clock=LoopClock(),
            settings=process.settings.journal,
            random=process.context.random,
        )
        await journal.recover(event.epoch)
        self.journals[event.shard] = journal

    def start(self, stream):
        """Submit the acceptance of a run and, once it is confirmed, its placement."""
        shard, accepted, placed = stream.start()
        journal = self.journals[shard]
        sent = asyncio.get_running_loop().time()
        confirmation = journal.submit(accepted)

        def on_confirmed(future):
            if future.cancelled() or future.result().is_err():
                self.refused += 1
                return
            loop = asyncio.get_running_loop()
            self.latencies.append(loop.time() - sent)
            stream.running.append((shard, accepted.run))
            journal.submit(placed)

        confirmation.add_done_callback(on_confirmed)

    def end(self, stream):
        """Submit the records of the end of a run."""
        records = stream.end(LoopClock().wall_ms())
        if records is not None:
            shard, task_ended, run_ended = records
            self.journals[shard].submit(task_ended)
            self.journals[shard].submit(run_ended)

    async def drive(self, stream, seconds):
        """Start and end runs at `STARTS_PER_S` and `ENDS_PER_S`."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            for _ in range(int(STARTS_PER_S * TICK_S)):
                self.start(stream)
            for _ in range(int(ENDS_PER_S * TICK_S)):
                self.end(stream)
            await asyncio.sleep(TICK_S)


async def _measure(seed, sizes, entries, data_centres):
    cell = MemoryCell(entries=entries, data_centres=data_centres, seed=seed)
    await cell.start()
    await asyncio.sleep(SETTLE_S)
    shards = [f"{d.name}-0" for d in cell.deployment.data_centres]
    shard_journals = ShardJournals(cell=cell)
    await shard_journals.open(shards)
    changes = asyncio.create_task(_change_documents(cell))
    stream = RunStream(seed=seed, shards=shards)
    loop = asyncio.get_running_loop()
    await shard_journals.drive(stream, 2.0)
    shard_journals.latencies.clear()
    start = int(loop.time()) + 1
    await shard_journals.drive(stream, sizes.load_s)
    end = int(loop.time())
    latencies, accepted = list(shard_journals.latencies), len(shard_journals.latencies)
    cell.store.faults.down = True
    await shard_journals.drive(stream, sizes.outage_s)
    throttled = cell.store.throttled
    cell.store.faults.down = False
    recovered_at = int(loop.time())
    await shard_journals.drive(stream, sizes.load_s)
    figures = _rates(cell.store, start, end)
    figures["writes_per_run"] = round(
        figures["writes_per_s"] * sizes.load_s / accepted, 3
    )
    figures["accept_p99_ms"] = _p99_ms(latencies)
    after = _rates(cell.store, recovered_at, int(loop.time()))
    figures["recovery_peak_writes_per_s"] = after["writes_peak_per_s"]
    figures["recovery_peak_reads_per_s"] = after["reads_peak_per_s"]
    figures["recovery_throttled"] = cell.store.throttled - throttled
    changes.cancel()
    return figures


async def _change_documents(cell):
    number = 0
    while True:
        service = f"service-{number % SERVICES}"
        key, value = document_value(service, number)
        await cell.store.put(key, value)
        number += 1
        await asyncio.sleep(CHANGE_PERIOD_S)


def _rates(store, start, end):
    seconds = [store.seconds[s] for s in range(start, end) if s in store.seconds]
    length = max(end - start, 1)
    return {
        "writes_per_s": round(sum(s.writes for s in seconds) / length, 1),
        "writes_peak_per_s": max((s.writes for s in seconds), default=0),
        "reads_per_s": round(sum(s.reads for s in seconds) / length, 1),
        "reads_peak_per_s": max((s.reads for s in seconds), default=0),
    }


def _p99_ms(latencies):
    ordered = sorted(latencies)
    return round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1) if ordered else 0.0


class BaselineWriter:
    """One store write per record, repeated every 0.1 s until it is confirmed.

    Parameters
    ----------
    store : MemoryStore
        Store to write to.
    """

    def __init__(self, *, store):
        self.store = store
        self.number = 0
        self.latencies = []
        self.tasks = set()

    def submit(self, record):
        """Write one record in a task of its own."""
        self.number += 1
        task = asyncio.create_task(self._write(self.number, encode(record)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _write(self, number, data):
        loop = asyncio.get_running_loop()
        sent = loop.time()
        while (await self.store.put(f"records/{number:012d}", data)).is_err():
            await asyncio.sleep(BASELINE_RETRY_S)
        self.latencies.append(loop.time() - sent)


async def _baseline(seed, sizes, entries, data_centres):
    """Run the same starts and ends with a write per record and a watch per process."""
    cell = MemoryCell(entries=entries, data_centres=data_centres, seed=seed, roles=())
    watches = [
        asyncio.create_task(_watch_forever(cell.store.client(p.name)))
        for p in cell.deployment.entries
    ]
    shards = [f"{d.name}-0" for d in cell.deployment.data_centres]
    stream = RunStream(seed=seed, shards=shards)
    writer = BaselineWriter(store=cell.store)
    loop = asyncio.get_running_loop()
    start, began = loop.time(), loop.time()
    while loop.time() < began + sizes.baseline_s:
        for _ in range(int(STARTS_PER_S * TICK_S)):
            shard, accepted, placed = stream.start()
            writer.submit(accepted)
            writer.submit(placed)
            stream.running.append((shard, accepted.run))
        for _ in range(int(ENDS_PER_S * TICK_S)):
            _, task_ended, run_ended = stream.end(0)
            writer.submit(task_ended)
            writer.submit(run_ended)
        await asyncio.sleep(TICK_S)
    figures = _rates(cell.store, int(start), int(loop.time()))
    runs = STARTS_PER_S * sizes.baseline_s
    figures["writes_per_run"] = round(
        figures["writes_per_s"] * sizes.baseline_s / runs, 3
    )
    figures["accept_p99_ms"] = _p99_ms(writer.latencies)
    figures["recovery_throttled"] = cell.store.throttled
    for task in (*watches, *writer.tasks):
        task.cancel()
    return figures


async def _watch_forever(store):
    revision = 0
    while True:
        answer = await store.watch(
            "documents/", after_revision=revision, wait_s=BASELINE_WATCH_S
        )
        if answer.is_ok() and answer.unwrap():
            revision = answer.unwrap()[-1].revision
        elif answer.is_err():
            await asyncio.sleep(BASELINE_RETRY_S)
