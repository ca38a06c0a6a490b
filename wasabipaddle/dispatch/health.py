"""Health of runners by the results of their tasks."""

import attrs

__all__ = ["RunnerHealth"]

# Number of consecutive failures that quarantines a runner.
FAILURES_TO_QUARANTINE = 2
INITIAL_QUARANTINE_S = 2.0
MAX_QUARANTINE_S = 16.0
# Time after which a task that was started as a probe holds back no other work. Tasks
# that take long, or last, would otherwise keep the runner from all of it.
PROBE_S = 3.0
# Weight of the latest ratio in the moving average of the speed.
SPEED_WEIGHT = 0.2
# A ratio of usual to actual duration above this counts as normal speed.
NORMAL_SPEED_RATIO = 0.6


def _note_change(health, attribute, value):
    """Note a change that matters to placement."""
    if getattr(health, attribute.name) != value:
        health.note_change()
    return value


def _watched(default):
    return attrs.field(default=default, on_setattr=_note_change)


def _ignore_change():
    """Take the note of a change if the health belongs to no runner."""


@attrs.define(kw_only=True, eq=False)
class RunnerHealth:
    """Recent results of one runner.

    Parameters
    ----------
    failures : int
        Failed and stalled runs, and starts refused as unhealthy, since the last
        completion.
    quarantined_until_s : float
        Time until which the runner gets no work; afterwards it gets one task as a probe
        each `PROBE_S`, until one completes.
    quarantine_s : float
        Duration of the next quarantine; doubled by each one up to a maximum, and reset
        by a completion.
    speed : float
        Moving average of the ratio of usual to actual duration; the watchdog lowers it
        at once if the runner is slow.
    last_normal_s : float
        Time at which a task last completed at about the usual speed.
    note_change : callable
        Called when a value has changed that decides about new work.
    """

    failures: int = _watched(0)
    quarantined_until_s: float = _watched(0.0)
    quarantine_s: float = INITIAL_QUARANTINE_S
    speed: float = _watched(1.0)
    last_normal_s: float = 0.0
    note_change: object = _ignore_change

    def record_completion(self, ratio, now):
        """Record a completion.

        Parameters
        ----------
        ratio : float or None
            Usual duration of runs of the step divided by the duration of this run,
            None if unknown.
        """
        self.failures = 0
        self.quarantine_s = INITIAL_QUARANTINE_S
        self.quarantined_until_s = 0.0
        if ratio is not None and ratio > NORMAL_SPEED_RATIO:
            self.last_normal_s = now
        if ratio is not None:
            self.speed += SPEED_WEIGHT * (min(max(ratio, 0.1), 4.0) - self.speed)

    def record_failure(self, now) -> bool:
        """Count a failure in `failures` and return whether a quarantine begins."""
        self.failures += 1
        if self.failures < FAILURES_TO_QUARANTINE or now < self.quarantined_until_s:
            return False
        self.quarantined_until_s = now + self.quarantine_s
        self.quarantine_s = min(2 * self.quarantine_s, MAX_QUARANTINE_S)
        return True

    def admits_task(self, now, starts_s) -> bool:
        """Return whether a task may start on the runner.

        Parameters
        ----------
        starts_s : iterable of float
            Times at which the runs in progress on the runner were started.
        """
        if now < self.quarantined_until_s:
            return False
        if self.failures < FAILURES_TO_QUARANTINE:
            return True
        since_s = max(self.quarantined_until_s, now - PROBE_S)
        return all(start_s < since_s for start_s in starts_s)

    def next_change_s(self, now, starts_s) -> float:
        """Return when the passage of time may let a task start, 0 if one may now.

        Parameters
        ----------
        starts_s : list of float
            Times at which the runs in progress on the runner were started.
        """
        if now < self.quarantined_until_s:
            return self.quarantined_until_s
        if self.admits_task(now, starts_s):
            return 0.0
        return max(now, max(starts_s) + PROBE_S)
