"""Tasks that are running or starting, and the history of runs."""

import collections
import enum
import math

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.interfaces import Usage
from wasabipaddle.placement.state import Reclaim
from wasabipaddle.placement.work import Work

__all__ = ["RunEntry", "RunningTask", "TaskHistory", "TaskState"]


class TaskState(enum.Enum):
    """State of a placed task as the placer sees it."""

    RUNNING = "running"
    THROTTLED = "throttled"
    ENDING = "ending"  # checkpoint or stop was ordered


@attrs.define(kw_only=True)
class TaskHistory:
    """What happened to one task so far.

    Parameters
    ----------
    failed_on : list of str
        Workers on which an attempt failed.
    """

    preemptions: int = 0
    failed_on: list = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class RunningTask:
    """One placed task.

    Parameters
    ----------
    expected_end : float
        Time by which it ends with high probability; infinite for services.
    backfill_for : str or None
        Run whose hold lent the amounts.
    """

    work: Work
    index: int
    task: str
    worker: str
    needs: Resources
    started_at: float
    expected_end: float = math.inf
    state: TaskState = TaskState.RUNNING
    history: TaskHistory
    usage: Usage | None = None
    backfill_for: str | None = None
    reclaim: Reclaim = Reclaim.NEVER
    reports: int = 0
    is_probe: bool = False

    @property
    def preemptible(self) -> bool:
        """Whether one more preemption is allowed."""
        return (
            self.state is not TaskState.ENDING
            and self.history.preemptions < self.work.max_preemptions
        )


@attrs.define(kw_only=True, eq=False)
class RunEntry:
    """Book-keeping of one run that has not ended.

    Parameters
    ----------
    remaining : set of int
        Tasks that have neither completed nor been given up.
    awaiting_restart : deque of int
        Ended members of a gang that wait for the other members to end.
    """

    work: Work
    remaining: set
    running: dict = attrs.field(factory=dict)
    history: dict = attrs.field(factory=dict)
    awaiting_restart: collections.deque = attrs.field(factory=collections.deque)
    cancelled: bool = False

    def history_of(self, index) -> TaskHistory:
        """Return the history of one task."""
        history = self.history.get(index)
        if history is None:
            history = self.history[index] = TaskHistory()
        return history
