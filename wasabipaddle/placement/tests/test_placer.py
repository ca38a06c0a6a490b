"""Tests of whole placement decisions."""

import pytest

from wasabipaddle.documents import Resources, ServiceKind, Urgency
from wasabipaddle.interfaces import TaskOutcome, Usage
from wasabipaddle.placement import (
    Checkpoint,
    FleetIndex,
    GiveUp,
    Impossible,
    Placer,
    Start,
    Work,
)

SIZE = Resources(cpu_milli=8000, memory_mb=16_000)
TASK = Resources(cpu_milli=2000, memory_mb=4000)


@pytest.fixture
def fleet():
    fleet = FleetIndex()
    for number in range(4):
        fleet.add_worker(
            f"w{number}", rack=f"r{number // 2}", data_centre="a", size=SIZE
        )
    return fleet


@pytest.fixture
def placer(fleet, rng):
    return Placer(fleet=fleet, random=rng)


def work(run, **changes):
    values = {"service": "s", "team": "t", "kind": ServiceKind.BATCH, "needs": TASK}
    return Work(run=run, **(values | changes))


def started(decisions):
    return [a for d in decisions if isinstance(d, Start) for a in d.assignments]


def test_impossible_work_is_reported_at_once_and_blocks_nothing(placer):
    """Guards against a run that fits no VM and blocks the queue."""
    placer.submit(work("big", needs=Resources(cpu_milli=9000)), 0.0)
    placer.submit(work("small"), 0.0)
    decisions = placer.decide(0.0, 10)
    assert "9000" in decisions[0].reason and "8000" in decisions[0].reason
    assert isinstance(decisions[0], Impossible)
    assert [a.task for a in started(decisions)] == ["small/0"]


def test_impossible_work_starts_after_the_fleet_grew(placer, fleet):
    """Guards against impossible work that is dropped, or reported at each decision."""
    placer.submit(work("big", needs=Resources(cpu_milli=9000)), 0.0)
    placer.decide(0.0, 10)
    assert placer.decide(1.0, 10) == []
    fleet.add_worker(
        "large", rack="r9", data_centre="a", size=Resources(cpu_milli=16_000)
    )
    assert [a.worker for a in started(placer.decide(2.0, 10))] == ["large"]


def test_gang_starts_as_a_whole_and_is_not_starved(placer):
    """Guards against small tasks that take all resources that a gang waits for."""
    for number in range(16):
        placer.submit(work(f"b{number}", service="small", expected_s=10), 0.0)
    assert len(started(placer.decide(0.0, 100))) == 16
    placer.submit(
        work("g", service="gang", kind=ServiceKind.GANG, tasks=8, expected_s=10),
        1.0,
    )
    for number in range(16, 64):
        placer.submit(work(f"b{number}", service="small", expected_s=100), 1.0)
    now, gang = 1.0, []
    for number in range(16):
        now += 0.1
        if f"b{number}/0" in placer.registry.running:
            placer.record_task_end(f"b{number}/0", TaskOutcome.COMPLETED, now)
        for _ in range(2):
            decisions = placer.decide(now, 100)
            for order in decisions:
                if isinstance(order, Checkpoint):
                    placer.record_task_end(order.task, TaskOutcome.CHECKPOINTED, now)
            gang += [a for a in started(decisions) if a.task[0] == "g"]
    assert len(gang) == 8


def test_urgent_work_takes_the_place_of_deferrable_work(placer):
    """Guards against urgent work that waits until running deferrable tasks end."""
    for number in range(16):
        placer.submit(work(f"d{number}", service="d", urgency=Urgency.DEFERRABLE), 0.0)
    placer.decide(0.0, 100)
    placer.submit(work("u", service="u", urgency=Urgency.URGENT), 1.0)
    (order,) = placer.decide(1.0, 100)
    assert isinstance(order, Checkpoint)
    placer.record_task_end(order.task, TaskOutcome.CHECKPOINTED, 1.5)
    assert [a.task for a in started(placer.decide(1.5, 100))] == ["u/0"]


