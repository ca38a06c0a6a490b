"""Whether requests for advice and placement agree on which runners are usable."""

import pytest

from wasabipaddle.dispatch.drains import Obstacle
from wasabipaddle.dispatch.naming import (
    MAX_RUNNERS_PER_REQUEST,
    MIN_RUNNERS_PER_REQUEST,
)
from wasabipaddle.dispatch.reservations import Reservation
from wasabipaddle.dispatch.tests.advice_play import NEEDS, AdvicePlay
from wasabipaddle.dispatch.tests.conftest import step

# Time after its last run within which a task that lasts has to run again.
RESTART_LIMIT_S = 6.0
SEEDS = range(6)
SCARCE = sorted(NEEDS)


@pytest.mark.parametrize(("size", "roomy"), [(60, 12), (176, 90)])
@pytest.mark.parametrize("scarce", SCARCE)
def test_task_restarts_on_an_eligible_runner_with_room(scarce, size, roomy):
    """Guards against tickets that are renewed for runners without room only."""
    for seed in SEEDS:
        play = AdvicePlay(size=size, roomy=roomy, scarce=scarce, seed=seed)
        play.submit(8)
        play.play(8.0)
        play.submit_others()
        play.play(4.0)
        play.fail_a_task()
        assert play.measure_wait_s(RESTART_LIMIT_S) is not None


@pytest.mark.parametrize(("size", "roomy"), [(60, 12), (176, 40)])
@pytest.mark.parametrize("scarce", SCARCE)
def test_failed_task_runs_again_after_the_others_of_its_step(scarce, size, roomy):
    """Guards against jobs that never end as their last task finds no runner."""
    for seed in SEEDS:
        play = AdvicePlay(
            size=size, roomy=roomy, scarce=scarce, seed=seed, lasting=False
        )
        play.submit(14)
        play.play(8.0)
        play.submit_others()
        play.play(2.0)
        play.end_all_but_one()
        play.fail_a_task()
        assert play.measure_wait_s(RESTART_LIMIT_S) is not None


@pytest.mark.parametrize(("size", "roomy"), [(60, 12), (176, 40), (176, 90)])
@pytest.mark.parametrize("scarce", SCARCE)
def test_first_request_asks_about_runners_with_room(scarce, size, roomy):
    """Guards against requests that go through the runners without room first."""
    for seed in SEEDS:
        play = AdvicePlay(size=size, roomy=roomy, scarce=scarce, seed=seed)
        play.submit_others()
        play.submit(1)
        assert play.measure_wait_s(RESTART_LIMIT_S) is not None


def test_task_restarts_while_the_known_runners_are_reserved_for_a_gang():
    """Guards against steps that ask about no other runners during a reservation."""
    play = AdvicePlay(size=30, roomy=30, scarce="memory", seed=0)
    play.submit(4)
    play.play(4.0)
    cell, (task, _, _) = play.cell, play.cell.started[0]
    svc = cell.state.jobs[task.job].steps[(0, 0)]
    gang = cell.submit("gang", step(30, cpu=4000, gang=True)).steps[(0, 0)]
    cell.scheduler.reservations.by_pool["pool"] = Reservation(
        step=gang,
        runner_ids=frozenset(svc.eligibility.tickets),
        until_s=cell.now + 2 * RESTART_LIMIT_S,
    )
    play.fail_a_task()
    assert play.measure_wait_s(RESTART_LIMIT_S) is not None


@pytest.mark.parametrize("scarce", SCARCE)
def test_steps_that_ask_at_the_same_time_name_different_runners_with_room(scarce):
    """Guards against answers for places that the first of the steps takes."""
    play = AdvicePlay(size=60, roomy=45, scarce=scarce, seed=0)
    play.submit_others()
    spec = step(4, **{**play.needs, "cpu": 100})
    for i in range(3):
        play.cell.submit(f"j{i}", spec, queue="advised")
    requests, _ = play.cell.plan()
    named = [runner.id for request in requests for runner in request.runners]
    assert len(requests) == 3
    assert set(named) <= set(play.roomy)
    assert len(named) == len(set(named))


def test_gang_starts_on_more_runners_than_one_request_names():
    """Guards against renewals that name the same part of a gang's runners each time."""
    size = MAX_RUNNERS_PER_REQUEST + 1
    play = AdvicePlay(size=size, roomy=size, scarce="memory", seed=0)
    play.eligible = set(play.roomy)
    for name in play.roomy:
        play.submit_on(name, f"other-{name}", cpu=3500)
    play.cell.plan()
    play.cell.submit("svc", step(size, gang=True, cpu=4000), queue="advised")
    play.play(6.0)
    for runner in play.cell.runners.values():
        runner.end(*next(iter(runner.running)))
    assert play.measure_wait_s(RESTART_LIMIT_S) is not None


def test_drain_leaves_a_lasting_task_whose_only_other_room_is_reserved(make_cell):
    """Guards against stops of tasks that no other runner may take."""
    cell = make_cell()
    cell.submit("svc", step(1, lasting=True))
    cell.plan()
    ((_, _, host),) = cell.started
    (other,) = set(cell.runners) - {host}
    gang = cell.submit("gang", step(2, cpu=4000, gang=True)).steps[(0, 0)]
    cell.scheduler.reservations.by_pool["pool"] = Reservation(
        step=gang, runner_ids=frozenset({other}), until_s=cell.now + RESTART_LIMIT_S
    )
    drains, runner = cell.scheduler.maintenance.drains, cell.state.runners[host]
    assert drains.find_obstacle(runner, cell.now, pressed=False) is Obstacle.ROOM


def test_task_finds_the_few_eligible_runners_among_many_with_room():
    """Guards against steps that ask about few runners at a time, by a learned share."""
    play = AdvicePlay(size=176, roomy=176, scarce="memory", seed=0)
    play.eligible = set(play.roomy[-2:])
    play.cell.scheduler.advisor.naming.shares["advised"] = 1.0
    play.submit_others()
    play.submit(1)
    assert play.measure_wait_s(RESTART_LIMIT_S) is not None


def test_request_names_other_runners_with_room_beside_the_only_known_one():
    """Guards against requests for one place, which others take before the answer."""
    cell = AdvicePlay(size=30, roomy=30, scarce="memory", seed=0).cell
    cell.submit("svc", step(1, lasting=True), queue="advised")
    (first,), _ = cell.plan()
    known = first.runners[0].id
    cell.scheduler.advisor.record_answer(
        first.step, first.runners, {known: "expires at once"}, 0.1, cell.now
    )
    (request,), _ = cell.plan()
    assert known in [runner.id for runner in request.runners]
    assert request.with_room >= MIN_RUNNERS_PER_REQUEST
