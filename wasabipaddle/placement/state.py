"""Records of workers, reservations and holds."""

import enum

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.placement.resources import ZERO

__all__ = ["Hold", "Reclaim", "Reservation", "WorkerState"]


class Reclaim(enum.IntEnum):
    """Class of a task in the order of preemption."""

    NEVER = 0
    LAST = 1  # only if ending the tasks of class FIRST is not enough
    FIRST = 2


@attrs.frozen(kw_only=True)
class Reservation:
    """Resources reserved for one task on one worker.

    Parameters
    ----------
    reclaim : Reclaim
        Class in which the task may be preempted.
    """

    worker: str
    amount: Resources
    reclaim: "Reclaim"


@attrs.define(kw_only=True)
class Hold:
    """Resources of a worker that are collected for work that starts later.

    Parameters
    ----------
    wanted : Resources
        Resources to collect.
    amount : Resources
        Resources collected so far.
    """

    wanted: Resources
    amount: Resources = ZERO

    @property
    def complete(self) -> bool:
        """Whether all wanted resources have been collected."""
        return self.amount == self.wanted


@attrs.define(kw_only=True)
class WorkerState:
    """State of one worker as the shard leader knows it.

    Parameters
    ----------
    free : Resources
        Size minus reservations and resources collected by holds.
    reclaimable : dict of Reclaim to Resources
        Sum of the reservations that may be preempted; `LAST` includes `FIRST`.
    tasks : dict of str to Resources
        Reservation of each task.
    holds : dict of str to Hold
        Holds by key of their plan, in the order in which they collect.
    unavailable : bool
        Whether the worker gets no new tasks because it is leaving, unreachable or has
        not answered yet.
    pressured : bool
        Whether the measured use leaves no room for new tasks.
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
    unavailable: bool = False
    pressured: bool = False

    @property
    def open(self) -> bool:
        """Whether new tasks may be placed here."""
        return not (self.quarantined or self.unavailable or self.pressured)
