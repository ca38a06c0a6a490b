"""Cell of real `MembersPlugin`s on an in-memory network, for tests."""

from wasabipaddle.cell.events import DrainStarted, LeaderChanged, LeadershipGained
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.clock import LoopClock, run_virtual
from wasabipaddle.kernel import Context
from wasabipaddle.settings import CellSettings, PlatformAddresses
from wasabipaddle.transport import MemoryNetwork, MemoryTransport

STORE_LATENCY_S = 0.005


class FakeConfiguration:
    """Stand-in for `ConfigurationPlugin` with version 1, which is always young enough.

    Attributes
    ----------
    proofs : list of tuple
        Times of questions to other processes and ages in their replies.
    """

    version = 1
    proof_overdue = False

    def __init__(self, current=None):
        self.current = current
        self.proofs = []

    @property
    def needs_confirmation(self):
        """Whether to ask other processes, which an overdue proof requires as well."""
        return self.proof_overdue

    def observe(self, version):
        """Do nothing; no process has a newer version."""

    def check_proof(self):
        """Return that calls with keys may be admitted."""
        return True

    def state_proof_age(self):
        """Return the age of a proof that has just been made."""
        return 0.0

    def confirm_by_peer(self, sent_s, reply):
        """Record the proof of another process."""
        self.proofs.append((sent_s, reply.configuration_age_s))


class FakeElection:
    """Stand-in for `ElectionPlugin` that wins no campaign."""

    epoch = 0

    def __init__(self):
        self.weak = False
        self.record = type("Record", (), {"life": 1})()

    async def replace_leader(self):
        return False

    def step_down(self, reason, *, epoch):
        """Do nothing; the tests publish the end of a leadership."""

    def check_leader(self):
        """Do nothing; the tests publish changes of the leader key."""


class Member:
    """Membership of one process."""

    def __init__(self, name, network):
        settings = CellSettings(
            process=name,
            data_centre="a",
            region="r",
            callers="127.0.0.1:1",
            readiness="127.0.0.1:2",
            internal="127.0.0.1:3",
            platform=PlatformAddresses(store="127.0.0.1:4"),
        )
        self.name = name
        self.context = Context.create(
            settings=settings, clock=LoopClock(), process=name, seed=1
        )
        health = type("Health", (), {"latency_s": STORE_LATENCY_S})()
        self.context.plugins.update(
            cell_configuration=FakeConfiguration(),
            cell_store=type("Store", (), {"health": health})(),
            cell_election=FakeElection(),
        )
        self.plugin = MembersPlugin(context=self.context)
        self.plugin.transport = MemoryTransport(name=name, network=network)
        self.plugin.transport.peers = {}

    def see_leader(self, process, epoch):
        """Publish a change of the leader key."""
        self.context.bus.publish(
            LeaderChanged(process=process, address="127.0.0.1:3", epoch=epoch)
        )

    def drain(self):
        """Announce that the process shuts down."""
        self.context.bus.publish(DrainStarted())

    def live_peers(self):
        """Return the names of the other live processes in alphabetical order."""
        return sorted(self.plugin.roster.live()[1:])


class MembersCell:
    """Processes p0, p1 and so on, of which p0 leads at first."""

    def __init__(self, count):
        self.network = MemoryNetwork()
        self.members = {}
        self.epoch = 0
        self.leader = ""
        for i in range(count):
            self.add(f"p{i}")

    def __getitem__(self, name):
        return self.members[name].plugin

    def add(self, name):
        """Add a process that has not been started."""
        member = self.members[name] = Member(name, self.network)
        return member

    async def start(self, name):
        """Start a process, which learns of the leader from the store."""
        member = self.members[name]
        await member.plugin.start()
        if self.leader:
            member.see_leader(self.leader, self.epoch)

    async def elect(self, name, *, without_store=()):
        """Make a process the leader and tell all others that reach the store."""
        self.epoch += 1
        self.leader = name
        for member in self.members.values():
            if member.name not in without_store:
                member.see_leader(name, self.epoch)
        self.members[name].context.bus.publish(
            LeadershipGained(epoch=self.epoch, term=self.epoch, continued=False)
        )

    def connect(self, name, other):
        """End the partition between two processes."""
        self.network.cut_pairs.discard(frozenset((name, other)))

    def isolate(self, name):
        """Drop all messages of a process; its peers get no reply."""
        for other in self.members:
            if other != name:
                self.network.cut(name, other)

    async def stop(self, name):
        """Remove a process; its peers get no reply."""
        self.isolate(name)
        await self.members[name].plugin.tasks.close()

    async def close(self):
        for member in self.members.values():
            await member.plugin.tasks.close()


def with_members(scenario, *, count=3):
    """Run a scenario in virtual time with a cell whose process p0 leads."""

    async def main():
        cell = MembersCell(count)
        for name in list(cell.members):
            await cell.start(name)
        await cell.elect("p0")
        try:
            return await scenario(cell)
        finally:
            await cell.close()

    return run_virtual(main())
