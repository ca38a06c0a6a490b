"""Choice of machines, drains and progress of waves of maintenance, without faults."""

import pytest

from wasabipaddle.dispatch.operations import OperationPhase, WaveWaitReason
from wasabipaddle.dispatch.tests import maintenance_world
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.dispatch.tests.maintenance_world import TICK_S, World
from wasabipaddle.interfaces.machines import MaintenanceReply


@pytest.fixture
def make_world():
    return lambda machines=6: World(machines=machines, faults=False)


def progress(world, number=1):
    return world.maintenance.progress[number]


def chosen(world):
    """Return the machines that are in some phase of their maintenance."""
    return set(world.maintenance.operations)


def lose_calls(world):
    """Have the calls of the service sent but not answered; return them."""
    sent = []

    def call(operation):
        sent.append(operation.machine)
        world.maintenance.record_no_reply(operation, world.now)

    world.call = call
    return sent


def test_wave_of_idle_machines_ends(make_world):
    world = make_world()
    world.request(1, ["m0", "m1", "m2"], cap=2)
    world.run(30.0)
    assert progress(world).completed and world.violations == []
    assert world.calls.count((1, "m0")) == 1 and len(world.calls) == 3
    assert world.records[1].completed
    assert world.state.cordoned == frozenset()


def test_unanswered_calls_count_for_the_cap(make_world):
    """Guards against a machine too many when calls are carried out late."""
    world = make_world()
    sent = lose_calls(world)
    world.request(1, list(world.machines), cap=2)
    world.run(30.0)
    assert len(set(sent)) == 2 and len(sent) > 4


def test_asked_machine_stays_empty_after_a_takeover(make_world):
    """Guards against lost work when a call of the previous leader comes late."""
    world = make_world(3)
    sent = lose_calls(world)
    world.request(1, ["m0"], cap=1)
    world.run(3.0)
    assert sent
    world.fail_over()
    world.submit("b1", step(12))
    world.run(2.0)
    assert not world.runners["m0.1"].running and world.runners["m1.1"].running


def test_successor_calls_only_after_the_pause(make_world):
    """Guards against two processes that call the service by turns."""
    world = make_world(3)
    sent = lose_calls(world)
    world.request(1, ["m0"], cap=1)
    world.run(3.0)
    assert sent
    del sent[:]
    world.fail_over()
    world.run(5.0)
    assert sent == []
    world.run(5.0)
    assert sent


def test_allowance_of_zero_blocks_a_machine_and_says_so(make_world):
    """Guards against a stop that a step cannot bear."""
    world = make_world(3)
    world.submit_lasting("0" * 16, 3, 0)
    world.run(2.0)
    world.request(1, list(world.machines), cap=3, duration_s=5.0)
    world.run(20.0)
    busy = {name.partition(".")[0] for name, r in world.runners.items() if r.running}
    assert busy and not busy & {name for _, name in world.done}
    assert progress(world).reason is WaveWaitReason.ALLOWANCE
    late = [fields for kind, fields in world.events if kind == "maintenance_late"]
    assert late and (late[-1]["wave"], late[-1]["reason"]) == (1, "allowance")
    assert world.violations == []


def test_no_machine_is_drained_without_room_for_lasting_tasks(make_world):
    """Guards against tasks that could not come back."""
    world = make_world(2)
    world.submit_lasting("0" * 16, 8, 4)
    world.run(2.0)
    world.request(1, ["m0"], cap=1)
    world.run(10.0)
    assert chosen(world) == set()
    assert all(len(runner.running) == 4 for runner in world.runners.values())


def test_tasks_without_an_allowance_give_way_to_a_wave_that_is_due(make_world):
    """Guards against a wave that ends too late because the cell is full."""
    world = make_world(2)
    world.submit_lasting("0" * 16, 8, -1)
    world.run(2.0)
    world.request(1, ["m0"], cap=1, duration_s=20.0)
    world.run(10.0)
    assert chosen(world) == set()
    world.run(15.0)
    assert world.done == {(1, "m0")} and world.violations == []


def test_cap_of_zero_leaves_the_wave_running(make_world):
    world = make_world()
    world.request(1, ["m0"], cap=0)
    world.run(10.0)
    assert chosen(world) == set() and not progress(world).completed
    assert progress(world).reason is WaveWaitReason.CAP and progress(world).late


def test_unknown_machines_do_not_hold_up_the_others(make_world):
    world = make_world()
    world.request(1, ["nowhere", "m0"], cap=1)
    world.run(20.0)
    assert progress(world).completed
    assert list(progress(world).begun) == ["m0"]


