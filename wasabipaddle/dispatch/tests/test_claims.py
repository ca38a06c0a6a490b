"""Gangs and large tasks that wait for a quota beside small work of their workspace."""

import pytest

from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.jobs import Capacity, Workspace

SMALL_RUN_S = 2.0
PERIOD_S = 0.25


@pytest.fixture
def shop(make_cell):
    """Return a cell of 16 cores whose workspace `shop` has a quota of four."""
    cell = make_cell(runners=4)
    cell.set_workspaces(
        Workspace(name="shop", weight=100.0, quota=Capacity(cpu=4000)),
        Workspace(name="other", weight=100.0),
    )
    for n in range(4):
        submit_small(cell, f"first-{n}")
        cell.plan()
        cell.now += SMALL_RUN_S / 4
    return cell


def submit_small(cell, name, *, queue="batch"):
    cell.submit(f"small-{name}", step(1), workspace="shop", queue=queue)


def end_tasks(cell):
    """End the tasks that have run for their time."""
    for runner in cell.state.runners.values():
        fake = cell.runners[runner.id]
        for run in list(runner.runs.values()):
            over = cell.now - run.started_s >= SMALL_RUN_S
            if over and run.key in fake.running and not run.task.spec.lasting:
                fake.end(*run.key)


def flood(cell, seconds, *, queue="batch"):
    """Let time pass in which the workspace has more small jobs than room."""
    until_s = cell.now + seconds
    while cell.now < until_s:
        submit_small(cell, f"{cell.now}-a", queue=queue)
        submit_small(cell, f"{cell.now}-b", queue=queue)
        pass_time(cell, PERIOD_S)


def pass_time(cell, seconds):
    """Let time pass without new jobs."""
    until_s = cell.now + seconds
    while cell.now < until_s:
        end_tasks(cell)
        cell.advance_time(PERIOD_S, step=PERIOD_S)


def fill_runner(cell, name):
    """Add a runner that lasting work of another workspace fills."""
    cell.add_runner(name)
    lasting = step(4, lasting=True, required_label=f"rack-{name}")
    cell.submit(f"full-{name}", lasting, workspace="other")
    cell.plan()
    assert len(cell.runners[name].running) == 4


def count_started(cell, prefix):
    return sum(task.job.startswith(prefix) for task, _, _ in cell.started)


def events(cell, kind):
    return [values for name, values in cell.events if name == kind]


@pytest.mark.parametrize(
    "waiting",
    [step(3, gang=True), step(1, cpu=3000)],
    ids=["gang", "large-task"],
)
def test_work_that_needs_much_of_its_quota_starts_beside_small_work(shop, waiting):
    """Guards against a gang that small work of its own workspace starves."""
    shop.submit("wide", waiting, workspace="shop")
    flood(shop, 12.0)
    assert count_started(shop, "wide") == waiting.count
    assert not shop.state.quotas.claims.by_workspace


def test_work_of_no_use_any_more_starts_beside_small_work(shop):
    """Guards against accepted gangs that start late and thus never."""
    entry = shop.submit("wide", step(3, gang=True), workspace="shop")
    entry.due_s -= 600.0
    flood(shop, 12.0)
    assert count_started(shop, "wide") == 3


def test_other_workspaces_notice_no_claim(shop):
    """Guards against a claim on a quota that idles room of the cell."""
    shop.submit("wide", step(3, gang=True), workspace="shop")
    flood(shop, 6.0)
    assert shop.state.quotas.claims.by_workspace
    shop.submit("j0", step(12), workspace="other")
    shop.plan()
    assert count_started(shop, "j0") == 12


def test_more_urgent_work_of_the_workspace_passes_a_claim(shop):
    """Guards against urgent jobs that wait behind a less urgent gang."""
    shop.submit("wide", step(3, gang=True), workspace="shop")
    flood(shop, 6.0)
    assert shop.state.quotas.claims.by_workspace
    flood(shop, 1.0, queue="urgent")
    urgent = [
        task.job
        for task, _, _ in shop.started
        if shop.state.jobs[task.job].queue.name == "urgent"
    ]
    assert urgent


def test_room_that_the_gang_leaves_is_used(shop):
    """Guards against a claim on more than the work needs."""
    fill_runner(shop, "r9")
    gang = step(2, gang=True, required_label="rack-r9")
    shop.submit("wide", gang, workspace="shop")
    flood(shop, 9.0)
    (claim,) = shop.state.quotas.claims.by_workspace.values()
    assert claim.has_fitted
    before = count_started(shop, "small")
    flood(shop, 4.0)
    assert claim in shop.state.quotas.claims.by_workspace.values()
    # Two of four cores, for two tasks one after the other, less one that began before.
    assert 2 <= count_started(shop, "small") - before <= 4


