"""Quotas of workspaces: what their runs may hold in the whole cell."""

import math

import attrs

from wasabipaddle.dispatch.claims import QuotaClaims
from wasabipaddle.dispatch.fleet import SuspectedRuns
from wasabipaddle.dispatch.usage import NOTHING, RESOURCES, Usage
from wasabipaddle.jobs import JobPhase

__all__ = ["Quotas"]

MS_PER_S = 1000
# Time without a step that waits for the quota after which the wait of a workspace is
# over. It keeps a workspace at its quota from a log line for each end of a run.
WAIT_OVER_S = 2.0
# Workspaces without work that are no longer configured whose quotas are kept.
FORMER_WORKSPACES = 100
# Most runs of a speculative task that exist at the same time: the first and its copy.
SPECULATIVE_RUNS = 2


@attrs.define(kw_only=True)
class QuotaWait:
    """Wait of a workspace for its quota.

    Parameters
    ----------
    since_s, last_s : float
        Time at which it began, and time at which a step last had to wait.
    """

    since_s: float
    last_s: float


class Quotas:
    """Counts what the runs of each workspace may hold, and admits further ones.

    A run counts from its start order until it is certain that it does not exist, with
    everything that its task asks for. This includes the processors of opportunistic
    tasks: they are not reserved on a runner, but they are used. Runs that a previous
    dispatcher may have started on suspect runners count as well; see `_find_unknown`.

    A quota restricts starts only: if it falls below what is running, nothing is
    stopped, since that would waste the work of the runs.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    limits : dict of str to Capacity
        Last known quota of each workspace. Jobs of a workspace that is no longer
        configured keep it.
    in_use : dict of str to Usage
        Resources of the known runs of each workspace that has any.
    runs : dict of str to dict of Run to None
        Known runs of each workspace that has any.
    unknown : dict of str to Usage
        Upper bound of the resources of runs on suspect runners, by workspace.
    job_changes : int
        Number of changes of jobs that may raise `unknown`.
    waits : dict of str to QuotaWait
        Workspaces that wait for their quota.
    claims : QuotaClaims
        Parts of quotas that are kept for work which needs much at once.
    """

    def __init__(self, *, state):
        self.state = state
        self.limits = {}
        self.in_use = {}
        self.runs = {}
        self.unknown = {}
        self.unknown_of = None
        self.job_changes = 0
        self.waits = {}
        self.claims = QuotaClaims(state=state)

    def configure(self, workspaces):
        """Set the quotas of the current configuration.

        Those of workspaces that left without work are forgotten, but for the last
        `FORMER_WORKSPACES`: jobs of them may still be on their way.
        """
        at_work = {entry.job.workspace for entry in self.state.unfinished.values()}
        kept = at_work | self.runs.keys() | workspaces.keys()
        former = [name for name in self.limits if name not in kept]
        for name in former[: max(len(former) - FORMER_WORKSPACES, 0)]:
            del self.limits[name]
        for name, workspace in workspaces.items():
            self.limits[name] = workspace.quota

    def jobs_changed(self):
        """Note that a job has got steps or pools in which runs may exist."""
        self.job_changes += 1

    def take(self, run):
        """Count a run that may exist from now on."""
        self._add(run, 1)
        name = run.task.step.job.job.workspace
        if name:
            self.runs.setdefault(name, {})[run] = None

    def release(self, run):
        """Count a run no longer, since it does not exist any more."""
        self._add(run, -1)
        name = run.task.step.job.job.workspace
        runs = self.runs.get(name, {})
        runs.pop(run, None)
        if name in self.runs and not runs:
            del self.runs[name], self.in_use[name]

    def _add(self, run, count):
        name = run.task.step.job.job.workspace
        if name:
            self.in_use.setdefault(name, Usage()).add(run.task.spec, count)

    def admits(self, step, *, count=1) -> bool:
        """Return whether `count` further tasks of a step keep to the quota."""
        name = step.job.job.workspace
        limit = self.limits.get(name)
        if limit is None:
            return True
        self._refresh_unknown()
        others = self.claims.kept_from(step) if self.claims.by_workspace else ()
        if name in self.unknown:
            others = (*others, self.unknown[name])
        used = self.in_use.get(name, NOTHING)
        return used.admits(limit, step.spec, count, *others)

    def used_fraction(self, name) -> float:
        """Return the largest fraction of a quota that a workspace may be using."""
        limit = self.limits.get(name)
        if limit is None:
            return 0.0
        used = self.in_use.get(name, NOTHING)
        unknown = self.unknown.get(name, NOTHING)
        fractions = (
            (getattr(used, resource) + getattr(unknown, resource)) / most
            for resource in RESOURCES
            if (most := getattr(limit, resource))
        )
        return max(fractions, default=0.0)

    def note_wait(self, step, now):
        """Record that a step waits for the quota; log the first wait of each."""
        self.claims.note_wait(step)
        name = step.job.job.workspace
        wait = self.waits.get(name)
        if wait is None:
            self.waits[name] = QuotaWait(since_s=now, last_s=now)
            percent = self._used_percent(name)
            self.state.journal("quota_wait_began", workspace=name, used_percent=percent)
        else:
            wait.last_s = now
        if not step.has_waited_for_quota:
            step.has_waited_for_quota = True
            self.state.journal(
                "waits_for_quota",
                job=step.job.id,
                step=step.position,
                workspace=name,
                used_percent=self._used_percent(name),
            )

    def _used_percent(self, name):
        return int(100 * self.used_fraction(name))

    def end_waits(self, now):
        """End the waits of workspaces whose steps no longer wait."""
        for name, wait in list(self.waits.items()):
            if now - wait.last_s > WAIT_OVER_S:
                del self.waits[name]
                waited_ms = int((wait.last_s - wait.since_s) * MS_PER_S)
                self.state.journal(
                    "quota_wait_ended", workspace=name, waited_ms=waited_ms
                )

    def _refresh_unknown(self):
        """Compute the bound of unknown runs again if suspects or jobs have changed."""
        key = (len(self.state.suspects), self.job_changes)
        if not self.state.suspects:
            self.unknown, self.unknown_of = {}, None
        elif key != self.unknown_of:
            self.unknown, self.unknown_of = self._find_unknown(), key

    def _find_unknown(self):
        """Return a bound of what runs on suspect runners hold, by workspace.

        Only tasks of jobs from before the takeover may run there. The bound is what
        their tasks without a known run need, but no more than the capacity of the
        runners. Steps that are not open count too, since the store may not have the
        progress that opened them.
        """
        state = self.state
        room = self._suspected_capacity()
        suspected = SuspectedRuns.find(state)
        wall_ms = max((e.ended_ms for e in state.jobs.values()), default=0)
        earliest_ms = wall_ms - state.timing.lease_max_s * MS_PER_S
        reserved, shared = {}, {}
        for entry in state.jobs.values():
            name = entry.job.workspace
            if not name or not suspected.may_include(entry):
                continue
            if entry.phase.final and entry.ended_ms < earliest_ms:
                continue
            for step in entry.steps.values():
                count = _count_unknown_runs(step)
                held = shared if step.spec.opportunistic else reserved
                held.setdefault(name, Usage()).add(step.spec, count)
        return {
            name: _bound(reserved.get(name, NOTHING), shared.get(name, NOTHING), room)
            for name in reserved.keys() | shared.keys()
        }

    def _suspected_capacity(self):
        """Return the capacity of all suspect runners together."""
        room = Usage()
        for runner_id in self.state.suspects:
            runner = self.state.runners.get(runner_id)
            if runner is None or not runner.entry.capacity.cpu:
                return Usage(cpu=math.inf, memory_mb=math.inf, gpus=math.inf)
            capacity = runner.entry.capacity
            room.cpu += capacity.cpu
            room.memory_mb += capacity.memory_mb
            room.gpus += capacity.gpus
        return room


def _bound(reserved, shared, room):
    """Return what fits into the capacity; opportunistic tasks reserve no processors."""
    return Usage(
        cpu=min(reserved.cpu, room.cpu) + shared.cpu,
        memory_mb=min(reserved.memory_mb + shared.memory_mb, room.memory_mb),
        gpus=min(reserved.gpus + shared.gpus, room.gpus),
    )


def _count_unknown_runs(step):
    """Return how many runs of a step may exist besides the known ones.

    The copy of a completed task may still be running. A stored final state says nothing
    of the single tasks, but all tasks of a completed job have completed.
    """
    most = SPECULATIVE_RUNS if step.spec.speculative else 1
    all_completed = step.job.phase is JobPhase.COMPLETED
    return sum(
        max(most - (task.completed or all_completed) - len(task.runs), 0)
        for task in step.tasks
    )
