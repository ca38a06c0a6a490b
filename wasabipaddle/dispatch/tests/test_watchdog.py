"""Runs that are judged by their progress."""

import pytest

from wasabipaddle.dispatch.tests.conftest import step


def test_stalled_run_is_restarted_elsewhere(cell):
    """Guards against a task that stands still on a runner that answers."""
    cell.submit("j0", step(1))
    cell.plan()
    first = cell.started[0][2]
    cell.pass_time(4.0)
    assert cell.started[1][2] != first


def test_long_task_is_given_up_as_slow_only_once(make_cell):
    """Guards against a task far over its estimate that is restarted for ever."""
    cell = make_cell(runners=4)
    entry = cell.submit("j0", step(1, estimate_s=0.5))
    cell.plan()
    for _ in range(60):
        cell.now += 0.1
        cell.scheduler.advance(cell.now)
        cell.look()
        # Progress that is steady and a tenth of the estimated speed.
        for task in entry.steps[(0, 0)].tasks:
            for run in task.runs:
                run.percent = int(20 * (cell.now - run.started_s))
                run.progress_s = cell.now
        cell.plan()
    assert len(cell.started) == 2


def progress(cell, entry, percent_of):
    """Let all runs of the first step make progress, and look at all runners."""
    for task in entry.steps[(0, 0)].tasks:
        for run in task.runs:
            run.percent = percent_of(run)
            run.progress_s = cell.now
    for runner in cell.state.runners.values():
        runner.answered_s = cell.now


def test_outdated_inventory_does_not_make_a_run_slow(make_cell):
    """Guards against a restart because nobody has looked at a run for a while."""
    cell = make_cell(runners=4)
    entry = cell.submit("j0", step(1, estimate_s=1.0))
    cell.plan()
    cell.now += 0.5
    progress(cell, entry, lambda run: 25)
    cell.now += 2.0
    cell.scheduler.watchdog.check(cell.now)
    assert not entry.steps[(0, 0)].tasks[0].given_up


def test_tasks_of_a_long_step_are_not_slow(make_cell):
    """Guards against restarts of a whole step whose estimate is far too low."""
    cell = make_cell(runners=4, cpu=1000)
    entry = cell.submit("j0", step(4, estimate_s=0.5))
    cell.plan()
    for _ in range(30):
        cell.now += 0.1
        progress(cell, entry, lambda run: int(25 * (cell.now - run.started_s)))
        cell.scheduler.watchdog.check(cell.now)
    assert [task.given_up for task in entry.steps[(0, 0)].tasks] == [False] * 4


def rate_of(slow, percent_per_s):
    """Return the progress of runs; those on one runner go at another rate."""

    def percent(run, now):
        rate = percent_per_s if run.runner is slow else 60
        return int(rate * (now - run.started_s))

    return percent


def play(cell, entries, percent, seconds=2.0):
    """Let all runs make progress for a time, and look at them."""
    for _ in range(int(seconds * 10)):
        cell.now += 0.1
        for entry in entries:
            progress(cell, entry, lambda run: percent(run, cell.now))
        cell.scheduler.watchdog.check(cell.now)
    tasks = [task for e in entries for task in e.steps[(0, 0)].tasks]
    return [task.given_up for task in tasks]


def test_runs_on_a_slow_runner_are_restarted(make_cell):
    """Guards against steps that wait for one slow runner."""
    cell = make_cell(runners=5, cpu=2000)
    entries = [cell.submit(f"j{i}", step(5, estimate_s=5.0)) for i in range(2)]
    cell.plan()
    slow = entries[0].steps[(0, 0)].tasks[0].runs[0].runner
    given_up = play(cell, entries, rate_of(slow, 10))
    assert sum(given_up) == 2
    assert slow.health.speed < 0.5


def test_long_task_next_to_one_at_usual_speed_continues(make_cell):
    """Guards against restarts of long tasks, which only throw work away.

    Found on the bench: one run of nine was stopped, while no runner was slow.
    """
    cell = make_cell(runners=5, cpu=2000)
    entries = [cell.submit(f"j{i}", step(5, estimate_s=5.0)) for i in range(2)]
    cell.plan()
    long = entries[0].steps[(0, 0)].tasks[0].runs[0]

    def percent(run, now):
        return int((10 if run is long else 60) * (now - run.started_s))

    assert not any(play(cell, entries, percent, seconds=1.5))
    for task in (t for e in entries for t in e.steps[(0, 0)].tasks):
        if task is not long.task:
            run = task.runs[0]
            cell.runners[run.runner.id].end(*run.key)
    cell.look(*reversed(cell.runners))
    assert not any(play(cell, entries, percent, seconds=3.0))


@pytest.mark.parametrize(("rate", "restarted"), [(25, False), (10, True)])
def test_only_run_of_a_runner_is_slow_if_it_is_far_behind(make_cell, rate, restarted):
    """Guards against a slow runner with one task, and against hasty restarts."""
    cell = make_cell(runners=5, cpu=1000)
    entry = cell.submit("j0", step(4, estimate_s=5.0))
    cell.plan()
    slow = entry.steps[(0, 0)].tasks[3].runs[0].runner
    given_up = play(cell, [entry], rate_of(slow, rate))
    assert given_up == [False, False, False, restarted]


def test_eligibility_of_next_step_is_requested_by_progress(make_cell):
    """Guards against a step that waits for an answer after its predecessor ended.

    The estimate is ten times too long, the progress tells the truth.
    """
    cell = make_cell(runners=4)
    steps = (step(1, estimate_s=10.0), step(1, after=(0,)))
    entry = cell.submit("j0", *steps, queue="advised")
    requests, _ = cell.plan()
    answer = {r.id: "t" for r in requests[0].runners}
    cell.scheduler.advisor.answered(
        requests[0].step, requests[0].runners, answer, 2.5, cell.now
    )
    cell.plan()
    early, _ = cell.plan()
    cell.now += 0.7
    progress(cell, entry, lambda run: 70)
    late, _ = cell.plan()
    positions = [[r.step.position for r in asked] for asked in (early, late)]
    assert positions == [[], [1]]
