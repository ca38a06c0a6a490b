"""Interface to workers, which run tasks under leases."""

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
        Attempt number; a worker refuses an attempt whose number is not above those
        that it has seen of the task.
    needs : Resources
        Resources to reserve on the worker.
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
    """Reference to one attempt of a task in a command other than start and resize.

    Parameters
    ----------
    grace_s : float
        Time that a stopped task has to end before it is killed.
    """

    task: str
    attempt: int
    grace_s: float = 0.0


@attrs.frozen(kw_only=True)
class TaskResize:
    """Change of the resources that are reserved for one attempt of a task.

    A worker without room for the new reservation keeps the old one.
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
        Fencing token and its holder; a worker refuses an epoch below the highest
        that it has seen of the shard.
    lease_s : float
        New lease of every task of the shard on the worker, in seconds from receipt;
        0 renews nothing.
    lease_base_s : float or None
        Reading of the worker's clock from which `lease_s` counts, taken from
        `WorkerReport.clock_s`; None counts from receipt. If given, a command that is
        delayed in transit or by a pause of the worker renews the leases for no longer
        than the leader assumes.
    seen_version : int
        Version of the last report that the leader processed; the worker reports
        what has changed since. -1 asks for the whole inventory.
    wait_s : float
        Longest time for which the worker may delay its reply until something
        changes.
    resizes : tuple of TaskResize
        Changes of reservations, applied before the starts.
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
    """Measured resource usage, which lags behind the actual usage."""

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
    """A start that the worker refused; the attempt did not run there."""

    task: str
    attempt: int
    kind: ErrorKind


@attrs.frozen(kw_only=True)
class WorkerReport:
    """Reply of a worker to one `WorkerSync`.

    Parameters
    ----------
    version : int
        Version of the worker's state after the call.
    whole : bool
        Whether `tasks` is the whole inventory of the shard.
    tasks : tuple of TaskReport
        Changed tasks, or all tasks if `whole`.
    usage : Usage
        Measured resource usage of the VM.
    leaving : bool
        Whether the VM will be removed soon.
    clock_s : float
        Reading of the worker's monotonic clock at the time of the report.
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
            `unreachable` (certainly not delivered) or `timeout` (may have been
            delivered).
        """

    async def close(self):
        """Close the connections."""
