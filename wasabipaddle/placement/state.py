"""Records of workers, reservations and holds."""

import enum

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.placement.amounts import ZERO

__all__ = ["Hold", "Reclaim", "Reservation", "WorkerState"]


class Reclaim(enum.IntEnum):
    """When a task may be preempted for urgent work or a guaranteed floor."""

    NEVER = 0
    LAST = 1  # if deferrable work is not enough
    FIRST = 2


@attrs.frozen(kw_only=True)
class Reservation:
    """Amounts of one task on one worker.

    Parameters
    ----------
    reclaim : Reclaim
        When the task may be preempted for urgent work.
    """

    worker: str
    amount: Resources
    reclaim: "Reclaim"


@attrs.define(kw_only=True)
class Hold:
    """Amounts that a worker keeps free for work that starts later.

    Parameters
    ----------
    wanted : Resources
        Amounts to collect.
    amount : Resources
        Amounts collected so far.
    """

    wanted: Resources
    amount: Resources = ZERO

    @property
    def complete(self) -> bool:
        """Whether everything wanted has been collected."""
        return self.amount == self.wanted


@attrs.define(kw_only=True)
class WorkerState:
    """One worker as the shard leader sees it.

    Parameters
    ----------
    free : Resources
        Size minus reservations and collected holds.
    reclaimable : dict of Reclaim to Resources
        Sum of the reservations that may be preempted, where `LAST` includes `FIRST`.
    """

    name: str
    rack: str
    data_centre: str
    size: Resources
    free: Resources
    reclaimable: dict = attrs.field(
        factory=lambda: {Reclaim.FIRST: ZERO, Reclaim.LAST: ZERO}
    )
    tasks: dict = attrs.field(factory=dict)
    holds: dict = attrs.field(factory=dict)
    quarantined: bool = False
    leaving: bool = False
    pressured: bool = False

    @property
    def open(self) -> bool:
        """Whether new tasks may be placed here."""
        return not (self.quarantined or self.leaving or self.pressured)
