"""Learned speeds of runners, and the decisions that use them."""

import random

import attrs
import pytest

from wasabipaddle.dispatch.copies import copy_wins, needs_copy
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import EndCause

SLOW_FACTOR = 2.5


@pytest.fixture
def uneven_cell(make_cell):
    """Return a cell in which the runners r0 and r1 of six are of a slow kind."""
    cell = make_cell(runners=6)
    for name in cell.runners:
        kind = "slow" if name in ("r0", "r1") else "fast"
        entry = attrs.evolve(cell.entry(name), labels=(kind, f"rack-{name}"))
        cell.scheduler.set_runner(entry, cell.now)
    return cell


def run_steps(cell, count, *, tasks=6, only=None):
    """Run steps to their end, with tasks that take longer on slow runners."""
    for _ in range(count):
        name = f"learn-{len(cell.state.jobs)}"
        entry = cell.submit(name, step(tasks, max_per_runner=1))
        cell.plan()
        started_s, runs = cell.now, [r for t in entry.steps[0, 0].tasks for r in t.runs]
        durations_s = {
            run: SLOW_FACTOR if "slow" in run.runner.entry.labels else 1.0
            for run in runs
            if only is None or run.runner.id in only
        }
        for run, duration_s in sorted(durations_s.items(), key=lambda row: row[1]):
            cell.now = started_s + duration_s
            cell.runners[run.runner.id].end(*run.key, EndCause.COMPLETED)
            cell.read_inventories(run.runner.id)


def speed(cell, name):
    return cell.state.runners[name].health.speed


def test_speeds_of_unequal_kinds_are_learned(uneven_cell):
    """Guards against slow runners that are taken for usual ones, or for sick ones."""
    run_steps(uneven_cell, 6)
    assert speed(uneven_cell, "r0") < 0.6 * speed(uneven_cell, "r5")
    assert speed(uneven_cell, "r5") == pytest.approx(1.0, abs=0.3)
    assert uneven_cell.state.runners["r0"].health.normal_speed is None


def test_new_runner_has_the_speed_of_its_kind(uneven_cell):
    """Guards against urgent work on a new runner of a kind that is known as slow."""
    run_steps(uneven_cell, 6)
    uneven_cell.add_runner("r6")
    entry = attrs.evolve(uneven_cell.entry("r6"), labels=("slow", "rack-r6"))
    uneven_cell.scheduler.set_runner(entry, uneven_cell.now)
    assert speed(uneven_cell, "r6") < 0.6 * speed(uneven_cell, "r5")


def test_slow_runners_among_themselves_stay_slow(uneven_cell):
    """Guards against a slow kind that looks fast once it gets steps for itself."""
    run_steps(uneven_cell, 6)
    for name in ("r2", "r3", "r4", "r5"):
        uneven_cell.state.runners[name].in_fleet_record = False
    run_steps(uneven_cell, 8, tasks=2)
    assert speed(uneven_cell, "r0") < 0.7


def test_urgent_work_prefers_a_busy_fast_runner_and_other_work_an_idle_slow_one(
    uneven_cell,
):
    """Guards against urgent tasks on slow runners only because these are idle."""
    run_steps(uneven_cell, 6)
    for name in ("r2", "r3", "r4", "r5"):
        uneven_cell.state.runners[name].cpu += 2900
    uneven_cell.started.clear()
    uneven_cell.submit("urgent", step(2), queue="urgent")
    uneven_cell.plan()
    uneven_cell.submit("batch", step(2))
    uneven_cell.plan()
    uneven_cell.submit("lasting", step(2, lasting=True))
    uneven_cell.plan()
    runners = {}
    for task, _, name in uneven_cell.started:
        runners.setdefault(task.job, set()).add(name)
    assert runners["urgent"] <= {"r2", "r3", "r4", "r5"}
    assert runners["batch"] <= {"r0", "r1"}
    assert runners["lasting"] <= {"r0", "r1"}


