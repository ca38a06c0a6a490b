"""Forecast of the wait of new jobs, without a network."""

from wasabipaddle.dispatch.forecast import MAX_WAITS, SETTLING_S, find_excess_s
from wasabipaddle.dispatch.tests.conftest import BATCH, URGENT, step
from wasabipaddle.jobs import Capacity, JobSpec, Workspace
from wasabipaddle.messages.jobs import ExpectedWait


def forecast(cell):
    """Return the waits that the leader reports now, by priority."""
    found = cell.scheduler.forecaster.forecast(cell.now)
    return None if found is None else {w.priority: w for w in found.waits}


def fill(cell):
    """Occupy all runners, and let the time pass after which a forecast is made."""
    cell.submit("service", step(8, lasting=False, estimate_s=60.0), queue="urgent")
    cell.plan()
    forecast(cell)
    cell.now += SETTLING_S


def test_wait_counts_the_work_that_goes_first(cell):
    """Guards against a forecast that ignores the order or the room."""
    fill(cell)
    for i in range(8):
        cell.submit(f"j{i}", step(10, estimate_s=9.0))
    wait = forecast(cell)[2]
    assert wait.longest_s > 8 * 10 * 9.0 / 8 / 2
    assert wait.wait_s(latest_s=1000.0, work=0.0) == wait.longest_s
    assert wait.wait_s(latest_s=-1000.0, work=0.0) == 0


def test_urgent_jobs_do_not_wait_for_less_urgent_ones(cell):
    """Guards against urgent callers that are refused for a flood of batch jobs."""
    fill(cell)
    for i in range(8):
        cell.submit(f"j{i}", step(10, estimate_s=9.0))
    assert 0 not in forecast(cell)


def test_there_is_no_wait_while_there_is_room(cell):
    """Guards against refusals on a cell that is idle."""
    cell.submit("j", step(2))
    forecast(cell)
    cell.now += SETTLING_S
    cell.plan()
    assert forecast(cell) == {}


def test_there_is_no_forecast_right_after_a_takeover(make_cell):
    """Guards against refusals by a leader that does not know yet what runs."""
    cell = make_cell()
    assert forecast(cell) is None
    cell.now += SETTLING_S
    assert forecast(cell) == {}
    cell.state.suspects["r0"] = cell.now + 5.0
    assert forecast(cell) is None


def test_changes_are_logged_once(cell):
    """Guards against operators who cannot see for whom there is too little room."""
    fill(cell)
    entry = cell.submit("j", step(40, estimate_s=9.0))
    for _ in range(3):
        cell.now += 1.0
        forecast(cell)
    cell.scheduler.lifecycle.cancel(entry.id, cell.now)
    cell.now += 1.0
    forecast(cell)
    kinds = [kind for kind, _ in cell.events if kind.startswith("room_")]
    assert kinds == ["room_exceeded", "room_regained"]


def test_jobs_beyond_the_rate_of_a_workspace_delay_no_new_jobs(cell):
    """Guards against callers that are refused for the excess of another one."""
    fill(cell)
    for i in range(8):
        cell.submit(f"j{i}", step(10, estimate_s=9.0)).in_excess = True
    assert forecast(cell) == {}


def test_only_the_job_that_goes_behind_all_others_is_of_no_use(cell):
    """Guards against both errors of admission: a small job goes before the others."""
    fill(cell)
    for i in range(40):
        cell.submit(f"j{i}", step(10, estimate_s=60.0))
    waits = cell.scheduler.forecaster.forecast(cell.now).waits
    large = JobSpec(payload="p", steps=(step(11, estimate_s=60.0),))
    small = JobSpec(payload="p", steps=(step(1, estimate_s=1.0),))
    assert find_excess_s(BATCH, "", large, waits) > 0
    assert find_excess_s(BATCH, "", small, waits) <= 0
    assert find_excess_s(URGENT, "", large, waits) <= 0


def test_forecast_for_many_workspaces_is_bounded(cell):
    """Guards against hello messages that grow with the number of workspaces.

    The workspace with the shortest wait is left out, and its jobs are accepted.
    """
    names = [f"w{n}" for n in range(MAX_WAITS + 20)]
    quota = Capacity(cpu=1000)
    cell.set_workspaces(*(Workspace(name=n, weight=10.0, quota=quota) for n in names))
    fill(cell)
    for number, name in enumerate(names):
        work = step(1, estimate_s=30.0 + number)
        for i in range(10):
            cell.submit(f"{name}-{i}", work, workspace=name)
    waits = cell.scheduler.forecaster.forecast(cell.now).waits
    assert len(waits) == MAX_WAITS
    assert any(not wait.workspace for wait in waits)
    assert any(wait.workspace == names[-1] for wait in waits)
    spec = JobSpec(payload="p", steps=(step(1, estimate_s=30.0),))
    own = [wait for wait in waits if wait.workspace]
    assert find_excess_s(BATCH, names[0], spec, own, quota=quota.cpu) <= 0


def test_job_that_its_quota_makes_run_in_waves_is_not_refused_for_that():
    """Guards against refusals by an objective that leaves out the quota."""
    wait = ExpectedWait(pool="pool", priority=2, room=800_000, points=((-1.0, 60.0),))
    spec = JobSpec(payload="p", steps=(step(20, estimate_s=1.0),))
    assert find_excess_s(BATCH, "", spec, (wait,)) > 0
    assert find_excess_s(BATCH, "small", spec, (wait,), quota=1000) <= 0
