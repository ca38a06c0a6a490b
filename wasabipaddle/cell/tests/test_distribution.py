"""Distribution of configurations to the processes of a cell."""

import asyncio
import zlib

import attrs
import pytest
from result import Err

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.distribution import DistributionPlugin
from wasabipaddle.cell.events import LeadershipGained, MemberOutdated
from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import CellConfiguration, Queue
from wasabipaddle.messages import decode, encode
from wasabipaddle.messages.jobs import ConfigurationCopy
from wasabipaddle.platform.client import encode_configuration

POLL_S = 1.0


def put(memory, version, queue_count=1):
    """Write a configuration with the given number of queues to the store."""
    queues = tuple(
        Queue(name=f"q{i}", host="h", prefix=f"/q{i}/", pool="p")
        for i in range(queue_count)
    )
    key, value = encode_configuration(CellConfiguration(version=version, queues=queues))
    memory.apply((), (Put(key=key, value=value),), ())


class FakeMembers:
    """Stand-in for `MembersPlugin` that delivers copies directly."""

    def __init__(self, own_name, distributions):
        self.own_name = own_name
        self.distributions = distributions
        self.is_leader = False
        self.roster = self
        self.removed = ()
        self.sent = []
        self.transport = type("T", (), {"handle": lambda *a: None})()

    @property
    def addresses(self):
        return dict.fromkeys([*self.removed, *self.distributions], "x:1")

    def live(self):
        return list(self.distributions)

    def build_leader_notice(self):
        return None

    def accept_leader_notice(self, notice):
        assert notice is None

    async def ask(self, process, message, reply_type, *, timeout_s):
        self.sent.append((process, message))
        if process in self.removed:
            await asyncio.sleep(timeout_s)
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail="no reply"))
        data = encode(message)
        return await self.distributions[process]._handle_copy(
            decode(data, ConfigurationCopy).unwrap()
        )


class ConfiguredProcess:
    """Configuration and distribution of one process.

    `store_reads` counts the watches of the store that returned a change.
    """

    def __init__(self, process, distributions):
        self.plugin = ConfigurationPlugin(context=process.context)
        process.context.plugins["cell_configuration"] = self.plugin
        self.members = FakeMembers(process.name, distributions)
        process.context.plugins["cell_members"] = self.members
        self.distribution = distributions[process.name] = DistributionPlugin(
            context=process.context
        )
        self.bus = process.context.bus
        self.context = process.context
        self.store_reads = 0
        store = process.store_plugin.store
        follow = store.follow

        async def counted(*args, **options):
            batch = await follow(*args, **options)
            self.store_reads += batch.is_ok() and bool(batch.ok().changes)
            return batch

        store.follow = counted

    async def start(self):
        await self.plugin.start()
        await self.distribution.start()

    def lead(self):
        self.members.is_leader = True
        self.bus.publish(LeadershipGained(epoch=1, term=1, continued=False))


async def start_processes(cell):
    distributions = {}
    configured_processes = [
        ConfiguredProcess(process, distributions) for process in cell.processes.values()
    ]
    for configured in configured_processes:
        await configured.start()
    return configured_processes


@pytest.fixture
def run(make_test_cell):
    def run_scenario(scenario, count=3):
        async def main():
            cell = make_test_cell(count)
            put(cell.memory, 1)
            configured_processes = await start_processes(cell)
            await asyncio.sleep(0.1)
            await scenario(cell, *configured_processes)
            for configured in configured_processes:
                await configured.plugin.stop()
                await configured.distribution.stop()
            await cell.close()

        run_virtual(main())

    return run_scenario


def test_leader_distributes_a_large_configuration(run):
    """Guards against a configuration that every process reads from the store.

    In a benchmark with 36 processes and a configuration of 2,000 queues, their repeated
    reads saturated the link between the regions.
    """

    async def scenario(cell, first, *others):
        first.lead()
        await asyncio.sleep(0.1)
        put(cell.memory, 2, queue_count=2_000)
        await asyncio.sleep(0.2)
        versions = [p.plugin.version for p in (first, *others)]
        assert versions == [2, 2, 2]
        await asyncio.sleep(3 * POLL_S)
        assert [p.store_reads for p in (first, *others)] == [1, 0, 0]

    run(scenario)


def test_removed_processes_do_not_delay_a_configuration(run):
    """Guards against copies that wait for attempts to reach removed processes.

    Each attempt takes the whole time limit, and the number of concurrent ones is
    limited. A process that was silent and has an old version gets its copy when it is
    heard from.
    """

    async def scenario(cell, first, *others):
        first.members.removed = tuple(f"gone{i}" for i in range(40))
        first.lead()
        await asyncio.sleep(0.1)
        put(cell.memory, 2, queue_count=2_000)
        await asyncio.sleep(0.2)
        assert [p.plugin.version for p in (first, *others)] == [2, 2, 2]
        assert not [name for name, _ in first.members.sent if "gone" in name]
        first.bus.publish(MemberOutdated(process="gone7"))
        await asyncio.sleep(0.1)
        assert first.members.sent[-1][0] == "gone7"

    run(scenario)


def test_processes_find_a_configuration_without_a_leader(run):
    """Guards against an old configuration that stays in use while no process leads."""

    async def scenario(cell, *configured_processes):
        put(cell.memory, 5)
        await asyncio.sleep(1.5 * POLL_S)
        assert [p.plugin.version for p in configured_processes] == [5, 5, 5]

    run(scenario)


def test_older_copy_changes_nothing(run):
    """Guards against an older copy that replaces a newer configuration."""

    async def scenario(cell, first, second, third):
        put(cell.memory, 7)
        await asyncio.sleep(1.5 * POLL_S)
        _, old = encode_configuration(CellConfiguration(version=3))
        second.plugin.apply_copy(old, 99)
        assert second.plugin.version == 7

    run(scenario)


def test_configuration_is_read_again_after_history_is_discarded(run):
    """Guards against processes that keep an old configuration.

    They miss the change, because the store is down and then discards its history.
    """

    async def scenario(cell, *configured_processes):
        cell.memory.down = True
        await asyncio.sleep(0.5)
        put(cell.memory, 9)
        cell.memory.forget_history()
        cell.memory.down = False
        await asyncio.sleep(1.5 * POLL_S)
        assert [p.plugin.version for p in configured_processes] == [9, 9, 9]

    run(scenario)


def test_copy_is_much_smaller_than_the_configuration(run):
    """Guards against copies that saturate the link between regions.

    A copy is sent compressed, and the process that receives it must decompress it.
    """

    async def scenario(cell, first, *others):
        first.lead()
        put(cell.memory, 2, queue_count=2_000)
        await asyncio.sleep(0.2)
        size = len(encode(first.distribution._build_copy()))
        assert size < len(first.plugin.value) / 5
        copy = attrs.evolve(first.distribution.copy, version=3)
        _, value = encode_configuration(CellConfiguration(version=3))
        copy = attrs.evolve(copy, data=zlib.compress(value))
        await others[0].distribution._handle_copy(copy)
        assert others[0].plugin.version == 3

    run(scenario)
