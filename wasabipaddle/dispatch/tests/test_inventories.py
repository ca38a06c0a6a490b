"""What the absence of a run in an inventory proves, and what it does not."""

from wasabipaddle.dispatch import StartOutcome, StopTask
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import OrderReply

MANY = 700


def test_runs_whose_ends_do_not_fit_in_the_list_are_kept(cell, make_cell):
    """Guards against a second run of tasks that have completed.

    A runner lists 500 ends at a time; later ones follow once these are acknowledged,
    which an outage of the store delays.
    """
    cell = make_cell(runners=1, cpu=MANY * 10)
    entry = cell.submit("j0", step(MANY, cpu=10))
    cell.plan()
    fake = cell.runners["r0"]
    for task, run in list(fake.running):
        fake.end(task, run)
    started = list(cell.started)
    for _ in range(4):
        cell.advance_time(1.0)
    assert cell.started == started
    for _ in range(3):
        cell.write()
        cell.advance_time(1.0)
    assert cell.started == started
    assert entry.phase.final


def test_run_without_progress_on_a_cut_list_is_not_given_up(make_cell):
    """Guards against a runner in quarantine because its ends wait for the store."""
    cell = make_cell(runners=1, cpu=MANY * 10)
    cell.submit("j0", step(MANY, cpu=10))
    cell.plan()
    fake = cell.runners["r0"]
    for task, run in list(fake.running):
        fake.end(task, run)
    cell.advance_time(6.0)
    assert not [kind for kind, _ in cell.events if kind == "run_given_up"]


def test_stopped_run_whose_end_does_not_fit_in_the_list_is_kept(make_cell):
    """Guards against a second run of a doubtful task that began and has completed."""
    cell = make_cell(runners=1, cpu=MANY * 10)
    cell.submit("j0", step(MANY, cpu=10))
    cell.plan()
    fake = cell.runners["r0"]
    for task, run in list(fake.running):
        fake.end(task, run)
    cell.submit("j1", step(1, cpu=10))
    cell.state.runners["r0"].cpu = 0
    cell.scheduler.plan(cell.now)
    (order,) = [o for o in cell.scheduler.take_orders() if not isinstance(o, StopTask)]
    started = list(cell.started)
    cell.execute(order, answer=False)
    fake.running[order.run.key] = ""
    fake.end(*order.run.key)
    cell.advance_time(3.0)
    assert [s for s in cell.started if s not in started] == [
        (order.run.task.id, order.run.number, "r0")
    ]


def test_start_in_progress_at_the_first_inventory_of_a_new_life_is_kept(cell):
    """Guards against a second run of a task that the new life has already begun."""
    cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = cell.scheduler.take_orders()
    run = order.run
    fake = cell.runners[run.runner.id]
    fake.crash()
    cell.read_inventories()
    cell.plan()
    assert cell.started == []
    fake.running[run.key] = ""
    reply = OrderReply(clock_ms=fake.clock_ms, incarnation=fake.incarnation)
    cell.scheduler.replies.start_replied(run, StartOutcome.REPLIED, reply, cell.now)
    cell.advance_time(2.0)
    assert cell.started == []
    assert len(run.runner.runs) == 1


def test_start_to_the_life_before_is_repeated(cell):
    """Guards against a task that waits for a start that the earlier life took."""
    cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = cell.scheduler.take_orders()
    run = order.run
    fake = cell.runners[run.runner.id]
    reply = OrderReply(clock_ms=fake.clock_ms, incarnation=fake.incarnation)
    fake.crash()
    cell.read_inventories()
    cell.scheduler.replies.start_replied(run, StartOutcome.REPLIED, reply, cell.now)
    cell.advance_time(2.0)
    assert len(cell.started) == 1


def test_run_that_ends_while_the_lists_are_read_is_kept(cell):
    """Guards against a second run of a task that is in neither list for a moment."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    task, number, name = cell.started[0]
    fake = cell.runners[name]
    fake.running.clear()
    cell.advance_time(0.5)
    assert len(cell.started) == 1
    fake.end(task, number)
    cell.advance_time(0.5)
    assert len(cell.started) == 1
    assert entry.phase.final


def test_run_that_a_runner_no_longer_knows_is_repeated(cell):
    """Guards against a task that waits for ever for a run that has vanished."""
    cell.submit("j0", step(1))
    cell.plan()
    cell.runners[cell.started[0][2]].running.clear()
    cell.advance_time(2.0)
    assert len(cell.started) == 2


def test_successor_waits_for_the_ends_that_do_not_fit_in_the_first_list(make_cell):
    """Guards against a second run of tasks whose ends the first inventory lacks.

    The wait goes on for as long as the runner answers with a list that is cut.
    """
    cell = make_cell(runners=1, cpu=MANY * 10)
    entry = cell.submit("j0", step(MANY, cpu=10))
    cell.plan()
    fake = cell.runners["r0"]
    for task, run in list(fake.running):
        fake.end(task, run)
    cell.take_over(1, {}, [entry.job])
    cell.advance_time(20.0)
    assert cell.started == []
    for _ in range(3):
        cell.write()
        cell.advance_time(1.0)
    assert cell.started == []
    assert "r0" not in cell.state.suspects
    assert cell.state.jobs["j0"].phase.final


def test_stopped_start_without_a_reply_is_gone_after_the_next_inventory(cell):
    """Guards against a task that waits for two long polls after a lost start.

    An inventory that was requested before the stop was confirmed, but is answered after
    it, counts as the first of the two that a missing run takes.
    """
    cell.submit("j0", step(1))
    cell.plan(answer=False)
    name = cell.started[0][2]
    runner, requested_s = cell.state.runners[name], cell.now
    cell.now += 0.5
    cell.plan()
    (run,) = runner.runs.values()
    assert run.uncertain
    cell.now += 0.5
    process = cell.scheduler.reports.process_inventory
    inventory = cell.runners[name].inventory(0)
    process(runner, inventory, cell.now, requested_s=requested_s)
    assert list(runner.runs.values()) == [run]
    cell.now += 0.1
    cell.read_inventories()
    assert not runner.runs
