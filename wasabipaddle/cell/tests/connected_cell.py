"""Cell of processes with real roles, an in-memory store and an in-memory network.

Unlike `TestCell`, the processes really elect a leader, send hello messages and pass on
configurations, so that faults of the store and of the network act on all of that.
"""

import asyncio
import zlib

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.distribution import DistributionPlugin
from wasabipaddle.cell.election import ElectionPlugin
from wasabipaddle.cell.handover import HandoverPlugin
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.clock import LoopClock, run_virtual
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import CellConfiguration, Queue
from wasabipaddle.kernel import Context
from wasabipaddle.platform.client import encode_configuration
from wasabipaddle.settings import CellBounds, CellSettings, PlatformAddresses
from wasabipaddle.standins.transactions import MemoryTransactions, TransactionsClient
from wasabipaddle.transport import MemoryNetwork, MemoryTransport

LATENCY_S = 0.002
# Latency of messages that arrive after the time limits of their senders.
DELAY_S = 3.0
# Time within which a version must be in force.
BOUND_S = 4.0
# Time for the election and a few hello messages of each process.
SETTLE_S = 4.0


class ConnectedProcess:
    """Store client, election, configuration, membership and copies of one process."""

    def __init__(self, name, memory, network):
        settings = CellSettings(
            process=name,
            data_centre="a",
            region="r",
            callers="127.0.0.1:1",
            readiness="127.0.0.1:2",
            internal="127.0.0.1:3",
            platform=PlatformAddresses(store="127.0.0.1:4"),
            bounds=CellBounds(configuration_s=BOUND_S),
        )
        self.name = name
        self.context = Context.create(
            settings=settings,
            clock=LoopClock(),
            process=name,
            seed=zlib.crc32(name.encode()),
        )
        plugins = self.context.plugins
        store = plugins["cell_store"] = CellStorePlugin(context=self.context)
        store.store = TransactionsClient(memory=memory, client=name)
        self.roles = []
        for role in (
            ConfigurationPlugin,
            ElectionPlugin,
            MembersPlugin,
            DistributionPlugin,
            HandoverPlugin,
        ):
            plugins[role.name] = role(context=self.context)
            self.roles.append(plugins[role.name])
        self.configuration, self.election, self.members = self.roles[:3]
        self.members.transport = MemoryTransport(name=name, network=network)
        self.members.transport.peers = {}

    async def start(self):
        """Start all roles in the order in which they require each other."""
        for role in self.roles:
            await role.start()

    async def stop(self):
        """Stop all roles without a drain, as if the process were killed."""
        for role in reversed(self.roles):
            if role is not self.members:
                await role.stop()
        await self.members.tasks.close()


class ConnectedCell:
    """Processes p0, p1 and so on, their store and their network.

    Attributes
    ----------
    delayed_until_s : dict of str to float
        Time of the loop until which the messages of a process arrive too late, by name.
    """

    def __init__(self, count):
        self.memory = MemoryTransactions()
        self.delayed_until_s = {}
        self.network = MemoryNetwork(latency_s=self._latency_s)
        self.processes = {}
        for i in range(count):
            self.add(f"p{i}")

    def __getitem__(self, name):
        return self.processes[name]

    def _latency_s(self, source, target):
        now = asyncio.get_running_loop().time()
        return DELAY_S if now < self.delayed_until_s.get(source, 0.0) else LATENCY_S

    def delay_messages(self, name, seconds):
        """Have the messages that a process sends from now on arrive too late."""
        now = asyncio.get_running_loop().time()
        self.delayed_until_s[name] = now + seconds

    def add(self, name):
        """Add a process that has not been started, also in place of an earlier one."""
        process = ConnectedProcess(name, self.memory, self.network)
        self.processes[name] = process
        return process

    async def restart(self, name):
        """Kill a process and start it again; it knows nothing of before."""
        await self[name].stop()
        await self.add(name).start()

    def leaders(self):
        """Return the names of the processes that take themselves for the leader."""
        return [p.name for p in self.processes.values() if p.election.epoch]

    def store_version(self, version):
        """Store a configuration of one queue that is named after its version."""
        queue = Queue(name=f"q{version}", host="h", prefix=f"/q{version}/", pool="p")
        key, value = encode_configuration(
            CellConfiguration(version=version, queues=(queue,))
        )
        self.memory.apply((), (Put(key=key, value=value),), ())

    def versions(self):
        """Return the version in force at each process by name."""
        return {p.name: p.configuration.version for p in self.processes.values()}


def play_connected(scenario, *, count):
    """Run a scenario in virtual time with a cell that has elected its leader."""

    async def main():
        cell = ConnectedCell(count)
        cell.store_version(1)
        for process in cell.processes.values():
            await process.start()
        await asyncio.sleep(SETTLE_S)
        try:
            return await scenario(cell)
        finally:
            for process in cell.processes.values():
                await process.stop()

    return run_virtual(main())
