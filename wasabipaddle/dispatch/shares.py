"""Shares of workspaces: whose steps come first when there is too little room."""

import bisect
import math

import attrs

__all__ = ["Shares"]

# Window over which the jobs that a workspace submits are counted.
RATE_WINDOW_MS = 5_000
# Greatest delay with which an accepted job reaches the dispatcher, including the
# difference between clocks, up to which it is counted at its right time.
LATEST_DELIVERY_MS = 20_000
# Weight of a workspace that is configured without any, for a finite level.
LEAST_WEIGHT = 1e-3
# Ratio between two levels of use above the share. Workspaces that are on the same level
# are ordered by the objectives of their jobs.
LEVEL_RATIO = 1.25
RESOURCES = ("cpu", "memory_mb", "gpus")


@attrs.define(kw_only=True)
class FleetCapacity:
    """Capacity of all runners together."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0


class Shares:
    """Ranks the steps of workspaces by rate and by what the workspaces hold.

    A workspace may submit `weight` jobs a second, counted in a sliding window. What it
    submits beyond that is in excess and waits first, so that a burst of one workspace
    delays its own jobs only.

    The dominant share of a workspace is the largest fraction of a resource of the fleet
    that it holds. While it is at most the fraction of its weight among the workspaces
    that have work, the workspace is on level 0, and its steps are ordered by their
    objectives. Above that, the level rises with the dominant share. Nothing is kept
    free: a workspace gets whatever no other one can use.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    unranked : list of JobEntry
        Jobs that were added since the last planning round.
    accepted_ms : dict of str to list of int
        Times of acceptance of the jobs within the rate, by workspace, in rising order.
    capacity : FleetCapacity
        Capacity of the runners in this planning round.
    weight_at_work : float
        Sum of the weights of the workspaces with waiting steps or runs.
    """

    def __init__(self, *, state):
        self.state = state
        self.unranked = []
        self.accepted_ms = {}
        self.capacity = FleetCapacity()
        self.weight_at_work = 0.0

    def add_job(self, entry):
        """Count an accepted job in the rate of its workspace."""
        if entry.job.workspace:
            self.unranked.append(entry)

    def _compare_with_rate(self, entry):
        """Set whether a job is in excess, given the jobs accepted before it.

        A new dispatcher finds the same from the stored times of acceptance.
        """
        job = entry.job
        workspace = self.state.configuration.workspaces.get(job.workspace)
        if workspace is None:
            return
        times = self.accepted_ms.setdefault(job.workspace, [])
        begin = bisect.bisect_right(times, job.accepted_ms - RATE_WINDOW_MS)
        recent = bisect.bisect_right(times, job.accepted_ms) - begin
        entry.in_excess = recent >= math.ceil(workspace.weight * RATE_WINDOW_MS / 1000)
        if entry.in_excess:
            return
        bisect.insort(times, job.accepted_ms)
        kept_from_ms = times[-1] - RATE_WINDOW_MS - LATEST_DELIVERY_MS
        del times[: bisect.bisect_left(times, kept_from_ms)]

    def begin_round(self):
        """Rank new jobs, and measure the fleet and the workspaces with work."""
        for entry in sorted(self.unranked, key=lambda e: e.job.accepted_ms):
            self._compare_with_rate(entry)
        self.unranked.clear()
        workspaces = self.state.configuration.workspaces
        if not workspaces:
            return
        self.capacity = capacity = FleetCapacity()
        for runner in self.state.runners.values():
            if runner.listed and not runner.exited:
                capacity.cpu += runner.entry.capacity.cpu
                capacity.memory_mb += runner.entry.capacity.memory_mb
                capacity.gpus += runner.entry.capacity.gpus
        at_work = {
            name for name, usage in self.state.quotas.in_use.items() if usage.cpu > 0
        }
        at_work.update(s.job.job.workspace for s in self.state.ready.values())
        self.weight_at_work = sum(
            workspaces[name].weight for name in at_work if name in workspaces
        )

    def level(self, name) -> int:
        """Return the level of a workspace, 0 up to its share."""
        ratio = self.use_of_share(name)
        if ratio <= 1.0:
            return 0
        return 1 + int(math.log(ratio, LEVEL_RATIO))

    def use_of_share(self, name) -> float:
        """Return the dominant share of a workspace divided by its fair share."""
        workspace = self.state.configuration.workspaces.get(name)
        usage = self.state.quotas.in_use.get(name)
        if workspace is None or usage is None or not self.weight_at_work:
            return 0.0
        held = max(
            getattr(usage, resource) / most
            for resource in RESOURCES
            if (most := getattr(self.capacity, resource) or math.inf)
        )
        return held * self.weight_at_work / max(workspace.weight, LEAST_WEIGHT)
