"""Detection of stalled and slow runs by their progress."""

import pytest

from wasabipaddle.dispatch.tests.conftest import step


def test_stalled_run_is_restarted_elsewhere(cell):
    """Guards against a task without progress on a responsive runner."""
    cell.submit("j0", step(1))
    cell.plan()
    first = cell.started[0][2]
    cell.advance_time(4.0)
    assert cell.started[1][2] != first


def test_long_task_is_given_up_as_slow_only_once(make_cell):
    """Guards against endless restarts of a task that far exceeds its estimate."""
    cell = make_cell(runners=4)
    entry = cell.submit("j0", step(1, estimate_s=0.5))
    cell.plan()
    for _ in range(60):
        cell.now += 0.1
        cell.scheduler.advance(cell.now)
        cell.read_inventories()
        # Steady progress at a tenth of the estimated speed.
        for task in entry.steps[(0, 0)].tasks:
            for run in task.runs:
                run.percent = int(20 * (cell.now - run.started_s))
                run.progress_s = cell.now
        cell.plan()
    assert len(cell.started) == 2


def report_progress(cell, entry, percent_of):
    """Set the progress of all runs of the first step, as if by inventories."""
    for task in entry.steps[(0, 0)].tasks:
        for run in task.runs:
            run.percent = percent_of(run)
            run.progress_s = cell.now
    for runner in cell.state.runners.values():
        runner.last_inventory_s = cell.now


def test_outdated_inventory_does_not_make_a_run_slow(make_cell):
    """Guards against restarts because the last inventory is old."""
    cell = make_cell(runners=4)
    entry = cell.submit("j0", step(1, estimate_s=1.0))
    cell.plan()
    cell.now += 0.5
    report_progress(cell, entry, lambda run: 25)
    cell.now += 2.0
    cell.scheduler.watchdog.check(cell.now)
    assert not entry.steps[(0, 0)].tasks[0].given_up


def test_tasks_of_a_long_step_are_not_slow(make_cell):
    """Guards against restarts of all tasks of a step whose estimate is far too low."""
    cell = make_cell(runners=4, cpu=1000)
    entry = cell.submit("j0", step(4, estimate_s=0.5))
    cell.plan()
    for _ in range(30):
        cell.now += 0.1
        report_progress(cell, entry, lambda run: int(25 * (cell.now - run.started_s)))
        cell.scheduler.watchdog.check(cell.now)
    assert [task.given_up for task in entry.steps[(0, 0)].tasks] == [False] * 4


def progress_at_rate(slow, percent_per_s):
    """Return a function for the progress of runs, which differs on one runner.

    Runs on the runner `slow` make `percent_per_s`, all others 60 percent per second.
    """

    def percent(run, now):
        rate = percent_per_s if run.runner is slow else 60
        return int(rate * (now - run.started_s))

    return percent


def simulate(cell, entries, percent, seconds=2.0):
    """Advance the time with progress and checks; return which tasks were given up."""
    for _ in range(int(seconds * 10)):
        cell.now += 0.1
        for entry in entries:
            report_progress(cell, entry, lambda run: percent(run, cell.now))
        cell.scheduler.watchdog.check(cell.now)
    tasks = [task for e in entries for task in e.steps[(0, 0)].tasks]
    return [task.given_up for task in tasks]


def test_runs_on_a_slow_runner_are_restarted(make_cell):
    """Guards against steps that wait for runs on one slow runner."""
    cell = make_cell(runners=5, cpu=2000)
    entries = [cell.submit(f"j{i}", step(5, estimate_s=5.0)) for i in range(2)]
    cell.plan()
    slow = entries[0].steps[(0, 0)].tasks[0].runs[0].runner
    given_up = simulate(cell, entries, progress_at_rate(slow, 10))
    assert sum(given_up) == 2
    assert slow.health.speed < 0.5


def test_long_task_next_to_one_at_usual_speed_continues(make_cell):
    """Guards against restarts of long tasks, which waste the work done.

    In a benchmark, this fault stops one run of nine although no runner is slow.
    """
    cell = make_cell(runners=5, cpu=2000)
    entries = [cell.submit(f"j{i}", step(5, estimate_s=5.0)) for i in range(2)]
    cell.plan()
    long = entries[0].steps[(0, 0)].tasks[0].runs[0]

    def percent(run, now):
        return int((10 if run is long else 60) * (now - run.started_s))

    assert not any(simulate(cell, entries, percent, seconds=1.5))
    for task in (t for e in entries for t in e.steps[(0, 0)].tasks):
        if task is not long.task:
            run = task.runs[0]
            cell.runners[run.runner.id].end(*run.key)
    cell.read_inventories(*reversed(cell.runners))
    assert not any(simulate(cell, entries, percent, seconds=3.0))


@pytest.mark.parametrize(("rate", "restarted"), [(25, False), (10, True)])
def test_only_run_of_a_runner_is_slow_if_it_is_far_behind(make_cell, rate, restarted):
    """Guards against a slow runner that is not detected because it has only one run.

    Also guards against a restart of a task that is only moderately behind.
    """
    cell = make_cell(runners=5, cpu=1000)
    entry = cell.submit("j0", step(4, estimate_s=5.0))
    cell.plan()
    slow = entry.steps[(0, 0)].tasks[3].runs[0].runner
    given_up = simulate(cell, [entry], progress_at_rate(slow, rate))
    assert given_up == [False, False, False, restarted]


def test_eligibility_of_next_step_is_requested_by_progress(make_cell):
    """Guards against a step that waits for an answer after its predecessor ended.

    The estimate is ten times too long, so only the progress shows the time of the end.
    """
    cell = make_cell(runners=4)
    steps = (step(1, estimate_s=10.0), step(1, after=(0,)))
    entry = cell.submit("j0", *steps, queue="advised")
    requests, _ = cell.plan()
    answer = {r.id: "t" for r in requests[0].runners}
    cell.scheduler.advisor.record_answer(
        requests[0].step, requests[0].runners, answer, 2.5, cell.now
    )
    cell.plan()
    early, _ = cell.plan()
    cell.now += 0.7
    report_progress(cell, entry, lambda run: 70)
    late, _ = cell.plan()
    positions = [[r.step.position for r in asked] for asked in (early, late)]
    assert positions == [[], [1]]
