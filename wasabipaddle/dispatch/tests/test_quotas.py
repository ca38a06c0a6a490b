"""Quotas of workspaces in the placement of tasks."""

import attrs
import pytest

from wasabipaddle.dispatch import StopTask
from wasabipaddle.dispatch.quotas import FORMER_WORKSPACES
from wasabipaddle.dispatch.tests.conftest import QUEUES, step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import Capacity, Job, JobSpec, Workspace


@pytest.fixture
def shop(cell):
    """Return a cell of eight cores whose workspace `shop` has a quota of three."""
    cell.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=3000)))
    return cell


def kinds(cell):
    return [kind for kind, _ in cell.events]


def test_workspace_starts_no_more_than_its_quota(shop):
    """Guards against a workspace that takes the whole cell."""
    shop.submit("j0", step(6), workspace="shop")
    shop.plan()
    assert len(shop.started) == 3
    assert not shop.state.capacity_exhausted


def test_other_workspaces_start_beside_one_at_its_quota(shop):
    """Guards against steps that wait for a quota and hold back the steps after them."""
    shop.submit("j0", step(6), workspace="shop", queue="urgent")
    shop.submit("j1", step(4), workspace="other")
    shop.plan()
    assert sum(task.job == "j1" for task, _, _ in shop.started) == 4


def test_end_of_a_run_lets_the_next_task_start(shop):
    """Guards against runs that count for ever."""
    shop.submit("j0", step(6), workspace="shop")
    shop.plan()
    task, number, runner = shop.started[0]
    shop.runners[runner].end(task, number)
    shop.read_inventories()
    shop.plan()
    assert len(shop.started) == 4


def test_run_without_a_reply_counts_until_it_cannot_exist(shop):
    """Guards against a late start order that brings a workspace over its quota."""
    shop.submit("j0", step(3), workspace="shop")
    shop.plan(answer=False)
    shop.state.outbox.clear()
    shop.submit("j1", step(3), workspace="shop")
    shop.now += 1.5
    shop.plan(answer=False)
    assert len(shop.started) == 3


def test_gang_starts_within_the_quota_or_not_at_all(shop):
    """Guards against a part of a gang that waits for members without a quota."""
    shop.submit("j0", step(4, gang=True), workspace="shop")
    shop.submit("j1", step(3, gang=True), workspace="shop")
    shop.plan()
    assert {task.job for task, _, _ in shop.started} == {"j1"}
    assert len(shop.started) == 3


def test_copy_needs_room_in_the_quota(shop):
    """Guards against copies of late runs that are not counted."""
    shop.submit("j0", step(3, speculative=True), workspace="shop")
    shop.plan()
    shop.unresponsive.add("r0")
    shop.read_inventories()
    shop.scheduler.advance(shop.now)
    assert "run_copied" not in kinds(shop)


def test_opportunistic_tasks_count_with_their_processors(shop):
    """Guards against work without a reservation that a quota does not restrict."""
    shop.submit("j0", step(6, opportunistic=True), workspace="shop")
    shop.plan()
    assert len(shop.started) == 3


def test_nothing_is_preempted_for_a_task_without_a_quota(shop):
    """Guards against work that is stopped for a task that cannot start."""
    shop.submit("j0", step(5), workspace="other")
    shop.submit("j1", step(3), workspace="shop")
    shop.plan()
    shop.submit("j2", step(1), workspace="shop", queue="urgent")
    shop.now += 0.5
    _, orders = shop.plan()
    assert not any(isinstance(order, StopTask) for order in orders)


def test_no_advice_is_asked_for_a_step_without_a_quota(shop):
    """Guards against calls of the eligibility service whose tickets expire unused."""
    shop.submit("j0", step(3), workspace="shop")
    shop.plan()
    shop.submit("j1", step(1), workspace="shop", queue="advised")
    requests, _ = shop.plan()
    assert requests == []
    shop.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=4000)))
    requests, _ = shop.plan()
    assert len(requests) == 1


def test_lower_quota_stops_nothing_and_higher_one_starts_more(shop):
    """Guards against work thrown away by a change of a quota, or jobs that it loses."""
    shop.submit("j0", step(6), workspace="shop")
    shop.plan()
    shop.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=1000)))
    _, orders = shop.plan()
    assert orders == []
    shop.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=5000)))
    shop.plan()
    assert len(shop.started) == 5