def test_gang_that_does_not_fit_the_cell_ends_its_claims(shop):
    """Guards against a workspace that stands still for work that cannot start."""
    shop.submit("wide", step(4, gang=True, max_per_runner=1), workspace="shop")
    shop.submit("full", step(1, cpu=4000, lasting=True), workspace="other")
    shop.submit("gang", step(3, gang=True), workspace="shop")
    shop.plan()
    flood(shop, 60.0)
    ended = [values["reason"] for values in events(shop, "quota_claim_ended")]
    assert "expired" in ended
    assert count_started(shop, "gang") == 3
    # Half of what four cores can start.
    assert count_started(shop, "small") >= 60.0 * 4 / SMALL_RUN_S / 2


def test_claim_that_lasting_work_makes_useless_is_not_made(shop):
    """Guards against a quota that stands idle beside work that never ends."""
    shop.submit("lasts", step(2, lasting=True), workspace="shop")
    flood(shop, 5.0)
    shop.submit("wide", step(3, gang=True), workspace="shop")
    before = count_started(shop, "small")
    flood(shop, 12.0)
    assert not events(shop, "quota_claimed")
    assert count_started(shop, "small") - before >= 10


def test_lower_quota_ends_a_claim(shop):
    """Guards against small work that waits for a gang beyond the quota."""
    shop.submit("wide", step(3, gang=True), workspace="shop")
    flood(shop, 6.0)
    assert shop.state.quotas.claims.by_workspace
    shop.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=2000)))
    before = count_started(shop, "small")
    flood(shop, 4.0)
    assert not shop.state.quotas.claims.by_workspace
    assert count_started(shop, "small") > before


def test_gang_starts_beside_an_older_one_that_lasting_work_keeps_out(shop):
    """Guards against a step that can never fit and takes the turns of the others."""
    shop.submit("lasts", step(1, lasting=True), workspace="shop")
    flood(shop, 5.0)
    shop.submit("never", step(4, gang=True), workspace="shop")
    shop.plan()
    shop.now += PERIOD_S
    shop.submit("wide", step(3, gang=True), workspace="shop")
    flood(shop, 25.0)
    assert count_started(shop, "wide") == 3


def test_gang_starts_beside_an_older_one_above_a_lowered_quota(shop):
    """Guards against a step that can never fit and takes the turns of the others."""
    quota = Capacity(cpu=8000)
    shop.set_workspaces(Workspace(name="shop", weight=100.0, quota=quota))
    flood(shop, 5.0)
    shop.submit("over", step(6, gang=True), workspace="shop")
    shop.plan()
    quota = Capacity(cpu=4000)
    shop.set_workspaces(Workspace(name="shop", weight=100.0, quota=quota))
    shop.now += PERIOD_S
    shop.submit("wide", step(3, gang=True), workspace="shop")
    flood(shop, 25.0)
    assert count_started(shop, "wide") == 3


@pytest.mark.parametrize(
    "limits",
    [{"required_label": "no-runner"}, {"max_per_runner": 1, "required_label": "kind"}],
    ids=["label", "runners"],
)
def test_gangs_that_no_runners_can_hold_get_no_claim(shop, limits):
    """Guards against half of a quota that idles for work without runners."""
    quota = Capacity(cpu=6000)
    shop.set_workspaces(Workspace(name="shop", weight=100.0, quota=quota))
    for n in range(5):
        gang = step(5, gang=True, **limits)
        shop.submit(f"wide-{n}", gang, workspace="shop")
    flood(shop, 15.0)
    assert not events(shop, "quota_claimed")


def test_claims_of_no_use_become_rare(shop):
    """Guards against many gangs without room that take turns to idle their quota."""
    fill_runner(shop, "r9")
    for n in range(20):
        gang = step(4, gang=True, required_label="rack-r9")
        shop.submit(f"wide-{n}", gang, workspace="shop")
    # The first claims may come in quick succession.
    shop.submit("small", step(1000), workspace="shop")
    pass_time(shop, 150.0)
    before = count_started(shop, "small")
    pass_time(shop, 150.0)
    # Three quarters of what four cores can start.
    assert count_started(shop, "small") - before >= 150.0 * 4 / SMALL_RUN_S * 3 / 4
