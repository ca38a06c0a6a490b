"""Order in which a process exchanges messages with its peers."""

__all__ = ["Ring"]


class Ring:
    """Ring of names from which each process picks its next peer.

    Each call of `next` uses the next offset from the position of `own`. An exchange
    informs both sides, so half of the offsets suffice for every pair to exchange
    messages at least once per round, and each name is called as often as it calls.

    Parameters
    ----------
    names : sequence of str
        All names, in the same order in every process.
    own : str
        Name of this process, or of its data centre on a ring of data centres.
    """

    def __init__(self, *, names, own):
        self.names = list(names)
        self.position = self.names.index(own)
        self.offset_count = len(self.names) // 2
        self.turn = 0

    def next(self) -> str | None:
        """Return the name of the next peer, or None if there is no other name."""
        if not self.offset_count:
            return None
        offset = 1 + self.turn % self.offset_count
        self.turn += 1
        return self.names[(self.position + offset) % len(self.names)]
