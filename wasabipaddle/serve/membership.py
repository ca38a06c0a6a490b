"""Role `membership`: heartbeats and summaries between entry processes."""

from result import Ok

from wasabipaddle.kernel import Plugin
from wasabipaddle.membership import (
    EpochSeen,
    MemberTable,
    MemberUp,
    RevisionSeen,
    StorePauseSeen,
)
from wasabipaddle.messages import DataCentreSummary, Heartbeat, HeartbeatReply
from wasabipaddle.serve.tasks import TaskSet
from wasabipaddle.timeline import EventKind

__all__ = ["MembershipPlugin"]

CALL_TIMEOUT_S = 1.0


class MembershipPlugin(Plugin):
    """Exchanges heartbeats and publishes the changes that they report.

    Publishes `MemberUp`, `MemberDown`, `RevisionSeen`, `EpochSeen` and
    `StorePauseSeen`. Other roles report their state in `table.local`.

    Attributes
    ----------
    table : MemberTable
        State of the members as known to this process.
    """

    name = "membership"
    requires = ("transport", "store")

    def __init__(self, *, context):
        super().__init__(context=context)
        settings = context.settings
        self.settings = settings.membership
        self.table = MemberTable(
            process=settings.process,
            incarnation=max(context.clock.wall_ms(), 1),
            peers=settings.deployment.entries,
            settings=settings.membership,
        )
        self.transport = context.plugins["transport"].transport
        self.gate = context.plugins["store"].gate
        self.tasks = TaskSet()
        self.subscriptions = []
        self.transport.handle(Heartbeat, self._receive_heartbeat)
        self.transport.handle(DataCentreSummary, self._receive_summary)

    async def start(self):
        """Start sending heartbeats and summaries."""
        timers = self.context.timers
        self.subscriptions = [
            timers.every(self.settings.heartbeat_s).subscribe(self._on_heartbeat_timer),
            timers.every(self.settings.summary_s).subscribe(self._on_summary_timer),
        ]
        self._on_heartbeat_timer(None)

    async def drain(self):
        """Send heartbeats that announce that this process is draining."""
        self.table.local.draining = True
        self._on_heartbeat_timer(None)

    async def stop(self):
        """Stop sending heartbeats and summaries."""
        for subscription in self.subscriptions:
            subscription.dispose()
        await self.tasks.close()

    def leader_of(self, shard) -> str | None:
        """Return the live process that leads a shard, None if none is known."""
        return self.table.leader_of(shard, self.now())

    def delegate(self, data_centre) -> str | None:
        """Return the first available process of a data centre by name, or None."""
        return self.table.delegate(data_centre, self.now())

    def live(self, data_centre=None) -> list[str]:
        """Return the live processes of a data centre, or of all data centres."""
        return self.table.live(self.now(), data_centre)

    def set_load(self, load):
        """Set the load that the heartbeats of this process report."""
        self.table.local.load = load

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self.context.clock.now()

    # Sending

    def _on_heartbeat_timer(self, _):
        self._publish_transitions()
        for name, size in self.transport.wire_bytes.items():
            self.context.metrics.gauge(f"wire_bytes.{name}", size)
        for peer in self.table.next_targets():
            self.tasks.spawn(self._send_heartbeat(peer))

    async def _send_heartbeat(self, peer):
        message = self._heartbeat()
        result = await self.transport.call(
            peer, message, HeartbeatReply, timeout_s=CALL_TIMEOUT_S
        )
        if result.is_err():
            self.context.metrics.count("heartbeats_failed")
            return
        reply = result.unwrap().heartbeat
        self.context.hybrid_clock.receive(reply.hlc)
        self.table.receive_reply(reply, message, self.now())
        self._publish_claims(reply)

    def _on_summary_timer(self, _):
        own = self.table.data_centre
        if self.delegate(own) != self.table.process:
            return
        data_centre = self.table.next_summary_target()
        if data_centre is not None:
            self.tasks.spawn(self._send_summary(data_centre))

    async def _send_summary(self, data_centre):
        peer = self.delegate(data_centre) or self.table.probe_target(data_centre)
        result = await self.transport.call(
            peer, self._summary(), DataCentreSummary, timeout_s=CALL_TIMEOUT_S
        )
        if result.is_err():
            self.context.metrics.count("summaries_failed")
            return
        self._apply_summary(result.unwrap())

    def _heartbeat(self):
        hlc = self.context.hybrid_clock.tick()
        return self.table.heartbeat(hlc, self.now(), store_pause_s=self.gate.pause_s)

    def _summary(self):
        hlc = self.context.hybrid_clock.tick()
        return self.table.summary(hlc, self.now(), store_pause_s=self.gate.pause_s)

    # Receiving

    async def _receive_heartbeat(self, heartbeat):
        self.context.hybrid_clock.receive(heartbeat.hlc)
        self.table.receive_heartbeat(heartbeat, self.now())
        self._publish_claims(heartbeat)
        return Ok(HeartbeatReply(heartbeat=self._heartbeat()))

    async def _receive_summary(self, summary):
        self._apply_summary(summary)
        return Ok(self._summary())

    def _apply_summary(self, summary):
        self.context.hybrid_clock.receive(summary.hlc)
        self.table.receive_summary(summary, self.now())
        self._publish_state(summary)

    def _publish_claims(self, heartbeat):
        claims = [(s.shard, s.epoch, heartbeat.sender) for s in heartbeat.led]
        claims += [(s, e, leader) for s, (e, leader) in heartbeat.claims.items()]
        for shard, epoch, leader in claims:
            event = EpochSeen(shard=shard, epoch=epoch, leader=leader)
            self.context.bus.publish(event)
        self._publish_state(heartbeat)

    def _publish_state(self, message):
        if message.store_pause_s > 0:
            self.context.bus.publish(StorePauseSeen(pause_s=message.store_pause_s))
        if message.revision > self.table.local.revision:
            self.context.bus.publish(
                RevisionSeen(peer=message.sender, revision=message.revision)
            )
        self._publish_transitions()

    def _publish_transitions(self):
        for event in self.table.take_transitions(self.now()):
            up = isinstance(event, MemberUp)
            kind = EventKind.MEMBER_UP if up else EventKind.MEMBER_DOWN
            self.context.events.record(kind, vm=event.name)
            self.context.bus.publish(event)
