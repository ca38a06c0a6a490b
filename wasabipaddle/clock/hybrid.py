"""Hybrid logical clock, which orders events across processes."""

import attrs

__all__ = ["HybridClock", "HybridTime"]


@attrs.frozen(kw_only=True, order=True)
class HybridTime:
    """One hybrid logical timestamp.

    Parameters
    ----------
    wall_ms : int
        Largest wall-clock time seen so far, in milliseconds.
    counter : int
        Logical counter that orders timestamps with the same `wall_ms`.
    """

    wall_ms: int
    counter: int = 0


class HybridClock:
    """Clock that never goes back and is ahead of every received timestamp.

    Parameters
    ----------
    clock : Clock
        Source of wall-clock time.

    References
    ----------
    Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.latest = HybridTime(wall_ms=0)

    def tick(self) -> HybridTime:
        """Return a timestamp for a local event or a message to send."""
        wall = self.clock.wall_ms()
        if wall > self.latest.wall_ms:
            self.latest = HybridTime(wall_ms=wall)
        else:
            self.latest = attrs.evolve(self.latest, counter=self.latest.counter + 1)
        return self.latest

    def receive(self, timestamp) -> HybridTime:
        """Merge the timestamp of a received message and return a later one."""
        if timestamp > self.latest:
            self.latest = timestamp
        return self.tick()
