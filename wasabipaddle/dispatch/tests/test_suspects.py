"""Suspect runners that answer a successor and are lost before all is known of them."""

import attrs
import pytest

from wasabipaddle.dispatch.tests.conftest import step

# Wait of a successor for a runner that never answers, as the fixtures set it.
SILENT_WAIT_S = 6.3
LEASE_S = 4.0
# For a clock of the runner that is 2 % slow, and for the resolution of the plays.
MARGIN_S = 0.4


@pytest.fixture
def play(make_cell):
    """Return a function that plays a loss after one answer, and the wait after it.

    The platform grants leases of up to 10 s, and this dispatcher asks for 4 s.
    """

    def play_loss(answered_s, *, unanswered_s=None):
        cell = make_cell()
        entry = cell.submit("j0", step(1, lasting=True))
        cell.plan()
        lost = cell.started[0][2]
        cell.take_over(1, {}, [entry.job])
        cell.state.timing = attrs.evolve(cell.state.timing, lease_max_s=10.0)
        took_over_s = cell.now
        cell.unresponsive.add(lost)
        cell.advance_time(answered_s)
        cell.unresponsive.clear()
        cell.read_inventories(lost)
        cell.unresponsive.add(lost)
        if unanswered_s is not None:
            cell.advance_time(unanswered_s)
            runner = cell.state.runners[lost]
            cell.scheduler.leases.extend_by_inventory(runner, cell.now)
        (row,) = [
            row
            for row in cell.scheduler.runners_to_record(cell.now, with_waits=True)
            if row.id == lost
        ]
        recorded_s = cell.now + row.wait_s - took_over_s
        while not cell.started:
            cell.advance_time(0.1, step=0.1)
        return round(cell.now - took_over_s, 3), round(recorded_s, 3)

    return play_loss


@pytest.mark.parametrize("answered_s", [0.0, 5.5])
def test_tasks_wait_for_a_suspect_runner_no_longer_than_for_its_leases(
    play, answered_s
):
    """Guards against a task that waits for the longest lease of the platform.

    Its runner is lost after its first answer, which says until when its leases last.
    """
    started_s, recorded_s = play(answered_s)
    end_s = max(SILENT_WAIT_S, answered_s + LEASE_S)
    assert end_s <= started_s <= end_s + MARGIN_S
    assert end_s <= recorded_s <= started_s


@pytest.mark.parametrize("unanswered_s", [1.0, 3.0])
def test_lease_of_a_call_without_an_answer_counts_for_a_suspect_runner(
    play, unanswered_s
):
    """Guards against a second run beside one whose lease the call has extended."""
    end_s = 5.5 + unanswered_s + LEASE_S
    started_s, recorded_s = play(5.5, unanswered_s=unanswered_s)
    assert end_s <= started_s <= end_s + MARGIN_S
    assert end_s <= recorded_s <= started_s


def test_leases_that_only_lack_a_proof_of_leadership_ask_for_one(cell):
    """Guards against a task that waits until the leader key happens to be read."""
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    leases, lost = cell.scheduler.leases, cell.started[0][2]
    cell.unresponsive.add(lost)
    expiry_s = cell.state.runners[lost].lease_expiry_s
    asked = []
    for now, proved_s in (
        (expiry_s - 0.1, expiry_s - 0.2),
        (expiry_s + 0.1, expiry_s - 0.1),
        (expiry_s + 0.2, expiry_s),
    ):
        leases.expire(now, proved_s=proved_s)
        asked.append(leases.awaits_proof)
    assert asked == [False, True, False]
    assert not cell.state.runners[lost].runs
