"""Retry budget and exponential back-off."""

import attrs

__all__ = ["RetryBudget", "backoff_s"]

MAX_TOKENS = 100.0
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Token bucket to which requests add `ratio` tokens and retries cost one.

    Parameters
    ----------
    ratio : float
        Retries allowed per request, as a long-term average.
    tokens : float
        Retries that are available now.
    """

    ratio: float = 0.1
    tokens: float = 0.0

    def deposit(self):
        """Add the tokens of one request."""
        self.tokens = min(self.tokens + self.ratio, MAX_TOKENS)

    def withdraw(self) -> bool:
        """Take the token of one retry; return False if none is left."""
        # Ratios such as 0.1 have no exact binary representation, so their sum can stay
        # just below a whole number.
        if self.tokens < 1 - 1e-9:
            return False
        self.tokens -= 1
        return True


def backoff_s(attempt, random) -> float:
    """Return a delay in seconds with full jitter before retry `attempt` (from 1)."""
    longest = min(FIRST_BACKOFF_S * 2 ** (attempt - 1), MAX_BACKOFF_S)
    return random.uniform(0, longest)
