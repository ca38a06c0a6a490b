"""Circuit breaker of one endpoint, driven by the outcomes of its requests."""

import enum
import math

__all__ = ["BreakerState", "CircuitBreaker"]

DECAY_S = 5.0
MIN_FAILURES = 3.0
FAILURE_RATIO = 0.5
FIRST_OPEN_S = 0.5
MAX_OPEN_S = 10.0


class BreakerState(enum.Enum):
    """Whether an endpoint gets all requests, none, or one probe at a time."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Opens on a high ratio of recent failures and probes with back-off.

    Counts of successes and failures decay exponentially with time constant `DECAY_S`.

    Parameters
    ----------
    random : random.Random
        Source of jitter.
    """

    def __init__(self, *, random):
        self.random = random
        self.state = BreakerState.CLOSED
        self.successes = 0.0
        self.failures = 0.0
        self.decayed_at = 0.0
        self.openings = 0
        self.open_until = 0.0

    def limit(self, *, now):
        """Return the largest number of concurrent requests that is allowed now.

        An open breaker whose back-off has passed becomes half-open.
        """
        if self.state is BreakerState.OPEN and now >= self.open_until:
            self.state = BreakerState.HALF_OPEN
        if self.state is BreakerState.OPEN:
            return 0
        return 1 if self.state is BreakerState.HALF_OPEN else math.inf

    def record_success(self, *, now):
        """Count a success; a successful probe closes the breaker."""
        self._decay(now)
        self.successes += 1
        if self.state is BreakerState.HALF_OPEN:
            self.state = BreakerState.CLOSED
            self.failures = 0.0
            self.openings = 0

    def record_failure(self, *, now):
        """Count a failure; a failed probe opens the breaker for longer."""
        self._decay(now)
        self.failures += 1
        total = self.failures + self.successes
        if self.state is BreakerState.HALF_OPEN or (
            self.state is BreakerState.CLOSED
            and self.failures >= MIN_FAILURES
            and self.failures / total >= FAILURE_RATIO
        ):
            self._open(now)

    def _open(self, now):
        self.state = BreakerState.OPEN
        longest = min(FIRST_OPEN_S * 2**self.openings, MAX_OPEN_S)
        self.openings = min(self.openings + 1, 10)
        self.open_until = now + longest * self.random.uniform(0.5, 1.0)

    def _decay(self, now):
        factor = math.exp((self.decayed_at - now) / DECAY_S)
        self.successes *= factor
        self.failures *= factor
        self.decayed_at = now