def test_cancelled_work_does_not_start(placer):
    """Guards against a run that starts after its cancellation."""
    placer.submit(work("a"), 0.0)
    placer.submit(work("b"), 0.0)
    assert placer.cancel("a") == ()
    assert [a.task for a in started(placer.decide(0.0, 10))] == ["b/0"]
    assert placer.cancel("b") == ("b/0",)
    placer.record_task_end("b/0", TaskOutcome.STOPPED, 1.0)
    assert placer.decide(1.0, 10) == []
    assert not placer.registry.runs


def test_failures_on_one_worker_do_not_give_up_work(rng):
    """Guards against repeated failures on one worker that count as several workers."""
    fleet = FleetIndex()
    fleet.add_worker("w0", rack="r0", data_centre="a", size=SIZE)
    placer = Placer(fleet=fleet, random=rng)
    placer.submit(work("p"), 0.0)
    for now in (0.0, 100.0, 200.0, 300.0):
        (assignment,) = started(placer.decide(now, 10))
        placer.record_task_end(assignment.task, TaskOutcome.FAILED, now + 1)
    fleet.add_worker("w1", rack="r1", data_centre="a", size=SIZE)
    (assignment,) = started(placer.decide(310.0, 10))
    assert assignment.worker == "w1"


def test_work_that_fails_everywhere_is_given_up(placer):
    """Guards against work that fails on every worker and is retried forever."""
    placer.submit(work("p"), 0.0)
    workers = set()
    for now in range(10):
        decisions = placer.decide(float(now), 10)
        for assignment in started(decisions):
            workers.add(assignment.worker)
            placer.record_task_end(assignment.task, TaskOutcome.FAILED, now + 0.5)
    assert len(workers) == 3
    assert not placer.registry.runs
    assert not any(isinstance(d, GiveUp) for d in placer.decide(20.0, 10))


@pytest.mark.parametrize("kind", [ServiceKind.BATCH, ServiceKind.GANG])
def test_task_that_is_resumed_repeatedly_starts_once(placer, kind):
    """Guards against a second start of tasks if a run is resumed repeatedly."""
    run = work("r", kind=kind, tasks=3)
    placer.resume(run, 0.0, completed=[], waiting=[0])
    placer.resume(run, 0.0, completed=[], waiting=[0, 1])
    placer.resume(run, 0.0, completed=[], waiting=[0, 1, 2])
    names = sorted(a.task for a in started(placer.decide(0.0, 10)))
    assert names == ["r/0", "r/1", "r/2"]
    assert started(placer.decide(0.1, 10)) == []


def test_deficits_on_a_worker_that_left_do_not_stop_the_placer(placer, fleet):
    """Guards against a `KeyError` when tasks end with their worker.

    Two tasks of the worker use more than their reservations. The end of the first
    releases resources of a worker that the fleet no longer has.
    """
    placer.submit(work("r", tasks=4), 0.0)
    assignments = started(placer.decide(0.0, 20))
    worker = assignments[0].worker
    tasks = [a.task for a in assignments if a.worker == worker]
    assert len(tasks) > 1
    used = {
        task: Usage(cpu_milli=TASK.cpu_milli * 2, memory_mb=TASK.memory_mb * 2)
        for task in tasks
    }
    total = Usage(cpu_milli=SIZE.cpu_milli, memory_mb=SIZE.memory_mb)
    placer.observe(worker, total, used, 1.0)
    assert placer.resizer.deficits[worker]
    fleet.remove_worker(worker)
    placer.observe(worker, total, used, 2.0)
    for task in tasks:
        placer.record_task_end(task, TaskOutcome.LEASE_EXPIRED, 2.0)
    assert worker not in placer.resizer.deficits
    for name in ("w8", "w9"):
        fleet.add_worker(name, rack="r9", data_centre="a", size=SIZE)
    restarted = started(placer.decide(3.0, 20))
    assert sorted(a.task for a in restarted) == sorted(tasks)
