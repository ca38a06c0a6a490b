"""Life cycle of runs: doubtful starts, lost runners, ends, cancellations, gangs."""

import pytest

from wasabipaddle.dispatch import RunPhase, StopTask
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import JobPhase


def test_unanswered_start_is_not_repeated_before_it_is_void(cell):
    """Guards against two runs of a task when an unanswered start is executed late."""
    entry = cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = cell.scheduler.take_orders()
    cell.execute(order, answer=False)
    assert entry.steps[(0, 0)].tasks[0].runs[0].phase is RunPhase.DOUBTFUL
    cell.scheduler.plan(cell.now)
    assert not [o for o in cell.scheduler.take_orders() if not isinstance(o, StopTask)]


def test_acknowledged_stop_voids_an_unanswered_start(cell):
    """Guards against a wait for a start order that can no longer be executed."""
    cell.submit("j0", step(1))
    cell.plan(answer=False)
    cell.plan()
    cell.now += 1.5
    cell.read_inventories()
    cell.now += 0.1
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == 2


def test_unanswered_start_that_was_executed_keeps_its_reservation(cell):
    """Guards against a second run of a task when only the answer to a start was lost.

    The run is stopped, and its reservation remains until its end is reported.
    """
    cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = cell.scheduler.take_orders()
    cell.execute(order, answer=False)
    cell.scheduler.take_orders()
    cell.runners[order.run.runner.id].running[order.run.key] = ""
    cell.now += 0.2
    cell.read_inventories()
    assert order.run.phase is RunPhase.STOPPING
    assert len(order.run.runner.runs) == 1


def test_run_without_a_listed_end_is_logged_with_the_reason(cell):
    """Guards against a second run of a task whose cause the log does not show."""
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    name = cell.started[0][2]
    cell.unresponsive.add(name)
    cell.advance_time(5.0)
    events = dict(cell.events)
    assert events["run_removed"]["reason"] == "lease_expired"
    assert events["run_removed"]["runner"] == name
    assert events["run_removed"]["lease_left_ms"] < 0
    assert events["leases_expired"]["inventory_age_ms"] >= 4000


def test_tasks_of_an_unresponsive_runner_restart_after_its_leases_expire(cell):
    """Guards against a restart while an unresponsive runner may still run the task.

    Also guards against tasks that wait for such a runner for ever.
    """
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    name = cell.started[0][2]
    cell.unresponsive.add(name)
    cell.advance_time(4.0)
    assert len(cell.started) == 1
    cell.advance_time(1.0)
    assert len(cell.started) == 2
    assert cell.started[1][2] != name


def test_restart_of_a_runner_removes_its_runs(cell):
    """Guards against runs that are kept although their runner has crashed."""
    cell.submit("j0", step(1))
    cell.plan()
    cell.read_inventories()
    name = cell.started[0][2]
    cell.runners[name].crash()
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == 2
    assert sum(len(r.runs) for r in cell.state.runners.values()) == 1


def test_restart_of_a_runner_removes_runs_that_neither_life_lists(cell):
    """Guards against the same if the earlier life has not listed its runs."""
    cell.submit("j0", step(1))
    cell.plan()
    name = cell.started[0][2]
    cell.runners[name].crash()
    for _ in range(2):
        assert len(cell.started) == 1
        cell.now += 0.1
        cell.read_inventories()
        cell.plan()
    assert len(cell.started) == 2
    assert sum(len(r.runs) for r in cell.state.runners.values()) == 1


def test_tasks_of_a_departed_runner_restart_after_its_leases_expire(cell):
    """Guards against a second run beside a draining runner behind a cut that refuses.

    Its registry entry expires behind the cut as after an exit. Also guards against a
    task that waits for longer than the lease.
    """
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    name = cell.started[0][2]
    cell.scheduler.set_runner(cell.entry(name, draining=True), cell.now)
    cell.scheduler.mark_unlisted(name)
    cell.unresponsive.add(name)
    cell.advance_time(4.0)
    assert len(cell.started) == 1
    cell.advance_time(1.0)
    assert len(cell.started) == 2


def test_unlisted_runner_that_does_not_answer_keeps_its_runs(cell):
    """Guards against a second run of a task whose first run continues.

    A runner may still run its tasks, even if the registry no longer lists it and it
    refuses connections.
    """
    cell.submit("j0", step(1))
    cell.plan()
    runner = cell.state.runners[cell.started[0][2]]
    cell.scheduler.mark_unlisted(runner.id)
    cell.unresponsive.add(runner.id)
    cell.read_inventories()
    cell.scheduler.advance(cell.now)
    assert len(runner.runs) == 1


def test_ends_are_acknowledged_only_once_they_are_durable(cell):
    """Guards against a runner that forgets a completion before the store has it."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[run.runner.id].end(*run.key)
    cell.read_inventories()
    assert run.runner.acknowledged == 0
    assert entry.visible_phase is not JobPhase.COMPLETED
    cell.write()
    assert run.runner.acknowledged == 1
    assert entry.visible_phase is JobPhase.COMPLETED


def test_ends_stay_unacknowledged_after_a_failed_write(cell):
    """Guards against acknowledgements by a write that did not include the job."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[run.runner.id].end(*run.key)
    cell.read_inventories()
    cell.state.take_dirty()
    cell.scheduler.reports.record_write([], 0)
    assert run.runner.acknowledged == 0
    cell.state.mark_dirty(entry)
    cell.write()
    assert run.runner.acknowledged == 1


