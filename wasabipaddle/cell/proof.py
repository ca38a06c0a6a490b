"""Proof of leadership: reads of the leader key by the leader."""

import asyncio
import math

from wasabipaddle.cell.keys import LEADER_KEY

__all__ = ["LEADERSHIP_EVENTS", "LeadershipProof"]

# Time between two reads of the leader key.
READ_PERIOD_S = 0.4
# Events that tell why a run is taken for gone; they are logged with the leadership on
# which the decision rests.
LEADERSHIP_EVENTS = frozenset(
    {
        "leases_expired",
        "proof_expired",
        "proof_regained",
        "run_removed",
        "runner_lost",
        "runner_regained",
        "suspect_cleared",
    }
)


class LeadershipProof:
    """Latest time at which this process certainly led.

    A renewal of the lease of the leader key proves nothing, since a successor that
    replaces the record leaves the lease of its predecessor alone.

    Parameters
    ----------
    election : ElectionPlugin
        Provides the epoch, the store and the watch of the leader key.

    Attributes
    ----------
    proved_s : float
        Time on the boot clock at which the latest call that showed this process as the
        leader was sent.
    early_read : asyncio.Task or None
        Latest read that did not wait for the period.
    """

    def __init__(self, *, election):
        self.election = election
        self.clock = election.context.clock
        self.proved_s = -math.inf
        self.early_read = None

    def age_s(self) -> float:
        """Return how long ago this process certainly led, in seconds.

        Infinite while it does not lead. Time for which the machine was suspended
        counts as well.
        """
        if not self.election.epoch:
            return math.inf
        return self.clock.boot_s() - self.proved_s

    async def read(self) -> bool:
        """Read the leader key; return whether this process holds it."""
        election = self.election
        epoch, began_s = election.epoch, self.clock.boot_s()
        found = await election.store.get(LEADER_KEY)
        if found.is_err() or not epoch or epoch != election.epoch:
            return False
        entry = found.ok()
        if entry is None or entry.revision != epoch:
            election.watch.expire()
            return False
        self.proved_s = max(self.proved_s, began_s)
        return True

    def read_now(self):
        """Read the key in the background without waiting for the period."""
        if self.early_read is None or self.early_read.done():
            self.early_read = self.election.tasks.spawn(self.read())

    async def read_periodically(self):
        """Read the key again and again; a lost answer does not delay the next read."""
        while True:
            await asyncio.sleep(READ_PERIOD_S)
            if self.election.epoch:
                self.election.tasks.spawn(self.read())
