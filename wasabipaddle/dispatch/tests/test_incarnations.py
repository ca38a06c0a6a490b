"""Runners that start again under their identifier as another kind."""

import pytest

from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import OrderReply


def set_entry(cell, name, incarnation, labels):
    entry = cell.entry(name, incarnation=incarnation, labels=(*labels, "rack"))
    cell.scheduler.set_runner(entry, cell.now)


def submit_labelled(cell):
    cell.submit("j0", step(1, required_label="gpu"))
    cell.plan()


def test_runner_of_a_later_life_gets_no_work_by_its_earlier_entry(make_cell):
    """Guards against a task on a runner without the label that it requires."""
    cell = make_cell(runners=1)
    set_entry(cell, "r0", 1, ["gpu"])
    cell.runners["r0"].crash()
    cell.read_inventories()
    submit_labelled(cell)
    assert cell.started == []
    set_entry(cell, "r0", 2, ["plain"])
    cell.plan()
    assert cell.started == []
    set_entry(cell, "r0", 2, ["gpu"])
    cell.plan()
    assert len(cell.started) == 1


def test_runner_gets_no_work_before_the_life_of_its_entry_has_answered(make_cell):
    """Guards against a start that reaches an earlier life than the entry describes."""
    cell = make_cell(runners=1)
    set_entry(cell, "r0", 2, ["gpu"])
    submit_labelled(cell)
    assert cell.started == []
    cell.runners["r0"].crash()
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == 1


@pytest.mark.parametrize("incarnation", [0, 1])
def test_entry_of_the_same_or_an_unknown_life_is_used(make_cell, incarnation):
    """Guards against a runner without work whose entry names no life."""
    cell = make_cell(runners=1)
    set_entry(cell, "r0", incarnation, ["gpu"])
    submit_labelled(cell)
    assert len(cell.started) == 1


def test_runs_of_a_runner_go_on_while_its_entry_is_of_another_life(make_cell):
    """Guards against runs that are stopped because the registry lags behind."""
    cell = make_cell(runners=1)
    set_entry(cell, "r0", 1, ["gpu"])
    submit_labelled(cell)
    set_entry(cell, "r0", 2, ["gpu"])
    cell.advance_time(1.0)
    assert len(cell.runners["r0"].running) == 1


def test_run_that_the_new_life_has_begun_is_kept_beside_an_older_list(make_cell):
    """Guards against a second run of a task that runs or has ended in the new life.

    The reply to the start names no life, and overtakes an inventory from before it.
    """
    cell = make_cell(runners=1)
    cell.read_inventories()
    fake, runner = cell.runners["r0"], cell.state.runners["r0"]
    fake.crash()
    older = fake.inventory(0)
    requested_s = cell.now
    cell.submit("j0", step(1))
    cell.now += 0.1
    cell.plan()
    (task, number, _) = cell.started[0]
    process = cell.scheduler.reports.process_inventory
    process(runner, older, cell.now, requested_s=requested_s)
    cell.plan()
    assert len(cell.started) == 1
    fake.end(task, number)
    cell.now += 0.1
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == 1
    assert cell.state.jobs["j0"].phase.final


def test_runner_gets_no_work_while_a_clock_contradicts_its_life(make_cell):
    """Guards against starts that reach a later life than the inventories are of.

    A call that was meant for the life before may yet make it forget their ends.
    """
    cell = make_cell(runners=1)
    cell.submit("j0", step(1))
    cell.plan()
    runner = cell.state.runners["r0"]
    (key,) = runner.runs
    reply = OrderReply(clock_ms=runner.clock_ms - 1000)
    cell.scheduler.replies.stop_replied(runner, *key, reply, cell.now)
    cell.submit("j1", step(1))
    cell.plan()
    assert len(cell.started) == 1
    requested_s, cell.now = cell.now - 0.1, cell.now + 0.1
    inventory = cell.runners["r0"].inventory(0)
    process = cell.scheduler.reports.process_inventory
    process(runner, inventory, cell.now, requested_s=requested_s)
    cell.plan()
    assert len(cell.started) == 1
    cell.read_inventories()
    cell.plan()
    assert len(cell.started) == 2
