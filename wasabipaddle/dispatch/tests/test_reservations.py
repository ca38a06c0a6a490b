"""Gangs and large tasks beside many small tasks that take each free place."""

import pytest

from wasabipaddle.dispatch.candidates import CandidateIndex
from wasabipaddle.dispatch.reservations import (
    DRAIN_MARGIN,
    MAX_DRAIN_S,
    MAX_WAITING_STEPS,
    RESERVE_AFTER_S,
)
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import Capacity, Workspace

SMALL_RUN_S = 2.0
PERIOD_S = 0.25


@pytest.fixture
def busy_cell(make_cell):
    """Return a cell with two runners that are full of small tasks."""
    cell = make_cell(runners=2)
    submit_small_jobs(cell, 4)
    cell.plan()
    return cell


def submit_small_jobs(cell, count):
    """Submit jobs of two small tasks each."""
    for n in range(count):
        cell.submit(f"small-{len(cell.state.jobs)}-{n}", step(2))


def run_small_tasks(cell, seconds):
    """Let time pass in which small tasks arrive, and end one by one on each runner."""
    until_s = cell.now + seconds
    while cell.now < until_s:
        submit_small_jobs(cell, 2)
        for fake in cell.runners.values():
            small = [key for key in fake.running if key[0].job.startswith("small")]
            if small and cell.now % (SMALL_RUN_S / 4) < PERIOD_S:
                fake.end(*small[0], EndCause.COMPLETED)
        cell.advance_time(PERIOD_S, step=PERIOD_S)


def started_jobs(cell):
    return {task.job for task, _, _ in cell.started}


@pytest.mark.parametrize(
    "waiting",
    [step(2, cpu=3000, gang=True), step(1, cpu=4000)],
    ids=["gang", "large-task"],
)
def test_work_that_needs_much_starts_beside_a_flood_of_small_tasks(busy_cell, waiting):
    """Guards against gangs and large tasks that small ones starve.

    Each small task takes the capacity that has just become free.
    """
    busy_cell.submit("wide", waiting)
    run_small_tasks(busy_cell, 8.0)
    assert "wide" in started_jobs(busy_cell)
    assert not busy_cell.scheduler.reservations.by_pool


def test_urgent_tasks_use_reserved_runners(busy_cell):
    """Guards against urgent work that waits behind less urgent work."""
    busy_cell.submit("wide", step(2, cpu=4000, gang=True))
    run_small_tasks(busy_cell, 3.0)
    assert busy_cell.scheduler.reservations.by_pool
    busy_cell.submit("urgent", step(1, cpu=500), queue="urgent")
    run_small_tasks(busy_cell, 0.5)
    assert "urgent" in started_jobs(busy_cell)


def test_reservation_ends_if_the_runners_do_not_become_free(make_cell):
    """Guards against a pool whose runners stand idle for work that cannot start."""
    cell = make_cell(runners=2)
    cell.submit("long", step(2, cpu=3000))
    cell.plan()
    cell.submit("wide", step(2, cpu=3000, gang=True))
    cell.now += RESERVE_AFTER_S
    submit_small_jobs(cell, 4)
    cell.plan()
    assert [kind for kind, _ in cell.events] == ["runners_reserved"]
    running = len(cell.started)
    for fake in cell.runners.values():
        fake.end(*list(fake.running)[-1], EndCause.COMPLETED)
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == running
    cell.now += DRAIN_MARGIN * MAX_DRAIN_S
    cell.plan()
    assert len(cell.started) > running


def test_work_larger_than_the_pool_reserves_nothing(make_cell):
    """Guards against capacity that is kept free for work that can never start."""
    cell = make_cell(runners=2)
    cell.submit("impossible", step(3, cpu=3000, gang=True))
    submit_small_jobs(cell, 20)
    cell.plan()
    run_small_tasks(cell, 4.0)
    assert not cell.scheduler.reservations.by_pool


def test_round_with_a_reservation_visits_each_runner_a_few_times(
    make_cell, monkeypatch
):
    """Guards against rounds that cost the waiting steps times the runners."""
    cell = make_cell(runners=20)
    cell.submit("long", step(20, cpu=3000))
    cell.plan()
    cell.submit("wide", step(20, cpu=3000, gang=True))
    cell.now += RESERVE_AFTER_S
    submit_small_jobs(cell, 200)
    cell.plan()
    assert cell.scheduler.reservations.by_pool
    visited = []
    members = CandidateIndex.members

    def list_visited(index, *args):
        found = members(index, *args)
        visited.extend(found)
        return found

    monkeypatch.setattr(CandidateIndex, "members", list_visited)
    assert len(cell.state.ready) > 100
    cell.plan()
    assert len(visited) <= MAX_WAITING_STEPS * len(cell.runners)


def test_reservation_ends_with_the_room_in_the_quota(busy_cell):
    """Guards against runners that stand idle for work which its quota holds back."""
    busy_cell.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=8000)))
    busy_cell.submit("wide", step(2, cpu=4000, gang=True), workspace="shop")
    run_small_tasks(busy_cell, 2.5)
    assert busy_cell.scheduler.reservations.by_pool
    busy_cell.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=4000)))
    busy_cell.plan()
    assert not busy_cell.scheduler.reservations.by_pool


def test_step_whose_runners_are_all_reserved_does_not_count_as_lack_of_room(busy_cell):
    """Guards against plans that report a full cell because of a reservation."""
    busy_cell.submit("wide", step(2, cpu=4000, gang=True))
    run_small_tasks(busy_cell, 3.0)
    (reservation,) = busy_cell.scheduler.reservations.by_pool.values()
    assert reservation.runner_ids == frozenset(busy_cell.runners)
    busy_cell.plan()
    assert not busy_cell.state.capacity_exhausted
