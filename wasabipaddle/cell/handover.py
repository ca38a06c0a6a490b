"""Role `cell_handover`: moves the leadership to a process that reaches the store."""

from result import Err, Ok

from wasabipaddle.cell.election import ElectionPlugin
from wasabipaddle.cell.facts import DrainBegan
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages.jobs import Noted, TakeOver
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["HandoverPlugin"]

CHECK_S = 0.3
TIMEOUT_S = 1.0
# Peers asked in one attempt.
MAX_ASKED = 2


class HandoverPlugin(Plugin):
    """Gives the leadership to a peer, and dispatches until the peer has it.

    A leader that is told to end hands over, as does one that the store refuses while
    it serves others: it would otherwise go on until its lease ends, and could make
    nothing durable in the meantime.
    """

    name = "cell_handover"
    requires = (CellStorePlugin.name, ElectionPlugin.name, MembersPlugin.name)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.tasks = TaskSet()
        self.asking = False

    async def start(self):
        """Watch the store, and serve the leaders that lost it."""
        plugins = self.context.plugins
        self.access = plugins[CellStorePlugin.name]
        self.election = plugins[ElectionPlugin.name]
        self.members = plugins[MembersPlugin.name]
        self.members.transport.handle(TakeOver, self._take_over)
        self.context.bus.facts(DrainBegan).subscribe(lambda _: self._leave())
        timer = self.context.timers.every(CHECK_S)
        self.subscription = timer.subscribe(lambda _: self._check())

    async def stop(self):
        """End the attempts."""
        self.subscription.dispose()
        await self.tasks.close()

    def _check(self):
        if self.election.epoch and self.access.health.away and not self.asking:
            self.asking = True
            self.tasks.spawn(self._hand_over())

    def _leave(self):
        if self.election.epoch:
            self.asking = True
            self.tasks.spawn(self._hand_over_or_resign())

    async def _hand_over_or_resign(self):
        await self._hand_over()
        await self.election.resign("process is draining")

    async def _hand_over(self):
        own = self.context.settings.process
        peers = [p for p in self.members.live() if p != own]
        # While all processes are restarted in turn, those started last stay longest.
        members = self.members
        peers.sort(key=lambda p: (members.is_far(p), -members.lives.get(p, 0)))
        try:
            for peer in peers[:MAX_ASKED]:
                message = TakeOver(epoch=self.election.epoch)
                taken = await self.members.ask(
                    peer, message, Noted, timeout_s=TIMEOUT_S
                )
                self.context.journal(
                    "leadership_offered",
                    peer=peer,
                    epoch=message.epoch,
                    outcome="taken" if taken.is_ok() else taken.err().kind.value,
                )
                if taken.is_ok():
                    self.election.depose(f"{peer} has taken over")
                    return
        finally:
            self.asking = False

    async def _take_over(self, message):
        if self.access.health.away or self.election.leaving:
            detail = "this process cannot lead"
            return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, detail=detail))
        taken = await self.election.bid(replaces=message.epoch)
        if not taken:
            detail = "the bid took no effect"
            return Err(Failure(kind=ErrorKind.CONFLICT, detail=detail))
        return Ok(Noted())
