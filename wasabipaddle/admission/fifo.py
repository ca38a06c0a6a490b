"""Baseline policy: one bounded first-in, first-out queue per pool."""

import collections

from result import Err, Ok

from wasabipaddle.admission.base import (
    AdmissionPolicy,
    QueueBounds,
    TakeResult,
    TicketState,
)
from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["FifoQueue"]


class FifoQueue(AdmissionPolicy):
    """First-in, first-out queue without classes, shares, floors, quotas or shedding.

    Parameters
    ----------
    bounds : QueueBounds
        Largest number and total size of waiting requests over all pools;
        `service_fraction` is ignored.
    """

    def __init__(self, *, bounds=None):
        self.bounds = bounds or QueueBounds()
        self.queues = collections.defaultdict(collections.OrderedDict)
        self.capacity = collections.Counter()
        self.running = collections.Counter()
        self.waiting = 0
        self.size = 0

    def set_capacity(self, pool, slots, *, now):
        """Set the number of slots that this process holds in a pool."""
        self.capacity[pool] = slots

    def offer(self, ticket, *, now):
        """Queue a ticket, or refuse it if the queue is full."""
        if (
            self.waiting >= self.bounds.requests
            or self.size + ticket.size > self.bounds.size
        ):
            return Err(
                Failure(
                    kind=ErrorKind.QUEUE_FULL, detail="the queue of the process is full"
                )
            )
        ticket.state = TicketState.QUEUED
        ticket.queued_at = now
        self.queues[ticket.pool][id(ticket)] = ticket
        self.waiting += 1
        self.size += ticket.size
        return Ok(())

    def take(self, pool, *, now):
        """Start the oldest ticket of a pool if a slot is free."""
        queue = self.queues[pool]
        if not queue or self.running[pool] >= self.capacity[pool]:
            return TakeResult(ticket=None)
        _, ticket = queue.popitem(last=False)
        self._subtract_from_totals(ticket)
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        self.running[pool] += 1
        return TakeResult(ticket=ticket)

    def remove(self, ticket, *, now):
        """Remove a waiting ticket; return False if it is not waiting."""
        if ticket.state is not TicketState.QUEUED:
            return False
        del self.queues[ticket.pool][id(ticket)]
        self._subtract_from_totals(ticket)
        ticket.state = TicketState.ENDED
        return True

    def finish(self, ticket, *, now):
        """Release the slot of a running ticket."""
        if ticket.state is TicketState.RUNNING:
            ticket.state = TicketState.ENDED
            self.running[ticket.pool] -= 1

    def queued(self, pool):
        """Return the number of waiting tickets of a pool."""
        return len(self.queues[pool])

    def in_use(self, pool):
        """Return the number of running tickets of a pool."""
        return self.running[pool]

    def known_pools(self):
        """Return the pools for which `offer`, `take` or `queued` has been called."""
        return list(self.queues)

    def _subtract_from_totals(self, ticket):
        self.waiting -= 1
        self.size -= ticket.size