def test_wave_is_not_completed_without_a_list(make_world):
    """Guards against machines that count as gone because the service is silent."""
    world = make_world()
    world.list_machines = tuple
    world.maintenance.record_list = lambda machines, requested_s: None
    world.request(1, ["nowhere"], cap=1)
    world.run(20.0)
    assert not progress(world).completed
    assert progress(world).reason is WaveWaitReason.SERVICE


def test_machine_of_two_waves_has_one_maintenance_after_the_other(make_world):
    world = make_world()
    world.request(1, ["m0", "m1"], cap=1)
    world.request(2, ["m0"], cap=1)
    world.run(40.0)
    assert progress(world, 1).completed and progress(world, 2).completed
    assert world.done == {(1, "m0"), (1, "m1"), (2, "m0")}
    assert world.machines["m0"].runner == "m0.3"


def test_withdrawn_wave_gives_its_machines_back(make_world):
    world = make_world()
    world.submit_lasting("0" * 16, 6, 1)
    world.run(2.0)
    world.request(1, ["m0"], cap=1)
    world.run(0.5)
    assert world.state.cordoned == {"m0.1"}
    world.withdraw(1)
    world.run(1.0)
    assert world.state.cordoned == frozenset() and world.calls == []
    assert world.maintenance.may_forget(progress(world))


def test_withdrawn_wave_keeps_a_machine_whose_call_may_come_late(make_world):
    world = make_world()
    lose_calls(world)
    world.request(1, ["m0"], cap=1)
    world.run(3.0)
    world.withdraw(1)
    world.run(10.0)
    assert world.state.cordoned == {"m0.1"}
    assert not world.maintenance.may_forget(progress(world))
    world.run(10.0)
    assert world.state.cordoned == frozenset()


def test_machine_that_is_added_to_a_completed_wave_is_served(make_world):
    world = make_world()
    world.request(1, ["m0"], cap=1)
    world.run(15.0)
    assert progress(world).completed
    world.request(1, ["m0", "m1"], cap=1)
    assert not progress(world).completed
    world.run(15.0)
    assert progress(world).completed
    assert world.done == {(1, "m0"), (1, "m1")}


def test_lowered_cap_waits_until_fewer_machines_are_away(make_world):
    world = make_world()
    sent = lose_calls(world)
    world.request(1, ["m0", "m1", "m2"], cap=3)
    world.run(3.0)
    assert len(set(sent)) == 3
    world.request(1, ["m0", "m1", "m2"], cap=1)
    del sent[:]
    world.run(10.0)
    assert sent == []
    world.run(30.0)
    assert sent


def test_sick_runners_go_first(make_world):
    world = make_world()
    world.state.runners["m4.1"].health.failures = 2
    world.request(1, list(world.machines), cap=1)
    world.run(0.5)
    assert chosen(world) == {"m4"}


def test_machines_of_different_racks_go_together(make_world):
    world = make_world()
    world.request(1, list(world.machines), cap=2)
    world.run(0.5)
    racks = {world.machines[name].rack for name in chosen(world)}
    assert len(racks) == 2


def test_machine_with_the_least_work_to_lose_goes_first(make_world):
    world = make_world(2)
    for runner in world.runners.values():
        runner.percent = 5
    world.submit("b1", step(1, estimate_s=500.0))
    world.run(5.0)
    (busy,) = [name for name, runner in world.runners.items() if runner.running]
    world.request(1, ["m0", "m1"], cap=1, duration_s=10.0)
    world.run(0.5)
    assert chosen(world) == {"m0", "m1"} - {busy.partition(".")[0]}


@pytest.mark.parametrize(
    "reply", [MaintenanceReply.BUSY, MaintenanceReply.NOT_IN_WAVE, None]
)
def test_refused_call_is_repeated_later(make_world, reply):
    world = make_world()
    sent = []

    def call(operation):
        sent.append(world.now)
        world.maintenance.record_reply(operation, reply, world.now)

    world.call = call
    world.request(1, ["m0"], cap=1)
    world.run(20.0)
    assert 2 < len(sent) < 12 and not progress(world).completed


def test_asked_machine_is_stored_before_the_call(make_world):
    """Guards against a call that a successor does not know of."""
    world = make_world()
    world._store = lambda: None
    world.request(1, ["m0"], cap=1)
    world.run(10.0)
    assert world.calls == []
    assert world.maintenance.operations["m0"].phase is OperationPhase.ASKED


def refuse_calls(world):
    """Have the service refuse calls because of their rate; return how it serves."""
    serve = world.call
    world.call = lambda o: world.maintenance.record_reply(o, None, world.now)
    return serve


def run_until(world, phase):
    """Run until the first machine is in a phase."""
    for _ in range(200):
        operation = world.maintenance.operations.get("m0")
        if operation is not None and operation.phase is phase:
            return
        world.tick()
    raise AssertionError(f"m0 is never {phase}")