def test_quota_of_a_workspace_that_is_removed_remains(shop):
    """Guards against accepted jobs without any limit once their workspace is gone."""
    shop.submit("j0", step(6), workspace="shop")
    shop.set_workspaces()
    shop.plan()
    assert len(shop.started) == 3


def test_tasks_that_may_run_on_suspect_runners_count_after_a_takeover(shop):
    """Guards against new jobs that start beside unknown runs of the predecessor.

    Another workspace starts in the meantime, and so does this one once the runners have
    listed what they run.
    """
    entry = shop.submit("j0", step(3), workspace="shop")
    shop.plan()
    shop.take_over(1, {}, [entry.job])
    shop.unresponsive.add("r1")
    shop.read_inventories()
    shop.submit("j1", step(2), workspace="shop")
    shop.submit("j2", step(1), workspace="other")
    shop.plan()
    assert [task.job for task, _, _ in shop.started] == ["j2"]
    shop.unresponsive.clear()
    shop.clear_suspects()
    for runner in shop.runners.values():
        for task, number in list(runner.running):
            if task.job == "j0":
                runner.end(task, number)
    shop.read_inventories()
    shop.plan()
    assert sum(task.job == "j1" for task, _, _ in shop.started) == 2


def test_suspect_runners_block_no_more_than_they_can_hold(shop):
    """Guards against a takeover that stops a workspace for the sake of one runner."""
    shop.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=8000)))
    entry = shop.submit("j0", step(8), workspace="shop")
    shop.take_over(1, {}, [entry.job])
    shop.unresponsive.add("r1")
    shop.clear_suspects()
    shop.submit("j1", step(4), workspace="shop")
    shop.plan()
    assert [task.job for task, _, _ in shop.started] == ["j1"] * 4


def test_runs_of_a_job_cancelled_before_a_takeover_count(shop):
    """Guards against starts beside runs that the predecessor was about to stop."""
    entry = shop.submit("j0", step(3), workspace="shop")
    shop.plan()
    shop.scheduler.lifecycle.cancel("j0", shop.now)
    records = shop.write()
    shop.take_over(1, records, [entry.job])
    shop.submit("j1", step(3), workspace="shop")
    shop.unresponsive.update(shop.runners)
    shop.add_runner("r9")
    shop.plan()
    assert shop.started == []


def test_waits_are_logged_once_with_the_part_that_is_used(shop):
    """Guards against a line for each round, and jobs whose wait nobody can explain."""
    shop.submit("j0", step(6), workspace="shop")
    for _ in range(3):
        shop.plan()
    shop.scheduler.advance(shop.now)
    waits = [values for kind, values in shop.events if kind == "waits_for_quota"]
    assert [(w["job"], w["used_percent"]) for w in waits] == [("j0", 100)]
    assert kinds(shop).count("quota_wait_began") == 1
    shop.scheduler.lifecycle.cancel("j0", shop.now)
    shop.scheduler.advance(shop.now + 3.0)
    assert kinds(shop).count("quota_wait_ended") == 1


@pytest.mark.parametrize("resource", ["memory_mb", "gpus"])
def test_each_resource_of_a_quota_holds(cell, resource):
    """Guards against a quota that restricts processors only."""
    quota = Capacity(**{resource: 2})
    cell.set_workspaces(Workspace(name="shop", quota=quota))
    for name, runner in cell.state.runners.items():
        runner.entry = attrs.evolve(
            cell.entry(name), capacity=Capacity(cpu=4000, memory_mb=99, gpus=9)
        )
    cell.submit("j0", step(4, **{resource: 1}), workspace="shop")
    cell.plan()
    assert len(cell.started) == 2


def test_stopped_run_counts_until_its_end_is_listed(shop):
    """Guards against a start beside a run that is still being stopped."""
    shop.submit("j0", step(3), workspace="shop")
    shop.plan()
    shop.scheduler.lifecycle.cancel("j0", shop.now)
    shop.submit("j1", step(3), workspace="shop")
    shop.state.outbox.clear()
    shop.plan()
    assert len(shop.started) == 3
    for runner in shop.runners.values():
        for task, number in list(runner.running):
            runner.end(task, number, EndCause.STOPPED)
    shop.read_inventories()
    shop.plan()
    assert len(shop.started) == 6


