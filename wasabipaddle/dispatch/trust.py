"""How far the results of a runner are trusted."""

import attrs

__all__ = ["RunnerHealth"]

# Consecutive failures on a runner that stop new work there.
FAILURES_TO_QUARANTINE = 2
INITIAL_QUARANTINE_S = 2.0
MAX_QUARANTINE_S = 16.0
SPEED_WEIGHT = 0.2
# Least ratio of the usual to the actual duration on a sound runner.
NORMAL_SPEED_RATIO = 0.6


@attrs.define(kw_only=True, eq=False)
class RunnerHealth:
    """Recent results of one runner.

    Parameters
    ----------
    failures : int
        Failures and stalls since the last task that completed.
    quarantined_until_s : float
        Time until which the runner gets no work; afterwards one task at a time until
        one completes.
    quarantine_s : float
        Length of the next quarantine.
    speed : float
        How many times faster than usual recent tasks were.
    last_normal_s : float
        Time at which a task last ended at about the usual speed.
    """

    failures: int = 0
    quarantined_until_s: float = 0.0
    quarantine_s: float = INITIAL_QUARANTINE_S
    speed: float = 1.0
    last_normal_s: float = 0.0

    def record_completion(self, ratio, now):
        """Note a completed task that was `ratio` times faster than usual."""
        self.failures = 0
        self.quarantine_s = INITIAL_QUARANTINE_S
        self.quarantined_until_s = 0.0
        if ratio is not None and ratio > NORMAL_SPEED_RATIO:
            self.last_normal_s = now
        if ratio is not None:
            self.speed += SPEED_WEIGHT * (min(max(ratio, 0.1), 4.0) - self.speed)

    def record_failure(self, now) -> bool:
        """Note a failure or stall; return whether a quarantine begins."""
        self.failures += 1
        if self.failures < FAILURES_TO_QUARANTINE or now < self.quarantined_until_s:
            return False
        self.quarantined_until_s = now + self.quarantine_s
        self.quarantine_s = min(2 * self.quarantine_s, MAX_QUARANTINE_S)
        return True

    def admits_task(self, now, running) -> bool:
        """Return whether a task may start beside `running` others."""
        if now < self.quarantined_until_s:
            return False
        return self.failures < FAILURES_TO_QUARANTINE or running == 0
