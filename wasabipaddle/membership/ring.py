"""Order in which a process meets the others."""

__all__ = ["Ring"]


class Ring:
    """Names on a ring; each call names the next one to exchange messages with.

    An exchange informs both sides, so half of the offsets on the ring make every
    pair meet once per round, and each name is called as often as it calls.

    Parameters
    ----------
    names : sequence of str
        All names, in the same order in every process.
    own : str
        The name of the caller.
    """

    def __init__(self, *, names, own):
        self.names = list(names)
        self.position = self.names.index(own)
        self.offset_count = len(self.names) // 2
        self.turn = 0

    def next(self) -> str | None:
        """Return the next name, None if there is no other."""
        if not self.offset_count:
            return None
        offset = 1 + self.turn % self.offset_count
        self.turn += 1
        return self.names[(self.position + offset) % len(self.names)]