def test_step_without_a_quota_leaves_the_floor_to_others(shop):
    """Guards against work that takes the floor of its kind and cannot start."""
    shop.submit("j0", step(3, lasting=True), workspace="shop", queue="urgent")
    shop.plan()
    shop.submit("j1", step(9), workspace="other", queue="urgent")
    shop.submit("j2", step(1), workspace="shop")
    shop.submit("j3", step(1), workspace="other")
    shop.advance_time(1.5)
    task, number, runner = next(s for s in shop.started if s[0].job == "j1")
    shop.runners[runner].end(task, number)
    shop.submit("j4", step(1), workspace="other", queue="urgent")
    shop.read_inventories()
    shop.plan()
    assert shop.started[-1][0].job == "j3"


def test_occurrences_that_become_due_after_a_takeover_count(shop):
    """Guards against starts beside runs of an occurrence that a predecessor opened.

    The clock of the new dispatcher is behind, so it opens the occurrence later.
    """
    due_ms = int(shop.now * 1000)
    spec = JobSpec(
        payload="p",
        steps=(step(1),),
        occurrences=2,
        interval_ms=1000,
        first_due_ms=due_ms,
    )
    job = Job(
        id="j0",
        policy=QUEUES["batch"],
        accepted_ms=due_ms,
        spec=spec,
        workspace="shop",
    )
    shop.take_over(1, {}, [job])
    shop.unresponsive.update(shop.runners)
    shop.add_runner("r9")
    shop.submit("j1", step(3), workspace="shop")
    shop.plan()
    assert len(shop.started) == 2
    shop.now += 1.0
    shop.scheduler.lifecycle.open_due(shop.now)
    task, number, _ = shop.started[0]
    shop.runners["r9"].end(task, number)
    shop.read_inventories()
    shop.plan()
    assert len(shop.started) == 2


def test_task_above_the_quota_waits_alone_until_the_quota_rises(shop):
    """Guards against a workspace that stands still for work that it may not start."""
    shop.submit("j0", step(1, cpu=3000), workspace="shop")
    shop.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=2000)))
    for n in range(8):
        shop.submit(f"s{n}", step(2), workspace="shop")
    for _ in range(8):
        shop.advance_time(1.0)
        for runner in shop.runners.values():
            for run in list(runner.running):
                runner.end(*run)
    assert sum(task.job != "j0" for task, _, _ in shop.started) == 16
    shop.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=3000)))
    shop.advance_time(0.5)
    assert shop.started[-1][0].job == "j0"


def test_job_above_half_of_the_quota_starts_again_after_a_takeover(shop):
    """Guards against a job that waits for ever for the run that it may have itself.

    The runner of the predecessor's run never answers, and is cleared when no lease can
    last any longer.
    """
    entry = shop.submit("j0", step(1, cpu=2000), workspace="shop")
    shop.plan()
    ((_, _, lost),) = shop.started
    shop.take_over(1, {}, [entry.job])
    shop.unresponsive.add(lost)
    shop.submit("j1", step(1, cpu=2000), workspace="shop")
    shop.advance_time(6.0)
    assert shop.started == []
    shop.advance_time(1.0)
    assert len(shop.started) == 1
    (run,) = shop.started
    shop.runners[run[2]].end(run[0], run[1])
    shop.advance_time(0.5)
    assert {task.job for task, _, _ in shop.started} == {"j0", "j1"}


def test_workspaces_that_left_are_forgotten(shop):
    """Guards against memory that grows with each workspace that ever existed."""
    count = FORMER_WORKSPACES + 20
    for n in range(count):
        name = f"shop-{n}"
        shop.set_workspaces(Workspace(name=name, quota=Capacity(cpu=3000)))
        shop.submit(f"j{n}", step(2), workspace=name)
        shop.plan()
        for runner in shop.runners.values():
            for run in list(runner.running):
                runner.end(*run)
        shop.read_inventories()
    assert len(shop.started) == 2 * count
    shop.set_workspaces()
    shop.plan()
    quotas, shares = shop.state.quotas, shop.state.shares
    assert len(quotas.limits) == FORMER_WORKSPACES
    assert f"shop-{count - 1}" in quotas.limits
    for names in (quotas.in_use, quotas.runs, shares.in_use, shares.accepted_ms):
        assert not names


def test_quota_of_a_removed_workspace_outlives_changes(shop):
    """Guards against a workspace that loses its quota before its last job ends."""
    shop.submit("j0", step(6), workspace="shop")
    for n in range(FORMER_WORKSPACES + 5):
        shop.set_workspaces(Workspace(name=f"other-{n}"))
    shop.plan()
    assert len(shop.started) == 3
