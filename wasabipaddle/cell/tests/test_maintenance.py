"""Waves of maintenance in a dispatch session, with a stand-in of the service."""

import asyncio

import attrs
import msgspec
import pytest

from wasabipaddle.cell import maintenance
from wasabipaddle.cell.keys import WAVE_RECORD_PREFIX
from wasabipaddle.cell.maintenance import MAX_LIST_PERIOD_S, MaintenanceSession
from wasabipaddle.cell.session import DispatchSession
from wasabipaddle.cell.tests.session_parts import (
    FakeElection,
    make_session,
    put,
    put_runner,
    with_cell,
)
from wasabipaddle.cell.wave_intake import WaveWatcher
from wasabipaddle.dispatch.maintenance import Maintenance
from wasabipaddle.interfaces.machines import MaintenanceReply
from wasabipaddle.jobs.maintenance import (
    Machine,
    MachineState,
    WaveRecord,
    decode_wave_record,
    encode_wave_record,
)
from wasabipaddle.platform import WAVE_PREFIX, encode_wave_status
from wasabipaddle.settings import PlatformAddresses
from wasabipaddle.standins.machines import MemoryMachines

STATUS_KEY, RUNNING = encode_wave_status(1, completed=False)
_, COMPLETED = encode_wave_status(1, completed=True)
RECORD_KEY = WAVE_RECORD_PREFIX + "1"
# Time for a takeover, the pause before the first call, and a wave of two machines.
TAKEOVER_S = 1.0
PAUSE_S = 7.0
WAVE_S = 30.0


def make_machine(name, runner):
    return Machine(id=name, pool="p", state=MachineState.UP, runner=runner)


@pytest.fixture
def machines():
    return MemoryMachines(machines=[make_machine("m0", "r0"), make_machine("m1", "x")])


def request(cell, number, *names, **changes):
    """Store a request for a wave."""
    body = {"wave": number, "machines": names, "duration_s": 60, "cap": 1, **changes}
    put(cell, f"{WAVE_PREFIX}{number}", msgspec.json.encode(body))


def value(cell, key):
    entry = cell.memory.items.get(key)
    return None if entry is None else entry.value


async def lead(cell, service, *, events=None, platform=None):
    """Start a session that leads and makes no calls to runners."""
    process, _, leader = make_session(cell)
    context = process.context
    if platform is not None:
        settings = attrs.evolve(context.settings, platform=platform)
        context = attrs.evolve(context, settings=settings)
    put_runner(cell, b"ready")
    session = DispatchSession(
        context=context,
        store_plugin=process.store_plugin,
        members=process.members,
        configuration=process.entry.configuration,
        epoch=leader.epoch,
        term=leader.term,
        election=FakeElection(epoch=leader.epoch),
    )
    if service is not None:
        session.maintenance = MaintenanceSession(session=session, service=service)
    if events is not None:
        session.journal = lambda kind, **fields: events.append((kind, fields))
    session.calls.ensure_inventory = lambda runner: None
    session.start()
    await asyncio.sleep(TAKEOVER_S)
    assert session.loaded
    return session


@pytest.fixture
def play(make_test_cell):
    """Return a function that runs a scenario with a cell."""

    def run(scenario):
        async def main(cell, tasks):
            await scenario(cell)

        with_cell(make_test_cell, main)

    return run


def test_wave_is_served_under_the_epoch_of_the_leader(play, machines):
    async def scenario(cell):
        session = await lead(cell, machines)
        request(cell, 1, "m0", "m1")
        await asyncio.sleep(3.0)
        assert value(cell, STATUS_KEY) == RUNNING
        await asyncio.sleep(WAVE_S)
        assert value(cell, STATUS_KEY) == COMPLETED
        assert sorted(machines.done) == [(1, "m0"), (1, "m1")]
        assert {call[2:] for call in machines.calls} == {("p0", session.epoch)}
        record = decode_wave_record(value(cell, RECORD_KEY))
        assert record.completed and sorted(record.begun) == ["m0", "m1"]
        await session.close()

    play(scenario)


def test_successor_goes_on_with_a_wave(play, machines):
    """Guards against machines that are asked twice or left out after a takeover."""

    async def scenario(cell):
        record = WaveRecord(first_seen_ms=1, asked={"m0": "r0"}, begun=("m1",))
        put(cell, RECORD_KEY, encode_wave_record(record))
        request(cell, 1, "m0", "m1")
        session = await lead(cell, machines)
        assert session.scheduler.state.runners["r0"].cordoned
        await asyncio.sleep(PAUSE_S - 2 * TAKEOVER_S)
        assert machines.calls == []
        await asyncio.sleep(WAVE_S)
        assert machines.done == [(1, "m0")]
        assert value(cell, STATUS_KEY) == COMPLETED
        await session.close()

    play(scenario)


