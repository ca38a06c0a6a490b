"""Assignment of free slots to queued requests and to retries."""

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
    """Request that has not been answered yet.

    Parameters
    ----------
    message : RouteRequest
        The request.
    document : ServiceDocument
        Document of the service.
    deadline : float
        Time in seconds by which the request must be answered.
    waiter : asyncio.Future
        Resolved when the request gets a slot or is refused.
    attempts : int
        Number of times that the request was sent to an endpoint.
    uncertain_failure : Failure or None
        Latest failure of an attempt that may have run.
    tried_endpoints : set of str
        Endpoints that the request was sent to.
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
    """Assigns the slots held by the process to its queued requests and retries.

    A retry stays counted as running by the admission policy, and gets the next free
    slot before requests that have not been sent yet.

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
        """Assign the free slots of every pool to waiting requests."""
        for pool in self.holder.pools() | set(self.retrying):
            self.assign_slots(pool)

    def assign_slots(self, pool):
        """Assign the free slots of a pool to retries, then to queued requests."""
        now = self.clock.now()
        capacity = self.holder.capacity(pool, now=now) - self.detached_slots[pool]
        self.policy.set_capacity(pool, capacity, now=now)
        retrying = self.retrying[pool]
        while retrying:
            slot = self.holder.take_slot(
                pool, now=now, exclude=retrying[0].tried_endpoints
            )
            if slot is None:
                return
            self._assign(retrying.popleft(), slot)
        while self.policy.queued(pool) and self.policy.in_use(pool) < capacity:
            slot = self.holder.take_slot(pool, now=now)
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
        """Wait for a slot; return an `Err` with the reason if there is none."""
        left = pending.deadline - self.clock.now()
        try:
            async with asyncio.timeout(max(left, 0)):
                return await pending.waiter
        except TimeoutError:
            if pending.slot is not None:
                return Ok(None)
            return refusal(
                ErrorKind.EXPIRED_IN_QUEUE, "no slot became free before the deadline"
            )

    async def wait_for_retry_slot(self, pending):
        """Release the slot, back off, and wait for a slot to retry.

        Returns
        -------
        bool
            Whether the request got a slot before its deadline.
        """
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
        """Release the slot of a request, if it has one."""
        if pending.slot is not None:
            self.holder.release(pending.slot)
            pending.slot = None

    def detach(self, pending):
        """Remove and return the slot of a request that the endpoint may still run.

        The slot stays occupied until `reclaim` releases it.
        """
        slot = pending.slot
        pending.slot = None
        self.detached_slots[pending.ticket.pool] += 1
        return slot

    def reclaim(self, slot, pool):
        """Release a slot that `detach` returned."""
        self.detached_slots[pool] -= 1
        self.holder.release(slot)
        self.assign_slots(pool)

    def _assign(self, pending, slot):
        pending.slot = slot
        resolve(pending.waiter, Ok(None))


def refusal(kind, detail):
    """Return an `Err` with a failure of the given kind."""
    return Err(Failure(kind=kind, detail=detail))


def resolve(waiter, result):
    """Set the result of a future unless it is done or cancelled."""
    if not waiter.done():
        waiter.set_result(result)
