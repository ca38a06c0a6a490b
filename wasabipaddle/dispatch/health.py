"""Health of runners by the results of their tasks."""

import math

import attrs

__all__ = ["RunnerHealth"]

# Number of consecutive failures that quarantines a runner.
FAILURES_TO_QUARANTINE = 2
INITIAL_QUARANTINE_S = 2.0
MAX_QUARANTINE_S = 16.0
# Time after which a task that was started as a probe holds back no other work. Tasks
# that take long, or last, would otherwise keep the runner from all of it.
PROBE_S = 3.0
# Time for which a task that lasts, and so never completes, has to be at work to show
# that its runner is sound.
SOUND_WORK_S = 3.0
# A run of at least this fraction of the usual speed of its runner shows that nothing
# slows the runner down.
NORMAL_SPEED_FRACTION = 0.6
# Lowest speed of a runner that is slowed down.
MIN_SPEED = 0.1


def _note_change(health, attribute, value):
    """Note a change that matters to placement."""
    if getattr(health, attribute.name) != value:
        health.note_change()
    return value


def _watched(default):
    return attrs.field(default=default, on_setattr=_note_change)


# Time after which a completion whose speed is not known ends a slowdown. Steps of one
# or two tasks never show a speed.
SLOWDOWN_S = 10.0


def _ignore_change():
    """Take the note of a change if the health belongs to no runner."""


@attrs.define(kw_only=True, eq=False)
class RunnerHealth:
    """Recent results of one runner.

    Parameters
    ----------
    failures : int
        Failed and stalled runs, and starts refused as unhealthy, since the last
        completion, or the last work as long as `SOUND_WORK_S`.
    quarantined_until_s : float
        Time until which the runner gets no work; afterwards it gets one task as a probe
        each `PROBE_S`, until one completes or works on as long as `SOUND_WORK_S`.
    quarantine_s : float
        Duration of the next quarantine; doubled by each one up to a maximum, and reset
        by a completion or by such work.
    last_failure_s : float
        Time of the last failure, minus infinity before the first.
    speed : float
        Expected speed relative to a usual runner; see `Speeds`.
    own_speed : float
        Average over the runs of the runner alone.
    runs_timed : int
        Number of runs in `own_speed`: how sure it is.
    normal_speed : float or None
        Expected speed before the runner was slowed down, None if it is not.
    slowed_s : float
        Time at which its runs were last found to take longer than usual.
    last_normal_s : float
        Time at which a task last completed at about the usual speed.
    note_change : callable
        Called when a value has changed that decides about new work.
    """

    failures: int = _watched(0)
    quarantined_until_s: float = _watched(0.0)
    quarantine_s: float = INITIAL_QUARANTINE_S
    last_failure_s: float = -math.inf
    speed: float = _watched(1.0)
    own_speed: float = 1.0
    runs_timed: int = 0
    normal_speed: float | None = _watched(None)
    slowed_s: float = 0.0
    last_normal_s: float = 0.0
    note_change: object = _ignore_change

    def record_completion(self, speed, now):
        """Record a completion.

        Parameters
        ----------
        speed : float or None
            Speed that the run has shown, None if unknown.
        """
        self._forget_failures()
        if speed is not None and speed > NORMAL_SPEED_FRACTION * self.usual_speed:
            self.last_normal_s = now
            self.end_slowdown()
        elif speed is None and now - self.slowed_s > SLOWDOWN_S:
            self.end_slowdown()

    def _forget_failures(self):
        self.failures = 0
        self.quarantine_s = INITIAL_QUARANTINE_S
        self.quarantined_until_s = 0.0

    def record_work(self, started_s, at_work_since_s, now):
        """Record that a run that lasts is at work.

        Failures from after its start count on: a runner that fails whatever it starts
        may let earlier runs go on.

        Parameters
        ----------
        started_s, at_work_since_s : float
            Times at which the run was started and at which it was first at work.
        """
        if not self.failures or now - at_work_since_s < SOUND_WORK_S:
            return
        if started_s > self.last_failure_s:
            self._forget_failures()

    @property
    def usual_speed(self) -> float:
        """Expected speed of the runner while nothing slows it down."""
        return self.speed if self.normal_speed is None else self.normal_speed

    def end_slowdown(self):
        """Return to the speed before the runner was slowed down."""
        if self.normal_speed is not None:
            self.speed = self.normal_speed
            self.normal_speed = None

    def slow_down(self, factor, now):
        """Record that the runs in progress take longer than usual by a factor."""
        self.slowed_s = now
        if self.normal_speed is None:
            self.normal_speed = self.speed
        self.speed = min(self.speed, max(self.normal_speed / factor, MIN_SPEED))

    def record_failure(self, now) -> bool:
        """Count a failure in `failures` and return whether a quarantine begins."""
        self.failures += 1
        self.last_failure_s = now
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
