"""Simulated platform of a soak test: store, runners and eligibility service."""

import asyncio
import random
import time

import attrs
import msgspec

from wasabipaddle.cell.keys import LEADER_KEY
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import CellConfiguration, Pool, RunnerEntry
from wasabipaddle.platform.client import encode_configuration, encode_runner
from wasabipaddle.platform.server import advice_routes, runner_routes, store_routes
from wasabipaddle.settings import LinkSettings
from wasabipaddle.soak.concurrency import ConcurrentRunner
from wasabipaddle.soak.eligibility import EligibilityService, SoakEligibility
from wasabipaddle.soak.queues import POOL, QUEUES
from wasabipaddle.soak.shapes import GENERAL
from wasabipaddle.soak.views import ProcessView, RunnerAddresses
from wasabipaddle.standins.link import Link
from wasabipaddle.standins.listener import Listener
from wasabipaddle.standins.proxy import LinkProxy, ProxyRoute
from wasabipaddle.standins.runners import MemoryRunner
from wasabipaddle.standins.transactions import MemoryTransactions

__all__ = ["CALLERS", "CELL", "HOST", "STORE", "SoakPlatform"]

HOST = "127.0.0.1"
# Names of places on the link, in addition to the processes and the runners.
STORE = "store"
CALLERS = "callers"
CELL = "cell"
DATA_CENTRE = "a"
HEARTBEAT_INTERVAL_S = 1.5
MAX_MISSED_HEARTBEATS = 3
RUNNERS_PER_RACK = 3
# Lowest rate of the monotonic clock of a runner, relative to that of a process.
MIN_CLOCK_RATE = 0.98
LEASE_MAX_S = 6.0
RUNNER_STOP_S = 0.3


