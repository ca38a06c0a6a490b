"""Life of runs: doubtful starts, silence, new lives, ends, cancellations."""

from wasabipaddle.dispatch import RunPhase, StopTask
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import JobPhase


def test_unanswered_start_is_not_repeated_before_it_is_void(cell):
    """Guards against two runs of one task after a start that is carried out late."""
    entry = cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = cell.scheduler.take_orders()
    cell.carry_out(order, answer=False)
    assert entry.steps[(0, 0)].tasks[0].runs[0].phase is RunPhase.DOUBTFUL
    cell.scheduler.plan(cell.now)
    assert not [o for o in cell.scheduler.take_orders() if not isinstance(o, StopTask)]


def test_acknowledged_stop_voids_an_unanswered_start(cell):
    """Guards against a wait for the end of an order that can never be carried out."""
    cell.submit("j0", step(1))
    cell.plan(answer=False)
    cell.plan()
    cell.now += 1.5
    cell.look()
    cell.plan()
    assert len(cell.started) == 2


def test_unanswered_start_that_was_executed_keeps_its_reservation(cell):
    """Guards against a second run of a task whose first start lost its answer."""
    cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = cell.scheduler.take_orders()
    cell.carry_out(order, answer=False)
    cell.scheduler.take_orders()
    cell.runners[order.run.runner.id].running[order.run.key] = ""
    cell.now += 0.2
    cell.look()
    assert order.run.phase is RunPhase.STOPPING
    assert len(order.run.runner.runs) == 1


def test_tasks_of_an_unresponsive_runner_restart_after_its_leases_expire(cell):
    """Guards against retries that extend the leases of a silent runner for ever."""
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    name = cell.started[0][2]
    cell.silent.add(name)
    cell.pass_time(4.0)
    assert len(cell.started) == 1
    cell.pass_time(1.0)
    assert len(cell.started) == 2
    assert cell.started[1][2] != name


def test_restart_of_a_runner_removes_its_runs(cell):
    """Guards against runs that are believed to exist after a crash."""
    cell.submit("j0", step(1))
    cell.plan()
    name = cell.started[0][2]
    cell.runners[name].crash()
    cell.look()
    cell.plan()
    assert len(cell.started) == 2
    assert sum(len(r.runs) for r in cell.state.runners.values()) == 1


def test_tasks_of_a_departed_runner_restart_at_once(cell):
    """Guards against lasting tasks that stay away after a planned departure."""
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    name = cell.started[0][2]
    cell.scheduler.set_runner(cell.entry(name, draining=True), cell.now)
    cell.scheduler.drop_runner(name)
    cell.scheduler.runner_refused(cell.state.runners[name], cell.now)
    cell.plan()
    assert len(cell.started) == 2


def test_refused_connection_alone_removes_no_run(cell):
    """Guards against a second run behind a partition that refuses connections."""
    cell.submit("j0", step(1))
    cell.plan()
    runner = cell.state.runners[cell.started[0][2]]
    cell.scheduler.drop_runner(runner.id)
    cell.scheduler.runner_refused(runner, cell.now)
    assert len(runner.runs) == 1


def test_ends_are_acknowledged_only_once_they_are_durable(cell):
    """Guards against a completion that is forgotten before the store has it."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[run.runner.id].end(*run.key)
    cell.look()
    assert run.runner.acknowledged == 0
    assert entry.shown_phase is not JobPhase.COMPLETED
    cell.write()
    assert run.runner.acknowledged == 1
    assert entry.shown_phase is JobPhase.COMPLETED


def test_ends_stay_unacknowledged_after_a_failed_write(cell):
    """Guards against an acknowledgement by a write that left the job out."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[run.runner.id].end(*run.key)
    cell.look()
    cell.state.take_dirty()
    cell.scheduler.reports.written([], 0)
    assert run.runner.acknowledged == 0
    cell.state.mark_dirty(entry)
    cell.write()
    assert run.runner.acknowledged == 1


def test_later_step_waits_for_all_tasks_of_the_earlier_one(cell):
    """Guards against a start before the tasks in `after` have completed."""
    entry = cell.submit("j0", step(2), step(1, after=(0,)))
    cell.plan()
    tasks = entry.steps[(0, 0)].tasks
    for position, task in enumerate(tasks):
        run = task.runs[0]
        cell.runners[run.runner.id].end(*run.key)
        cell.now += 0.1
        cell.look()
        cell.plan()
        assert len(cell.started) == 2 + (position == 1)


def test_cancelled_job_is_stopped_and_starts_nothing(cell):
    """Guards against tasks that start or run on after a cancellation."""
    entry = cell.submit("j0", step(2), step(2, after=(0,)))
    cell.plan()
    cell.scheduler.lifecycle.cancel("j0", cell.now)
    cell.plan()
    cell.now += 0.1
    cell.look()
    cell.plan()
    assert len(cell.started) == 2
    assert not any(r.runs for r in cell.state.runners.values())
    assert entry.phase is JobPhase.CANCELLED


def test_job_fails_after_the_attempts_of_its_queue(cell):
    """Guards against more starts than a queue admits, and against fewer."""
    entry = cell.submit("j0", step(1), queue="urgent")
    for attempt in range(2):
        cell.plan()
        run = entry.steps[(0, 0)].tasks[0].runs[0]
        cell.runners[run.runner.id].end(*run.key, EndCause.FAILED)
        cell.now += 0.1
        cell.look()
        assert (entry.phase is JobPhase.FAILED) == (attempt == 1)
    cell.plan()
    assert len(cell.started) == 2


def test_gang_members_share_a_run_and_start_together(make_cell):
    """Guards against a gang that waits on a runner for members without room."""
    cell = make_cell(runners=2, cpu=2000)
    blocker = cell.submit("j0", step(1))
    cell.plan()
    entry = cell.submit("j1", step(4, gang=True))
    cell.plan()
    assert len(cell.started) == 1
    run = blocker.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[run.runner.id].end(*run.key)
    cell.look()
    cell.plan()
    assert len(cell.started) == 5
    assert len({number for task, number, _ in cell.started if task.job == "j1"}) == 1
    member = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[member.runner.id].end(*member.key)
    cell.look()
    assert entry.phase is JobPhase.COMPLETED


def test_broken_gang_starts_again_as_a_whole(make_cell):
    """Guards against a gang that restarts a single member."""
    cell = make_cell(runners=2, cpu=2000)
    entry = cell.submit("j0", step(4, gang=True))
    cell.plan()
    member = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[member.runner.id].end(*member.key, EndCause.FAILED)
    cell.look()
    cell.plan()
    cell.now += 0.1
    cell.look()
    cell.plan()
    assert len(cell.started) == 8
    assert len({number for _, number, _ in cell.started}) == 2


def test_undelivered_inventory_keeps_the_lease_of_a_start(cell):
    """Guards against a second run of a task while the first one still has its lease.

    A start that is sent while an inventory fails to connect gives a lease of its own.
    """
    runner = cell.state.runners["r0"]
    before_ms = runner.hold_until_ms
    cell.now += 2.0
    held_ms = cell.scheduler.lease_deadline_ms(runner, cell.now)
    cell.now += 0.3
    started_ms = cell.scheduler.start_deadline_ms(runner, cell.now)
    cell.scheduler.hold_not_delivered(runner, before_ms)
    assert runner.hold_until_ms == before_ms < held_ms
    assert runner.lease_until_ms == started_ms
