"""Estimates of the clocks of runners, on which leases are granted and counted."""

import attrs
import pytest

from wasabipaddle.dispatch import StartOutcome, StopTask
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import OrderReply, Refusal

LEASE_MS = 4000
# Largest difference between the estimated and the actual clock of a runner.
TOLERANCE_MS = 100


def granted_ms(cell, name):
    """Return the duration of the next lease by the clock of the runner."""
    runner = cell.state.runners[name]
    until_ms = cell.scheduler.leases.extend_by_inventory(runner, cell.now)
    return until_ms - cell.runners[name].clock_ms


@pytest.mark.parametrize("refusal", [Refusal.NONE, Refusal.OTHER_INCARNATION])
@pytest.mark.parametrize("kind", ["start", "stop"])
def test_reply_of_an_earlier_life_does_not_move_the_clock(cell, kind, refusal):
    """Guards against leases that outlast their end in the count of the dispatcher.

    The clock of a runner starts anew with each life, and the platform shortens a lease
    that ends too late to its own limit, which is longer than the lease granted.
    """
    cell.submit("j0", step(1))
    cell.plan()
    name = cell.started[0][2]
    cell.runners[name].crash()
    cell.read_inventories()
    cell.submit("j1", step(2, max_per_runner=1))
    cell.scheduler.plan(cell.now)
    orders = [o for o in cell.scheduler.take_orders() if o.run.runner.id == name]
    clock_ms = cell.runners[name].clock_ms + 400_000
    reply = OrderReply(clock_ms=clock_ms, refusal=refusal, incarnation=1)
    run = orders[0].run
    replies = cell.scheduler.replies
    if kind == "start":
        replies.start_replied(run, StartOutcome.REPLIED, reply, cell.now)
    else:
        replies.stop_replied(run.runner, run.task.id, run.number, reply, cell.now)
    assert granted_ms(cell, name) == pytest.approx(LEASE_MS, abs=TOLERANCE_MS)


def test_leases_follow_a_clock_that_stood_still(cell):
    """Guards against leases of a runner that was paused that outlast their count."""
    fake = cell.runners["r0"]
    cell.advance_time(2.0)
    fake.lag_s = 3.0
    cell.advance_time(1.0)
    assert granted_ms(cell, "r0") == pytest.approx(LEASE_MS, abs=TOLERANCE_MS)


def test_delayed_reply_does_not_set_back_the_clock(cell):
    """Guards against leases that are too short, and expire while the runner answers."""
    cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = cell.scheduler.take_orders()
    run, sent_s = order.run, cell.now
    clock_ms = cell.runners[run.runner.id].clock_ms
    cell.now += 3.0
    cell.read_inventories()
    reply = OrderReply(clock_ms=clock_ms, incarnation=1)
    cell.scheduler.replies.start_replied(
        run, StartOutcome.REPLIED, reply, cell.now, sent_s=sent_s
    )
    granted = granted_ms(cell, run.runner.id)
    assert granted == pytest.approx(LEASE_MS, abs=TOLERANCE_MS)


def test_first_lease_of_a_new_life_may_be_the_longest(cell):
    """Guards against a count that is shorter than the lease that the new life got.

    The first inventory of a new life is sent with an end on the clock of the life
    before, which the runner shortens to the limit of the platform.
    """
    limit_ms = 10_000
    cell.state.timing = attrs.evolve(cell.state.timing, lease_max_s=limit_ms / 1000)
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    name = cell.started[0][2]
    cell.runners[name].crash()
    cell.read_inventories()
    runner = cell.state.runners[name]
    left_ms = runner.lease_until_ms - cell.runners[name].clock_ms
    assert left_ms == pytest.approx(limit_ms, abs=TOLERANCE_MS)


def test_runs_that_outlive_the_count_of_their_lease_are_kept(cell):
    """Guards against a second run of a task that its runner still lists as running."""
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    name = cell.started[0][2]
    cell.now += 6.0
    cell.read_inventories(name)
    cell.scheduler.advance(cell.now + 0.2)
    cell.plan()
    assert len(cell.started) == 1


def test_life_with_a_lower_number_is_followed(cell):
    """Guards against a runner that is ignored for good after a step of its wall clock.

    A delayed inventory of the life before must not bring that life back.
    """
    fake = cell.runners["r0"]
    runner = cell.state.runners["r0"]
    fake.crash()
    cell.now += 1.0
    cell.read_inventories()
    fake.incarnation = 1
    requested_s = cell.now
    delayed = fake.inventory(0)
    process = cell.scheduler.reports.process_inventory
    process(runner, delayed, cell.now + 0.1, requested_s=requested_s)
    assert runner.incarnation == 2
    cell.now += 1.0
    cell.read_inventories()
    assert runner.incarnation == 1


@pytest.mark.parametrize("kind", ["start", "stop"])
def test_reply_to_an_order_from_before_the_new_life_is_no_proof(cell, kind):
    """Guards against replies, which name no life, that are taken for the new life's.

    The run may be one of either life, so it is stopped before its task starts again.
    """
    cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = cell.scheduler.take_orders()
    run, sent_s = order.run, cell.now
    fake = cell.runners[run.runner.id]
    cell.now += 0.5
    fake.crash()
    cell.read_inventories()
    reply = OrderReply(clock_ms=fake.clock_ms + 400_000)
    replies, after_s = cell.scheduler.replies, cell.now + 0.1
    if kind == "start":
        outcome = StartOutcome.REPLIED
        replies.start_replied(run, outcome, reply, after_s, sent_s=sent_s)
        assert [type(o) for o in cell.scheduler.take_orders()] == [StopTask]
    else:
        key = (run.task.id, run.number)
        replies.stop_replied(run.runner, *key, reply, after_s, sent_s=sent_s)
    granted = granted_ms(cell, run.runner.id)
    assert granted == pytest.approx(LEASE_MS, abs=TOLERANCE_MS)
    assert run in run.runner.runs.values()
