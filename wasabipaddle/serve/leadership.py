"""Role `leadership`: leader elections for the shards of the local data centre."""

from result import Ok

from wasabipaddle.kernel import Plugin
from wasabipaddle.leadership import (
    LeaderElected,
    LeaderSteppedDown,
    MembershipView,
    ShardElection,
)
from wasabipaddle.membership import EpochSeen
from wasabipaddle.messages import LeaderHandover
from wasabipaddle.serve.tasks import TaskSet
from wasabipaddle.timeline import EventKind

__all__ = ["LeadershipPlugin"]

HANDOVER_TIMEOUT_S = 1.0


class MemberTableView(MembershipView):
    """Membership view of this process, derived from the member table and the VM list.

    Parameters
    ----------
    membership : MembershipPlugin
        Role that holds the member table.
    is_gone : callable
        Takes a process name and returns whether the VM list marks its VM as gone.
    """

    def __init__(self, *, membership, is_gone):
        self.membership = membership
        self.is_gone = is_gone

    def rank(self, shard):
        """Return the position of this process among the candidates, None if absent."""
        table = self.membership.table
        names = table.candidates(shard, table.data_centre, self.membership.now())
        return names.index(table.process) if table.process in names else None

    def silence_s(self, name, incarnation):
        """Return the seconds since an incarnation of a process was heard from."""
        now = self.membership.now()
        return self.membership.table.age(name, now, incarnation=incarnation)

    def has_stopped(self, name, incarnation, shard, epoch):
        """Return whether a process is proven to lead no epoch below `epoch`."""
        table = self.membership.table
        return self.is_gone(name) or table.has_stopped(name, incarnation, shard, epoch)


class LeadershipPlugin(Plugin):
    """Runs one election per shard and publishes changes of leadership.

    Publishes `LeaderElected` and `LeaderSteppedDown`.

    Attributes
    ----------
    elections : dict of str to ShardElection
        Elections of the shards of the local data centre, by shard.
    """

    name = "leadership"
    requires = ("membership", "store", "fleet")

    def __init__(self, *, context):
        super().__init__(context=context)
        self.membership = context.plugins["membership"]
        self.transport = context.plugins["transport"].transport
        self.tasks = TaskSet()
        self.elections = {}
        settings = context.settings
        membership_view = MemberTableView(
            membership=self.membership, is_gone=context.plugins["fleet"].is_gone
        )
        for shard in settings.shards_of(settings.data_centre):
            election = ShardElection(
                shard=shard,
                process=settings.process,
                incarnation=self.membership.table.incarnation,
                store=context.plugins["store"].gate.store_for("leadership"),
                clock=context.clock,
                settings=settings.leadership,
                membership_view=membership_view,
            )
            election.changes.subscribe(self._publish_change)
            self.elections[shard] = election
        context.bus.events(EpochSeen).subscribe(self._note_epoch)
        self.transport.handle(LeaderHandover, self._receive_handover)

    async def start(self):
        """Start the elections."""
        for election in self.elections.values():
            self.tasks.keep_running(election.run)

    async def drain(self):
        """Release the led shards and notify the next candidate for each of them."""
        self.membership.table.local.draining = True
        for election in self.elections.values():
            released = await election.release()
            if released.is_ok() and released.unwrap():
                await self._hand_over(election.shard, released.unwrap())

    async def stop(self):
        """Stop the elections."""
        await self.tasks.close()

    async def _hand_over(self, shard, epoch):
        table = self.membership.table
        now = self.membership.now()
        for peer in table.candidates(shard, table.data_centre, now):
            notice = LeaderHandover(sender=table.process, shard=shard, epoch=epoch)
            reply = await self.transport.call(
                peer, notice, LeaderHandover, timeout_s=HANDOVER_TIMEOUT_S
            )
            if reply.is_ok():
                return

    async def _receive_handover(self, notice):
        election = self.elections.get(notice.shard)
        if election is not None:
            election.accept_handover(notice.epoch)
            self.tasks.spawn(election.step())
        return Ok(notice)

    def _note_epoch(self, event):
        election = self.elections.get(event.shard)
        if election is not None and event.leader != self.membership.table.process:
            election.note_epoch(event.epoch)

    def _publish_change(self, event):
        led = self.membership.table.local.led
        if isinstance(event, LeaderElected):
            led[event.shard] = event.epoch
            detail = f"{event.shard} epoch {event.epoch}"
            self.context.events.record(EventKind.LEADER_ELECTED, detail=detail)
        elif isinstance(event, LeaderSteppedDown):
            led.pop(event.shard, None)
            detail = f"{event.shard} epoch {event.epoch}: {event.reason}"
            self.context.events.record(EventKind.LEADER_STEPPED_DOWN, detail=detail)
        self.context.metrics.count("leadership_changes")
        self.context.bus.publish(event)
