"""Interface to a worker, which runs tasks under leases."""

import abc
import enum

import attrs
from result import Result

from wasabipaddle.documents import Resources, Urgency
from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = [
    "TaskOrder",
    "TaskOutcome",
    "TaskPhase",
    "TaskRefusal",
    "TaskReport",
    "TaskResize",
    "TaskStart",
    "Usage",
    "WorkerClient",
    "WorkerReport",
    "WorkerSync",
]


class TaskPhase(enum.Enum):
    """Phase of a task on a worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    ENDED = "ended"


class TaskOutcome(enum.Enum):
    """How a task ended on a worker."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_EXPIRED = "lease_expired"


@attrs.frozen(kw_only=True)
class TaskStart:
    """Command to start one attempt of a task.

    Parameters
    ----------
    task : str
        Task id, `{run}/{index}`.
    attempt : int
        Attempt number; a worker refuses an attempt at most as high as one that it
        has already seen.
    needs : Resources
        Amounts to reserve on the worker.
    payload : str
        Input of the task, JSON text.
    checkpoint : str or None
        Checkpoint to resume from.
    """

    task: str
    attempt: int
    service: str
    team: str
    urgency: Urgency
    needs: Resources
    payload: str = ""
    checkpoint: str | None = None


@attrs.frozen(kw_only=True)
class TaskOrder:
    """Reference to one attempt of a task, for stop, checkpoint or acknowledgement.

    Parameters
    ----------
    grace_s : float
        Time that a stopped task has to end by itself.
    """

    task: str
    attempt: int
    grace_s: float = 0.0


@attrs.frozen(kw_only=True)
class TaskResize:
    """Change of the amounts that one attempt of a task reserves.

    A worker on which the new amounts do not fit keeps the old ones.
    """

    task: str
    attempt: int
    needs: Resources


@attrs.frozen(kw_only=True)
class WorkerSync:
    """One batch of commands from a shard leader to a worker.

    Parameters
    ----------
    shard, epoch, leader
        Fencing token and its holder; a lower epoch is refused.
    lease_s : float
        New lease of every task of the shard on the worker, in seconds from receipt;
        0 renews nothing.
    lease_base_s : float or None
        Reading of the worker's clock from which `lease_s` counts, taken from
        `WorkerReport.clock_s`; None counts from receipt. A command that is delayed
        on its way or by a pause of the worker then renews no longer than the leader
        assumes.
    seen_version : int
        Version of the last report that the leader processed; the worker reports
        what changed after it. -1 asks for the whole inventory.
    wait_s : float
        Time that the worker may hold the call until something changes.
    resizes : tuple of TaskResize
        Changes of reservations, carried out before the starts.
    """

    shard: str
    epoch: int
    leader: str
    lease_s: float
    lease_base_s: float | None = None
    seen_version: int = -1
    wait_s: float = 0.0
    resizes: tuple[TaskResize, ...] = ()
    starts: tuple[TaskStart, ...] = ()
    stops: tuple[TaskOrder, ...] = ()
    checkpoints: tuple[TaskOrder, ...] = ()
    throttles: tuple[TaskOrder, ...] = ()
    unthrottles: tuple[TaskOrder, ...] = ()
    acknowledgements: tuple[TaskOrder, ...] = ()


@attrs.frozen(kw_only=True)
class Usage:
    """Measured use, which lags behind the present."""

    cpu_milli: int = 0
    memory_mb: int = 0


@attrs.frozen(kw_only=True)
class TaskReport:
    """State of one attempt of a task on a worker.

    Parameters
    ----------
    answer : str
        Result of a completed task, JSON text.
    checkpoint : str or None
        Checkpoint that a later attempt can resume from.
    """

    task: str
    attempt: int
    phase: TaskPhase
    needs: Resources
    outcome: TaskOutcome | None = None
    usage: Usage = Usage()
    answer: str = ""
    checkpoint: str | None = None


@attrs.frozen(kw_only=True)
class TaskRefusal:
    """A start that the worker refused; the attempt has not run there."""

    task: str
    attempt: int
    kind: ErrorKind


@attrs.frozen(kw_only=True)
class WorkerReport:
    """Answer of a worker to one `WorkerSync`.

    Parameters
    ----------
    version : int
        Version of the worker's state after the call.
    whole : bool
        Whether `tasks` is the whole inventory of the shard.
    tasks : tuple of TaskReport
        Changed tasks, or all tasks if `whole`.
    usage : Usage
        Measured use of the VM.
    leaving : bool
        Whether the VM is about to leave.
    clock_s : float
        Monotonic clock of the worker at the time of the report.
    """

    worker: str
    version: int
    whole: bool
    tasks: tuple[TaskReport, ...] = ()
    refusals: tuple[TaskRefusal, ...] = ()
    usage: Usage = Usage()
    leaving: bool = False
    clock_s: float = 0.0


class WorkerClient(abc.ABC):
    """Client of one worker."""

    @abc.abstractmethod
    async def sync(self, command) -> Result[WorkerReport, Failure]:
        """Send a `WorkerSync`.

        Returns
        -------
        result.Result
            The report, or an `Err` of kind `stale_epoch` (refused),
            `unreachable` (not delivered) or `timeout` (may have been delivered).
        """

    async def close(self):
        """Close connections."""