def test_later_step_waits_for_all_tasks_of_the_earlier_one(cell):
    """Guards against a start before the steps in `after` have completed."""
    entry = cell.submit("j0", step(2), step(1, after=(0,)))
    cell.plan()
    tasks = entry.steps[(0, 0)].tasks
    for position, task in enumerate(tasks):
        run = task.runs[0]
        cell.runners[run.runner.id].end(*run.key)
        cell.now += 0.1
        cell.read_inventories()
        cell.plan()
        assert len(cell.started) == 2 + (position == 1)


def test_cancelled_job_is_stopped_and_starts_nothing(cell):
    """Guards against tasks that start or continue after a cancellation."""
    entry = cell.submit("j0", step(2), step(2, after=(0,)))
    cell.plan()
    cell.scheduler.lifecycle.cancel("j0", cell.now)
    cell.plan()
    cell.now += 0.1
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == 2
    assert not any(r.runs for r in cell.state.runners.values())
    assert entry.phase is JobPhase.CANCELLED


def test_job_fails_after_the_attempts_of_its_queue(cell):
    """Guards against more or fewer attempts than `max_attempts` of the queue."""
    entry = cell.submit("j0", step(1), queue="urgent")
    for attempt in range(2):
        cell.plan()
        run = entry.steps[(0, 0)].tasks[0].runs[0]
        cell.runners[run.runner.id].end(*run.key, EndCause.FAILED)
        cell.now += 0.1
        cell.read_inventories()
        assert (entry.phase is JobPhase.FAILED) == (attempt == 1)
    cell.plan()
    assert len(cell.started) == 2


def test_gang_members_share_a_run_and_start_together(make_cell):
    """Guards against members of a gang that start before all of them fit."""
    cell = make_cell(runners=2, cpu=2000)
    blocker = cell.submit("j0", step(1))
    cell.plan()
    entry = cell.submit("j1", step(4, gang=True))
    cell.plan()
    assert len(cell.started) == 1
    run = blocker.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[run.runner.id].end(*run.key)
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == 5
    assert len({number for task, number, _ in cell.started if task.job == "j1"}) == 1
    member = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[member.runner.id].end(*member.key)
    cell.read_inventories()
    assert entry.phase is JobPhase.COMPLETED


def test_broken_gang_starts_again_as_a_whole(make_cell):
    """Guards against a restart of only the failed member of a gang."""
    cell = make_cell(runners=2, cpu=2000)
    entry = cell.submit("j0", step(4, gang=True))
    cell.plan()
    member = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[member.runner.id].end(*member.key, EndCause.FAILED)
    cell.read_inventories()
    cell.plan()
    cell.now += 0.1
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == 8
    assert len({number for _, number, _ in cell.started}) == 2


def test_undelivered_inventory_keeps_the_lease_of_a_start(cell):
    """Guards against a second run of a task while the first run still has its lease.

    A start that is sent while an inventory fails to connect grants a lease of its own.
    """
    runner = cell.state.runners["r0"]
    before_ms = runner.inventory_lease_until_ms
    cell.now += 2.0
    extended_ms = cell.scheduler.leases.extend_by_inventory(runner, cell.now)
    cell.now += 0.3
    started_ms = cell.scheduler.leases.extend_by_start(runner, cell.now)
    cell.scheduler.leases.revert_inventory(runner, before_ms)
    assert runner.inventory_lease_until_ms == before_ms < extended_ms
    assert runner.lease_until_ms == started_ms


def test_representation_of_a_run_does_not_contain_the_cell(make_cell):
    """Guards against an error report that takes all memory of the process."""
    cell = make_cell(runners=20)
    for n in range(20):
        cell.submit(f"j{n}", step(8), queue="batch")
    cell.plan()
    runner = cell.state.runners["r0"]
    run = next(iter(runner.runs.values()))
    for item in (run, run.task, run.task.step, runner):
        assert len(repr(item)) < 10_000


@pytest.mark.parametrize("gang", [False, True])
def test_work_done_counts_all_members_of_a_gang(cell, gang):
    """Guards against jobs with a completed gang that come later than others."""
    entry = cell.submit("j0", step(3, gang=gang), step(1, after=(0,)))
    cell.plan()
    cell.now += 1.0
    for task, number, runner in list(cell.started):
        cell.runners[runner].end(task, number)
    cell.read_inventories()
    assert entry.work_done == pytest.approx(3 * 1000 * 1.0)


def test_task_that_has_run_goes_before_first_starts_of_its_step(make_cell):
    """Guards against a task that lasts and waits behind all new tasks of its step."""
    cell = make_cell(runners=3, cpu=1000)
    cell.submit("service", step(8, lasting=True))
    cell.plan()
    assert [task.index for task, _, _ in cell.started] == [0, 1, 2]
    failed, run, host = cell.started[1]
    cell.runners[host].end(failed, run, EndCause.FAILED)
    cell.read_inventories()
    cell.plan()
    assert cell.started[-1][0] == failed
