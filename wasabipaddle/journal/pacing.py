"""Rate limit of journal writes, and back-off after failures."""

__all__ = ["Backoff", "Pacer"]

# Time for which a full bucket covers writes at the allowed rate.
BUCKET_CAPACITY_S = 1.0

# Number of writes that the allowance permits in the append interval of an empty bucket,
# unless `min_interval_s` is longer. An interval uses two of them: the append and the
# later deletion of its batch.
WRITES_PER_MAX_INTERVAL = 3.0


class Pacer:
    """Token bucket of store writes; the tokens left set the append interval.

    With a full bucket the interval is `min_interval_s`. It grows as the bucket
    empties, so that batches grow and the write rate stays below the allowance.

    Parameters
    ----------
    clock : Clock
        Source of time.
    min_interval_s : float
        Shortest time between two appends, in seconds.
    writes_per_s : float
        Allowance of store writes per second.
    """

    def __init__(self, *, clock, min_interval_s, writes_per_s):
        self.clock = clock
        self.min_interval_s = min_interval_s
        self.writes_per_s = writes_per_s
        self.capacity = BUCKET_CAPACITY_S * writes_per_s
        self.tokens = self.capacity
        self.refilled_at = clock.now()
        self.last_append_at = -min_interval_s

    def consume(self, writes=1):
        """Take a token for each write; the balance is at least minus the capacity."""
        self._refill()
        self.tokens = max(self.tokens - writes, -self.capacity)

    def record_append(self):
        """Take the token of an append and start the interval to the next one."""
        self.consume()
        self.last_append_at = self.clock.now()

    def wait_s(self) -> float:
        """Return the time until the next append may be sent, in seconds."""
        self._refill()
        used = 1 - max(self.tokens, 0.0) / self.capacity
        max_interval = max(
            WRITES_PER_MAX_INTERVAL / self.writes_per_s, self.min_interval_s
        )
        interval = self.min_interval_s + used * (max_interval - self.min_interval_s)
        return max(self.last_append_at + interval - self.clock.now(), 0.0)

    def _refill(self):
        now = self.clock.now()
        gained = (now - self.refilled_at) * self.writes_per_s
        self.tokens = min(self.tokens + gained, self.capacity)
        self.refilled_at = now


class Backoff:
    """Exponential back-off with jitter.

    Pauses grow from `MIN_PAUSE_S` to `MAX_PAUSE_S`; jitter then shortens or lengthens
    each of them by up to a half.

    Parameters
    ----------
    random : random.Random
        Source of jitter.
    """

    MIN_PAUSE_S = 0.2
    MAX_PAUSE_S = 3.0

    def __init__(self, *, random):
        self.random = random
        self.failures = 0

    def reset(self):
        """Return to the shortest pause."""
        self.failures = 0

    def next_pause_s(self, failure) -> float:
        """Return the pause after `failure` in seconds, and lengthen the next one.

        The pause is at least the `retry_after_s` of the failure.
        """
        pause = min(self.MIN_PAUSE_S * 2**self.failures, self.MAX_PAUSE_S)
        self.failures = min(self.failures + 1, 10)
        pause *= 0.5 + self.random.random()
        return max(pause, failure.retry_after_s or 0.0)
