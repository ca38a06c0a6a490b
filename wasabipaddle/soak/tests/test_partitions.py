"""Tests of partitions and silent connections, and of the view of each process."""

import asyncio
import random
import types

import pytest

from wasabipaddle.cell.keys import FLEET_KEY
from wasabipaddle.interfaces import Put
from wasabipaddle.platform.registry import REGISTRY_PREFIX
from wasabipaddle.settings import LinkSettings
from wasabipaddle.soak.partitions import Partitions
from wasabipaddle.soak.platform import CALLERS, CELL, STORE
from wasabipaddle.soak.views import ProcessView, RunnerAddresses
from wasabipaddle.standins.link import Link
from wasabipaddle.standins.transactions import MemoryTransactions

PROCESSES = ["p0", "p1", "p2"]
RUNNERS = [f"w{i}" for i in range(6)]
LEADER = "p1"
FAULTS = types.SimpleNamespace(record_disturbance=lambda: None)


def ignore(*arguments):
    """Submit nothing."""


@pytest.fixture
def platform():
    """Platform with a link and a leader, without any traffic."""
    places = [*PROCESSES, *RUNNERS, STORE, CELL, CALLERS]
    link = Link(regions=dict.fromkeys(places, "r"), settings=LinkSettings())
    link.groups[CELL] = PROCESSES
    return types.SimpleNamespace(
        link=link,
        processes=PROCESSES,
        runners=dict.fromkeys(RUNNERS),
        leader=lambda: LEADER,
    )


def reached(platform, process):
    """Return the runners that a process reaches."""
    return {runner for runner in RUNNERS if platform.link.passes(process, runner)}


@pytest.mark.parametrize("seed", range(5))
def test_partition_divides_runners_between_leader_and_the_others(
    run_virtual, platform, seed
):
    """Guards against a partition in which both sides reach a runner, or none does."""

    async def scenario():
        faults = Partitions(
            platform=platform,
            random=random.Random(seed),
            faults=FAULTS,
            submit=ignore,
            submit_spread=ignore,
        )
        cut = asyncio.ensure_future(faults.partition(1.0))
        await asyncio.sleep(3.0)
        near = reached(platform, LEADER)
        assert near
        assert reached(platform, "p0") == reached(platform, "p2") == set(RUNNERS) - near
        for source, target in ((LEADER, STORE), (CELL, LEADER), ("p0", LEADER)):
            assert not platform.link.passes(source, target)
            assert not platform.link.passes(target, source)
        assert platform.link.passes("p0", STORE)
        assert platform.link.passes(CELL, "p0")
        await cut

    run_virtual(scenario)
    assert not platform.link.cuts


def test_end_of_a_partition_leaves_runners_that_left_cut_off(run_virtual, platform):
    """Guards against a runner that answers again after it has left."""

    async def scenario():
        faults = Partitions(
            platform=platform,
            random=random.Random(1),
            faults=FAULTS,
            submit=ignore,
            submit_spread=ignore,
        )
        cut = asyncio.ensure_future(faults.partition(1.0))
        await asyncio.sleep(3.0)
        del platform.runners["w0"]
        platform.link.cut(CELL, "w0")
        await cut

    run_virtual(scenario)
    assert not any(platform.link.passes(process, "w0") for process in PROCESSES)
    assert platform.link.passes("p0", "w1")


def test_silence_covers_connections_of_several_processes_but_not_new_ones(
    run_virtual, platform
):
    """Guards against a fault that silences only one pair, or also later connections."""
    link = platform.link
    kinds = set()

    async def play(seed):
        for process in PROCESSES:
            link.connect(CELL, process)
            for place in (STORE, *RUNNERS):
                link.connect(process, place)
        faults = Partitions(
            platform=platform,
            random=random.Random(seed),
            faults=FAULTS,
            submit=ignore,
            submit_spread=ignore,
        )
        target = await faults.channels_silent(1.0)
        silent = [c for c in link.connections if c.silent]
        processes = {c.source for c in silent} | {c.target for c in silent}
        assert len(processes & set(PROCESSES)) >= 2
        assert LEADER in processes
        assert not link.connect("p0", "w0").silent
        kinds.add(target.partition(">")[2])
        link.connections.clear()

    async def scenario():
        for seed in range(20):
            await play(seed)

    run_virtual(scenario)
    assert kinds == {"runners", "store", "peers"}


def test_each_process_sees_its_own_addresses_of_the_runners(run_virtual):
    """Guards against processes that share a proxy, which a cut could not separate."""
    addresses = RunnerAddresses()
    addresses.runners[b"127.0.0.1:1000"] = "w1"
    addresses.add("p0", "w1", "127.0.0.1:1001")
    addresses.add("p1", "w1", "127.0.0.1:10012")
    memory = MemoryTransactions()

    async def scenario():
        values = {
            f"{REGISTRY_PREFIX}w1": b'{"address":"127.0.0.1:1000"}',
            # Written by p0, with the address that p0 uses.
            FLEET_KEY: b'[{"address":"127.0.0.1:1001"}]',
            f"{REGISTRY_PREFIX}odd": b'{"address":"127.0.0.1:10000"}',
        }
        memory.apply((), [Put(key=k, value=v) for k, v in values.items()], ())
        view = ProcessView(memory=memory, client="p1", addresses=addresses)
        listed = (await view.list_all(REGISTRY_PREFIX)).ok().entries
        followed = await view.follow(
            f"{REGISTRY_PREFIX}w1", after_revision=0, wait_s=0.1
        )
        return (
            [entry.value for entry in listed],
            (await view.get(FLEET_KEY)).ok().value,
            followed.ok().changes[0].value,
        )

    listed, fleet, followed = run_virtual(scenario)
    assert listed == [
        b'{"address":"127.0.0.1:10000"}',
        b'{"address":"127.0.0.1:10012"}',
    ]
    assert fleet == b'[{"address":"127.0.0.1:10012"}]'
    assert followed == b'{"address":"127.0.0.1:10012"}'
