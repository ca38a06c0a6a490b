"""Estimates of the clocks of runners, on which leases are granted and counted."""

import pytest

from wasabipaddle.dispatch import StartOutcome
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
    reports = cell.scheduler.reports
    if kind == "start":
        reports.start_replied(run, StartOutcome.REPLIED, reply, cell.now)
    else:
        reports.stop_replied(run.runner, run.task.id, run.number, reply, cell.now)
    assert granted_ms(cell, name) == pytest.approx(LEASE_MS, abs=TOLERANCE_MS)


def test_leases_follow_a_clock_that_stood_still(cell):
    """Guards against leases of a runner that was paused that outlast their count."""
    fake = cell.runners["r0"]
    cell.advance_time(2.0)
    fake.lag_s = 3.0
    cell.advance_time(1.0)
    assert granted_ms(cell, "r0") == pytest.approx(LEASE_MS, abs=TOLERANCE_MS)
