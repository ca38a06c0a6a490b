"""Evacuation of runs from draining runners."""

import pytest

from wasabipaddle.dispatch.tests.conftest import step


def drain(cell, leaves_in_s):
    """Mark the runner of the last start as draining and return its name."""
    name = cell.started[-1][2]
    entry = cell.entry(name, draining=True, leaves_in_s=leaves_in_s)
    cell.scheduler.set_runner(entry, cell.now)
    return name


def place(cell, spec):
    """Submit and start a job with one task and return the task."""
    entry = cell.submit("j0", spec)
    cell.plan()
    return entry.steps[(0, 0)].tasks[0]


def evacuate(cell):
    """Check for runs to evacuate, execute the stops and start the tasks again."""
    cell.scheduler.advance(cell.now)
    cell.plan()
    cell.read_inventories()
    cell.plan()


@pytest.mark.parametrize(
    ("options", "percent", "moves"),
    [
        ({"lasting": True}, 100, True),
        ({"estimate_s": 9.0}, 50, True),
        ({"estimate_s": 0.6}, 50, False),
        ({"estimate_s": 9.0, "checkpoints": True}, 50, False),
    ],
)
def test_run_is_moved_if_it_would_be_lost(cell, options, percent, moves):
    """Guards against runs that are lost when their draining runner exits.

    Also guards against the evacuation of runs that would end in time, and against the
    early evacuation of runs with checkpoints.
    """
    task = place(cell, step(1, **options))
    first = drain(cell, 2.0)
    cell.now += 3.0 if percent == 50 and options.get("estimate_s") == 9.0 else 0.3
    (run,) = task.runs
    run.percent, run.progress_s = percent, cell.now
    cell.state.runners[first].leaves_at_s = cell.now + 2.0
    cell.state.runners[first].last_inventory_s = cell.now
    evacuate(cell)
    places = [name for _, _, name in cell.started]
    assert (len(places) == 2 and places[1] != first) is moves


def test_run_with_checkpoints_is_stopped_shortly_before_the_exit(cell):
    """Guards against early stops of runs with checkpoints, and lost checkpoints."""
    task = place(cell, step(1, estimate_s=30.0, checkpoints=True))
    first = drain(cell, 4.0)
    cell.runners[first].running[task.runs[0].key] = "saved"
    times = []
    began = cell.now
    while len(cell.started) < 2 and cell.now < began + 5.0:
        cell.now += 0.1
        evacuate(cell)
        times.append(cell.now - began)
    assert 2.5 < times[-1] < 4.0
    assert task.checkpoint == "saved"


def test_runs_on_other_runners_are_not_evacuated(cell):
    """Guards against stops of runs whose runner is not draining."""
    place(cell, step(1, lasting=True))
    evacuate(cell)
    assert len(cell.started) == 1
