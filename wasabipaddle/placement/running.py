"""Records of placed tasks, their history and their runs."""

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
    ENDING = "ending"  # ordered to checkpoint or to stop


@attrs.define(kw_only=True)
class TaskHistory:
    """Preemptions and failures of one task over all its attempts.

    Parameters
    ----------
    preemptions : int
        Number of attempts that ended with a checkpoint, whatever its reason.
    failed_on : list of str
        Worker of each failed attempt.
    """

    preemptions: int = 0
    failed_on: list = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class RunningTask:
    """One task that is starting, running or ending on a worker.

    Parameters
    ----------
    expected_end : float
        Time by which the task is likely to have ended; infinite for services.
    backfill_for : str or None
        Key of the plan whose held resources the task uses.
    reports : int
        Number of usage reports so far.
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
        """Whether the task is not ending and is below its limit of preemptions."""
        return (
            self.state is not TaskState.ENDING
            and self.history.preemptions < self.work.max_preemptions
        )


@attrs.define(kw_only=True, eq=False)
class RunEntry:
    """State of one run that has not ended.

    Parameters
    ----------
    remaining : set of int
        Tasks that have neither completed nor been given up.
    awaiting_restart : deque of int
        Indices of gang tasks that have ended and wait for the others to end, so that
        the gang restarts as a whole.
    """

    work: Work
    remaining: set
    running: dict = attrs.field(factory=dict)
    history: dict = attrs.field(factory=dict)
    awaiting_restart: collections.deque = attrs.field(factory=collections.deque)
    cancelled: bool = False

    def history_of(self, index) -> TaskHistory:
        """Return the history of one task, creating it if there is none."""
        history = self.history.get(index)
        if history is None:
            history = self.history[index] = TaskHistory()
        return history
