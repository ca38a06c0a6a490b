"""Expected starts in the answers of dry runs."""

import pytest

from wasabipaddle.dispatch.reservations import Reservation
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.dispatch.tests.dry_run_parts import ask, make_job, snapshot, submit
from wasabipaddle.jobs import Capacity, Workspace
from wasabipaddle.messages.placement import WaitReason


def test_forecast_follows_from_the_runs_that_hold_the_room(make_cell):
    """Guards against a job that is said to start at once on a full fleet."""
    cell = make_cell(runners=1)
    cell.scheduler.forecaster.forecast(cell.now)
    cell.advance_time(4.0)
    cell.submit("other", step(4, estimate_s=3.0))
    cell.advance_time(1.0)
    (answer,) = ask(cell, make_job(cell, step(estimate_s=2.0))).steps
    assert answer.waits_for is WaitReason.ROOM
    assert answer.start_s > 0
    assert answer.end_s == pytest.approx(answer.start_s + 2.0)


def test_gang_waits_for_the_runs_in_its_way_on_half_empty_runners(make_cell):
    """Guards against a gang without a forecast since each runner has some room."""
    cell = make_cell(runners=2)
    cell.scheduler.forecaster.forecast(cell.now)
    cell.advance_time(4.0)
    cell.submit("other", step(4, estimate_s=3.0, max_per_runner=2))
    cell.advance_time(1.0)
    (answer,) = ask(cell, make_job(cell, step(6, gang=True))).steps
    assert (answer.waits_for, answer.excluded) == (WaitReason.ROOM, {})
    assert answer.start_s > 0


@pytest.mark.parametrize(
    ("runners", "waiting", "queue", "workspace", "reason", "least_s", "most_s"),
    [
        (1, 40, "batch", "", WaitReason.ROOM, 5.0, 20.0),
        (2, 16, "batch", "w", WaitReason.QUOTA, 0.9, 10.0),
        (1, 8, "advised", "", WaitReason.ADVICE, 0.9, 3.0),
        (1, 0, "advised", "", WaitReason.ADVICE, 0.4, 0.5),
    ],
)
def test_start_follows_the_work_that_goes_before(
    make_cell, runners, waiting, queue, workspace, reason, least_s, most_s
):
    """Guards against a forecast from running work or the eligibility service alone."""
    cell = make_cell(runners=runners)
    cell.set_workspaces(Workspace(name="w", quota=Capacity(cpu=2000)))
    cell.scheduler.forecaster.forecast(cell.now)
    cell.advance_time(4.0)
    for number in range(waiting):
        cell.submit(f"before{number}", step(estimate_s=1.0), workspace=workspace)
    cell.plan()
    job = make_job(cell, step(estimate_s=3.0), queue=queue, workspace=workspace)
    (answer,) = ask(cell, job).steps
    assert answer.waits_for is reason
    assert least_s < answer.start_s < most_s


def test_step_that_waits_for_reserved_runners_has_no_start(make_cell):
    """Guards against a start at once on runners that are kept for other work."""
    cell = make_cell(runners=1)
    cell.scheduler.forecaster.forecast(cell.now)
    cell.advance_time(4.0)
    entry = cell.submit("gang", step(5, gang=True))
    cell.plan()
    cell.scheduler.reservations.by_pool["pool"] = Reservation(
        step=entry.steps[0, 0], runner_ids=frozenset({"r0"}), until_s=cell.now + 3.0
    )
    (answer,) = ask(cell, make_job(cell, step())).steps
    assert (answer.waits_for, answer.excluded) == (WaitReason.ROOM, {"reserved": 1})
    assert (answer.start_s, answer.end_s) == (None, None)
    assert submit(cell, make_job(cell, step())) == ({}, ())


def test_new_job_after_a_takeover_is_placed_without_a_forecast(cell):
    """Guards against a forecast from a state that the new leader does not know yet."""
    entry = cell.submit("old", step(8))
    cell.take_over(1, cell.write(), [entry.job])
    cell.read_inventories("r0")
    before = snapshot(cell.scheduler)
    job = make_job(cell, step(9))
    (answer,) = ask(cell, job).steps
    assert snapshot(cell.scheduler) == before
    assert answer.waits_for is WaitReason.ROOM
    assert list(answer.starts.items()) == list(submit(cell, job)[0].items())
