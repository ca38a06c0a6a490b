"""Role `routing`: admission and routing of requests in an entry process."""

import asyncio
import contextlib

from absl import logging
from result import Err, Ok

from wasabipaddle.admission import FairQueue, QueueBounds
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError
from wasabipaddle.kernel import Mailbox, Plugin
from wasabipaddle.messages import (
    DrainNotice,
    ForwardReply,
    ForwardRequest,
    GrantReply,
    RouteRequest,
)
from wasabipaddle.routing import Dispatcher, GrantHolder, SpillPolicy
from wasabipaddle.timeline import EventKind

__all__ = ["RequestRouting", "RoutingPlugin"]

# Minimum time between a grant reply and the next request to the same leader.
MIN_GRANT_INTERVAL_S = 0.05
ASSIGN_PERIOD_S = 0.1


class RequestRouting:
    """Admits and routes the requests of one entry process.

    Parameters
    ----------
    context : Context
        Shared services of the process.
    transport : Transport
        Calls to other entry processes.
    catalogue : object
        Has `get(service)`, which returns a `ServiceDocument` or None.
    leaders : object
        Has `leader_of(shard)`, which returns a process name or None.
    connect : callable
        Function from a `Grant` to an `EndpointClient`.
    peers : object or None
        Has `live(data_centre)`, which returns names of live entry processes. If None,
        no request is forwarded to another data centre, and quotas are divided by the
        number of configured entry processes.
    incarnation : int
        Incarnation of the process, which increases with each start.
    policy : AdmissionPolicy or None
        Admission queue; None uses `FairQueue` with the bounds of the settings.
    """

    def __init__(
        self,
        *,
        context,
        transport,
        catalogue,
        leaders,
        connect,
        peers=None,
        incarnation,
        policy=None,
    ):
        settings = context.settings
        routing = settings.routing
        self.context = context
        self.settings = settings
        self.transport = transport
        self.catalogue = catalogue
        self.leaders = leaders
        self.peers = peers
        bounds = QueueBounds(requests=routing.queue_requests, size=routing.queue_bytes)
        self.policy = policy or FairQueue(bounds=bounds)
        self.holder = GrantHolder(
            sender=settings.process, incarnation=incarnation, random=context.random
        )
        self.dispatcher = Dispatcher(
            policy=self.policy,
            holder=self.holder,
            connect=connect,
            catalogue=catalogue,
            settings=routing,
            clock=context.clock,
            random=context.random,
            metrics=context.metrics,
            on_slots_needed=self._on_slots_needed,
            events=context.events,
        )
        self.spill = None
        self.mailbox = Mailbox(capacity=routing.queue_requests)
        self.report_load = lambda load: None
        self.tasks = set()
        self.subscriptions = []
        self.wake_events = {}

    async def start(self):
        """Start handling requests from the bus and requesting grants."""
        self.context.bus.register(self.mailbox, RouteRequest)
        self.transport.handle(DrainNotice, self.handle_drain_notice)
        self.transport.handle(ForwardRequest, self.serve_forwarded)
        if self.peers is not None:
            self.spill = SpillPolicy(
                settings=self.settings,
                peers=self.peers,
                transport=self.transport,
                clock=self.context.clock,
                random=self.context.random,
                metrics=self.context.metrics,
                trace=self.dispatcher.trace,
            )
        self._update_quotas()
        self._spawn(self._read_mailbox())
        for shard in self.settings.shards_of(self.settings.data_centre):
            self.wake_events[shard] = asyncio.Event()
            self._spawn(self._request_grants_periodically(shard))
        subscription = self.context.timers.every(ASSIGN_PERIOD_S).subscribe(
            lambda _: self._assign_and_report_load()
        )
        self.subscriptions.append(subscription)

    async def drain(self):
        """Refuse new requests and wait for those in progress."""
        await self.dispatcher.drain(timeout_s=self.settings.api.drain_s)

    async def stop(self):
        """Stop the tasks and close the connections to endpoints."""
        for subscription in self.subscriptions:
            subscription.dispose()
        for task in list(self.tasks):
            task.cancel()
        await self.dispatcher.close()

    async def route(self, message):
        """Serve a request locally or in another data centre.

        Another data centre is tried after a local failure that it may avoid.
        """
        result = await self.dispatcher.route(message)
        document = self.catalogue.get(message.service)
        if result.is_ok() or self.spill is None or document is None:
            return result
        failure = result.unwrap_err()
        if not self.spill.can_spill(failure):
            return result
        return await self.spill.forward(message, document, failure)

    async def serve_forwarded(self, message):
        """Serve a request from another data centre without forwarding it again."""
        request = RouteRequest(
            request=message.request,
            service=message.service,
            caller=message.caller,
            body=message.body,
            deadline=self.context.clock.now() + message.deadline_s,
        )
        result = await self.dispatcher.route(request, forwarded=True)
        if result.is_err():
            return result
        try:
            body = b"".join([chunk async for chunk in result.unwrap().chunks])
        except WasabipaddleError as error:
            return Err(error.failure)
        return Ok(ForwardReply(request=message.request, body=body))

    async def handle_drain_notice(self, message):
        """Stop sending requests to the endpoints that a notice names."""
        state = self.holder.shards.get(message.shard)
        if state is not None and message.epoch < state.epoch:
            detail = "a leader with a higher epoch is known for the shard"
            return Err(Failure(kind=ErrorKind.STALE_EPOCH, detail=detail))
        self.dispatcher.drain_endpoints(message.endpoints)
        return Ok(message)

    async def request_grants(self, shard) -> bool:
        """Send one grant request and return whether a reply was applied."""
        leader = self.leaders.leader_of(shard)
        if leader is None:
            return False
        now = self.context.clock.now()
        self._update_quotas()
        message = self.holder.request(
            shard,
            self.dispatcher.demand(),
            now=now,
            draining=self.dispatcher.draining,
        )
        timeout_s = self.settings.routing.grant_period_s
        reply = await self.transport.call(
            leader, message, GrantReply, timeout_s=timeout_s
        )
        if reply.is_err():
            return False
        now = self.context.clock.now()
        if not self.holder.apply(reply.unwrap(), now=now):
            return False
        if not reply.unwrap().unchanged:
            self.context.events.record(EventKind.GRANTS_CHANGED, detail=shard)
        if reply.unwrap().partial and not message.held:
            # The next request reports the grants held, for which the new leader waits.
            self.wake_events[shard].set()
        await self.dispatcher.connections.forget(self.holder.forget(now=now))
        self.dispatcher.assign_free_slots()
        return True

    async def _request_grants_periodically(self, shard):
        applied = True
        while True:
            previous = applied
            applied = await self.request_grants(shard)
            if applied != previous:
                status = "answers" if applied else "is unknown or gave no valid reply"
                logging.info("leader of shard %s %s", shard, status)
            await asyncio.sleep(MIN_GRANT_INTERVAL_S)
            pause_s = self._grant_period_s(applied) * self.context.random.uniform(
                0.9, 1.1
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s - MIN_GRANT_INTERVAL_S):
                    await self.wake_events[shard].wait()
            self.wake_events[shard].clear()

    def _grant_period_s(self, applied):
        routing = self.settings.routing
        if not applied:
            return routing.grant_period_s
        demand = self.dispatcher.demand()
        if any(d.in_progress or d.queued for d in demand):
            return routing.grant_period_s
        return routing.grant_idle_period_s

    async def _read_mailbox(self):
        while True:
            envelope = await self.mailbox.receive()
            task = self._spawn(self._route_and_reply(envelope))
            if envelope.reply is not None:
                envelope.reply.add_done_callback(
                    lambda reply, task=task: reply.cancelled() and task.cancel()
                )

    async def _route_and_reply(self, envelope):
        result = await self.route(envelope.message)
        if envelope.reply is not None and envelope.reply.done() and result.is_ok():
            await result.unwrap().chunks.aclose()
        envelope.answer(result)

    def _assign_and_report_load(self):
        self.dispatcher.assign_free_slots()
        self.report_load(self.holder.load(self.context.clock.now()))

    def _on_slots_needed(self, pool):
        for wake_event in self.wake_events.values():
            wake_event.set()

    def _update_quotas(self):
        quotas = self.settings.deployment.quotas
        names = self._live_entries()
        rank = names.index(self.settings.process)
        self.policy.set_quotas(quotas, rank=rank, processes=len(names))

    def _live_entries(self):
        """Return the sorted names of the live entry processes of the cell.

        Without `peers` these are all configured entry processes.
        """
        deployment = self.settings.deployment
        if self.peers is None:
            return sorted(p.name for p in deployment.entries)
        names = {self.settings.process}
        for centre in deployment.data_centres:
            names.update(self.peers.live(centre.name))
        return sorted(names)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class RoutingPlugin(Plugin):
    """Connects `RequestRouting` to the other roles of the process."""

    name = "routing"
    requires = ("transport", "membership", "relay", "platform")

    def __init__(self, *, context):
        super().__init__(context=context)
        self.routing = None

    async def start(self):
        """Create and start `RequestRouting`, now that all roles exist."""
        plugins = self.context.plugins
        membership = plugins["membership"]
        self.routing = RequestRouting(
            context=self.context,
            transport=plugins["transport"].transport,
            catalogue=plugins["relay"],
            leaders=membership,
            connect=plugins["platform"].connect_endpoint,
            peers=membership,
            incarnation=membership.table.incarnation,
        )
        self.routing.report_load = membership.set_load
        await self.routing.start()

    async def drain(self):
        """Refuse new requests and wait for those in progress."""
        await self.routing.drain()

    async def stop(self):
        """Stop `RequestRouting`."""
        if self.routing is not None:
            await self.routing.stop()