class SoakPlatform:
    """Stand-ins behind proxies that can delay, cut, silence and reset connections.

    Parameters
    ----------
    ledger : SoakLedger
        Record of the runs on all runners.
    processes : list of str
        Names of the processes of the cell.
    runner_count : int
        Number of runners at the start.
    seed : float
        Seed of all random choices.
    shapes : tuple of RunnerShape
        Shapes that the runners get by turns.
    workspaces : SoakWorkspaces or None
        Quotas of the workspaces, None for workspaces without any.
    keys : SoakKeys
        Workspaces of the configuration and the keys of their callers.

    Attributes
    ----------
    internal_ports, caller_ports, readiness_ports : dict of str to int
        Ports on which each process listens for other processes, for callers and for
        readiness probes.
    queues : tuple of Queue
        Queues of the latest configuration.
    machines_address : str
        Address of the machine service, empty if there is none.
    runners, clients : dict
        Runners, and the clients through which the processes call them, by name.
    reserved_runners : set of str
        Runners that only the fault which reserved them may disturb.
    """

    def __init__(
        self,
        *,
        ledger,
        processes,
        runner_count,
        seed,
        shapes=(GENERAL,),
        workspaces=None,
        keys,
    ):
        self.ledger = ledger
        self.processes = processes
        self.random = random.Random(seed)
        self.memory = MemoryTransactions(seed=seed)
        self.link = Link(
            regions=dict.fromkeys([*processes, STORE, CALLERS, CELL], "region"),
            settings=LinkSettings(data_centre_latency_ms=1.0),
        )
        # Traffic to the processes as peers has the source CELL.
        self.link.groups[CELL] = processes
        self.internal_ports = {}
        self.caller_ports = {}
        self.readiness_ports = {}
        self.runner_count = runner_count
        self.shapes = shapes
        self.eligibility = SoakEligibility(ledger=ledger)
        self.keys = keys
        self.queues = ()
        self.runners = {}
        self.machines_address = ""
        self.reserved_runners = set()
        self.runner_ports = {}
        self.clients = {}
        self.runner_addresses = RunnerAddresses()
        self.listeners = []
        self.proxies = []
        self.tasks = set()
        self.workspaces = workspaces
        self.queues = QUEUES
        self.version = 0
        self.sequence = 0
        self.runners_created = 0
        self.addresses = {}

    async def start(self):
        """Store the first configuration and start the stand-ins."""
        self.configure(QUEUES)
        for process in self.processes:
            await self.open_addresses(process)
        for _ in range(self.runner_count):
            await self.add_runner()

    async def open_addresses(self, process):
        """Open the proxies and stand-ins that a process uses."""
        client = ProcessView(
            memory=self.memory, client=process, addresses=self.runner_addresses
        )
        port = await self._listen(store_routes(client))
        self.addresses[process, STORE] = await self._proxy(port, process, STORE)
        service = EligibilityService(eligibility=self.eligibility)
        port = await self._listen(advice_routes(service))
        self.addresses[process, "advice"] = f"{HOST}:{port}"
        self.addresses[process, CELL] = await self._proxy(
            self.internal_ports[process], CELL, process
        )
        self.addresses[process, CALLERS] = await self._proxy(
            self.caller_ports[process], CALLERS, process
        )
        for runner in self.runners:
            await self._open_runner_address(process, runner)

    async def _open_runner_address(self, process, runner):
        """Open a proxy of a process for a runner."""
        address = await self._proxy(self.runner_ports[runner], process, runner)
        self.runner_addresses.add(process, runner, address)

    def configure(self, queues):
        """Store a configuration with the given queues and return its version."""
        self.queues = queues
        self.version += self.random.randint(1, 5)
        limited = self.workspaces
        configuration = CellConfiguration(
            version=self.version,
            queues=queues,
            pools={POOL: Pool(name=POOL)},
            workspaces=limited.configured() if limited else self.keys.workspaces,
        )
        key, value = encode_configuration(configuration, keys=self.keys.by_workspace)
        self.memory.apply((), (Put(key=key, value=value),), ())
        return self.version

    def wall_ms(self) -> int:
        """Return the wall-clock time in Unix milliseconds."""
        return int(time.time() * 1000)

    def leader(self) -> str:
        """Return the process that holds the leader key, or "" if there is none."""
        entry = self.memory.items.get(LEADER_KEY)
        return msgspec.json.decode(entry.value)["process"] if entry else ""

    def revoke_leader(self):
        """Remove the leader key, as the platform may do at any time."""
        if LEADER_KEY in self.memory.items:
            self.memory.remove(LEADER_KEY)

    async def _listen(self, routes):
        listener = Listener(routes=routes, host=HOST)
        await listener.start()
        self.listeners.append(listener)
        return listener.port

    async def _proxy(self, port, source, target):
        route = ProxyRoute(
            port=0, target_host=HOST, target_port=port, source=source, target=target
        )
        proxy = LinkProxy(link=self.link, host=HOST, routes=(route,))
        await proxy.start()
        self.proxies.append(proxy)
        return f"{HOST}:{proxy.ports[route]}"

    def choose_runner(self, rng) -> str:
        """Return a runner that no fault reserves, or any if all are reserved."""
        free = sorted(set(self.runners) - self.reserved_runners)
        return rng.choice(free or sorted(self.runners))

    async def add_runner(self, *, rack="", shape=None) -> str:
        """Start a runner with an id that was not used before, and return the id."""
        shape = shape or self.shapes[self.runners_created % len(self.shapes)]
        self.runners_created += 1
        name = f"w{self.runners_created:03d}"
        self.link.regions[name] = "region"
        rack = rack or f"rack-{self.runners_created // RUNNERS_PER_RACK}"
        runner = MemoryRunner(
            entry=RunnerEntry(
                id=name,
                address="",
                data_centre=DATA_CENTRE,
                pool=POOL,
                capacity=shape.capacity,
                labels=(shape.label, rack),
                incarnation=self.next_incarnation(),
            ),
            ledger=self.ledger,
            lease_max_s=LEASE_MAX_S,
            stop_s=RUNNER_STOP_S,
            clock_rate=self.random.uniform(MIN_CLOCK_RATE, 1.0),
            clock_offset_s=self.random.uniform(10.0, 5_000.0),
            seed=self.random.random(),
        )
        client = ConcurrentRunner(
            runner=runner,
            seed=self.random.random(),
            admits=self.eligibility.admits,
        )
        port = await self._listen(runner_routes(client))
        self.runner_ports[name] = port
        address = f"{HOST}:{port}"
        self.runner_addresses.runners[address.encode()] = name
        for process in self.processes:
            await self._open_runner_address(process, name)
        runner.entry = attrs.evolve(runner.entry, address=address)
        self.runners[name] = runner
        self.clients[name] = client
        self._spawn(runner.advance_periodically())
        self._spawn(self._heartbeat(runner))
        return name

    def next_incarnation(self) -> int:
        """Return the incarnation of a runner that starts now."""
        return 1_700_000_000_000 + int(self.ledger.now() * 1000) + self.runners_created

    def crash(self, name):
        """Crash a runner and restart it with its id and a new incarnation."""
        self.runners[name].crash(self.next_incarnation())
        self.link.reset(CELL, name)

    async def replace_runner(self, name, leaves_in_s):
        """Add a runner of the shape of another one, which is removed then."""
        entry = self.runners[name].entry
        shape = next(shape for shape in self.shapes if shape.label in entry.labels)
        await self.add_runner(shape=shape)
        await self.remove_runner(name, leaves_in_s)

    async def remove_runner(self, name, leaves_in_s):
        """Drain a runner and remove it after `leaves_in_s`."""
        runner = self.runners[name]
        runner.entry = attrs.evolve(
            runner.entry, draining=True, leaves_in_s=leaves_in_s
        )
        self._register(runner)
        self.ledger.draining_since_s[name] = self.ledger.now()
        await asyncio.sleep(leaves_in_s)
        runner.shut_down()
        del self.runners[name]
        del self.clients[name]
        self.link.cut(CELL, name)
        self.link.reset(CELL, name)
        key, _ = encode_runner(runner.entry, 0)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        self.memory.remove(key)

    async def _heartbeat(self, runner):
        """Register a runner at every heartbeat while the store is reachable.

        The entry of a runner that misses `MAX_MISSED_HEARTBEATS` heartbeats is removed.
        """
        silent_s = 0.0
        while runner.alive:
            if self.memory.down or not self.link.passes(runner.entry.id, STORE):
                silent_s += HEARTBEAT_INTERVAL_S
                key, _ = encode_runner(runner.entry, 0)
                gone = silent_s >= MAX_MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S
                if gone and key in self.memory.items:
                    self.memory.remove(key)
            else:
                silent_s = 0.0
                self._register(runner)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _register(self, runner):
        self.sequence += 1
        key, value = encode_runner(runner.entry, self.sequence)
        self.memory.apply((), (Put(key=key, value=value),), ())

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def heal(self):
        """Clear every fault of store, runners and link, except silent connections."""
        self.link.heal()
        self.link.extra_latency_s.clear()
        self.memory.down = False
        self.memory.refused_clients.clear()
        self.memory.lost_share = 0.0
        self.memory.latency_s = 0.004
        for runner in self.runners.values():
            runner.faults = type(runner.faults)()

    async def close(self):
        """Stop the runners, proxies and listeners."""
        for task in list(self.tasks):
            task.cancel()
        for proxy in self.proxies:
            await proxy.close()
        for listener in self.listeners:
            await listener.close()