def test_replaced_leader_makes_no_calls(play, machines):
    """Guards against two processes that order the same machine."""

    async def scenario(cell):
        session = await lead(cell, machines)
        session.election.proof.present_s = 10.0
        request(cell, 1, "m0")
        await asyncio.sleep(WAVE_S)
        assert machines.calls == []
        session.election.proof.present_s = 0.0
        make_session(cell)  # another process takes the leader key
        await asyncio.sleep(WAVE_S)
        assert machines.calls == [] and value(cell, RECORD_KEY) is None
        await session.close()

    play(scenario)


def test_no_call_while_the_store_is_away(play, machines):
    """Guards against a call that a successor does not know of."""

    async def scenario(cell):
        request(cell, 1, "m0")
        session = await lead(cell, machines)
        cell.memory.down = True
        await asyncio.sleep(WAVE_S)
        assert machines.calls == []
        cell.memory.down = False
        await asyncio.sleep(WAVE_S)
        assert machines.done == [(1, "m0")]
        await session.close()

    play(scenario)


def test_refused_epoch_ends_the_calls(play, machines):
    async def scenario(cell):
        machines.epochs["m0"] = 10**9
        events = []
        session = await lead(cell, machines, events=events)
        request(cell, 1, "m0")
        await asyncio.sleep(2 * WAVE_S)
        assert len(machines.calls) == 1
        called = [fields for kind, fields in events if kind == "maintenance_called"]
        assert called[0]["outcome"] == MaintenanceReply.STALE_EPOCH.value
        await session.close()

    play(scenario)


def test_refused_epoch_gives_the_runners_back(play, machines):
    """Guards against runners that get no work under an epoch without calls."""

    async def scenario(cell):
        machines.epochs["m1"] = 10**9
        session = await lead(cell, machines)
        drains = session.maintenance.maintenance.drains
        is_empty = drains.is_empty
        drains.is_empty = lambda runner: runner != "r0" and is_empty(runner)
        request(cell, 1, "m0", "m1", cap=2)
        await asyncio.sleep(PAUSE_S + WAVE_S)
        assert session.maintenance.refused_epoch == session.epoch
        assert session.scheduler.state.cordoned == frozenset()
        cell.memory.remove(WAVE_PREFIX + "1")
        await asyncio.sleep(3.0)
        assert value(cell, RECORD_KEY) is None
        await session.close()

    play(scenario)


def test_late_execution_of_an_unanswered_call_counts_once(play, machines):
    async def scenario(cell):
        session = await lead(cell, machines)
        machines.faults.delay_s = 5.0
        request(cell, 1, "m0", "m1")
        await asyncio.sleep(PAUSE_S + 5.0)
        assert value(cell, STATUS_KEY) == RUNNING
        machines.faults.delay_s = None
        await asyncio.sleep(2 * WAVE_S)
        assert sorted(machines.done) == [(1, "m0"), (1, "m1")]
        assert value(cell, STATUS_KEY) == COMPLETED
        await session.close()

    play(scenario)


@pytest.mark.parametrize("fault", ["silent", "refusing"])
def test_wave_waits_for_the_service(play, machines, fault):
    async def scenario(cell):
        events = []
        session = await lead(cell, machines, events=events)
        setattr(machines.faults, fault, True)
        request(cell, 1, "m0")
        await asyncio.sleep(2 * WAVE_S)
        assert value(cell, STATUS_KEY) == RUNNING
        kinds = [kind for kind, _ in events]
        assert kinds.count("machines_unlisted") == 1
        setattr(machines.faults, fault, False)
        await asyncio.sleep(WAVE_S)
        assert value(cell, STATUS_KEY) == COMPLETED
        await session.close()

    play(scenario)


def test_machines_are_listed_again_after_very_many_failures(play, machines):
    """Guards against a pause between lists that overflows."""

    async def scenario(cell):
        session = await lead(cell, machines)
        machines.faults.silent = True
        session.maintenance.list_failures = 1_024
        await session.maintenance._list()
        assert session.maintenance.next_list_s <= session.now() + MAX_LIST_PERIOD_S
        await session.close()

    play(scenario)


