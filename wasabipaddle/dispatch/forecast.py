"""Forecast of how long new jobs have to wait for room."""

import math

from wasabipaddle.dispatch.objective import measure_objective_s
from wasabipaddle.dispatch.order import USEFUL_OBJECTIVES, Outlook
from wasabipaddle.messages.jobs import ExpectedWait, LoadForecast

__all__ = ["LoadForecaster", "find_excess_s", "find_wait_s"]

# Shorter waits are not reported, so that messages are short while there is room. Each
# further point of a forecast stands for twice the wait.
MIN_WAIT_S = 1.0
# Waits in a forecast, since each workspace with a quota may have one for each pool and
# priority. A job whose wait is left out is accepted, unless another wait concerns it.
MAX_WAITS = 64
# Level of a workspace that is not above its share, for a job that has just begun.
NEW_JOB_SHARE = 1
MS_PER_S = 1000
# Interval at which the forecast is computed anew.
REFRESH_S = 0.5
# Time after a takeover in which there is no forecast, since runs that go on and jobs
# that come in late are not known yet.
SETTLING_S = 3.0
# Part of the expected wait and work that is taken as certain: the estimates of all jobs
# that wait may be too high.
CERTAIN_WAIT_SHARE = 0.5


class LoadForecaster:
    """Expects how long a new job has to wait for its pool and its quota.

    Counts the steps that go before it in the order of waiting work. What comes later
    and goes before it as well, what its other steps need, and advice are left out, so
    that the wait is rather longer.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    since_s : float or None
        Time at which a forecast was first asked for.
    latest : tuple of ExpectedWait
        All waits of the latest measurement.
    """

    def __init__(self, *, state):
        self.state = state
        self.since_s = None
        self.latest = ()
        self.measured_s = -math.inf

    def forecast(self, now) -> LoadForecast | None:
        """Return the forecast with its age, None while the state is not known well."""
        if self.since_s is None:
            self.since_s = now
        if self.state.suspects or now - self.since_s < SETTLING_S:
            return None
        if now - self.measured_s >= REFRESH_S:
            latest = self._measure(now)
            self._note_changes(latest)
            self.latest, self.measured_s = latest, now
        waits = _select_waits(self.latest)
        return LoadForecast(age_s=now - self.measured_s, waits=waits)

    @property
    def longest_wait_s(self) -> float:
        """Longest wait in the latest forecast, 0 if there is room for all."""
        return max((wait.longest_s for wait in self.latest), default=0.0)

    def _note_changes(self, latest):
        """Log for which work there is too little room now, and for which no more."""
        before = {_line(wait): wait for wait in self.latest}
        after = {_line(wait): wait for wait in latest}
        for kind, lines in (
            ("room_exceeded", after.keys() - before.keys()),
            ("room_regained", before.keys() - after.keys()),
        ):
            for line in sorted(lines):
                wait = after.get(line) or before[line]
                self.state.journal(
                    kind,
                    pool=wait.pool,
                    workspace=wait.workspace,
                    priority=wait.priority,
                    wait_ms=int(wait.longest_s * MS_PER_S),
                )

    def _measure(self, now):
        """Return the expected waits by pool, workspace and priority.

        Steps that wait for their quota take no room of the pool.
        """
        room, waits, sums, capacities = self._measure_room(), {}, {}, {}
        order, durations, quotas = (
            self.state.order,
            self.state.durations,
            self.state.quotas,
        )
        for step in order.waiting(now):
            spec, rank = step.spec, order.ranks[step.key]
            if spec.lasting or not _goes_before_new(rank):
                continue
            pool, workspace = step.job.queue.pool, step.job.job.workspace
            work = len(step.pending) * spec.cpu * durations.task_s(step)
            lines = []
            free = room.get(pool, 0)
            if free and not spec.opportunistic and quotas.admits(step):
                lines.append((pool, "", free))
            limit = quotas.limits.get(workspace)
            if limit is not None and limit.cpu:
                lines.append((pool, workspace, limit.cpu))
            for pool, name, capacity in lines:
                key = (pool, name)
                capacities[key] = capacity
                sums[key] = sums.get(key, 0.0) + work / max(capacity, 1)
                points = waits.setdefault((*key, step.job.queue.priority), [])
                if sums[key] >= (2 * points[-1][1] if points else MIN_WAIT_S):
                    points.append((rank.latest_s - now, sums[key]))
        return tuple(
            ExpectedWait(
                pool=pool,
                workspace=workspace,
                priority=priority,
                room=capacities[pool, workspace],
                work_weight=order.work_weight(pool),
                points=tuple(points),
            )
            for (pool, workspace, priority), points in waits.items()
            if points
        )

    def _measure_room(self):
        """Return the processors by pool that work which ends can use.

        A runner that gets no work for a moment, as after a failed call, still counts: a
        forecast must not refuse jobs for which there will be room.
        """
        room = {}
        for runner in self.state.runners.values():
            if not runner.stays:
                continue
            free = runner.entry.capacity.cpu
            for run in runner.runs.values():
                spec = run.task.spec
                free -= spec.cpu if spec.lasting and not spec.opportunistic else 0
            pool = runner.entry.pool
            room[pool] = room.get(pool, 0) + free
        return room


