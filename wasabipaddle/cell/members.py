"""Role `cell_members`: membership of the cell and calls between its processes."""

import asyncio

from aiohttp import web
from result import Err, Ok

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.election import FAR_LATENCY_S, ElectionPlugin
from wasabipaddle.cell.events import (
    DrainStarted,
    LeaderChanged,
    LeadershipGained,
    MemberOutdated,
)
from wasabipaddle.cell.roster import LIVENESS_TIMEOUT_S, WEAK_SHARE, Roster
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.ingress import IngressListener, ListenerProfile
from wasabipaddle.jobs.addresses import is_callable_address
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages.jobs import (
    HelloReply,
    LeaderNotice,
    MemberHello,
    Noted,
)
from wasabipaddle.serve.tasks import TaskSet
from wasabipaddle.settings import CellPeer
from wasabipaddle.transport import HttpTransport

__all__ = ["MembersPlugin"]

HELLO_INTERVAL_S = 0.5
HELLO_TIMEOUT_S = 0.5
NOTICE_TIMEOUT_S = 0.5
# Consecutive refused connections after which the leader is presumed dead. The limit is
# higher for processes far from the store, so that nearer processes replace it first.
MAX_REFUSALS = 2
MAX_REFUSALS_FAR = 5
# Shortest pause before a leader that refused a connection is called again.
REFUSAL_PAUSE_S = 0.08
SHUTDOWN_S = 0.5


