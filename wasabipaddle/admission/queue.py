"""Fair queue with urgency classes, shares, floors, quotas and load shedding."""

import collections
import math

import attrs
from result import Err, Ok

from wasabipaddle.admission.base import (
    AdmissionPolicy,
    QueueBounds,
    TakeResult,
    TicketState,
)
from wasabipaddle.admission.ledger import QuotaLedger
from wasabipaddle.admission.pool_queues import DEFAULT_RUN_S, PoolQueues
from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["FairQueue"]

# Fraction of the time allowed to a request that it may spend in a standing queue. The
# fraction is larger for services with a guaranteed share, since their rate is assured.
# Their requests are not shed for a long wait once they are queued, so that a short
# burst above the floor costs them no request.
QUEUE_DELAY_FRACTION = 0.25
GUARANTEED_DELAY_FRACTION = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


class FairQueue(AdmissionPolicy):
    """Bounded queue of one process over all its pools.

    A free slot goes first to the service that is furthest below its guaranteed
    floor. Remaining slots go to the most urgent class with a backlog and, within a
    class, by weighted fair shares of slot time. Services whose quota is used up are
    blocked until a slot of their team is released or the quotas change.

    Parameters
    ----------
    bounds : QueueBounds
        Largest number and total size of waiting requests, overall and per service.
    """

    def __init__(self, *, bounds=None):
        self.bounds = bounds or QueueBounds()
        self.pools = collections.defaultdict(PoolQueues)
        self.ledger = QuotaLedger()
        self.quota_blocked = {}
        self.backlogged = 0
        self.waiting = 0
        self.size = 0

    def set_capacity(self, pool, slots, *, now):
        """Set the number of slots that this process holds in a pool."""
        state = self.pools[pool]
        if state.capacity != slots:
            state.capacity = slots
            state.refresh_all(now=now)

    def set_quotas(self, quotas, *, rank=0, processes=1):
        """Set the quotas of teams and the part of them that this process may use."""
        self.ledger.set_quotas(quotas, rank=rank, processes=processes)
        for team in list(self.quota_blocked):
            self._unblock_team(team)

    def offer(self, ticket, *, now):
        """Queue a ticket, or refuse it before any work is spent on it."""
        state = self.pools[ticket.pool]
        service = state.service_queue(ticket.document)
        failure = self._refusal(state, service, ticket, now=now)
        if failure is not None:
            return Err(self._with_quota_cause(failure, ticket.document))
        dropped = self._make_room(service, ticket, now=now)
        if dropped is None:
            detail = "the queue of the process is full"
            return Err(self._queue_full(service, detail, state, now))
        ticket.state = TicketState.QUEUED
        ticket.queued_at = now
        was_empty = not service.tickets
        service.append(ticket)
        self._count_waiting(state, 1, ticket.size)
        if was_empty:
            self.backlogged += 1
            service.estimate.begin_backlog(state.capacity, now=now)
            state.classes[service.rank].activate(service)
        state.refresh(service, now=now)
        return Ok(dropped)

    def take(self, pool, *, now):
        """Start the next ticket of a pool if a slot is free."""
        state = self.pools[pool]
        shed = []
        while state.in_use < state.capacity:
            service = self._next_service(state, now=now)
            if service is None:
                break
            ticket = service.pop_oldest()
            self._count_waiting(state, -1, -ticket.size)
            failure = self._lateness_failure(service, ticket, now=now)
            if failure is None:
                self._start(state, service, ticket, now=now)
                return TakeResult(ticket=ticket, shed=tuple(shed))
            ticket.state = TicketState.ENDED
            shed.append((ticket, failure))
            self._after_drop(state, service, now=now)
        return TakeResult(ticket=None, shed=tuple(shed))

    def remove(self, ticket, *, now):
        """Remove a waiting ticket; return False if it is not waiting."""
        if ticket.state is not TicketState.QUEUED:
            return False
        state = self.pools[ticket.pool]
        service = state.services[ticket.document.service]
        service.remove(ticket)
        ticket.state = TicketState.ENDED
        self._count_waiting(state, -1, -ticket.size)
        self._after_drop(state, service, now=now)
        return True

    def finish(self, ticket, *, now):
        """Release the slot of a running ticket and update the run time estimates."""
        if ticket.state is not TicketState.RUNNING:
            return
        ticket.state = TicketState.ENDED
        state = self.pools[ticket.pool]
        service = state.services[ticket.document.service]
        state.in_use -= 1
        service.in_use -= 1
        self.ledger.release(ticket.document)
        run_s = now - ticket.started_at
        expected_s = service.estimate.run_s or DEFAULT_RUN_S
        service.estimate.record_end(run_s, state.capacity, now=now)
        state.correct_charge(service, expected_s, run_s)
        state.update_run_time(run_s)
        state.refresh(service, now=now)
        self._unblock_team(ticket.document.team)

    def queued(self, pool):
        """Return the number of waiting tickets of a pool."""
        return self.pools[pool].waiting

    def in_use(self, pool):
        """Return the number of running tickets of a pool."""
        return self.pools[pool].in_use

    def known_pools(self):
        """Return the pools that have been used in any call so far."""
        return list(self.pools)

    def wait_s(self, document, *, now) -> float:
        """Return the expected wait of a new request of a service, in seconds."""
        state = self.pools[document.placement.pool]
        service = state.service_queue(document)
        floor = state.floor_slots(service)
        return service.estimate.wait_s(len(service.tickets), floor, now=now)

    def _refusal(self, state, service, ticket, *, now):
        bounds = self.bounds
        part = max(bounds.service_fraction, service.document.share.guaranteed)
        if (
            len(service.tickets) >= bounds.requests * part
            or service.size + ticket.size > bounds.size * part
        ):
            return self._queue_full(
                service, "the queue of the service is full", state, now
            )
        floor = state.floor_slots(service)
        estimate = service.estimate
        wait = estimate.wait_s(len(service.tickets), floor, now=now)
        left = ticket.deadline - now
        if (wait + (estimate.run_s or 0.0) > left and wait > 0) or left <= 0:
            detail = (
                f"expected wait of {wait:.2f} s, but {left:.2f} s until the deadline"
            )
            return _make_failure(ErrorKind.DEADLINE_UNMEETABLE, detail, wait)
        if wait > left * _delay_fraction(service) and estimate.overloaded(
            left, now=now
        ):
            detail = f"the service is overloaded, expected wait of {wait:.2f} s"
            return _make_failure(ErrorKind.SHED, detail, wait)
        return None

    def _with_quota_cause(self, failure, document):
        """Report an exceeded quota if that is why the service has to wait."""
        if self.ledger.allows(document):
            return failure
        detail = f"all slots of the quota are in use; {failure.detail}"
        return attrs.evolve(failure, kind=ErrorKind.QUOTA_EXCEEDED, detail=detail)

    def _queue_full(self, service, detail, state, now):
        floor = state.floor_slots(service)
        wait = service.estimate.wait_s(len(service.tickets), floor, now=now)
        return _make_failure(ErrorKind.QUEUE_FULL, detail, wait)

    def _make_room(self, service, ticket, *, now):
        """Evict tickets to make room for a new one.

        Returns
        -------
        tuple of (Ticket, Failure) or None
            The evicted tickets, or None if there is no room.
        """
        excess_requests = self.waiting + 1 - self.bounds.requests
        excess_size = self.size + ticket.size - self.bounds.size
        if excess_requests <= 0 and excess_size <= 0:
            return ()
        victim = self._victim(service, excess_size)
        if victim is None:
            return None
        dropped = []
        while (
            self.waiting >= self.bounds.requests
            or self.size + ticket.size > self.bounds.size
        ):
            dropped.append(self._evict(*victim, now=now))
        return tuple(dropped)

    def _victim(self, service, excess_size):
        """Return the pool and service to evict tickets from, or None.

        This is the service with the longest queue, provided that it exceeds the queue
        of `service` by more than one ticket and that its bodies occupy at least
        `excess_size` bytes. If `service` already has its equal part of the queue, None
        is returned without a search, so that refusing a flood of requests is cheap.
        """
        if (len(service.tickets) + 1) * max(self.backlogged, 1) > self.bounds.requests:
            return None
        state, longest = max(
            ((p, s) for p in self.pools.values() for s in p.services.values()),
            key=lambda pair: len(pair[1].tickets),
        )
        if (
            len(longest.tickets) <= len(service.tickets) + 1
            or longest.size < excess_size
        ):
            return None
        return state, longest

    def _evict(self, state, service, *, now):
        ticket = service.pop_newest()
        ticket.state = TicketState.ENDED
        self._count_waiting(state, -1, -ticket.size)
        self._after_drop(state, service, now=now)
        detail = "evicted in favour of a service with a shorter queue"
        return ticket, _make_failure(ErrorKind.SHED, detail, 0.0)

    def _next_service(self, state, *, now):
        service = state.furthest_below_floor(self.ledger)
        if service is not None:
            return service
        if not state.has_spare(now=now):
            return None
        for queue in state.classes:
            while (service := queue.pop()) is not None:
                if self.ledger.allows(service.document):
                    queue.virtual_time = max(queue.virtual_time, service.virtual_time)
                    return service
                self._block_on_quota(state, service)
        return None

    def _lateness_failure(self, service, ticket, *, now):
        estimate = service.estimate
        if estimate.cannot_finish_by(ticket.deadline, now=now):
            detail = "the deadline is closer than the expected run time"
            return _make_failure(ErrorKind.DEADLINE_UNMEETABLE, detail, 0.0)
        if service.document.share.guaranteed > 0:
            return None
        time_limit_s = ticket.deadline - ticket.queued_at
        waited_s = now - ticket.queued_at
        limit_s = time_limit_s * QUEUE_DELAY_FRACTION
        if waited_s > limit_s and estimate.overloaded(time_limit_s, now=now):
            detail = f"the service is overloaded, request waited {waited_s:.2f} s"
            return _make_failure(ErrorKind.SHED, detail, 0.0)
        return None

    def _start(self, state, service, ticket, *, now):
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        state.in_use += 1
        service.in_use += 1
        self.ledger.take(ticket.document)
        service.estimate.record_start(now=now)
        service.update_peak(now)
        state.charge(service)
        if not service.tickets:
            self._end_backlog(service)
        state.refresh(service, now=now)

    def _after_drop(self, state, service, *, now):
        if not service.tickets:
            self._end_backlog(service)
            state.refresh(service, now=now)
        elif not service.entry_number:
            state.classes[service.rank].push(service)

    def _end_backlog(self, service):
        self.backlogged -= 1
        service.estimate.end_backlog()

    def _block_on_quota(self, state, service):
        services = self.quota_blocked.setdefault(service.document.team, {})
        services[id(service)] = (state, service)

    def _unblock_team(self, team):
        for state, service in self.quota_blocked.pop(team, {}).values():
            if service.tickets and not service.entry_number:
                state.classes[service.rank].push(service)

    def _count_waiting(self, state, requests, size):
        state.waiting += requests
        self.waiting += requests
        self.size += size


def _delay_fraction(service):
    if service.document.share.guaranteed > 0:
        return GUARANTEED_DELAY_FRACTION
    return QUEUE_DELAY_FRACTION


def _make_failure(kind, detail, wait_s):
    if not math.isfinite(wait_s):
        wait_s = MAX_RETRY_AFTER_S
    retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return Failure(kind=kind, detail=detail, retry_after_s=retry_after_s)
