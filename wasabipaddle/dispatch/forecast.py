"""Forecast of how long new jobs have to wait for room."""

import math

from wasabipaddle.dispatch.order import Outlook
from wasabipaddle.messages.jobs import ExpectedWait, LoadForecast

__all__ = ["LoadForecaster"]

MILLICORES = 1000
# Shorter waits are not reported, so that messages are short while there is room.
MIN_WAIT_S = 1.0
# Interval at which the forecast is computed anew.
REFRESH_S = 0.5
# Time after a takeover in which there is no forecast, since runs that go on and jobs
# that come in late are not known yet.
SETTLING_S = 3.0


class LoadForecaster:
    """Expects how long a new job of each priority waits for its pool and its quota.

    Counts only the steps that go before such a job and are waiting now. What comes
    later, what its other steps need, and advice are left out, so that the wait is
    rather longer.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    since_s : float or None
        Time at which a forecast was first asked for.
    """

    def __init__(self, *, state):
        self.state = state
        self.since_s = None
        self.latest = None
        self.measured_s = -math.inf

    def forecast(self, now) -> LoadForecast | None:
        """Return the forecast with its age, None while the state is not known well."""
        if self.since_s is None:
            self.since_s = now
        if self.state.suspects or now - self.since_s < SETTLING_S:
            return None
        if now - self.measured_s >= REFRESH_S:
            self.latest = tuple(self._measure(now))
            self.measured_s = now
        return LoadForecast(age_s=now - self.measured_s, waits=self.latest)

    def _measure(self, now):
        """Return the waits of at least `MIN_WAIT_S`."""
        pools, workspaces = self._sum_work(now)
        room = self._measure_room(now)
        for (pool, priority), work_s in _accumulate(pools):
            wait_s = work_s / max(room.get(pool, 0), 1)
            if wait_s >= MIN_WAIT_S:
                yield ExpectedWait(pool=pool, priority=priority, wait_s=wait_s)
        for (name, priority), work_s in _accumulate(workspaces):
            limit = self.state.quotas.limits.get(name)
            if limit is None or not limit.cpu:
                continue
            wait_s = work_s / limit.cpu
            if wait_s >= MIN_WAIT_S:
                yield ExpectedWait(workspace=name, priority=priority, wait_s=wait_s)

    def _sum_work(self, now):
        """Return the waiting work by pool and by workspace, each with the priority.

        Work is in thousandths of a core times seconds. Late work, and work of no use,
        goes after that of new jobs of its priority. Steps that wait for their quota
        take no room of the pool.
        """
        pools, workspaces = {}, {}
        order, durations = self.state.order, self.state.durations
        for step in order.waiting(now):
            spec = step.spec
            if spec.lasting or order.ranks[step.key].outlook is not Outlook.IN_TIME:
                continue
            priority = step.job.queue.priority
            work = len(step.pending) * spec.cpu * durations.task_s(step)
            workspace = step.job.job.workspace
            if workspace:
                key = (workspace, priority)
                workspaces[key] = workspaces.get(key, 0) + work
            if not spec.opportunistic and self.state.quotas.admits(step):
                key = (step.job.queue.pool, priority)
                pools[key] = pools.get(key, 0) + work
        return pools, workspaces

    def _measure_room(self, now):
        """Return the processors by pool that work which ends can use."""
        room = {}
        for runner in self.state.runners.values():
            if not runner.usable(now):
                continue
            free = runner.entry.capacity.cpu
            for run in runner.runs.values():
                spec = run.task.spec
                free -= spec.cpu if spec.lasting and not spec.opportunistic else 0
            pool = runner.entry.pool
            room[pool] = room.get(pool, 0) + free
        return room


def _accumulate(work):
    """Return rows of key and work with that of higher priorities, by rising priority.

    Parameters
    ----------
    work : dict of (str, int) to float
        Work by name and priority.
    """
    rows, sums = [], {}
    for name, priority in sorted(work):
        sums[name] = sums.get(name, 0.0) + work[name, priority]
        rows.append(((name, priority), sums[name]))
    return rows
