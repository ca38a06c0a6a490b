"""Rate limits per caller or operator."""

import collections

import attrs

__all__ = ["CallerLimits"]

MAX_CALLERS = 10_000


@attrs.define(kw_only=True)
class _Bucket:
    tokens: float
    refilled_at: float


class CallerLimits:
    """One token bucket per caller; the least recently used buckets are evicted.

    Parameters
    ----------
    rate_per_s, burst : float
        Refill rate in tokens per second, and size of a bucket in tokens.
    clock : Clock
        Source of time.
    max_callers : int
        Largest number of buckets.
    """

    def __init__(self, *, rate_per_s, burst, clock, max_callers=MAX_CALLERS):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        self.max_callers = max_callers
        self.buckets = collections.OrderedDict()

    def take(self, caller) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        now = self.clock.now()
        bucket = self.buckets.get(caller)
        if bucket is None:
            bucket = self.buckets[caller] = _Bucket(tokens=self.burst, refilled_at=now)
            if len(self.buckets) > self.max_callers:
                self.buckets.popitem(last=False)
        self.buckets.move_to_end(caller)
        refill = (now - bucket.refilled_at) * self.rate_per_s
        bucket.tokens = min(bucket.tokens + refill, self.burst)
        bucket.refilled_at = now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return 0.0
        return (1 - bucket.tokens) / self.rate_per_s
