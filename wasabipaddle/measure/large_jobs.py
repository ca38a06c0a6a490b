"""Measure `large_jobs`: jobs of thousands of tasks beside a small urgent one."""

import asyncio

import attrs

from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import Capacity, StepSpec
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.real_cell import open_cell
from wasabipaddle.soak.ledger import SoakLedger
from wasabipaddle.soak.shapes import GENERAL

__all__ = ["LargeJobsMeasure"]

SIZES = (1_000, 2_500, 5_000)
PROCESSES = 3
RUNNERS = 6
# All tasks of the largest job fit at once.
TASK_CPU = 50
RUNNER = attrs.evolve(GENERAL, capacity=Capacity(cpu=48_000, memory_mb=16_000))
TASK_MEMORY_MB = 1
LARGE = StepSpec(count=1, cpu=TASK_CPU, memory_mb=TASK_MEMORY_MB, lasting=True)
SMALL = StepSpec(count=3, cpu=TASK_CPU, memory_mb=TASK_MEMORY_MB, estimate_s=0.2)
# Time after the large job at which the small one is submitted.
SMALL_AFTER_S = 0.5
START_LIMIT_S = 60.0
STOP_LIMIT_S = 30.0


class LargeJobLedger(SoakLedger):
    """Ledger that checks no promise for each start, which takes time in large jobs.

    Attributes
    ----------
    first_start_s, last_start_s : dict of str to float
        Time of the first and the latest start by job.
    lapsed : int
        Number of runs that ended with the lease of their runner.
    """

    def __init__(self):
        super().__init__()
        self.first_start_s = {}
        self.last_start_s = {}
        self.lapsed = 0

    def is_valid_order(self, order) -> bool:
        """Return whether the job of an order was submitted."""
        return order.task.job in self.jobs

    def record_start(self, runner, run, order):
        """Record the start of a run."""
        self.starts += 1
        self.running.setdefault(run.task, []).append((runner.entry.id, run))
        self.first_start_s.setdefault(run.task.job, self.now())
        self.last_start_s[run.task.job] = self.now()

    def record_end(self, runner, run, cause):
        """Record the end of a run; the cause is None if its runner was lost."""
        self.lapsed += cause is EndCause.LEASE_EXPIRED
        rows = self.running[run.task]
        rows[:] = [row for row in rows if row[1] is not run]

    def record_acknowledgement(self, runner, end):
        """Acknowledgements are not checked."""

    def count(self, job_id) -> int:
        """Return how many tasks of a job run."""
        return sum(bool(rows) for t, rows in self.running.items() if t.job == job_id)


@attrs.frozen(kw_only=True)
class _Figures:
    """Figures of one size.

    Parameters
    ----------
    started, lapsed : int
        Tasks of the large job that run at once, and runs that ended with a lease.
    all_s, beside_s : float
        Time until all tasks of the large and of the small job had started.
    stop_s : float
        Time from the cancellation of the large job until none of its tasks ran.
    """

    started: int
    lapsed: int
    all_s: float
    beside_s: float
    stop_s: float


class LargeJobsMeasure(Measure):
    """Jobs of 1,000, 2,500 and 5,000 tasks on six runners, with real processes.

    A job of three urgent tasks is submitted shortly after each, and the large job is
    cancelled once all its tasks run.
    """

    name = "large_jobs"
    bounds = (
        Bound(figure="unstarted", comparison="==", value=0),
        Bound(figure="lapsed", comparison="==", value=0),
        Bound(figure="beside_s", comparison="<=", value=3.0),
        Bound(figure="still_running", comparison="==", value=0),
    )

    def run(self, *, seed, quick):
        """Run each size on a cell of its own; the baseline is the small job alone."""
        sizes = SIZES[:1] if quick else SIZES
        results = {size: asyncio.run(_play(size, seed)) for size in sizes}
        alone = asyncio.run(_play(0, seed))
        figures = {
            "unstarted": sum(size - f.started for size, f in results.items()),
            "lapsed": sum(f.lapsed for f in results.values()),
            "beside_s": max(f.beside_s for f in results.values()),
            "still_running": sum(f.stop_s >= STOP_LIMIT_S for f in results.values()),
        }
        for size, found in results.items():
            for key in ("all_s", "beside_s", "stop_s"):
                figures[f"{key}_{size}"] = round(getattr(found, key), 2)
        return self.measurement(
            seed=seed,
            sizes={"tasks": sizes[-1], "runners": RUNNERS, "processes": PROCESSES},
            figures={k: round(v, 2) for k, v in figures.items()},
            baseline={"beside_s": round(alone.beside_s, 2)},
        )


async def _play(size, seed) -> _Figures:
    """Play one size on a cell of its own; 0 plays the small job alone."""
    async with open_cell(
        make_ledger=LargeJobLedger,
        processes=PROCESSES,
        runners=RUNNERS,
        seed=seed,
        shapes=(RUNNER,),
    ) as cell:
        return await _run_jobs(cell, size)


async def _run_jobs(cell, size) -> _Figures:
    ledger, large = cell.ledger, None
    # The first job shows that the cell dispatches.
    first = await cell.submit("urgent", SMALL, 0.1)
    await cell.wait(lambda: first.id in ledger.first_start_s, START_LIMIT_S)
    submitted_s = ledger.now()
    if size:
        step = attrs.evolve(LARGE, count=size)
        large = await cell.submit("lasting", step, float("inf"))
        await asyncio.sleep(SMALL_AFTER_S)
    small_s = ledger.now()
    small = await cell.submit("urgent", SMALL, 60.0)
    await cell.wait(lambda: ledger.count(small.id) == SMALL.count, START_LIMIT_S)
    beside_s = ledger.last_start_s.get(small.id, START_LIMIT_S) - small_s
    if not size:
        return _Figures(started=0, lapsed=0, all_s=0.0, beside_s=beside_s, stop_s=0.0)
    await cell.wait(lambda: ledger.count(large.id) == size, START_LIMIT_S)
    started = ledger.count(large.id)
    all_s = ledger.last_start_s.get(large.id, START_LIMIT_S) - submitted_s
    await cell.call(cell.caller.cancel, large)
    stop_s = await cell.wait(lambda: not ledger.count(large.id), STOP_LIMIT_S)
    return _Figures(
        started=started,
        lapsed=ledger.lapsed,
        all_s=all_s,
        beside_s=beside_s,
        stop_s=stop_s,
    )