def test_runs_on_a_runner_of_a_slow_kind_are_not_restarted(uneven_cell):
    """Guards against the work that is lost by restarts on sound but slow runners."""
    run_steps(uneven_cell, 6)
    entry = uneven_cell.submit("j0", step(12, max_per_runner=2))
    uneven_cell.plan()
    began_s = uneven_cell.now
    for _ in range(12):
        uneven_cell.now += 0.1
        for task in entry.steps[0, 0].tasks:
            run = task.runs[0]
            slow = "slow" in run.runner.entry.labels
            per_s = 50 / SLOW_FACTOR if slow else 50
            run.percent = int(per_s * (uneven_cell.now - began_s))
            run.progress_s = run.runner.last_inventory_s = uneven_cell.now
        uneven_cell.scheduler.watchdog.check(uneven_cell.now)
    assert not any(task.given_up for task in entry.steps[0, 0].tasks)


@pytest.mark.parametrize(
    ("here", "there", "percent", "wins"),
    [(1.0, 1.0, 20, False), (0.4, 1.0, 20, True), (0.4, 1.0, 70, False)],
    ids=["long-task", "slow-runner", "nearly-done"],
)
def test_copy_is_started_only_where_it_wins(cell, here, there, percent, wins):
    """Guards against copies of tasks that take as long on every runner."""
    entry = cell.submit("j0", step(1, speculative=True))
    cell.plan()
    run = entry.steps[0, 0].tasks[0].runs[0]
    other = next(r for r in cell.state.runners.values() if r is not run.runner)
    run.runner.health.speed, other.health.speed = here, there
    cell.now += 2.0
    cell.read_inventories()
    run.percent = percent
    assert copy_wins(run, other, cell.now) is wins


def test_speeds_do_not_drift_together(uneven_cell):
    """Guards against speeds that all rise or fall for ever.

    The durations of a step are unequal, so its runs on average seem faster than the
    median.
    """
    state, generator = uneven_cell.state, random.Random(1)
    for _ in range(3000):
        runner = state.runners[generator.choice(("r2", "r3", "r4", "r5"))]
        factor = generator.choice((0.7, 1.0, 2.0))
        state.speeds.record(runner, runner.health.speed * factor)
    assert 0.5 < speed(uneven_cell, "r2") < 2.0


def test_inventory_right_after_the_start_makes_no_run_late(cell):
    """Guards against copies because the last inventory has seen no progress yet."""
    entry = cell.submit("j0", step(1, speculative=True))
    cell.plan()
    run = entry.steps[0, 0].tasks[0].runs[0]
    run.runner.last_inventory_s, run.percent = cell.now + 0.1, 3
    assert not needs_copy(run.task, 1.0, cell.now + 1.6)
    run.runner.last_inventory_s = cell.now + 1.5
    assert needs_copy(run.task, 1.0, cell.now + 1.6)


def run_alone(cell, name, *, percent, seconds):
    """Run a step of one task for a time, and then to its end."""
    entry = cell.submit(name, step(1, speculative=True))
    cell.plan()
    run = entry.steps[0, 0].tasks[0].runs[0]
    cell.now += seconds
    run.percent, run.progress_s = percent, cell.now
    run.runner.last_inventory_s = cell.now
    cell.scheduler.watchdog.check(cell.now)
    cell.runners[run.runner.id].end(*run.key)
    cell.read_inventories()


def test_slowdown_ends_where_steps_show_no_speed(make_cell):
    """Guards against a runner that counts as slowed down for ever.

    Steps of one task have no others to compare with.
    """
    cell = make_cell(runners=1)
    health = cell.state.runners["r0"].health
    run_alone(cell, "slow", percent=5, seconds=5.0)
    assert health.normal_speed is not None
    for n in range(15):
        run_alone(cell, f"usual{n}", percent=90, seconds=1.0)
        if n < 5:
            assert health.normal_speed is not None
    assert health.normal_speed is None
