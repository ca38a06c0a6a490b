"""Interface to runners, which run tasks under leases."""

import abc
import enum

import attrs
from result import Result

from wasabipaddle.exceptions import Failure
from wasabipaddle.jobs import TaskId

__all__ = [
    "EndCause",
    "EndedTask",
    "Inventory",
    "OrderReply",
    "Refusal",
    "RunnerClient",
    "RunningTask",
    "StartOrder",
]


class EndCause(enum.Enum):
    """How a run of a task ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class Refusal(enum.Enum):
    """Why a runner did not carry out an order; `NONE` if it did."""

    NONE = "none"
    STALE_EPOCH = "stale_epoch"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"


@attrs.frozen(kw_only=True)
class StartOrder:
    """Order to run a task.

    Parameters
    ----------
    task : TaskId
        Task.
    run : int
        Number of the run, above those of all earlier runs of the task.
    payload : str
        Input of the task, as given with the job.
    start_before_ms : int
        Time on the runner's clock after which the order must not be carried out;
        the first lease of the run ends at the same time.
    epoch : int
        Epoch of the dispatcher.
    checkpoint, ticket : str
        Checkpoint to resume from, and ticket of the eligibility service; an empty
        string if there is none.
    """

    task: TaskId
    run: int
    payload: str
    start_before_ms: int
    epoch: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen(kw_only=True)
class OrderReply:
    """Reply of a runner to an order.

    Parameters
    ----------
    clock_ms : int
        Reading of the runner's monotonic clock, 0 if the reply does not contain it.
    refusal : Refusal
        Reason of a refusal.
    incarnation : int
        Incarnation of the runner that replied, 0 if the reply does not contain it.
    """

    clock_ms: int = 0
    refusal: Refusal = Refusal.NONE
    incarnation: int = 0


@attrs.frozen(kw_only=True)
class RunningTask:
    """One run on a runner.

    Parameters
    ----------
    task, run : TaskId, int
        The task, and the number of its run.
    checkpoint : str
        Latest checkpoint; an empty string if there is none.
    percent : int
        Progress, 0 to 100.
    load : float
        For a task that serves requests, its tail latency in milliseconds; for other
        tasks, the CPU in use, in thousandths of a core.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: float


@attrs.frozen(kw_only=True)
class EndedTask:
    """One ended run, whose `number` increases within an incarnation of the runner."""

    number: int
    task: TaskId
    run: int
    cause: EndCause
    checkpoint: str


@attrs.frozen(kw_only=True)
class Inventory:
    """Runs in progress on a runner, and ended runs that were not acknowledged.

    Parameters
    ----------
    clock_ms, incarnation : int
        Reading of the runner's monotonic clock, and its incarnation.
    running, ended : tuple
        Runs in progress, and ended runs in the order of their numbers.
    refusal : Refusal
        Reason of a refusal.
    complete : bool
        Whether `ended` lists all ended runs; otherwise the runner lists the others once
        those listed have been acknowledged.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    refusal: Refusal = Refusal.NONE
    complete: bool = True


class RunnerClient(abc.ABC):
    """Client of one runner.

    An `Err` of kind `unreachable` means that the order was certainly not delivered,
    and one of kind `timeout` that it may have been or may still be carried out.
    """

    @abc.abstractmethod
    async def start(self, order, *, timeout_s) -> Result[OrderReply, Failure]:
        """Send a `StartOrder`."""

    @abc.abstractmethod
    async def stop(self, task, run, *, epoch, timeout_s) -> Result[OrderReply, Failure]:
        """Stop a run, or cancel one that has not begun."""

    @abc.abstractmethod
    async def pace(
        self, task, run, *, percent, epoch, timeout_s
    ) -> Result[OrderReply, Failure]:
        """Limit a run to a percentage of its full speed."""

    @abc.abstractmethod
    async def inventory(
        self, *, epoch, acknowledged, lease_until_ms, wait_s, timeout_s
    ) -> Result[Inventory, Failure]:
        """Read the running and ended tasks, and extend the lease of the runner.

        Parameters
        ----------
        acknowledged : int
            `number` up to which the ended runs are durably recorded; the runner may
            forget these.
        lease_until_ms : int
            New end of the lease on the runner's clock, 0 to leave it unchanged.
        wait_s : float
            Longest time for which the runner may delay its reply until a run ends.
        """

    async def close(self):
        """Close the connections."""