def test_unreadable_wave_holds_up_no_other(play, machines):
    async def scenario(cell):
        session = await lead(cell, machines)
        put(cell, WAVE_PREFIX + "2", b"{")
        request(cell, 1, "m0")
        await asyncio.sleep(2.0)
        put(cell, WAVE_PREFIX + "1", b"[]")
        await asyncio.sleep(WAVE_S)
        assert value(cell, STATUS_KEY) == COMPLETED
        counters = session.metrics.snapshot()["counters"]
        assert counters["records_unreadable_wave"] >= 2
        await session.close()

    play(scenario)


def test_withdrawn_wave_leaves_nothing_in_the_store(play, machines):
    async def scenario(cell):
        session = await lead(cell, machines)
        request(cell, 1, "m0", cap=0)
        await asyncio.sleep(3.0)
        assert value(cell, RECORD_KEY) is not None
        cell.memory.remove(WAVE_PREFIX + "1")
        await asyncio.sleep(3.0)
        assert value(cell, RECORD_KEY) is None and value(cell, STATUS_KEY) is None
        await session.close()

    play(scenario)


def test_lost_answers_of_the_store_are_borne(play, machines):
    """Guards against a wave that stops after a write whose outcome is unknown."""

    async def scenario(cell):
        cell.memory.lost_share = 0.5
        request(cell, 1, "m0", "m1")
        session = await lead(cell, machines)
        await asyncio.sleep(2 * WAVE_S)
        assert value(cell, STATUS_KEY) == COMPLETED
        assert sorted(machines.done) == [(1, "m0"), (1, "m1")]
        await session.close()

    play(scenario)


def test_waves_without_a_service_are_logged_once(play):
    async def scenario(cell):
        request(cell, 1, "m0")
        events = []
        session = await lead(cell, None, events=events)
        await asyncio.sleep(WAVE_S)
        lines = [fields for kind, fields in events if kind == "maintenance_not_served"]
        assert [line["waves"] for line in lines] == [1]
        assert value(cell, STATUS_KEY) is None
        await session.close()

    play(scenario)


def test_error_in_the_records_of_waves_holds_up_no_dispatching(
    play, machines, monkeypatch
):
    """Guards against a cell without a dispatcher because of a fault in this part."""
    monkeypatch.setattr(Maintenance, "restore", None)

    async def scenario(cell):
        put(cell, RECORD_KEY, encode_wave_record(WaveRecord(first_seen_ms=1)))
        request(cell, 1, "m0")
        events = []
        session = await lead(cell, machines, events=events)
        await asyncio.sleep(WAVE_S)
        assert machines.calls == [] and value(cell, STATUS_KEY) is None
        kinds = [kind for kind, _ in events]
        assert kinds.count("maintenance_not_served") == 1
        await session.close()

    play(scenario)


@pytest.mark.parametrize("broken", [["plan"], ["take_calls"], ["plan", "release"]])
def test_error_in_the_planning_of_waves_gives_the_runners_back(play, machines, broken):
    """Guards against cordons without end, and against an end of the session."""

    async def scenario(cell):
        session = await lead(cell, machines)
        decision = session.maintenance.maintenance
        decision.drains.is_empty = lambda runner: False
        request(cell, 1, "m0")
        await asyncio.sleep(5.0)
        assert session.scheduler.state.cordoned
        for name in broken:
            setattr(decision, name, None)
        await asyncio.sleep(5.0)
        assert session.scheduler.state.cordoned == frozenset()
        assert machines.calls == [] and session.leads
        counters = session.metrics.snapshot()["counters"]
        assert counters["maintenance_errors"] == 1
        await session.close()

    play(scenario)


@pytest.mark.parametrize("served", [True, False])
def test_settings_switch_waves_off(play, machines, monkeypatch, served):
    """Guards against lists and watches of waves that are not to be served."""
    watched, listed = [], []
    list_machines, follow = machines.list_machines, WaveWatcher.follow

    def record_list(**options):
        listed.append(options)
        return list_machines(**options)

    def record_follow(watcher):
        watched.append(watcher)
        return follow(watcher)

    monkeypatch.setattr(machines, "list_machines", record_list)
    monkeypatch.setattr(WaveWatcher, "follow", record_follow)
    monkeypatch.setattr(maintenance, "PlatformMachines", lambda address: machines)

    async def scenario(cell):
        request(cell, 1, "m0")
        platform = PlatformAddresses(
            store="127.0.0.1:4", machines="127.0.0.1:9", serve_maintenance=served
        )
        events = []
        session = await lead(cell, None, events=events, platform=platform)
        await asyncio.sleep(WAVE_S)
        assert bool(listed) is bool(watched) is bool(machines.done) is served
        kinds = [kind for kind, _ in events]
        assert kinds.count("maintenance_not_served") == (not served)
        await session.close()

    play(scenario)
