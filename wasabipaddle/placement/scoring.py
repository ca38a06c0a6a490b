"""Choice of a worker for one task."""

import abc
import itertools

from wasabipaddle.placement.resources import dominant_share

__all__ = ["BestFitScoring", "FirstFitScoring", "ScoringPolicy"]

# Workers compared for a task.
CANDIDATES = 8
# Racks, and workers of each rack, examined for a task that is spread over racks.
SPREAD_RACKS = 16
WORKERS_PER_RACK = 8


class ScoringPolicy(abc.ABC):
    """Chooses a worker for one task."""

    @abc.abstractmethod
    def choose(self, fleet, work, need, avoid):
        """Return the name of a worker, or None if no worker fits.

        Parameters
        ----------
        fleet : FleetIndex
            Workers to choose from.
        work : Work
            The run of the task.
        need : Resources
            Resources to reserve.
        avoid : collection of str
            Names of workers on which the task has failed.
        """

    def record_placement(self, work, rack):
        """Record that a task of `work` was placed in a rack."""

    def record_end(self, work, rack):
        """Record that a task of `work` has left a rack."""


class FirstFitScoring(ScoringPolicy):
    """Chooses the first worker that fits, in the order in which they were added.

    `avoid` is ignored.
    """

    def choose(self, fleet, work, need, avoid):
        """Return the first worker that fits."""
        for worker in fleet.workers.values():
            if worker.open and need.fits(worker.free) and _allowed(work, worker):
                return worker.name
        return None


class BestFitScoring(ScoringPolicy):
    """Chooses the candidate with the least left free; spreads tasks where declared.

    The score of a candidate is worse if the free fractions of its processor and memory
    would differ much, because later tasks can hardly use resources of one kind alone.

    Parameters
    ----------
    random : random.Random
        Source of the rack at which the search for a spread task starts.
    """

    def __init__(self, *, random):
        self.random = random
        self.rack_counts = {}

    def choose(self, fleet, work, need, avoid):
        """Return the best candidate of a bounded number."""
        if work.placement.spread:
            name = self._choose_spread(fleet, work, need, avoid)
            if name is not None:
                return name
        candidates = fleet.candidates(need, CANDIDATES)
        best = None
        for worker in candidates:
            if worker.name in avoid or not _allowed(work, worker):
                continue
            score = _leftover_score(worker, need)
            if best is None or score < best[0]:
                best = (score, worker.name)
        if best is not None:
            return best[1]
        return self._choose_fallback(fleet, work, need, avoid) if candidates else None

    def record_placement(self, work, rack):
        """Count a task of a spread service in a rack."""
        if work.placement.spread:
            counts = self.rack_counts.setdefault(work.service, {})
            counts[rack] = counts.get(rack, 0) + 1

    def record_end(self, work, rack):
        """Remove a task of a spread service from the count of a rack."""
        counts = self.rack_counts.get(work.service)
        if counts and counts.get(rack):
            counts[rack] -= 1
            if not counts[rack]:
                del counts[rack]
            if not counts:
                del self.rack_counts[work.service]

    def _choose_spread(self, fleet, work, need, avoid):
        counts = self.rack_counts.get(work.service, {})
        racks = list(fleet.racks)
        start = self.random.randrange(len(racks)) if racks else 0
        best = None
        for offset in range(min(SPREAD_RACKS, len(racks))):
            rack = racks[(start + offset) % len(racks)]
            if best is not None and counts.get(rack, 0) > best[0]:
                continue
            workers = itertools.islice(fleet.racks[rack].values(), WORKERS_PER_RACK)
            for worker in workers:
                if not (worker.open and need.fits(worker.free)):
                    continue
                if worker.name in avoid or not _allowed(work, worker):
                    continue
                score = (counts.get(rack, 0), _leftover_score(worker, need))
                if best is None or score < best[:2]:
                    best = (*score, worker.name)
        return best[2] if best else None

    def _choose_fallback(self, fleet, work, need, avoid):
        """Return the first allowed worker among a larger number of candidates."""
        for worker in fleet.candidates(need, 8 * CANDIDATES):
            if worker.name not in avoid and _allowed(work, worker):
                return worker.name
        return None


def _allowed(work, worker) -> bool:
    allowed = work.placement.data_centres
    return not allowed or worker.data_centre in allowed


def _leftover_score(worker, need) -> float:
    """Return a score of the fraction of the worker left free; lower is better."""
    free, size = worker.free, worker.size
    cpu = (free.cpu_milli - need.cpu_milli) / size.cpu_milli if size.cpu_milli else 0.0
    memory = (free.memory_mb - need.memory_mb) / size.memory_mb if size.memory_mb else 0
    idle_accelerators = 0.0
    if not need.accelerators and free.accelerators:
        idle_accelerators = dominant_share(free, size)
    return cpu + memory + 2 * abs(cpu - memory) + idle_accelerators
