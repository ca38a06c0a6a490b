"""Placement of gangs and planning of later starts."""

import abc
import math

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.placement.resources import ZERO, dominant_share, fit_count
from wasabipaddle.placement.work import Work

__all__ = ["GangPolicy", "HoldPlan", "NonReservingGangs", "ReservingGangs"]

# Workers sampled per task to place when a later start is planned, and the bounds of the
# sample.
EXAMINED_PER_TASK = 4
MIN_EXAMINED = 32
MAX_EXAMINED = 256
# No later start is planned while holds cover this fraction of the fleet.
MAX_HELD_FRACTION = 0.15


@attrs.define(kw_only=True, eq=False)
class HoldPlan:
    """Plan of a later start, for which resources are held as they become free.

    Parameters
    ----------
    key : str
        Key of the holds in the fleet index.
    need : Resources
        Resources to reserve for one task.
    counts : dict of str to int
        Number of tasks on each worker.
    start_at : float
        Time at which the resources are expected to be free.
    indices : list of int
        Indices of the tasks of the run that the plan starts.
    since : float
        Time at which the work began to wait.
    planned_at : float
        Time at which the plan was made.
    preempts : bool
        Whether tasks were checkpointed for this plan.
    allows_backfill : bool
        Whether other tasks may use held resources until the start.
    """

    key: str
    work: Work
    need: Resources
    counts: dict
    start_at: float
    indices: list
    since: float
    planned_at: float
    preempts: bool = False
    allows_backfill: bool = True


class GangPolicy(abc.ABC):
    """Chooses workers for gangs, and plans later starts, also of single tasks."""

    @abc.abstractmethod
    def place(self, fleet, need, count, allowed):
        """Return the number of tasks per worker for a start now, or None.

        Parameters
        ----------
        allowed : collection of str
            Data centres; empty for all.
        """

    @abc.abstractmethod
    def plan(self, fleet, running, need, count, allowed, now):
        """Return `(counts, start_at)` for a later start, or None.

        Parameters
        ----------
        running : dict of str to RunningTask
            Placed tasks with their expected ends.
        """


class NonReservingGangs(GangPolicy):
    """Baseline policy: a gang waits until all its tasks fit at the same time."""

    def place(self, fleet, need, count, allowed):
        """Return tasks on workers with room, in the order in which these were added."""
        workers = (worker for worker in fleet.workers.values() if worker.open)
        return _fill(workers, need, count, allowed)

    def plan(self, fleet, running, need, count, allowed, now):
        """Return None, because this policy reserves nothing."""
        return None


class ReservingGangs(GangPolicy):
    """Places a gang now if it fits, else plans the earliest start that it finds.

    All workers of a plan are chosen in one step among workers without holds, so two
    planned gangs never wait for each other.

    Parameters
    ----------
    random : random.Random
        Source of the sample of workers examined for a later start.
    """

    def __init__(self, *, random):
        self.random = random

    def place(self, fleet, need, count, allowed):
        """Return tasks on workers with room, those with the least room first."""
        return _fill(fleet.candidates(need, count), need, count, allowed)

    def plan(self, fleet, running, need, count, allowed, now):
        """Return tasks per worker and the earliest time at which all of them fit."""
        if len(fleet.hold_workers) and self._held_fraction(fleet) >= (
            MAX_HELD_FRACTION
        ):
            return None
        ready = []
        for worker in self._workers_to_examine(fleet, need, count):
            if not worker.open or worker.holds:
                continue
            if allowed and worker.data_centre not in allowed:
                continue
            ready.extend(_ready_times(worker, running, need, count, now))
        if len(ready) < count:
            return None
        ready.sort()
        counts = {}
        for _, name in ready[:count]:
            counts[name] = counts.get(name, 0) + 1
        return counts, ready[count - 1][0]

    def _workers_to_examine(self, fleet, need, count):
        sample_size = min(max(EXAMINED_PER_TASK * count, MIN_EXAMINED), MAX_EXAMINED)
        names = fleet.names_with_accelerators if need.accelerators else fleet.names
        if len(names) > sample_size:
            names = self.random.sample(names, sample_size)
        workers = [fleet.workers[n] for n in names]
        known = {w.name for w in workers}
        workers.extend(w for w in fleet.candidates(need, count) if w.name not in known)
        return workers

    def _held_fraction(self, fleet):
        """Return the share of the fleet that holds cover, collected or not."""
        wanted = ZERO
        for key, names in fleet.hold_workers.items():
            for name in names:
                state = fleet.workers.get(name)
                if state is not None and key in state.holds:
                    wanted += state.holds[key].wanted
        return dominant_share(wanted, fleet.total)


def _fill(workers, need, count, allowed):
    """Return the tasks per worker, each filled in turn; None if not all fit."""
    counts = {}
    for worker in workers:
        if allowed and worker.data_centre not in allowed:
            continue
        fitting = fit_count(need, worker.free, count)
        if fitting:
            counts[worker.name] = fitting
            count -= fitting
        if count == 0:
            return counts
    return None


def _ready_times(worker, running, need, count, now):
    """Return `(time, name)` for each of up to `count` tasks that the worker can run.

    The time is the earliest at which the task fits, given the expected ends of the
    tasks that are on the worker.
    """
    free = worker.free
    ends = []
    for task in worker.tasks:
        placed = running.get(task)
        if placed is not None and placed.expected_end < math.inf:
            ends.append((max(placed.expected_end, now), task))
    ends.sort()
    times = []
    fitting = fit_count(need, free, count)
    times.extend([(now, worker.name)] * fitting)
    for end, task in ends:
        if fitting >= count:
            break
        free = free + worker.tasks[task]
        more = fit_count(need, free, count)
        times.extend([(end, worker.name)] * (more - fitting))
        fitting = max(more, fitting)
    return times
