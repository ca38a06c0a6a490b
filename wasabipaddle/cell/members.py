"""Role `cell_members`: membership of the cell and calls between its processes."""

import asyncio

from aiohttp import web
from result import Err, Ok

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.election import FAR_LATENCY_S, ElectionPlugin
from wasabipaddle.cell.events import LeaderChanged, LeadershipGained, MemberOutdated
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.exceptions import ErrorKind, Failure
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
# A process that has not been heard from for this long does not count as live.
LIVENESS_TIMEOUT_S = 2.0
# Consecutive refused connections after which the leader is presumed dead. The limit is
# higher for processes far from the store, so that nearer processes replace it first.
MAX_REFUSALS = 2
MAX_REFUSALS_FAR = 5
# Shortest pause before a leader that refused a connection is called again.
REFUSAL_PAUSE_S = 0.08
# A process is weak if its processing power is below this share of that of the strongest
# live process.
WEAK_SHARE = 0.6


class MembersPlugin(Plugin):
    """Tracks the leader and, by regular hello messages to it, the live processes.

    Attributes
    ----------
    transport : HttpTransport
        Calls to other processes; roles register their handlers with it.
    addresses : dict of str to str
        Internal listener of each known process, by name.
    leader, leader_epoch : str, int
        Name of the leader, empty while none is known, and the highest known epoch.
    last_heard_s : dict of str to float
        Monotonic time at which each process was last known to be live, by name. The
        leader records it at each hello message; other processes record it for all
        members that a reply of the leader lists.
    latencies, incarnations, processing_power : dict
        Latency of the store at each process in seconds, start of the process in Unix
        milliseconds, and its processing power in cores, by name. Only the leader
        receives those of other processes.
    count_waiting : callable
        Returns the number of waiting jobs by queue for replies to hello messages, or
        None; the dispatcher role sets it.
    waiting : dict of str to int or None
        Number of waiting jobs by queue, from the last reply of the leader; None while
        its dispatcher recovers.
    waiting_received_s : float
        Monotonic time at which that reply arrived.
    """

    name = "cell_members"
    requires = (CellStorePlugin.name, ConfigurationPlugin.name, ElectionPlugin.name)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.transport = HttpTransport(peers={})
        self.last_heard_s = {}
        self.latencies = {}
        self.incarnations = {}
        self.processing_power = {context.settings.process: context.settings.processor}
        self.addresses = {}
        self.leader = ""
        self.leader_epoch = 0
        self.waiting = None
        self.waiting_received_s = 0.0
        self.count_waiting = lambda: None
        self.hello_due = asyncio.Event()
        self.refusals = 0
        self.tasks = TaskSet()
        self.app_runner = None

    async def start(self):
        """Register the handlers and start to send hello messages to the leader."""
        self.configuration = self.context.plugins[ConfigurationPlugin.name]
        self.store_plugin = self.context.plugins[CellStorePlugin.name]
        self.election = self.context.plugins[ElectionPlugin.name]
        self.transport.handle(MemberHello, self._handle_hello)
        self.transport.handle(LeaderNotice, self._handle_leader_notice)
        self.context.bus.events(LeaderChanged).subscribe(self._on_leader_changed)
        self.context.bus.events(LeadershipGained).subscribe(self._announce_leadership)
        self.tasks.keep_running(self._send_hellos)

    async def open(self):
        """Listen for other processes; called once every role has started."""
        app = web.Application()
        app.add_routes(self.transport.routes())
        self.app_runner = web.AppRunner(app, access_log=None)
        await self.app_runner.setup()
        peer = CellPeer.parse(self.context.settings.internal)
        await web.TCPSite(self.app_runner, peer.host, peer.internal_port).start()

    async def stop(self):
        """Close the listener and the connections."""
        await self.tasks.close()
        if self.app_runner is not None:
            await self.app_runner.cleanup()
        await self.transport.close()

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
        for process in self.addresses:
            if process != self.own_name:
                self.tasks.spawn(
                    self.ask(process, notice, Noted, timeout_s=NOTICE_TIMEOUT_S)
                )

    async def _handle_leader_notice(self, notice):
        self._accept_leader_notice(notice)
        return Ok(Noted())

    def _accept_leader_notice(self, notice):
        """Follow the leader that another process names, if its epoch is higher."""
        if notice is None or notice.epoch <= self.leader_epoch:
            return
        self.context.journal(
            "leader_announced",
            leader=notice.process,
            epoch=notice.epoch,
            before=self.leader_epoch,
        )
        self._follow(notice)

    def _set_address(self, process, address):
        if not is_callable_address(address):
            self.store_plugin.unreadable.record("member", process, repr(address))
            return
        self.addresses[process] = address
        self.transport.peers[process] = CellPeer.parse(address)

    @property
    def own_name(self) -> str:
        """Name of this process."""
        return self.context.settings.process

    @property
    def is_leader(self) -> bool:
        """Whether this process is the leader."""
        return self.leader == self.own_name

    def live(self):
        """Return the names of the live processes, this one first."""
        now = self.context.clock.now()
        others = [
            p for p, at in self.last_heard_s.items() if now - at < LIVENESS_TIMEOUT_S
        ]
        return [self.own_name, *(p for p in others if p != self.own_name)]

    def heard_within(self, process, seconds) -> bool:
        """Return whether a process was known to be live within the last `seconds`."""
        if process == self.own_name:
            return True
        return self.context.clock.now() - self.last_heard_s.get(process, 0.0) <= seconds

    def is_far(self, process) -> bool:
        """Return whether the latency of the store at a process is high."""
        return self.latencies.get(process, 0.0) > FAR_LATENCY_S

    @property
    def largest_processing_power(self) -> float:
        """Largest processing power among the live processes, in cores."""
        return max(self.processing_power.get(process, 0.0) for process in self.live())

    def is_weak(self, process) -> bool:
        """Return whether a live process has much more processing power."""
        return (
            self.processing_power.get(process, 0.0)
            < WEAK_SHARE * self.largest_processing_power
        )

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

    def _build_leader_notice(self):
        if not self.leader or self.leader not in self.addresses:
            return None
        return LeaderNotice(
            process=self.leader,
            address=self.addresses[self.leader],
            epoch=self.leader_epoch,
        )

    async def _send_hellos(self):
        settings = self.context.settings
        while True:
            delay_s = HELLO_INTERVAL_S * (0.9 + 0.2 * self.context.random.random())
            try:
                async with asyncio.timeout(delay_s):
                    await self.hello_due.wait()
            except TimeoutError:
                pass
            self.hello_due.clear()
            if not self.leader:
                continue
            hello = MemberHello(
                process=settings.process,
                address=settings.advertised_address,
                configuration=self.configuration.version,
                store_latency_s=self.store_plugin.health.latency_s,
                life=self.election.record.life,
                processor=settings.processor,
            )
            reply = await self.ask_leader(hello, HelloReply, timeout_s=HELLO_TIMEOUT_S)
            refused = reply.is_err() and reply.err().kind is ErrorKind.UNREACHABLE
            self.refusals = self.refusals + 1 if refused else 0
            if refused:
                await self._handle_refused_leader()
            if reply.is_err():
                self.election.check_leader()
                continue
            reply = reply.ok()
            self.configuration.observe(reply.configuration)
            self._accept_leader_notice(reply.leader)
            self.election.weak = settings.processor < WEAK_SHARE * reply.strongest
            self.waiting = reply.waiting
            self.waiting_received_s = self.context.clock.now()
            for process, address in reply.members.items():
                self._set_address(process, address)
                self.last_heard_s[process] = self.waiting_received_s

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
        self.last_heard_s[hello.process] = self.context.clock.now()
        self.latencies[hello.process] = hello.store_latency_s
        self.incarnations[hello.process] = hello.life
        self.processing_power[hello.process] = hello.processor
        self._set_address(hello.process, hello.address)
        self.configuration.observe(hello.configuration)
        if hello.configuration < self.configuration.version:
            self.context.bus.publish(MemberOutdated(process=hello.process))
        return Ok(
            HelloReply(
                configuration=self.configuration.version,
                waiting=self.count_waiting(),
                members={
                    p: self.addresses[p] for p in self.live() if p in self.addresses
                },
                strongest=self.largest_processing_power,
                leader=self._build_leader_notice(),
            )
        )
