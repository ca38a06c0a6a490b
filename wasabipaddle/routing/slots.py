"""Requests that wait for a slot: first ones in the queue, and retries."""

import asyncio
import collections

import attrs
from result import Err, Ok

from wasabipaddle.admission import Ticket
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.routing.budget import backoff_s

__all__ = ["PendingRequest", "SlotScheduler", "refusal", "resolve"]


@attrs.define(kw_only=True, eq=False)
class PendingRequest:
    """One request on its way.

    Parameters
    ----------
    uncertain_failure : Failure or None
        Latest failure of an attempt that may have run.
    tried_endpoints : set of str
        Endpoints that were tried.
    """

    message: object
    document: object
    deadline: float
    ticket: Ticket = None
    waiter: asyncio.Future = None
    slot: object = None
    attempts: int = 0
    uncertain_failure: Failure | None = None
    tried_endpoints: set = attrs.field(factory=set)


class SlotScheduler:
    """Couples the queue of the process with the slots that it holds.

    A retry keeps its place in the queue's count of running requests, and gets the
    next slot before requests that have not been sent yet.

    Parameters
    ----------
    policy : AdmissionPolicy
        Queue of the process.
    holder : GrantHolder
        Slots of the process.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    metrics : Metrics
        Counters and histograms.
    """

    def __init__(self, *, policy, holder, clock, random, metrics):
        self.policy = policy
        self.holder = holder
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.retrying = collections.defaultdict(collections.deque)
        self.detached_slots = collections.Counter()

    def assign_all_slots(self):
        """Give free slots of every pool to requests that wait."""
        for pool in self.holder.pools() | set(self.retrying):
            self.assign_slots(pool)

    def assign_slots(self, pool):
        """Give free slots of a pool to requests that wait."""
        now = self.clock.now()
        capacity = self.holder.capacity(pool, now=now) - self.detached_slots[pool]
        self.policy.set_capacity(pool, capacity, now=now)
        retrying = self.retrying[pool]
        while retrying:
            slot = self.holder.choose(
                pool, now=now, exclude=retrying[0].tried_endpoints
            )
            if slot is None:
                return
            self._assign(retrying.popleft(), slot)
        while self.policy.queued(pool) and self.policy.in_use(pool) < capacity:
            slot = self.holder.choose(pool, now=now)
            if slot is None:
                return
            taken = self.policy.take(pool, now=now)
            for ticket, failure in taken.shed:
                resolve(ticket.owner.waiter, Err(failure))
            if taken.ticket is None:
                self.holder.release(slot)
                return
            self.metrics.observe("routing.wait", now - taken.ticket.queued_at)
            self._assign(taken.ticket.owner, slot)

    async def wait_for_slot(self, pending):
        """Wait until the request has a slot; an `Err` says why it gets none."""
        left = pending.deadline - self.clock.now()
        try:
            async with asyncio.timeout(max(left, 0)):
                return await pending.waiter
        except TimeoutError:
            if pending.slot is not None:
                return Ok(None)
            return refusal(ErrorKind.EXPIRED_IN_QUEUE, "no slot by the deadline")

    async def wait_for_retry_slot(self, pending):
        """Return the slot and wait for one to retry; False if there is no time."""
        self.release(pending)
        pool = pending.ticket.pool
        self.assign_slots(pool)
        left = pending.deadline - self.clock.now()
        await asyncio.sleep(min(backoff_s(pending.attempts, self.random), max(left, 0)))
        pending.waiter = asyncio.get_running_loop().create_future()
        self.retrying[pool].append(pending)
        self.assign_slots(pool)
        try:
            return (await self.wait_for_slot(pending)).is_ok()
        finally:
            if pending in self.retrying[pool]:
                self.retrying[pool].remove(pending)

    def release(self, pending):
        """Return the slot of a request, if it has one."""
        if pending.slot is not None:
            self.holder.release(pending.slot)
            pending.slot = None

    def detach(self, pending):
        """Take the slot of a request that may still run at the endpoint."""
        slot = pending.slot
        pending.slot = None
        self.detached_slots[pending.ticket.pool] += 1
        return slot

    def reclaim(self, slot, pool):
        """Return a slot that `detach` took."""
        self.detached_slots[pool] -= 1
        self.holder.release(slot)
        self.assign_slots(pool)

    def _assign(self, pending, slot):
        pending.slot = slot
        resolve(pending.waiter, Ok(None))


def refusal(kind, detail):
    """Return an `Err` of the given kind."""
    return Err(Failure(kind=kind, detail=detail))


def resolve(waiter, result):
    """Set the result of a future, unless its reader has given up."""
    if not waiter.done():
        waiter.set_result(result)
