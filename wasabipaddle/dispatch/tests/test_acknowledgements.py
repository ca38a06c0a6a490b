"""Acknowledgements of ended runs, and calls to an earlier life of a runner."""

import pytest

from wasabipaddle.dispatch.orders import LATE_CALL_S
from wasabipaddle.dispatch.tests.conftest import step


@pytest.fixture
def ended(make_cell):
    """Return a cell whose only runner has listed an end that is durable."""
    cell = make_cell(runners=1)
    cell.submit("j0", step(1))
    cell.plan()
    (key,) = cell.state.runners["r0"].runs
    cell.runners["r0"].end(*key)
    cell.read_inventories()
    cell.write()
    return cell


def select(cell):
    return cell.scheduler.acknowledgements.select(cell.state.runners["r0"])


def answer(cell, acknowledged, *, epoch=0):
    """Have the runner answer a call that acknowledges ends."""
    inventory = cell.runners["r0"].inventory(acknowledged)
    cell.scheduler.reports.process_inventory(
        cell.state.runners["r0"],
        inventory,
        cell.now,
        acknowledged=acknowledged,
        epoch=epoch,
    )


def test_end_is_acknowledged_until_a_call_is_answered(ended):
    """Guards against acknowledgements that go on, to whatever life answers them."""
    assert [select(ended), select(ended)] == [1, 1]
    answer(ended, 1)
    assert select(ended) == 0


def test_end_that_is_listed_again_is_acknowledged_again(ended):
    """Guards against ends that a runner lists for good."""
    answer(ended, 0)
    runner = ended.state.runners["r0"]
    runner.forgotten_end = 1
    answer(ended, 0)
    assert select(ended) == 1


def test_no_end_is_acknowledged_beside_a_start_without_a_reply(ended):
    """Guards against a call that makes a new life forget the end of that start."""
    ended.submit("j1", step(1))
    ended.scheduler.plan(ended.now)
    assert select(ended) == 0
    for order in ended.scheduler.take_orders():
        ended.execute(order)
    assert select(ended) == 1


def restart(cell, acknowledged):
    """Restart the runner after a call that got no answer."""
    runner, fake = cell.state.runners["r0"], cell.runners["r0"]
    cell.scheduler.acknowledgements.record_unanswered(
        runner, acknowledged, sent_s=cell.now
    )
    fake.crash()
    cell.now += 0.5
    cell.read_inventories()
    return runner


@pytest.mark.parametrize("acknowledged, seconds", [(1, LATE_CALL_S), (0, 0.0)])
def test_new_life_gets_no_work_while_a_call_may_make_it_forget_ends(
    ended, acknowledged, seconds
):
    """Guards against ends that nobody sees, and against a runner without work."""
    sent_s = ended.now
    restart(ended, acknowledged)
    ended.submit("j1", step(1))
    while not len(ended.started) > 1:
        ended.plan()
        ended.now += 0.5
        assert ended.now < sent_s + LATE_CALL_S + 2.0
        ended.read_inventories()
    assert ended.now - sent_s == pytest.approx(seconds, abs=1.1)


def test_lease_that_a_late_call_grants_to_a_new_life_counts(ended):
    """Guards against a second run beside one that such a lease keeps running."""
    runner = restart(ended, 0)
    lease_max_s = ended.state.timing.lease_max_s
    left_s = runner.lease_left_ms(ended.now) / 1000
    assert left_s == pytest.approx(LATE_CALL_S - 0.5 + lease_max_s, abs=0.1)


def test_late_calls_count_until_the_new_life_answers_one_of_a_higher_epoch(ended):
    """Guards against a runner without work, and against leases that last too long.

    The leader has the epoch 7, and a write of it the revision 9.
    """
    acknowledgements = ended.scheduler.acknowledgements
    runner = ended.state.runners["r0"]
    acknowledgements.choose_epoch(runner, 7)
    restart(ended, 1)
    assert acknowledgements.awaits_revision()
    answer(ended, 0, epoch=acknowledgements.choose_epoch(runner, 7))
    assert not runner.usable(ended.now)
    ended.state.note_write(9)
    assert not acknowledgements.awaits_revision()
    answer(ended, 0, epoch=7)
    assert not runner.usable(ended.now)
    epoch = acknowledgements.choose_epoch(runner, 7)
    answer(ended, 0, epoch=epoch)
    assert epoch == 9 and runner.usable(ended.now)
    assert runner.lease_left_ms(ended.now) <= ended.state.timing.lease_max_s * 1000
    restart(ended, 1)
    answer(ended, 0, epoch=acknowledgements.choose_epoch(runner, 7))
    assert not runner.usable(ended.now), "a call of the epoch 9 may be late"


def test_start_that_a_runner_refuses_by_its_epoch_holds_its_task_no_longer(make_cell):
    """Guards against a task that waits until a start without a reply is void.

    One inventory of a higher epoch does not show that the run has not begun and ended.
    """
    cell = make_cell(runners=1)
    cell.submit("j0", step(1))
    cell.plan(answer=False)
    (run,) = cell.state.runners["r0"].runs.values()
    run.start_epoch = 7
    left = []
    for epoch in (7, 7, 9, 9):
        cell.now += 0.1
        answer(cell, 0, epoch=epoch)
        left.append(run.key in run.runner.runs)
    assert left == [True, True, True, False]
