"""Shares of workspaces: whose steps come first when there is too little room."""

import bisect
import math

import attrs

from wasabipaddle.dispatch.usage import NOTHING, Usage

__all__ = ["Shares", "upper_share"]

# Window over which the jobs that a workspace submits are counted.
RATE_WINDOW_MS = 5_000
MS_PER_S = 1000
# Greatest delay with which an accepted job reaches the dispatcher, including the
# difference between clocks, up to which it is counted at its right time.
LATEST_DELIVERY_MS = 20_000
# Weight of a workspace that is configured without any, for a finite level.
LEAST_WEIGHT = 1e-3
# Ratio between two levels of use above the share. Workspaces that are on the same level
# are ordered by the objectives of their jobs.
LEVEL_RATIO = 1.25
# Part of the time to its objective that a job has left when it comes first, if its
# workspace is below its share.
URGENT_PART = 0.5


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

    The fair share of a workspace is the part of its weight among the workspaces that
    have work, and its dominant share the largest part of a resource of the fleet that
    it holds with runs of the priority in question or a more urgent one, so that its
    other work does not delay its urgent jobs.

    Steps are ordered by the objectives of their jobs as long as possible, because that
    serves all workspaces best while the room suffices for most: only a workspace that
    holds far more than its share comes later, the later the more, and a workspace below
    its share comes first with the jobs that are about to miss their objective. Nothing
    is kept free: what no other workspace can use goes to any.

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
    in_use : dict of str to dict of int to Usage
        Resources of the runs by workspace and priority.
    capacity : FleetCapacity
        Capacity of the runners in this planning round.
    weight_at_work : float
        Sum of the weights of the workspaces with waiting steps or runs.
    """

    def __init__(self, *, state):
        self.state = state
        self.unranked = []
        self.accepted_ms = {}
        self.in_use = {}
        self.capacity = FleetCapacity()
        self.weight_at_work = 0.0

    def add_job(self, entry):
        """Count an accepted job in the rate of its workspace."""
        if entry.job.workspace:
            self.unranked.append(entry)

    def take(self, run):
        """Count a run that may exist from now on."""
        self._add(run, 1)

    def release(self, run):
        """Count a run no longer."""
        self._add(run, -1)

    def _add(self, run, count):
        job = run.task.step.job.job
        if job.workspace:
            by_priority = self.in_use.setdefault(job.workspace, {})
            # The priority of the queue may change while the run exists.
            usage = by_priority.setdefault(job.policy.priority, Usage())
            usage.add(run.task.spec, count)
            if usage == NOTHING:
                del by_priority[job.policy.priority]
            if not by_priority:
                del self.in_use[job.workspace]

    def _compare_with_rate(self, entry, now):
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
        allowed = math.ceil(workspace.weight * RATE_WINDOW_MS / MS_PER_S)
        entry.in_excess = recent >= allowed
        if entry.in_excess:
            return
        bisect.insort(times, job.accepted_ms)
        # The clock of an accepting process may be ahead.
        now_ms = (now + self.state.wall_offset_s) * MS_PER_S
        latest_ms = min(times[-1], now_ms + LATEST_DELIVERY_MS)
        kept_from_ms = latest_ms - RATE_WINDOW_MS - LATEST_DELIVERY_MS
        del times[: bisect.bisect_left(times, kept_from_ms)]

    def rank_new_jobs(self, now):
        """Decide which of the jobs that were added are in excess."""
        if not self.unranked:
            return
        for entry in sorted(self.unranked, key=lambda e: e.job.accepted_ms):
            self._compare_with_rate(entry, now)
        self.unranked.clear()

    def begin_round(self):
        """Measure the fleet and the workspaces with work."""
        workspaces = self.state.configuration.workspaces
        if not self.accepted_ms.keys() <= workspaces.keys():
            self.accepted_ms = {
                k: times for k, times in self.accepted_ms.items() if k in workspaces
            }
        if not workspaces:
            return
        self.capacity = capacity = FleetCapacity()
        for runner in self.state.runners.values():
            if runner.listed and not runner.exited:
                capacity.cpu += runner.entry.capacity.cpu
                capacity.memory_mb += runner.entry.capacity.memory_mb
                capacity.gpus += runner.entry.capacity.gpus
        at_work = set(self.state.quotas.runs)
        at_work.update(s.job.job.workspace for s in self.state.ready.values())
        self.weight_at_work = sum(
            workspaces[name].weight for name in at_work if name in workspaces
        )

    def level(self, step, now) -> int:
        """Return the level of the workspace of a step, lower first.

        Level 0 is for workspaces below their share if the job has `URGENT_PART` of its
        time left or less, level 1 for other workspaces up to the upper bound of their
        share, and higher ones for each further factor of `LEVEL_RATIO`. It is the same
        for all steps if the configuration has no workspaces.
        """
        entry = step.job
        held, share = self.held_and_share(entry.job)
        if not share:
            return 1
        left_s = self.state.order.due_s(step) - now
        if held < share and left_s < URGENT_PART * entry.objective_s:
            return 0
        ratio = held / upper_share(share)
        return 1 if ratio <= 1.0 else 2 + int(math.log(ratio, LEVEL_RATIO))

    def held_and_share(self, job):
        """Return the dominant share and the fair share of the workspace of a job.

        Both are parts of the fleet; the fair share of an unknown workspace is 0.
        """
        share = self.fair_share(job.workspace)
        if not share:
            return 0.0, 0.0
        usage = self.usage(job.workspace, job.policy.priority)
        return self.dominant_share(usage), share

    def fair_share(self, name) -> float:
        """Return the fair share of a workspace, 0 if it is not configured."""
        workspace = self.state.configuration.workspaces.get(name)
        if workspace is None:
            return 0.0
        weight = max(workspace.weight, LEAST_WEIGHT)
        return weight / max(self.weight_at_work, weight)

    def usage(self, name, priority) -> Usage:
        """Return what runs of a priority and more urgent ones of a workspace hold."""
        total = Usage()
        for counted, usage in self.in_use.get(name, {}).items():
            if counted <= priority:
                total.cpu += usage.cpu
                total.memory_mb += usage.memory_mb
                total.gpus += usage.gpus
        return total

    def dominant_share(self, usage) -> float:
        """Return the largest part of a resource of the fleet in some usage."""
        capacity = self.capacity
        return max(
            usage.cpu / (capacity.cpu or math.inf),
            usage.memory_mb / (capacity.memory_mb or math.inf),
            usage.gpus / (capacity.gpus or math.inf),
        )


def upper_share(share) -> float:
    """Return the part of the fleet up to which a workspace comes in its usual order.

    It is up to twice a small share, and the whole fleet for a single workspace.
    """
    return share * (2.0 - share)
