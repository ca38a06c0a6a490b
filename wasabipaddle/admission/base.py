"""Abstract base class of admission policies."""

import abc
import enum

import attrs
from result import Result

from wasabipaddle.documents import ServiceDocument
from wasabipaddle.exceptions import Failure

__all__ = ["AdmissionPolicy", "QueueBounds", "TakeResult", "Ticket", "TicketState"]


class TicketState(enum.Enum):
    """State in the life cycle of a ticket."""

    NEW = "new"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@attrs.define(kw_only=True, eq=False)
class Ticket:
    """Request that waits for a slot or holds one.

    Parameters
    ----------
    request : str
        Request id.
    document : ServiceDocument
        Latest document of the service when the request arrived.
    size : int
        Size of the body in bytes.
    deadline : float
        Time in seconds by which the request must be answered.
    owner : object
        Object that the user of the policy attaches to identify the request.
    """

    request: str
    document: ServiceDocument
    size: int
    deadline: float
    owner: object = None
    state: TicketState = TicketState.NEW
    queued_at: float = 0.0
    started_at: float = 0.0

    @property
    def pool(self) -> str:
        """Endpoint pool that serves the request."""
        return self.document.placement.pool


@attrs.frozen(kw_only=True)
class QueueBounds:
    """Bounds on the queue of one process.

    Parameters
    ----------
    requests, size : int
        Largest number of waiting requests, and largest total size of their bodies in
        bytes.
    service_fraction : float
        Fraction of both bounds that one service may occupy. A service with a larger
        guaranteed share may occupy that share instead.
    """

    requests: int = 2_000
    size: int = 33_554_432
    service_fraction: float = 0.25


@attrs.frozen(kw_only=True)
class TakeResult:
    """Result of one `take`.

    Parameters
    ----------
    ticket : Ticket or None
        Ticket that may run now.
    shed : tuple of (Ticket, Failure)
        Tickets that were dropped while the next one was selected; none has run.
    """

    ticket: Ticket | None
    shed: tuple[tuple[Ticket, Failure], ...] = ()


class AdmissionPolicy(abc.ABC):
    """Decides which requests wait, run or are refused.

    Methods that depend on the time take it as `now`, in seconds. No method performs
    I/O.
    """

    @abc.abstractmethod
    def set_capacity(self, pool, slots, *, now):
        """Set the number of slots that this process holds in a pool."""

    def set_quotas(self, quotas, *, rank=0, processes=1):
        """Set the quotas of teams and the part of them that this process may use.

        Policies without quotas inherit this method, which does nothing.

        Parameters
        ----------
        quotas : sequence of TeamQuota
            Quotas of the cell.
        rank, processes : int
            Index of this process among the live ones, from 0, and their number.
        """

    @abc.abstractmethod
    def offer(
        self, ticket, *, now
    ) -> Result[tuple[tuple[Ticket, Failure], ...], Failure]:
        """Queue a ticket or refuse it.

        Returns
        -------
        result.Result
            The tickets that were dropped to make room, with their failures, or the
            failure with which the offered ticket is refused. None of them has run.
        """

    @abc.abstractmethod
    def take(self, pool, *, now) -> TakeResult:
        """Start the next ticket of a pool, if a slot is free."""

    @abc.abstractmethod
    def remove(self, ticket, *, now) -> bool:
        """Remove a waiting ticket; return False if it is not waiting."""

    @abc.abstractmethod
    def finish(self, ticket, *, now):
        """Release the slot of a running ticket."""

    @abc.abstractmethod
    def queued(self, pool) -> int:
        """Return the number of waiting tickets of a pool."""

    @abc.abstractmethod
    def in_use(self, pool) -> int:
        """Return the number of running tickets of a pool."""

    @abc.abstractmethod
    def known_pools(self) -> list[str]:
        """Return the pools of all tickets offered so far, and possibly other pools."""
