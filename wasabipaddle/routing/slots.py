"""Requests that wait for a slot: first ones in the queue, and retries."""

import asyncio
import collections

import attrs
from result import Err, Ok

from wasabipaddle.admission import Ticket
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.routing.budget import backoff_s

__all__ = ["Job", "SlotScheduler", "refusal", "resolve"]


@attrs.define(kw_only=True, eq=False)
class Job:
    """One request on its way.

    Parameters
    ----------
    doubt : Failure or None
        Latest failure of an attempt that may have run.
    tried : set of str
        Endpoints that were tried.
    """

    message: object
    document: object
    deadline: float
    ticket: Ticket = None
    waiter: asyncio.Future = None
    slot: object = None
    attempts: int = 0
    doubt: Failure | None = None
    tried: set = attrs.field(factory=set)


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
        self.lingering = collections.Counter()

    def pump_all(self):
        """Give free slots of every pool to requests that wait."""
        for pool in self.holder.pools() | set(self.retrying):
            self.pump(pool)

    def pump(self, pool):
        """Give free slots of a pool to requests that wait."""
        now = self.clock.now()
        capacity = self.holder.capacity(pool, now=now) - self.lingering[pool]
        self.policy.set_capacity(pool, capacity, now=now)
        retrying = self.retrying[pool]
        while retrying:
            slot = self.holder.choose(pool, now=now, exclude=retrying[0].tried)
            if slot is None:
                return
            self._give(retrying.popleft(), slot)
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
            self._give(taken.ticket.owner, slot)

    async def admitted(self, job):
        """Wait until the request has a slot; an `Err` says why it gets none."""
        left = job.deadline - self.clock.now()
        try:
            async with asyncio.timeout(max(left, 0)):
                return await job.waiter
        except TimeoutError:
            if job.slot is not None:
                return Ok(None)
            return refusal(ErrorKind.EXPIRED_IN_QUEUE, "no slot by the deadline")

    async def another(self, job):
        """Return the slot and wait for one to retry; False if there is no time."""
        self.release(job)
        pool = job.ticket.pool
        self.pump(pool)
        left = job.deadline - self.clock.now()
        await asyncio.sleep(min(backoff_s(job.attempts, self.random), max(left, 0)))
        job.waiter = asyncio.get_running_loop().create_future()
        self.retrying[pool].append(job)
        self.pump(pool)
        try:
            return (await self.admitted(job)).is_ok()
        finally:
            if job in self.retrying[pool]:
                self.retrying[pool].remove(job)

    def release(self, job):
        """Return the slot of a request, if it has one."""
        if job.slot is not None:
            self.holder.release(job.slot)
            job.slot = None

    def detach(self, job):
        """Take the slot of a request that may still run at the endpoint."""
        slot = job.slot
        job.slot = None
        self.lingering[job.ticket.pool] += 1
        return slot

    def reclaim(self, slot, pool):
        """Return a slot that `detach` took."""
        self.lingering[pool] -= 1
        self.holder.release(slot)
        self.pump(pool)

    def _give(self, job, slot):
        job.slot = slot
        resolve(job.waiter, Ok(None))


def refusal(kind, detail):
    """Return an `Err` of the given kind."""
    return Err(Failure(kind=kind, detail=detail))


def resolve(waiter, result):
    """Set the result of a future, unless its reader has given up."""
    if not waiter.done():
        waiter.set_result(result)
