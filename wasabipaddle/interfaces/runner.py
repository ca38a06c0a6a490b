"""Interface to runners that hold tasks under leases."""

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
    """Why a runner did not carry out an order."""

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
        Number of the run, higher than those before.
    payload : str
        Text of the job.
    start_before_ms : int
        Time on the runner's clock after which the order is void; the run holds its
        lease until then.
    epoch : int
        Epoch of the dispatcher.
    checkpoint, ticket : str
        Saved progress to resume from and eligibility ticket; empty for none.
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
    """Answer of a runner to an order.

    Parameters
    ----------
    clock_ms : int
        Steady clock of the runner, 0 if the answer does not tell it.
    refusal : Refusal
        Reason of a refusal.
    incarnation : int
        Life of the runner that answered, 0 if the answer does not tell it.
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
        The run.
    checkpoint : str
        Latest saved progress.
    percent : int
        Progress, 0 to 100.
    load : float
        Tail latency in milliseconds of a task that serves, else the processors in
        use, in thousandths of a core.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: float


@attrs.frozen(kw_only=True)
class EndedTask:
    """One run that ended; `number` rises within a life of the runner."""

    number: int
    task: TaskId
    run: int
    cause: EndCause
    checkpoint: str


@attrs.frozen(kw_only=True)
class Inventory:
    """What runs on a runner and what has ended since the acknowledged end."""

    clock_ms: int
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    refusal: Refusal = Refusal.NONE


class RunnerClient(abc.ABC):
    """Client of one runner.

    An `Err` of kind `unreachable` means that the order was not delivered, `timeout`
    that it may be carried out now or later.
    """

    @abc.abstractmethod
    async def start(self, order, *, timeout_s) -> Result[OrderReply, Failure]:
        """Send a `StartOrder`."""

    @abc.abstractmethod
    async def stop(self, task, run, *, epoch, timeout_s) -> Result[OrderReply, Failure]:
        """Stop a run, or prevent one that has not begun."""

    @abc.abstractmethod
    async def pace(
        self, task, run, *, percent, epoch, timeout_s
    ) -> Result[OrderReply, Failure]:
        """Let a task work at a share of its speed."""

    @abc.abstractmethod
    async def inventory(
        self, *, epoch, acknowledged, lease_until_ms, wait_s, timeout_s
    ) -> Result[Inventory, Failure]:
        """Read what runs and extend the lease.

        Parameters
        ----------
        acknowledged : int
            Ends up to this number are durable and may be forgotten.
        lease_until_ms : int
            New end of the lease on the runner's clock, 0 to leave it.
        wait_s : float
            Time to wait for an end before an answer without one.
        """

    async def close(self):
        """Close connections."""