@pytest.mark.parametrize("taken_over", [False, True])
def test_work_on_a_new_runner_of_an_asked_machine_survives(make_world, taken_over):
    """Guards against a call that ends the work of a runner that was never drained."""
    world = make_world(3)
    world.submit_lasting("0" * 16, 6, 1)
    world.run(3.0)
    serve = refuse_calls(world)
    world.request(1, ["m0"], cap=1, duration_s=300.0)
    run_until(world, OperationPhase.ASKED)
    world.restart("m0")
    if taken_over:
        world.fail_over()
    world.run(3.0)
    world.restart("m1")
    world.run(6.0)
    world.call = serve
    world.run(40.0)
    assert world.violations == [] and world.done == {(1, "m0")}


@pytest.mark.parametrize("ticks", range(6))
def test_work_on_a_new_runner_of_a_drained_machine_survives(make_world, ticks):
    """Guards against a decision by a list from before the restart of a runner."""
    world = make_world(4)
    world.submit_lasting("0" * 16, 12, 1)
    world.run(3.0)
    record, listed_s = world.maintenance.record_list, [0.0]

    def record_rarely(machines, requested_s):
        if requested_s - listed_s[0] >= 1.0:
            listed_s[0] = requested_s
            record(machines, requested_s)

    world.maintenance.record_list = record_rarely
    world.request(1, ["m0"], cap=1, duration_s=300.0)
    run_until(world, OperationPhase.DRAINING)
    world.run(ticks * TICK_S)
    world.restart("m0")
    world.run(30.0)
    assert world.violations == [] and world.done == {(1, "m0")}


def test_machine_that_left_its_wave_counts_after_a_takeover(make_world, monkeypatch):
    """Guards against a machine too many while the first one is in maintenance."""
    monkeypatch.setattr(maintenance_world, "MAINTENANCE_S", 30.0)
    world = make_world(3)
    world.request(1, ["m0", "m1"], cap=1, duration_s=300.0)
    world.run(4.0)
    assert world.done == {(1, "m0")}
    world.request(1, ["m1"], cap=1, duration_s=300.0)
    world.run(2.0)
    world.fail_over()
    world.run(15.0)
    assert world.done == {(1, "m0")} and chosen(world) == set()
    world.run(30.0)
    assert progress(world).completed and world.violations == []


def test_drained_runner_is_released_when_the_service_is_silent(make_world):
    """Guards against runners that get no work for as long as no list comes."""
    world = make_world(3)
    for runner in world.runners.values():
        runner.percent = 1
    world.submit("b1", step(12, estimate_s=12.0))
    world.run(2.0)
    world.request(1, ["m0"], cap=1, duration_s=300.0)
    run_until(world, OperationPhase.DRAINING)
    world.maintenance.record_list = lambda machines, requested_s: None
    world.run(15.0)
    assert world.state.cordoned == frozenset() and world.calls == []


def test_asked_runner_is_released_when_all_calls_are_refused(make_world):
    """Guards against runners that get no work for as long as calls are refused."""
    world = make_world(3)
    serve = refuse_calls(world)
    world.request(1, ["m0"], cap=1, duration_s=300.0)
    run_until(world, OperationPhase.ASKED)
    world.run(12.0)
    assert world.state.cordoned == frozenset()
    world.run(120.0)
    drains = [kind for kind, _ in world.events if kind == "maintenance_drain"]
    assert len(drains) < 6
    world.call = serve
    world.run(60.0)
    assert progress(world).completed and world.violations == []


def test_asked_runner_is_released_when_the_service_is_silent(make_world):
    """Guards against an asked machine that is kept although no call may come late."""
    world = make_world(3)
    sent = lose_calls(world)
    world.request(1, ["m0"], cap=1, duration_s=300.0)
    run_until(world, OperationPhase.ASKED)
    world.run(1.0)
    assert sent
    world.maintenance.record_list = lambda machines, requested_s: None
    world.run(12.0)
    assert world.state.cordoned == {"m0.1"}
    world.run(10.0)
    assert world.state.cordoned == frozenset()


def test_wave_is_not_completed_by_an_old_list(make_world):
    """Guards against a machine that counts as gone after it has come back."""
    world = make_world(3)
    world.machines["m2"].gone = True
    world.request(1, ["m0", "m2"], cap=0)
    world.run(5.0)
    assert "m2" in progress(world).absent
    world.maintenance.record_list = lambda machines, requested_s: None
    world.run(60.0)
    world.machines["m2"].gone = False
    world.request(1, ["m2"], cap=0)
    world.run(5.0)
    assert not progress(world).completed and world.violations == []
