"""Token bucket that limits the rate of calls."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Token bucket that holds at most the tokens of one second.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second, and largest number of tokens.
    """

    def __init__(self, *, rate_per_s):
        self.rate_per_s = rate_per_s
        self.tokens = rate_per_s
        self.updated_s = None

    def take(self, now) -> float:
        """Take one token.

        Returns
        -------
        float
            0 if a token was taken, otherwise the seconds until one is available.
        """
        if self.updated_s is not None:
            added = (now - self.updated_s) * self.rate_per_s
            self.tokens = min(self.rate_per_s, self.tokens + added)
        self.updated_s = now
        if self.tokens < 1:
            return (1 - self.tokens) / self.rate_per_s
        self.tokens -= 1
        return 0.0