class MembersPlugin(Plugin):
    """Tracks the leader and, by regular hello messages to it, the live processes.

    Attributes
    ----------
    transport : HttpTransport
        Calls to other processes; roles register their handlers with it.
    roster : Roster
        Known processes, their addresses and signs of life.
    leader, leader_epoch : str, int
        Name of the leader, empty while none is known, and the highest known epoch.
    count_waiting : callable
        Returns the number of waiting jobs by queue for replies to hello messages, or
        None; the dispatcher role sets it.
    waiting : dict of str to int or None
        Number of waiting jobs by queue, from the last reply of the leader; None while
        its dispatcher recovers.
    waiting_received_s : float
        Monotonic time at which that reply arrived.
    forecast_load : callable
        Returns the `LoadForecast` for replies to hello messages, or None; the
        dispatcher role sets it.
    forecast : LoadForecast or None
        Forecast in the last reply of the leader, which arrived at `waiting_received_s`.
    unasked : list of str
        Processes still to be asked before one is asked again.
    """

    name = "cell_members"
    requires = (CellStorePlugin.name, ConfigurationPlugin.name, ElectionPlugin.name)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.transport = HttpTransport(peers={})
        self.roster = Roster(context=context)
        self.draining = False
        self.leader = ""
        self.leader_epoch = 0
        self.waiting = None
        self.waiting_received_s = 0.0
        self.count_waiting = lambda: None
        self.forecast_load = lambda: None
        self.forecast = None
        self.hello_due = asyncio.Event()
        self.unasked = []
        self.refusals = 0
        self.tasks = TaskSet()
        self.listener = None

    async def start(self):
        """Register the handlers and start to send hello messages to the leader."""
        self.configuration = self.context.plugins[ConfigurationPlugin.name]
        self.store_plugin = self.context.plugins[CellStorePlugin.name]
        self.election = self.context.plugins[ElectionPlugin.name]
        self.transport.handle(MemberHello, self._handle_hello)
        self.transport.handle(LeaderNotice, self._handle_leader_notice)
        bus = self.context.bus
        bus.events(DrainStarted).subscribe(self._on_drain)
        bus.events(LeaderChanged).subscribe(self._on_leader_changed)
        bus.events(LeadershipGained).subscribe(self._announce_leadership)
        self.tasks.keep_running(self._send_hellos)
        self.tasks.keep_running(self._ask_peers)

    async def open(self):
        """Listen for other processes; called once every role has started."""
        app = web.Application()
        app.add_routes(self.transport.routes())
        self.listener = IngressListener(
            ingress=self.context.ingress,
            runner=web.AppRunner(app, shutdown_timeout=SHUTDOWN_S),
            profile=ListenerProfile(listener="internal"),
        )
        peer = CellPeer.parse(self.context.settings.internal)
        await self.listener.open(peer.host, peer.internal_port)

    async def stop(self):
        """Close the listener and the connections."""
        await self.tasks.close()
        if self.listener is not None:
            await self.listener.close()
        await self.transport.close()

    def _on_drain(self, event):
        """Tell the leader at once that this process takes no more work."""
        self.draining = True
        self.hello_due.set()

    def _on_leader_changed(self, event):
        """Follow the leader recorded in the store, unless a later one is known."""
        if not event.process:
            self.leader = ""
        elif event.epoch >= self.leader_epoch:
            self._follow(event)

    def _follow(self, leader):
        """Follow the leader of a `LeaderChanged` event or a `LeaderNotice`."""
        self.leader, self.leader_epoch = leader.process, leader.epoch
        self._set_address(leader.process, leader.address)
        # A new leader spreads its eligibility requests over all live processes, so it
        # must learn at once that this process is live.
        self.hello_due.set()

    def _announce_leadership(self, event):
        """Tell all other processes that this one leads.

        Processes that do not reach the store cannot read the leader key.
        """
        settings = self.context.settings
        notice = LeaderNotice(
            process=self.own_name,
            address=settings.advertised_address,
            epoch=event.epoch,
        )
        self.tasks.spawn(self._send_notices(notice))

    async def _send_notices(self, notice):
        # The number of connections is limited, so live processes come first.
        peers = self.roster.peers(leader=self.own_name)
        replies = await asyncio.gather(
            *(self.ask(p, notice, Noted, timeout_s=NOTICE_TIMEOUT_S) for p in peers)
        )
        self.context.journal(
            "leadership_announced",
            epoch=notice.epoch,
            processes=len(peers),
            unanswered=sum(reply.is_err() for reply in replies),
        )

    async def _handle_leader_notice(self, notice):
        self.accept_leader_notice(notice)
        return Ok(Noted())

    def accept_leader_notice(self, notice):
        """Follow the leader that another process names, if its epoch is higher.

        A leader stops leading; if the store refuses it, it has no other way to know.
        """
        if notice is None or notice.epoch <= self.leader_epoch:
            return
        self.context.journal(
            "leader_announced",
            leader=notice.process,
            epoch=notice.epoch,
            before=self.leader_epoch,
        )
        self._follow(notice)
        reason = f"{notice.process} leads under epoch {notice.epoch}"
        self.election.step_down(reason, epoch=self.election.epoch)

    def _set_address(self, process, address) -> bool:
        """Record the address of a process; return whether it can be called."""
        if not is_callable_address(address):
            self.store_plugin.unreadable.record("member", process, repr(address))
            return False
        self.roster.set_address(process, address)
        self.transport.peers[process] = CellPeer.parse(address)
        return True

    @property
    def own_name(self) -> str:
        """Name of this process."""
        return self.context.settings.process

    @property
    def is_leader(self) -> bool:
        """Whether this process is the leader."""
        return self.leader == self.own_name

    async def ask_leader(self, message, reply_type, *, timeout_s):
        """Send a message to the leader and return the reply."""
        if not self.leader:
            return Err(Failure(kind=ErrorKind.NO_LEADER, detail="no leader known"))
        return await self.ask(self.leader, message, reply_type, timeout_s=timeout_s)

    async def ask(self, process, message, reply_type, *, timeout_s):
        """Send a message to a process and return the reply.

        Messages to this process go to the handler directly, without the network.
        """
        if process == self.own_name:
            entry = self.transport.handlers.get(type(message).__name__)
            if entry is None:
                detail = f"no handler for {type(message).__name__}"
                return Err(Failure(kind=ErrorKind.NOT_FOUND, detail=detail))
            return await entry[1](message)
        if process not in self.transport.peers:
            detail = f"address of {process} unknown"
            return Err(Failure(kind=ErrorKind.UNREACHABLE, detail=detail))
        return await self.transport.call(
            process, message, reply_type, timeout_s=timeout_s
        )

    def build_leader_notice(self) -> LeaderNotice | None:
        """Return who leads as far as this process knows, None if it does not."""
        address = self.roster.addresses.get(self.leader)
        if address is None:
            return None
        return LeaderNotice(
            process=self.leader,
            address=address,
            epoch=self.leader_epoch,
        )

    async def _send_hellos(self):
        while True:
            try:
                async with asyncio.timeout(self._draw_interval_s()):
                    await self.hello_due.wait()
            except TimeoutError:
                pass
            self.hello_due.clear()
            for process in self.roster.forget_departed(leader=self.leader):
                self.transport.peers.pop(process, None)
            if self.leader:
                await self._send_hello()

    def _draw_interval_s(self):
        return HELLO_INTERVAL_S * (0.9 + 0.2 * self.context.random.random())

    async def _send_hello(self):
        """Send a hello message to the leader and process the reply."""
        leader, hello = self.leader, self._build_hello()
        sent_s = self.context.clock.boot_s()
        reply = await self.ask(leader, hello, HelloReply, timeout_s=HELLO_TIMEOUT_S)
        refused = reply.is_err() and reply.err().kind is ErrorKind.UNREACHABLE
        self.refusals = self.refusals + 1 if refused else 0
        if refused:
            await self._handle_refused_leader()
        if reply.is_err():
            self.election.check_leader()
            return
        reply = reply.ok()
        self.configuration.observe(reply.configuration)
        if leader != self.own_name:
            self.configuration.confirm_by_peer(sent_s, reply)
        self.accept_leader_notice(reply.leader)
        self.election.weak = hello.processor < WEAK_SHARE * reply.strongest
        self.waiting, self.forecast = reply.waiting, reply.forecast
        self.waiting_received_s = self.context.clock.now()
        if leader != self.own_name:
            self._record_members(reply.members)

    async def _ask_peers(self):
        """Ask other processes as long as the leader is silent or its word is old.

        A process that does not reach the store may have missed the announcement of the
        successor of its leader, and that leader may not reach the store either.
        """
        while True:
            await asyncio.sleep(self._draw_interval_s())
            silent = not self.roster.heard_within(self.leader, LIVENESS_TIMEOUT_S)
            if silent or self.configuration.needs_confirmation:
                await self._ask_peer()

    def _choose_peer(self):
        """Return another process, each once before one again; None if none is known.

        Those that this process takes for live may all follow the same former leader.
        """
        peers = self.roster.peers(leader="")
        self.unasked = [p for p in self.unasked if p in peers]
        if not self.unasked:
            self.unasked = peers
            self.context.random.shuffle(self.unasked)
        return self.unasked.pop() if self.unasked else None

    async def _ask_peer(self):
        """Ask another process who leads and how recent its configuration is."""
        process = self._choose_peer()
        if process is None:
            return
        sent_s = self.context.clock.boot_s()
        reply = await self.ask(
            process, self._build_hello(), HelloReply, timeout_s=HELLO_TIMEOUT_S
        )
        if reply.is_ok():
            self.configuration.observe(reply.ok().configuration)
            self.configuration.confirm_by_peer(sent_s, reply.ok())
            self.accept_leader_notice(reply.ok().leader)

    def _build_hello(self):
        settings = self.context.settings
        return MemberHello(
            process=settings.process,
            address=settings.advertised_address,
            configuration=self.configuration.version,
            store_latency_s=self.store_plugin.health.latency_s,
            life=self.election.record.life,
            processor=settings.processor,
            draining=self.draining,
        )

    def _record_members(self, members):
        callable_members = {
            process: address
            for process, address in members.items()
            if self._set_address(process, address)
        }
        self.roster.record_members(callable_members)

    async def _handle_refused_leader(self):
        """Replace a leader that refuses connections repeatedly, or call it again soon.

        Waiting for the lease of the leader to expire would take much longer.
        """
        far = self.store_plugin.health.latency_s > FAR_LATENCY_S
        needed = MAX_REFUSALS_FAR if far else MAX_REFUSALS
        if self.refusals >= needed and await self.election.replace_leader():
            self.refusals = 0
            return
        await asyncio.sleep(REFUSAL_PAUSE_S * (1 + self.context.random.random()))
        self.hello_due.set()

    async def _handle_hello(self, hello):
        if self._set_address(hello.process, hello.address):
            self.roster.record_hello(hello)
        self.configuration.observe(hello.configuration)
        if hello.configuration < self.configuration.version:
            self.context.bus.publish(MemberOutdated(process=hello.process))
        return Ok(
            HelloReply(
                configuration=self.configuration.version,
                waiting=self.count_waiting(),
                # Only the leader hears from all: two others that listed to each other
                # whom they listed would keep removed processes live.
                members=self.roster.listed_members() if self.is_leader else {},
                strongest=self.roster.largest_processing_power,
                leader=self.build_leader_notice(),
                forecast=self.forecast_load(),
                configuration_age_s=self.configuration.state_proof_age(),
            )
        )
