"""Choice of the runs that urgent tasks with several requirements stop."""

import attrs

from wasabipaddle.dispatch.orders import StopTask
from wasabipaddle.dispatch.preemption import Preemption
from wasabipaddle.dispatch.tests.conftest import step


def stops_for_urgent(cell, urgent):
    """Submit an urgent step, and return the stop orders after the delay."""
    cell.now += 1.0
    cell.read_inventories()
    cell.submit("urgent", urgent, queue="urgent")
    cell.plan()
    cell.now += 0.2
    _, orders = cell.plan()
    return [order for order in orders if isinstance(order, StopTask)]


def with_gpus(cell, count):
    """Give the runners of a cell GPUs."""
    for name in cell.runners:
        entry = cell.entry(name)
        capacity = attrs.evolve(entry.capacity, gpus=count)
        cell.scheduler.set_runner(attrs.evolve(entry, capacity=capacity), cell.now)
    return cell


def test_urgent_gpu_task_stops_a_run_that_holds_gpus(make_cell):
    """Guards against stops that free processors while the GPUs stay taken."""
    cell = with_gpus(make_cell(runners=1), 8)
    cell.submit("cpu", step(2, estimate_s=30.0))
    cell.submit("gpu", step(1, gpus=8, estimate_s=30.0))
    cell.plan()
    stops = stops_for_urgent(cell, step(1, gpus=4))
    assert [order.task.job for order in stops] == ["gpu"]


def test_urgent_gpu_task_stops_nothing_if_the_gpus_cannot_be_freed(make_cell):
    """Guards against runs that are stopped although the task still does not fit."""
    cell = with_gpus(make_cell(runners=1), 8)
    cell.submit("gpu", step(1, gpus=8, lasting=True))
    cell.submit("cpu", step(3, estimate_s=30.0))
    cell.plan()
    assert stops_for_urgent(cell, step(1, cpu=2000, gpus=4)) == []


def test_nothing_is_stopped_on_a_runner_at_the_limit_of_the_step(make_cell):
    """Guards against stops on a runner that may not take another task of the step."""
    cell = make_cell(runners=1)
    cell.submit("cpu", step(3, estimate_s=30.0))
    cell.plan()
    assert stops_for_urgent(cell, step(3, max_per_runner=1)) == []


def test_flood_of_urgent_steps_searches_once_for_runs_to_stop(make_cell, monkeypatch):
    """Guards against rounds that visit all runners for each step of a flood."""
    cell = make_cell(runners=8)
    for number in range(100):
        cell.submit(f"urgent{number}", step(4, estimate_s=30.0), queue="urgent")
    cell.plan()
    visited = []
    victims = Preemption._victims

    def count_visit(*args):
        visited.append(args)
        return victims(*args)

    monkeypatch.setattr(Preemption, "_victims", count_visit)
    cell.now += 0.2
    cell.plan()
    assert len(cell.state.ready) == 92
    assert len(visited) <= 2 * len(cell.runners)


def test_search_in_vain_does_not_hide_what_a_later_claim_frees(make_cell):
    """Guards against an urgent task that waits although a stop makes room for it.

    The run that is stopped for the small task holds enough for the wide one.
    """
    cell = make_cell(runners=1)
    cell.submit("kept", step(1, cpu=1000, lasting=True), queue="urgent")
    cell.submit("batch", step(1, cpu=3000, estimate_s=30.0))
    cell.plan()
    cell.now += 1.0
    cell.read_inventories()
    for name in ("first", "second", "third"):
        cell.submit(name, step(1, estimate_s=30.0), queue="urgent")
    cell.submit("too wide", step(1, cpu=3500, estimate_s=30.0), queue="urgent")
    cell.now += 0.2
    cell.plan()
    assert cell.scheduler.preemption.claimed == {"r0": (3000, 0, 0)}
