"""Role `cell_handover`: moves the leadership to a better suited process."""

from result import Err, Ok

from wasabipaddle.cell.election import ElectionPlugin
from wasabipaddle.cell.events import DrainStarted
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.roster import MAX_HELLO_AGE_S
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages.jobs import Noted, TakeOver
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["HandoverPlugin"]

CHECK_INTERVAL_S = 0.3
OFFER_TIMEOUT_S = 1.0
# Peers to which the leadership is offered in one attempt.
MAX_OFFERS = 2


class HandoverPlugin(Plugin):
    """Hands the leadership over to a peer; this process dispatches until then.

    There are three causes. A leader that is shutting down hands over. So does a leader
    for which the store is unavailable, since the store may still serve other processes:
    the leader would otherwise keep the key until its lease expires, and could not make
    any progress durable in the meantime. A leader on a small VM hands over to a process
    on a larger one, since it may not keep up with the load.
    """

    name = "cell_handover"
    requires = (CellStorePlugin.name, ElectionPlugin.name, MembersPlugin.name)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.tasks = TaskSet()
        self.handing_over = False

    async def start(self):
        """Start the periodic check, and accept the leadership from other leaders."""
        plugins = self.context.plugins
        self.store_plugin = plugins[CellStorePlugin.name]
        self.election = plugins[ElectionPlugin.name]
        self.members = plugins[MembersPlugin.name]
        self.members.transport.handle(TakeOver, self._handle_take_over)
        self.context.bus.events(DrainStarted).subscribe(lambda _: self._on_drain())
        timer = self.context.timers.every(CHECK_INTERVAL_S)
        self.subscription = timer.subscribe(lambda _: self._check())

    async def stop(self):
        """Stop the check and any handover in progress."""
        self.subscription.dispose()
        await self.tasks.close()

    def _check(self):
        if not self.election.epoch or self.handing_over:
            return
        if self.store_plugin.health.unavailable:
            self.handing_over = True
            self.tasks.spawn(self._hand_over(self._candidates()))
            return
        stronger = [p for p in self._candidates() if not self.members.roster.is_weak(p)]
        if stronger and self.members.roster.is_weak(self.members.own_name):
            self.handing_over = True
            self.tasks.spawn(self._hand_over(stronger))

    def _on_drain(self):
        if self.election.epoch:
            self.handing_over = True
            self.tasks.spawn(self._hand_over_or_resign())

    async def _hand_over_or_resign(self):
        await self._hand_over(self._candidates())
        await self.election.resign("process is draining")

    def _candidates(self):
        """Return the live peers, the best one first and those that may be gone last."""
        roster = self.members.roster
        peers = [p for p in roster.live() if p != roster.own_name]
        # In a rolling restart, the process that started last will run longest, as the
        # processes that have not been restarted yet are stopped first.
        peers.sort(
            key=lambda p: (
                not roster.heard_within(p, MAX_HELLO_AGE_S),
                roster.is_weak(p),
                roster.is_far(p),
                -roster.incarnations.get(p, 0),
            )
        )
        return peers

    async def _hand_over(self, peers):
        """Offer the leadership to the first `MAX_OFFERS` peers, until one takes it."""
        try:
            for peer in peers[:MAX_OFFERS]:
                message = TakeOver(epoch=self.election.epoch)
                taken = await self.members.ask(
                    peer, message, Noted, timeout_s=OFFER_TIMEOUT_S
                )
                self.context.journal(
                    "leadership_offered",
                    peer=peer,
                    epoch=message.epoch,
                    outcome="taken" if taken.is_ok() else taken.err().kind.value,
                )
                if taken.is_ok():
                    self.election.step_down(
                        f"{peer} took over the leadership", epoch=message.epoch
                    )
                    return
        finally:
            self.handing_over = False

    async def _handle_take_over(self, message):
        if self.store_plugin.health.unavailable or self.election.draining:
            detail = "process is draining or does not reach the store"
            return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, detail=detail))
        taken = await self.election.campaign(replaces=message.epoch)
        if not taken:
            detail = "campaign for the leader key had no effect"
            return Err(Failure(kind=ErrorKind.CONFLICT, detail=detail))
        return Ok(Noted())
