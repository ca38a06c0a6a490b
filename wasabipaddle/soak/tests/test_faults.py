"""Tests of the faults of a soak test that concern entries, ends and replacements."""

import asyncio
import math
import random
import types

import msgspec
import pytest

from wasabipaddle.jobs import Capacity, RunnerEntry
from wasabipaddle.platform import server
from wasabipaddle.platform.configuration import CONFIGURATION_KEY
from wasabipaddle.platform.registry import REGISTRY_PREFIX
from wasabipaddle.soak import bursts
from wasabipaddle.soak.bursts import EndBursts
from wasabipaddle.soak.callers import BURST_STEP
from wasabipaddle.soak.faults import SoakFaults
from wasabipaddle.soak.ledger import JobRecord, SoakLedger
from wasabipaddle.soak.names import ALL_FAULTS
from wasabipaddle.soak.odd_entries import ODD_VALUES, OddEntries
from wasabipaddle.soak.replacements import Replacements
from wasabipaddle.standins.transactions import MemoryTransactions

ENTRY = RunnerEntry(
    id="w001",
    address="127.0.0.1:1000",
    data_centre="a",
    pool="p",
    capacity=Capacity(cpu=1_000, memory_mb=100),
    incarnation=1,
)


class FakePlatform:
    """Platform with a store and runners that do nothing."""

    def __init__(self):
        self.memory = MemoryTransactions()
        self.processes = ["p0", "p1", "p2"]
        self.runners = {}
        self.reserved_runners = set()
        self.runners_created = 0
        self.leader_revoked = False
        self.left = []

    async def add_runner(self, *, rack=""):
        """Add a runner and return its name."""
        self.runners_created += 1
        name = f"w{self.runners_created:03d}"
        self.runners[name] = types.SimpleNamespace(entry=ENTRY, ends=[])
        return name

    async def replace_runner(self, name, leaves_in_s):
        """Add a runner and remove another one."""
        await self.add_runner()
        await self.remove_runner(name, leaves_in_s)

    async def remove_runner(self, name, leaves_in_s):
        """Remove a runner."""
        self.left.append(name)
        del self.runners[name]

    def revoke_leader(self):
        """Record that the leader key was revoked."""
        self.leader_revoked = True


class FakeCell:
    """Cell whose processes are replaced at once."""

    def __init__(self, platform):
        self.platform = platform
        self.stopping = {}
        self.fewest = len(platform.processes)

    async def replace(self, name):
        """Replace a process."""
        self.platform.processes.remove(name)
        self.fewest = min(self.fewest, len(self.platform.processes))
        await asyncio.sleep(1.0)
        self.platform.processes.append(f"new-{name}")


@pytest.fixture
def platform():
    return FakePlatform()


def play_odd_entries(run_virtual, platform, *, starts, last_fault_s=-math.inf):
    """Write odd entries, with an accepted job and a number of starts meanwhile."""

    async def scenario():
        ledger = SoakLedger()
        await platform.add_runner()

        async def use_cell():
            while True:
                await asyncio.sleep(1.0)
                ledger.starts += starts
                name = f"{len(ledger.jobs):016x}"
                ledger.jobs[name] = JobRecord(
                    id=name,
                    queue=None,
                    spec=None,
                    behaviours=(),
                    accepted_s=ledger.now(),
                )

        using = asyncio.ensure_future(use_cell())
        faults = types.SimpleNamespace(
            last_disturbance_end_s=last_fault_s, record_disturbance=lambda: None
        )
        odd = OddEntries(
            platform=platform, ledger=ledger, random=random.Random(5), faults=faults
        )
        names = (await odd.odd_entries(1.0)).split(",")
        using.cancel()
        return names, [violation.promise for violation in ledger.violations]

    return run_virtual(scenario)


def test_half_of_the_odd_entries_stay(run_virtual, platform):
    """Guards against a fault that leaves nothing for a later leader to read."""
    names, promises = play_odd_entries(run_virtual, platform, starts=1)
    assert promises == []
    keys = [key.rpartition("-")[2] for key in platform.memory.items]
    assert len(keys) == len(names) - len(names) // 2
    assert set(keys) <= set(names)
    prefixes = (REGISTRY_PREFIX, CONFIGURATION_KEY)
    assert all(key.startswith(prefixes) for key in platform.memory.items)
    assert CONFIGURATION_KEY not in platform.memory.items
    # The runners would get the work of two if entries named them.
    values = [entry.value for entry in platform.memory.items.values()]
    assert not any(ENTRY.address.encode() in value for value in values)


@pytest.mark.parametrize(
    ("last_fault_s", "promises"), [(-math.inf, ["stalled"]), (math.inf, [])]
)
def test_cell_without_starts_beside_odd_entries_is_found(
    run_virtual, platform, last_fault_s, promises
):
    """Guards against missing that odd entries stop the work of the cell."""
    _, found = play_odd_entries(
        run_virtual, platform, starts=0, last_fault_s=last_fault_s
    )
    assert found == promises


def test_odd_values_differ_from_a_sound_entry():
    """Guards against an odd entry that is sound, and therefore tests nothing."""
    sound = {
        "service": "p",
        "address": "127.0.0.1:1000",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 1_000, "mem_mb": 100, "gpu": 0},
        "labels": ["kind"],
        "born": 1,
        "seq": 1,
    }
    values = {name: encode(sound) for name, encode in ODD_VALUES.items()}
    assert msgspec.json.encode(sound) not in values.values()
    assert len(set(values.values())) == len(values)


def test_more_ends_wait_than_one_inventory_lists(run_virtual, platform):
    """Guards against a burst that fits into one inventory, or an outage without it.

    The runner must not leave later: no other has the label that the tasks require.
    """
    assert bursts.JOBS * BURST_STEP.count > server.ENDS_PER_LIST
    seen = []

    async def scenario():
        faults = EndBursts(
            platform=platform,
            ledger=SoakLedger(),
            random=random.Random(1),
            submit=lambda label, work_s: seen.append((label, work_s)),
        )
        waiting = asyncio.ensure_future(faults.ends_wait(1.0))
        await asyncio.sleep(bursts.LEAD_S + bursts.ENDS_SPAN_S)
        down = platform.memory.down
        await waiting
        return down, platform.memory.down

    assert run_virtual(scenario) == (True, False)
    assert len(seen) == bursts.JOBS
    assert len({label for label, _ in seen}) == 1
    assert all(work_s >= bursts.LEAD_S for _, work_s in seen)
    assert len(platform.reserved_runners) == 1


def test_processes_and_runners_are_replaced_one_after_the_other(run_virtual, platform):
    """Guards against several processes that are away at a time."""

    async def scenario():
        for _ in range(3):
            await platform.add_runner()
        platform.reserved_runners.add("w001")
        cell = FakeCell(platform)
        rng = random.Random(2)
        faults = Replacements(platform=platform, cell=cell, random=rng)
        for _ in range(3):
            await faults.processes_replaced(1.0)
            await faults.runners_replaced(1.0)
        return cell.fewest

    assert run_virtual(scenario) == 2
    assert not {"p0", "p1", "p2"} & set(platform.processes)
    assert len(platform.processes) == 3
    assert "w001" in platform.runners
    assert len(platform.runners) == 3
    assert platform.left[:2] == ["w002", "w003"]


def test_every_name_has_a_fault_or_an_operation(platform):
    """Guards against a name in the list of faults that nothing injects."""
    faults = SoakFaults(platform=platform, cell=None, ledger=None, random=None)
    assert set(ALL_FAULTS) == {*faults.disruptions, *faults.planned}
