"""Request path: admission, slot assignment, endpoint call and retries."""

import asyncio

from result import Err, Ok, Result

from wasabipaddle.admission import Ticket
from wasabipaddle.documents import ServiceKind
from wasabipaddle.exceptions import ErrorKind, Failure, Outcome
from wasabipaddle.interfaces import EndpointRequest
from wasabipaddle.messages import PoolDemand, RoutedAnswer
from wasabipaddle.routing.answers import AnswerReader, StreamedBody, buffered_body
from wasabipaddle.routing.budget import RetryBudget
from wasabipaddle.routing.connections import EndpointConnections
from wasabipaddle.routing.slots import PendingRequest, SlotScheduler, refusal, resolve
from wasabipaddle.routing.trace import RequestTrace
from wasabipaddle.timeline import EventKind

__all__ = ["Dispatcher"]

MAX_ATTEMPTS = 4
DRAIN_POLL_S = 0.05
DRAIN_QUEUE_TIMEOUT_S = 3.0


class Dispatcher:
    """Routes requests through admission and a slot to an endpoint.

    Parameters
    ----------
    policy : AdmissionPolicy
        Queue of the process.
    holder : GrantHolder
        Slots of the process.
    connect : callable
        Function from a `Grant` to an `EndpointClient`.
    catalogue : object
        Has `get(service)`, which returns a `ServiceDocument` or None.
    settings : RoutingSettings
        Limits of the request path.
    clock : Clock
        Source of time; must agree with the time of the running event loop.
    random : random.Random
        Source of jitter.
    metrics : Metrics
        Counters and histograms.
    on_slots_needed : callable
        Called with the pool when requests wait for slots.
    events : EventRing or None
        Timeline of the process.
    """

    def __init__(
        self,
        *,
        policy,
        holder,
        connect,
        catalogue,
        settings,
        clock,
        random,
        metrics,
        on_slots_needed=None,
        events=None,
    ):
        self.policy = policy
        self.holder = holder
        self.catalogue = catalogue
        self.settings = settings
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.on_slots_needed = on_slots_needed or (lambda pool: None)
        self.connections = EndpointConnections(
            connect=connect,
            clock=clock,
            progress_s=settings.progress_s,
            metrics=metrics,
            events=events,
        )
        self.trace = RequestTrace(events=events, clock=clock)
        self.retry_budgets = {}
        self.slots = SlotScheduler(
            policy=policy, holder=holder, clock=clock, random=random, metrics=metrics
        )
        self.pending_requests = set()
        self.end_waits = set()
        self.draining = False

    async def route(self, message, *, forwarded=False) -> Result[RoutedAnswer, Failure]:
        """Serve one request.

        Parameters
        ----------
        message : RouteRequest
            The request.
        forwarded : bool
            Whether it comes from another data centre; refused if its pool has a queue.

        Returns
        -------
        result.Result
            The answer, or a failure whose outcome tells whether the request ran.
        """
        pending = self._prepare(message, forwarded)
        if pending.is_err():
            return pending
        pending = pending.unwrap()
        refused = self._offer(pending)
        if refused is not None:
            return self._record_refusal(message, refused)
        self.pending_requests.add(pending)
        streaming = False
        try:
            admitted = await self.slots.wait_for_slot(pending)
            if admitted.is_err():
                return self._record_refusal(message, admitted.unwrap_err())
            self._retry_budget(pending).deposit()
            result = await self._serve(pending)
            streaming = pending.slot is not None and result.is_ok()
            return result
        finally:
            if not streaming:
                self._finish(pending)

    def assign_free_slots(self):
        """Assign free slots to waiting requests, after any change of slots."""
        self.slots.assign_all_slots()

    def demand(self) -> list[PoolDemand]:
        """Return the number of running and queued requests of each pool."""
        pools = sorted(self.holder.pools() | set(self.policy.known_pools()))
        return [
            PoolDemand(
                pool=p,
                in_progress=self.policy.in_use(p),
                queued=self.policy.queued(p),
            )
            for p in pools
        ]

    def drain_endpoints(self, endpoints):
        """Send no new requests to endpoints that are leaving."""
        self.holder.drain(endpoints)
        self.assign_free_slots()

    async def drain(self, *, timeout_s):
        """Refuse new requests and wait until the accepted ones have ended.

        Requests still queued after half of `timeout_s`, or `DRAIN_QUEUE_TIMEOUT_S` if
        shorter, are refused, in time for callers to send them elsewhere.
        """
        self.draining = True
        now = self.clock.now()
        refuse_at = now + min(timeout_s / 2, DRAIN_QUEUE_TIMEOUT_S)
        while self.pending_requests and self.clock.now() < now + timeout_s:
            if self.clock.now() >= refuse_at:
                self._refuse_waiting()
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self):
        """Cancel the waits for detached slots and close the endpoint clients."""
        for task in list(self.end_waits):
            task.cancel()
        await self.connections.close()

    def _prepare(self, message, forwarded):
        document = self.catalogue.get(message.service)
        if self.draining:
            return refusal(ErrorKind.DRAINING, "the process is draining")
        if document is None:
            return refusal(
                ErrorKind.NOT_FOUND, f"service {message.service} does not exist"
            )
        if document.kind is not ServiceKind.REQUEST:
            detail = f"service {message.service} does not accept requests"
            return refusal(ErrorKind.INVALID_REQUEST, detail)
        pool = document.placement.pool
        if forwarded and self.policy.queued(pool):
            return refusal(ErrorKind.SHED, "no spare capacity for forwarded requests")
        now = self.clock.now()
        deadline = min(message.deadline, now + document.request.deadline_s)
        return Ok(PendingRequest(message=message, document=document, deadline=deadline))

    def _offer(self, pending):
        now = self.clock.now()
        pending.ticket = Ticket(
            request=pending.message.request,
            document=pending.document,
            size=len(pending.message.body),
            deadline=pending.deadline,
            owner=pending,
        )
        offered = self.policy.offer(pending.ticket, now=now)
        if offered.is_err():
            return offered.unwrap_err()
        pending.waiter = asyncio.get_running_loop().create_future()
        for ticket, failure in offered.unwrap():
            resolve(ticket.owner.waiter, Err(failure))
        self.slots.assign_slots(pending.ticket.pool)
        if not pending.waiter.done():
            self.on_slots_needed(pending.ticket.pool)
        return None

    async def _serve(self, pending):
        while True:
            if self.clock.now() >= pending.deadline:
                expired = refusal(ErrorKind.EXPIRED_IN_QUEUE, "the deadline has passed")
                return (
                    expired
                    if pending.uncertain_failure is None
                    else Err(pending.uncertain_failure)
                )
            pending.attempts += 1
            result = await self._attempt(pending)
            if result.is_ok():
                return result
            failure = result.unwrap_err()
            if failure.outcome is not Outcome.NOT_RUN:
                pending.uncertain_failure = failure
            if not self._may_retry(pending, failure):
                return Err(pending.uncertain_failure or _for_caller(failure))
            self.metrics.count("routing.retries")
            if not await self.slots.wait_for_retry_slot(pending):
                return Err(pending.uncertain_failure or failure)

    async def _attempt(self, pending):
        slot = pending.slot
        client = self.connections.client(slot.held.grant)
        request = EndpointRequest(
            request=pending.message.request,
            service=pending.message.service,
            shard=slot.shard,
            epoch=slot.epoch,
            deadline_s=pending.deadline - self.clock.now(),
            body=pending.message.body,
        )
        pending.tried_endpoints.add(slot.endpoint)
        self.metrics.count("routing.sent")
        sent = (
            EventKind.REQUEST_SENT
            if pending.attempts == 1
            else EventKind.REQUEST_RETRIED
        )
        self.trace.record(sent, pending.message, vm=slot.endpoint)
        try:
            result = await self._exchange(pending, client, request)
        except asyncio.CancelledError:
            # The caller disconnected, but the endpoint may still run the request.
            self._detach_slot(pending, client)
            raise
        self._record_outcome(slot, result)
        detail = result.unwrap_err().kind.value if result.is_err() else "ok"
        self.trace.record(
            EventKind.REQUEST_ANSWERED, pending.message, vm=slot.endpoint, detail=detail
        )
        if result.is_err() and result.unwrap_err().outcome is Outcome.UNKNOWN:
            self._detach_slot(pending, client)
        return result

    async def _exchange(self, pending, client, request):
        """Send a request, check its answer and resolve an unknown outcome."""
        answer = await self.connections.send(client, request, deadline=pending.deadline)
        result = answer
        if answer.is_ok():
            result = await self._receive(pending, client, answer.unwrap())
        if result.is_ok():
            return result
        return Err(
            await self._resolve_unknown(pending, client, request, result.unwrap_err())
        )

    async def _receive(self, pending, client, answer):
        """Check an answer; buffer it, or stream it if longer than `buffer_bytes`."""
        if answer.request != pending.message.request:
            self.metrics.count("routing.foreign_answers")
            detail = "the answer belongs to another request"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
        reader = AnswerReader(answer=answer, progress_s=self.settings.progress_s)
        buffered = await reader.read(self.settings.buffer_bytes)
        if buffered.is_err():
            self.metrics.count("routing.broken_answers")
            if reader.stalled:
                self.connections.report_stall(client)
            await reader.close()
            return buffered
        chunks = buffered_body(buffered.unwrap())
        if reader.ended:
            self.slots.release(pending)
        else:
            chunks = StreamedBody(
                buffered=buffered.unwrap(),
                reader=reader,
                deadline=pending.deadline,
                on_end=lambda failure: self._end_body(pending, client, reader, failure),
            )
        return Ok(
            RoutedAnswer(
                request=answer.request,
                length=answer.length,
                digest=answer.digest,
                chunks=chunks,
            )
        )

    def _detach_slot(self, pending, client):
        """Keep the slot occupied until the endpoint no longer runs the request."""
        if pending.slot is None:
            return
        pool = pending.ticket.pool
        slot = self.slots.detach(pending)
        task = asyncio.ensure_future(
            self.connections.wait_for_end(client, pending.message.request)
        )
        self.end_waits.add(task)
        task.add_done_callback(lambda _: self.slots.reclaim(slot, pool))
        task.add_done_callback(self.end_waits.discard)

    def _end_body(self, pending, client, reader, failure):
        if failure is not None:
            self.metrics.count("routing.aborted_streams")
        if reader.stalled:
            self.connections.report_stall(client)
        self._finish(pending)

    async def _resolve_unknown(self, pending, client, request, failure):
        """Query the endpoint if a non-idempotent request has an unknown outcome."""
        if (
            failure.outcome is not Outcome.UNKNOWN
            or pending.document.request.idempotent
        ):
            return failure
        self.metrics.count("routing.doubts")
        return await self.connections.resolve_outcome(
            client, request, deadline=pending.deadline
        )

    def _record_outcome(self, slot, result):
        now = self.clock.now()
        kind = result.unwrap_err().kind if result.is_err() else None
        if kind is None:
            self.holder.record_success(slot, now=now)
        elif kind is ErrorKind.NO_CAPACITY:
            self.holder.record_no_capacity(slot, now=now)
        elif kind is ErrorKind.DRAINING:
            self.holder.drain([slot.endpoint])
        elif kind is ErrorKind.STALE_EPOCH:
            self.on_slots_needed(slot.held.grant.pool)
        else:
            self.holder.record_failure(slot, now=now)

    def _may_retry(self, pending, failure):
        idempotent = pending.document.request.idempotent
        if pending.uncertain_failure is not None and not idempotent:
            return False
        if pending.attempts >= MAX_ATTEMPTS or self.clock.now() >= pending.deadline:
            return False
        if not self._retry_budget(pending).withdraw():
            self.metrics.count("routing.retries_denied")
            return False
        return True

    def _finish(self, pending):
        """Release the slot, ticket and queue place of a request on the first call."""
        if pending not in self.pending_requests:
            return
        self.pending_requests.discard(pending)
        now = self.clock.now()
        self.policy.remove(pending.ticket, now=now)
        self.policy.finish(pending.ticket, now=now)
        self.slots.release(pending)
        self.slots.assign_slots(pending.ticket.pool)

    def _refuse_waiting(self):
        for pending in list(self.pending_requests):
            if self.policy.remove(pending.ticket, now=self.clock.now()):
                failure = Failure(kind=ErrorKind.DRAINING, detail="draining")
                resolve(pending.waiter, Err(failure))

    def _record_refusal(self, message, failure):
        self.trace.record_refusal(message, failure)
        self.metrics.count(f"routing.refused.{failure.kind.value}")
        return Err(failure)

    def _retry_budget(self, pending):
        ratio = pending.document.request.retry_budget
        budget = self.retry_budgets.get(pending.document.service)
        if budget is None:
            budget = self.retry_budgets[pending.document.service] = RetryBudget()
        budget.ratio = ratio
        return budget


def _for_caller(failure):
    """Replace `stale_epoch`, which means nothing to a caller, by `no_capacity`."""
    if failure.kind is not ErrorKind.STALE_EPOCH:
        return failure
    detail = "the slot grant for the endpoint is outdated"
    return Failure(kind=ErrorKind.NO_CAPACITY, detail=detail)
