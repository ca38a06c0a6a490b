"""Measure `store_outage`: the store of the platform is away for everybody."""

import asyncio
import itertools
import math

import attrs

from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import StepSpec
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.real_cell import open_cell
from wasabipaddle.soak.ledger import SoakLedger

__all__ = ["StoreOutageMeasure"]

# Durations of the outages in seconds.
OUTAGES_S = (10, 20, 60)
PROCESSES = 3
RUNNERS = 4
LASTING = StepSpec(count=12, cpu=500, memory_mb=16, lasting=True)
BATCH = StepSpec(count=1, cpu=1_500, memory_mb=16, estimate_s=2.0)
BATCH_WORK_S = 2.0
# Number of batch tasks that the runners complete in a second beside the lasting ones.
BATCH_TASKS_PER_S = 6
# Time before the outage, and time after it within which all tasks must have ended.
LEAD_S = 4.0
FINISH_S = 60.0


class OutageLedger(SoakLedger):
    """Ledger that notes when runs start, and why they end.

    Attributes
    ----------
    starts_s : list of float
        Times of all starts.
    lapsed, lasting_ended : int
        Number of runs that ended with a lease, and of ends of lasting tasks.
    """

    def __init__(self):
        super().__init__()
        self.starts_s = []
        self.lapsed = 0
        self.lasting_ended = 0

    def record_start(self, runner, run, order):
        """Record the start of a run."""
        super().record_start(runner, run, order)
        self.starts_s.append(self.now())

    def record_end(self, runner, run, cause):
        """Record the end of a run; the cause is None if its runner was lost."""
        super().record_end(runner, run, cause)
        self.lapsed += cause is EndCause.LEASE_EXPIRED
        self.lasting_ended += run.spec.lasting

    def longest_pause_s(self, began_s, ended_s) -> float:
        """Return the longest time without a start between two times."""
        within = [s for s in self.starts_s if began_s < s < ended_s]
        times = [began_s, *within, ended_s]
        return max(b - a for a, b in itertools.pairwise(times))


@attrs.frozen(kw_only=True)
class _Figures:
    """Figures of one outage: counts, and the longest pause of the starts in it."""

    lapsed: int
    lasting_ended: int
    pause_s: float
    unfinished: int
    twice: int


class StoreOutageMeasure(Measure):
    """Outages of 10, 20 and 60 s with 12 lasting tasks and a queue of batch tasks.

    Only the store is away, for all processes and runners. The baseline is the same
    time without an outage.
    """

    name = "store_outage"
    bounds = (
        Bound(figure="lapsed", comparison="==", value=0),
        Bound(figure="lasting_ended", comparison="==", value=0),
        Bound(figure="pause_s", comparison="<=", value=3.0),
        Bound(figure="unfinished", comparison="==", value=0),
        Bound(figure="twice", comparison="==", value=0),
    )

    def run(self, *, seed, quick):
        """Play each outage on a cell of its own."""
        outages = OUTAGES_S[:1] if quick else OUTAGES_S
        results = {s: asyncio.run(_play(s, seed, down=True)) for s in outages}
        baseline = attrs.asdict(asyncio.run(_play(outages[0], seed, down=False)))
        figures = {
            "lapsed": sum(f.lapsed for f in results.values()),
            "lasting_ended": sum(f.lasting_ended for f in results.values()),
            "pause_s": max(f.pause_s for f in results.values()),
            "unfinished": sum(f.unfinished for f in results.values()),
            "twice": sum(f.twice for f in results.values()),
        }
        for seconds, found in results.items():
            figures[f"lasting_ended_{seconds}"] = found.lasting_ended
            figures[f"pause_s_{seconds}"] = found.pause_s
        return self.measurement(
            seed=seed,
            sizes={"runners": RUNNERS, "processes": PROCESSES, "outage_s": outages[-1]},
            figures={k: round(v, 2) for k, v in figures.items()},
            baseline={k: round(v, 2) for k, v in baseline.items()},
        )


async def _play(seconds, seed, *, down) -> _Figures:
    async with open_cell(
        make_ledger=OutageLedger, processes=PROCESSES, runners=RUNNERS, seed=seed
    ) as cell:
        ledger = cell.ledger
        lasting = await cell.submit("lasting", LASTING, math.inf)
        count = round((LEAD_S + seconds + LEAD_S) * BATCH_TASKS_PER_S)
        batch = await cell.submit(
            "urgent", attrs.evolve(BATCH, count=count), BATCH_WORK_S
        )
        await asyncio.sleep(LEAD_S)
        began_s = ledger.now()
        cell.platform.memory.down = down
        await asyncio.sleep(seconds)
        cell.platform.memory.down = False
        pause_s = ledger.longest_pause_s(began_s, ledger.now())
        await cell.wait(lambda: not batch.missing(), FINISH_S)
        return _Figures(
            lapsed=ledger.lapsed,
            lasting_ended=ledger.lasting_ended,
            pause_s=pause_s,
            unfinished=batch.missing() + lasting.spec.steps[0].count - _running(cell),
            twice=sum(v.promise == "twice" for v in ledger.violations),
        )


def _running(cell) -> int:
    """Return how many lasting tasks run."""
    return sum(
        any(run.spec.lasting for _, run in rows)
        for rows in cell.ledger.running.values()
    )
