"""Test cell: processes that share one event loop and an in-memory store."""

import asyncio
import zlib
from types import SimpleNamespace

import pytest
from result import Err

from wasabipaddle.cell.admission import Admission
from wasabipaddle.cell.election import ElectionPlugin
from wasabipaddle.cell.entry import EntryPlugin
from wasabipaddle.cell.events import LeadershipGained, LeadershipLost
from wasabipaddle.cell.job_storage import JobStorage
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.cell.tests.members_parts import FakeConfiguration, with_members
from wasabipaddle.clock import LoopClock
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import CellConfiguration, JobSpec, Queue, StepSpec
from wasabipaddle.kernel import Context
from wasabipaddle.settings import CellSettings, PlatformAddresses
from wasabipaddle.standins.transactions import MemoryTransactions, TransactionsClient
from wasabipaddle.transport import HttpTransport

QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p")
SPEC = JobSpec(payload="p", steps=(StepSpec(count=1),))
JOB = "00000000000000aa"


class FakeMembers:
    """Stand-in for `MembersPlugin` that calls other processes of the test directly."""

    def __init__(self, process, processes):
        self.process = process
        self.processes = processes
        self.transport = HttpTransport(peers={})
        self.leader = ""
        self.leader_epoch = 0
        self.waiting = None
        self.forecast = None
        self.waiting_received_s = 0.0
        self.count_waiting = lambda: None
        self.roster = self
        self.context = SimpleNamespace(clock=LoopClock())
        self.asked = []
        self.phase = None
        self.unresponsive = {}
        self.peers_asked = []

    def peers(self, *, leader):
        """Return the other processes, the leader first and unresponsive ones last."""
        names = [name for name in self.processes if name != self.process]
        return sorted(names, key=lambda p: (p in self.unresponsive, p != leader))

    def live(self):
        """Return no processes; the stand-in makes no requests for advice."""
        return []

    async def ask_leader(self, message, reply_type, *, timeout_s):
        """Record the message; return `phase`, or an error as long as it is not set."""
        self.asked.append(message)
        if self.phase is not None:
            return self.phase
        return Err(Failure(kind=ErrorKind.NO_LEADER, detail="none"))

    async def ask(self, process, message, reply_type, *, timeout_s):
        """Call the handler of a peer that stores a job or a cancellation.

        An unresponsive peer handles the message after the delay in `unresponsive`, or
        never if that is None, and no reply arrives.
        """
        self.peers_asked.append((process, timeout_s))
        handler = {
            "StoreJob": "store_for_peer",
            "CancelJob": "cancel_for_peer",
        }[type(message).__name__]
        call = getattr(self.processes[process].entry.storage, handler)
        if process not in self.unresponsive:
            return await call(message)
        delay_s = self.unresponsive[process]
        if delay_s is not None:
            asyncio.get_running_loop().call_later(
                delay_s, lambda: asyncio.ensure_future(call(message))
            )
        await asyncio.sleep(timeout_s)
        return Err(Failure(kind=ErrorKind.TIMEOUT, detail="no reply"))


class Process:
    """Store client, election and entry of one process."""

    def __init__(self, name, memory, processes):
        self.name = name
        settings = CellSettings(
            process=name,
            data_centre="a",
            region="r",
            callers="127.0.0.1:1",
            readiness="127.0.0.1:2",
            internal="127.0.0.1:3",
            platform=PlatformAddresses(store="127.0.0.1:4"),
        )
        self.context = Context.create(
            settings=settings,
            clock=LoopClock(),
            process=name,
            seed=zlib.crc32(name.encode()),
        )
        self.store_plugin = CellStorePlugin(context=self.context)
        self.store_plugin.store = TransactionsClient(memory=memory, client=name)
        self.context.plugins["cell_store"] = self.store_plugin
        self.election = ElectionPlugin(context=self.context)
        self.entry = EntryPlugin(context=self.context)
        self.entry.store_plugin = self.store_plugin
        self.entry.store = self.store_plugin.store
        self.members = self.entry.members = FakeMembers(name, processes)
        self.entry.admission = Admission(
            context=self.context,
            configuration=FakeConfiguration(current=None),
            members=self.members,
            store_plugin=self.store_plugin,
        )
        self.entry.storage = JobStorage(
            context=self.context,
            configuration=self.entry.admission.configuration,
            members=self.members,
            store_plugin=self.store_plugin,
            marks=self.entry.admission.marks,
            tasks=self.entry.tasks,
        )
        self.gained = []
        self.lost = []
        bus = self.context.bus
        bus.events(LeadershipGained).subscribe(self.gained.append)
        bus.events(LeadershipLost).subscribe(self.lost.append)

    def configure(self):
        """Apply a configuration with one queue."""
        current = CellConfiguration(version=1, queues=(QUEUE,))
        self.entry.configuration = FakeConfiguration(current=current)
        self.entry.admission.configuration = self.entry.configuration
        self.entry.storage.configuration = self.entry.configuration

    async def close(self):
        await self.election.stop()
        await self.entry.tasks.close()


class TestCell:
    """Several processes and the store that they share."""

    __test__ = False

    def __init__(self, count=2):
        self.memory = MemoryTransactions()
        self.processes = {}
        for i in range(count):
            name = f"p{i}"
            self.processes[name] = Process(name, self.memory, self.processes)
            self.processes[name].configure()

    def __getitem__(self, name):
        return self.processes[name]

    async def elect(self):
        """Start all elections and return the process that leads."""
        for process in self.processes.values():
            await process.election.start()
        await asyncio.sleep(2.0)
        return self.leader()

    def leader(self):
        """Return the only process that leads."""
        (leader,) = [p for p in self.processes.values() if p.election.epoch]
        return leader

    async def close(self):
        for process in self.processes.values():
            await process.close()


@pytest.fixture
def make_test_cell():
    return TestCell


@pytest.fixture
def run_members():
    return with_members
