"""Budget and back-off of retries."""

import attrs

__all__ = ["RetryBudget", "backoff_s"]

MAX_TOKENS = 100.0
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Token bucket that each request fills a little and each retry empties.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    tokens : float
        Retries that are allowed now.
    """

    ratio: float = 0.1
    tokens: float = 0.0

    def deposit(self):
        """Count one request."""
        self.tokens = min(self.tokens + self.ratio, MAX_TOKENS)

    def withdraw(self) -> bool:
        """Use one retry; return False if none is left."""
        # Sums of binary fractions such as 0.1 can stay just below a whole number.
        if self.tokens < 1 - 1e-9:
            return False
        self.tokens -= 1
        return True


def backoff_s(attempt, random) -> float:
    """Return a pause with full jitter before retry number `attempt`, from 1."""
    longest = min(FIRST_BACKOFF_S * 2 ** (attempt - 1), MAX_BACKOFF_S)
    return random.uniform(0, longest)
