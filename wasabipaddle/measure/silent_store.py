"""Measure `silent_store`: open connections to the store stop carrying data."""

import asyncio

import attrs

from wasabipaddle.jobs import StepSpec
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.real_cell import open_cell
from wasabipaddle.soak.ledger import SoakLedger
from wasabipaddle.soak.platform import STORE
from wasabipaddle.soak.queues import QUEUES

__all__ = ["SilentStoreMeasure"]

PROCESSES = 3
RUNNERS = 4
ROUNDS = 5
# Jobs submitted at once, so that each process has many connections to the store.
BURST_JOBS = 60
BURST_PAUSE_S = 2.0
# Time from the silence to the departure and the configuration. The platform excuses a
# late reaction to both for this long.
SETTLE_S = 4.5
# Time for which jobs are submitted after the notice of the departure.
WATCH_S = 5.0
JOBS_PER_S = 10.0
LEAVES_IN_S = 5.0
POLL_S = 0.05
STEP = StepSpec(count=2, cpu=200, memory_mb=16, estimate_s=0.2)
WORK_S = 0.2
STATUS_NOT_FOUND = 404


class DepartureLedger(SoakLedger):
    """Ledger that notes the starts on runners that leave.

    Attributes
    ----------
    latest_start_s : float
        Longest time from the notice of a runner to a start on it.
    """

    def __init__(self):
        super().__init__()
        self.latest_start_s = 0.0

    def record_start(self, runner, run, order):
        """Record the start of a run."""
        super().record_start(runner, run, order)
        now = self.now()
        since_s = now - self.draining_since_s.get(runner.entry.id, now)
        self.latest_start_s = max(self.latest_start_s, since_s)


class SilentStoreMeasure(Measure):
    """Open connections to the store fall silent; real processes; new ones work.

    4.5 s later a runner says that it leaves and a configuration adds a queue. The
    baseline is the same without the silence.
    """

    name = "silent_store"
    bounds = (
        Bound(figure="drain_s", comparison="<=", value=2.5),
        Bound(figure="configured_s", comparison="<=", value=2.5),
    )

    def run(self, *, seed, quick):
        """Play the rounds, each on a cell of its own."""
        rounds = 1 if quick else ROUNDS
        figures = [asyncio.run(_play(seed + n, silent=True)) for n in range(rounds)]
        baseline = asyncio.run(_play(seed, silent=False))
        return self.measurement(
            seed=seed,
            sizes={"rounds": rounds, "processes": PROCESSES, "runners": RUNNERS},
            figures={
                "drain_s": round(max(drain_s for drain_s, _ in figures), 2),
                "configured_s": round(max(s for _, s in figures), 2),
            },
            baseline={
                "drain_s": round(baseline[0], 2),
                "configured_s": round(baseline[1], 2),
            },
        )


async def _play(seed, *, silent):
    """Return the two figures of one round in seconds."""
    async with open_cell(
        make_ledger=DepartureLedger, processes=PROCESSES, runners=RUNNERS, seed=seed
    ) as cell:
        await asyncio.gather(
            *(cell.submit("urgent", STEP, WORK_S) for _ in range(BURST_JOBS))
        )
        await asyncio.sleep(BURST_PAUSE_S)
        if silent:
            for process in cell.platform.processes:
                cell.platform.link.silence(process, STORE)
        await asyncio.sleep(SETTLE_S)
        async with asyncio.TaskGroup() as group:
            leaving = min(cell.platform.runners)
            group.create_task(cell.platform.remove_runner(leaving, LEAVES_IN_S))
            configured = group.create_task(_configure(cell))
            group.create_task(_submit_steadily(cell))
        return cell.ledger.latest_start_s, configured.result()


async def _submit_steadily(cell):
    async with asyncio.TaskGroup() as group:
        for _ in range(round(WATCH_S * JOBS_PER_S)):
            group.create_task(cell.submit("urgent", STEP, WORK_S))
            await asyncio.sleep(1 / JOBS_PER_S)


async def _configure(cell) -> float:
    """Add a queue; return the time until all processes know it, at most `WATCH_S`."""
    queue = attrs.evolve(QUEUES[0], name="added", prefix="/added/")
    cell.platform.configure((*QUEUES, queue))
    began_s = cell.ledger.now()
    unknown = set(cell.addresses())
    while unknown and cell.ledger.now() - began_s < WATCH_S:
        for address in list(unknown):
            result = await cell.caller.find_phase(address, queue, "0" * 16)
            if result.status and result.status != STATUS_NOT_FOUND:
                unknown.discard(address)
        await asyncio.sleep(POLL_S)
    return cell.ledger.now() - began_s
