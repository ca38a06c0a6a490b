"""Entry processes of one cell in virtual time, for measures and tests."""

import asyncio

import attrs

from wasabipaddle.clock import LoopClock
from wasabipaddle.kernel import Context
from wasabipaddle.serve.leadership import LeadershipPlugin
from wasabipaddle.serve.membership import MembershipPlugin
from wasabipaddle.serve.relay import RelayPlugin
from wasabipaddle.serve.store import StorePlugin
from wasabipaddle.settings import (
    DataCentre,
    Deployment,
    MembershipSettings,
    Peer,
    Settings,
)
from wasabipaddle.standins import MemoryStore
from wasabipaddle.transport import MemoryNetwork, MemoryTransport

__all__ = ["MemoryCell", "MemoryProcess", "make_deployment"]

ROLES = (StorePlugin, MembershipPlugin, LeadershipPlugin, RelayPlugin)
REGIONS = ("near", "near", "far", "far", "near")
LOCAL_LATENCY_S = 0.0005


def make_deployment(*, entries, data_centres, base_port=0) -> Deployment:
    """Return a deployment with processes assigned to data centres in turn.

    The third and fourth data centres are in region `far`, all others in `near`.

    Parameters
    ----------
    entries : int
        Number of entry processes.
    data_centres : int
        Number of data centres, at most 5.
    base_port : int
        First port of the processes, which use two ports each; 0 for a cell in memory.
    """
    centres = tuple(
        DataCentre(name=f"dc{i}", region=REGIONS[i]) for i in range(data_centres)
    )
    peers = tuple(
        Peer(
            name=f"e{i:02d}",
            data_centre=f"dc{i % data_centres}",
            host="127.0.0.1",
            api_port=base_port + 2 * i if base_port else 0,
            internal_port=base_port + 2 * i + 1 if base_port else 0,
        )
        for i in range(entries)
    )
    return Deployment(
        name="cell",
        store_region="near",
        store_url="",
        vm_list_url="",
        data_centres=centres,
        entries=peers,
    )


@attrs.define(kw_only=True)
class _StubRole:
    """Stub of the roles that own external interfaces."""

    transport: object = None
    store: object = None
    gone: set = attrs.field(factory=set)

    def is_gone(self, vm):
        return vm in self.gone


class MemoryProcess:
    """One entry process with the roles of its cell.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    cell : MemoryCell
        Cell that the process belongs to.
    """

    def __init__(self, *, settings, cell):
        self.name = settings.process
        self.cell = cell
        self.settings = settings
        self.store = cell.store.client(self.name)
        self.transport = MemoryTransport(name=self.name, network=cell.network)
        self.context = Context.create(
            settings=settings,
            clock=LoopClock(),
            process=self.name,
            seed=f"{cell.seed}/{self.name}/{cell.incarnations}",
        )
        cell.incarnations += 1
        plugins = self.context.plugins
        plugins["transport"] = _StubRole(transport=self.transport)
        plugins["platform"] = self.make_platform()
        plugins["fleet"] = _StubRole(gone=cell.gone)
        for role in cell.roles:
            plugins[role.name] = role(context=self.context)

    def make_platform(self):
        """Return the platform clients of this process."""
        return _StubRole(store=self.store)

    @property
    def membership(self):
        """Role `membership`."""
        return self.context.plugins["membership"]

    @property
    def leadership(self):
        """Role `leadership`."""
        return self.context.plugins["leadership"]

    @property
    def relay(self):
        """Role `relay`."""
        return self.context.plugins["relay"]

    @property
    def gate(self):
        """Gate through which the process calls the store."""
        return self.context.plugins["store"].gate

    def election(self, shard=None):
        """Return the election of a shard, by default of the first shard."""
        elections = self.leadership.elections
        return elections[shard or next(iter(elections))]

    async def start(self):
        """Start the roles, or resume them after `pause`."""
        self.cell.network.stopped.discard(self.name)
        for role in self.cell.roles:
            await self.context.plugins[role.name].start()

    async def pause(self):
        """Stop the roles and keep their state."""
        self.cell.network.stopped.add(self.name)
        for role in reversed(self.cell.roles):
            await self.context.plugins[role.name].stop()

    async def drain(self):
        """Shut down gracefully."""
        for role in reversed(self.cell.roles):
            await self.context.plugins[role.name].drain()
        await self.pause()


class MemoryCell:
    """Entry processes with one in-memory network and store.

    Parameters
    ----------
    entries, data_centres : int
        Size of the cell.
    seed : int
        Seed of all random numbers.
    membership : MembershipSettings or None
        Settings of the membership; None for the defaults.
    roles : tuple of type
        Plug-ins of each process in start order.
    deployment : Deployment or None
        Deployment of the cell; None to generate a deployment of the given size.
    **store_options
        Keyword arguments of `MemoryStore`.
    """

    process_type = MemoryProcess

    def __init__(
        self,
        *,
        entries,
        data_centres,
        seed=1,
        membership=None,
        roles=ROLES,
        deployment=None,
        **store_options,
    ):
        self.seed = seed
        self.roles = roles
        self.incarnations = 0
        self.gone = set()
        self.deployment = deployment or make_deployment(
            entries=entries, data_centres=data_centres
        )
        self.membership = membership or MembershipSettings()
        self.data_centre_of = {p.name: p.data_centre for p in self.deployment.entries}
        self.region_of_data_centre = {
            d.name: d.region for d in self.deployment.data_centres
        }
        self.network = MemoryNetwork(latency_s=self.latency_s)
        self.store = MemoryStore(**store_options)
        self.processes = {}

    def region_of(self, name) -> str:
        """Return the region of a process."""
        return self.region_of_data_centre[self.data_centre_of[name]]

    def latency_s(self, source, target) -> float:
        """Return the one-way latency between two processes."""
        link = self.deployment.link
        if self.region_of(source) != self.region_of(target):
            return link.region_latency_ms / 1000
        if self.data_centre_of[source] != self.data_centre_of[target]:
            return link.data_centre_latency_ms / 1000
        return LOCAL_LATENCY_S

    async def start(self):
        """Start every process."""
        for peer in self.deployment.entries:
            await self.start_process(peer.name)

    def settings_of(self, name) -> Settings:
        """Return the settings of one process."""
        return Settings(
            process=name, deployment=self.deployment, membership=self.membership
        )

    async def start_process(self, name) -> MemoryProcess:
        """Start a process; a process that ran before loses its state."""
        settings = self.settings_of(name)
        process = self.process_type(settings=settings, cell=self)
        self.processes[name] = process
        await process.start()
        return process

    async def kill(self, name):
        """End a process without a graceful shutdown."""
        await self.processes.pop(name).pause()

    def cut(self, ours, others):
        """Cut two sets of processes off from each other."""
        for source in ours:
            for target in others:
                self.network.cut(source, target)

    def set_store_partition(self, names, partitioned):
        """Cut processes off from the store, or reconnect them."""
        for name in names:
            self.store.client(name).partitioned = partitioned

    def leaders(self, shard) -> list[MemoryProcess]:
        """Return the running processes that lead a shard."""
        found = []
        for process in self.processes.values():
            election = process.leadership.elections.get(shard)
            stopped = process.name in self.network.stopped
            if election is not None and election.leading and not stopped:
                found.append(process)
        return found

    async def stop(self):
        """Kill every process."""
        for name in list(self.processes):
            await self.kill(name)
        await asyncio.sleep(0)
