"""Estimates of waiting and run time of the requests of one service."""

import math

__all__ = ["ServiceEstimate"]

RATE_WINDOW_S = 2.0
RUN_EWMA_WEIGHT = 0.1
# A queue that has not been empty for this part of the caller's time, or for the
# longest such time, is a standing queue and no burst.
OVERLOAD_FRACTION = 0.5
MAX_OVERLOAD_AFTER_S = 5.0
PROBE_INTERVAL_S = 1.0


class ServiceEstimate:
    """Learned run time and rate at which the queue of a service is served.

    The rate is a sum of starts that decays with `RATE_WINDOW_S`. It begins at the
    most that the pool could do when a backlog begins, so a burst on an idle pool is
    not refused, and decays to what the service really gets.
    """

    def __init__(self):
        self.run_s = None
        self.rate = math.inf
        self.rate_at = 0.0
        self.backlog_since = None
        self.last_start = -math.inf

    def backlog_began(self, capacity, *, now):
        """Start to measure the rate when the first ticket waits."""
        self.backlog_since = now
        self.rate = max(capacity, 1) / self.run_s if self.run_s else math.inf
        self.rate_at = now

    def backlog_ended(self):
        """Stop to measure the rate when no ticket waits."""
        self.backlog_since = None

    def started(self, *, now):
        """Count one start."""
        self.last_start = now
        if self.rate is not math.inf:
            self.rate = self.rate_now(now) + 1 / RATE_WINDOW_S
            self.rate_at = now

    def ended(self, run_s, capacity, *, now):
        """Learn from the run time of one request, in seconds."""
        if self.run_s is None:
            self.run_s = max(run_s, 1e-6)
        else:
            self.run_s += RUN_EWMA_WEIGHT * (run_s - self.run_s)
        if self.rate is math.inf:
            self.rate = max(capacity, 1) / self.run_s
            self.rate_at = now

    def rate_now(self, now) -> float:
        """Return the starts per second, decayed to `now`."""
        if self.rate is math.inf:
            return math.inf
        return self.rate * math.exp((self.rate_at - now) / RATE_WINDOW_S)

    def wait_s(self, ahead, floor_slots, *, now) -> float:
        """Return the expected wait behind `ahead` tickets of the service.

        Parameters
        ----------
        ahead : int
            Tickets of the service that wait already.
        floor_slots : float
            Guaranteed slots, which bound the rate from below.
        """
        if ahead == 0:
            return 0.0
        rate = self.rate_now(now)
        if self.run_s:
            rate = max(rate, floor_slots / self.run_s)
        return ahead / rate if rate > 0 else math.inf

    def overloaded(self, time_limit_s, *, now) -> bool:
        """Return whether a queue is standing.

        Parameters
        ----------
        time_limit_s : float
            Time from receipt to the deadline of a request.
        """
        if self.backlog_since is None:
            return False
        after_s = min(time_limit_s * OVERLOAD_FRACTION, MAX_OVERLOAD_AFTER_S)
        return now - self.backlog_since > after_s

    def cannot_finish_by(self, deadline, *, now) -> bool:
        """Return whether a start now would end after `deadline`.

        One request per `PROBE_INTERVAL_S` is started regardless, since a service that
        never starts a request could not correct its estimate.
        """
        if now >= deadline:
            return True
        if self.run_s is None or now - self.last_start > PROBE_INTERVAL_S:
            return False
        return now + self.run_s > deadline