def _goes_before_new(rank) -> bool:
    """Return whether a step may go before new jobs of its priority.

    A new job can be in time, is taken as within the rate of its workspace, and its
    workspace as not far above its share.
    """
    in_time = rank.outlook is Outlook.IN_TIME
    return in_time and not rank.in_excess and rank.share_level <= NEW_JOB_SHARE


def _select_waits(waits):
    """Return the waits to report: those for room first, then the longest ones."""
    if len(waits) <= MAX_WAITS:
        return waits
    ordered = sorted(waits, key=lambda wait: (bool(wait.workspace), -wait.longest_s))
    return tuple(ordered[:MAX_WAITS])


def _line(wait):
    return (wait.pool, wait.workspace, wait.priority)


def find_excess_s(queue, workspace, spec, waits, *, quota=0) -> float:
    """Return by how much a job certainly exceeds the time in which it is of use.

    Only a part of the expected wait and of the estimated work counts as certain.

    Parameters
    ----------
    waits : tuple of ExpectedWait
        Forecast of the leader.
    quota : int
        Quota of the workspace in thousandths of a core, 0 if there is none. A job that
        it makes run in waves has a later objective, also if nothing waits for the
        quota.

    Returns
    -------
    float
        Time in seconds; 0 or less for a job that may be of use.
    """
    if spec.scheduled or spec.lasting:
        return 0.0
    concerned = _select_concerned(queue, workspace, waits)
    if not concerned:
        return 0.0
    wait_s = find_wait_s(queue, workspace, spec, waits, quota=quota)
    certain_s = CERTAIN_WAIT_SHARE * (wait_s + spec.chain_s)
    objective_s = _expected_objective_s(queue, spec, concerned, quota)
    return certain_s - USEFUL_OBJECTIVES * objective_s


def find_wait_s(queue, workspace, spec, waits, *, quota=0) -> float:
    """Return how long a new job is expected to wait for room and quota, in seconds.

    The parameters are those of `find_excess_s`.
    """
    concerned = _select_concerned(queue, workspace, waits)
    if not concerned:
        return 0.0
    slack_s = _expected_objective_s(queue, spec, concerned, quota) - spec.chain_s
    work = min(s.count * s.cpu * s.estimate_s for s in spec.steps if not s.after)
    return max(wait.wait_s(slack_s, work) for wait in concerned)


def _select_concerned(queue, workspace, waits):
    return [wait for wait in waits if wait.concerns(queue, workspace)]


def _expected_objective_s(queue, spec, concerned, quota):
    rooms = [wait.room for wait in concerned]
    limit = min(quota, *rooms) if quota else min(rooms)
    return measure_objective_s(queue, spec, room=max(rooms), quota=limit)
