"""Estimates of the waiting time and run time of requests of one service."""

import math

__all__ = ["ServiceEstimate"]

RATE_WINDOW_S = 2.0
RUN_EWMA_WEIGHT = 0.1
# A queue that holds tickets without interruption for this fraction of the time allowed
# to a request, or for `MAX_OVERLOAD_AFTER_S` if that is shorter, is a standing queue,
# not a burst.
OVERLOAD_FRACTION = 0.5
MAX_OVERLOAD_AFTER_S = 5.0
PROBE_INTERVAL_S = 1.0


class ServiceEstimate:
    """Estimated run time and service rate of the queue of one service.

    The rate, in starts per second, is an exponentially decaying average with time
    constant `RATE_WINDOW_S`. When a backlog begins, it is set to the rate that the
    whole pool could serve, so that a burst on an idle pool is not refused. It then
    decays to the rate that the service actually gets.

    Attributes
    ----------
    run_s : float or None
        Moving average of the run time in seconds; None before the first request ends.
    rate : float
        Starts per second; infinite until a run time is known.
    """

    def __init__(self):
        self.run_s = None
        self.rate = math.inf
        self.rate_at = 0.0
        self.backlog_since = None
        self.last_start = -math.inf

    def begin_backlog(self, capacity, *, now):
        """Record that a first ticket waits, and set the rate to that of the pool."""
        self.backlog_since = now
        self.rate = max(capacity, 1) / self.run_s if self.run_s else math.inf
        self.rate_at = now

    def end_backlog(self):
        """Record that no ticket waits any more."""
        self.backlog_since = None

    def record_start(self, *, now):
        """Count the start of one request."""
        self.last_start = now
        if self.rate is not math.inf:
            self.rate = self.rate_now(now) + 1 / RATE_WINDOW_S
            self.rate_at = now

    def record_end(self, run_s, capacity, *, now):
        """Update the averages with the run time of one request, in seconds."""
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
        """Return the expected wait in seconds behind `ahead` tickets of the service.

        Parameters
        ----------
        ahead : int
            Number of tickets of the service that already wait.
        floor_slots : float
            Number of guaranteed slots, which bounds the rate from below.
        """
        if ahead == 0:
            return 0.0
        rate = self.rate_now(now)
        if self.run_s:
            rate = max(rate, floor_slots / self.run_s)
        return ahead / rate if rate > 0 else math.inf

    def overloaded(self, time_limit_s, *, now) -> bool:
        """Return whether the service has a standing queue.

        Parameters
        ----------
        time_limit_s : float
            Time allowed to a request, from its arrival to its deadline.
        """
        if self.backlog_since is None:
            return False
        after_s = min(time_limit_s * OVERLOAD_FRACTION, MAX_OVERLOAD_AFTER_S)
        return now - self.backlog_since > after_s

    def cannot_finish_by(self, deadline, *, now) -> bool:
        """Return whether a request started now would end after `deadline`.

        If no request was started within `PROBE_INTERVAL_S`, the estimate is ignored,
        since a service that starts no request cannot correct it.
        """
        if now >= deadline:
            return True
        if self.run_s is None or now - self.last_start > PROBE_INTERVAL_S:
            return False
        return now + self.run_s > deadline
