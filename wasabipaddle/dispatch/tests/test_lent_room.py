"""Room that is lent to a workspace, and taken back when its lender needs it."""

import collections
import random

import attrs
import pytest

from wasabipaddle.dispatch.tests import conftest
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.dispatch.tests.test_shares import KEPT_PART
from wasabipaddle.dispatch.usage import Usage
from wasabipaddle.jobs import Workspace

BATCH = attrs.evolve(conftest.BATCH, stretch=2.0, target_s=1.0)
TICK_S = 0.25
# Runs of the borrower, and part of the cell that it may keep: two equal workspaces have
# a share of a half each, with an upper bound of three quarters.
LONG_S = 60.0
CORES = 16
UPPER_CORES = 12
OTHERS = ("a", "b", "c", "d")


@pytest.fixture
def lent(make_cell):
    """Return a cell of 16 cores that are all lent to the workspace `borrower`."""
    cell = make_cell(runners=4)
    cell.configuration = attrs.evolve(cell.configuration, queues=(BATCH,))
    cell.set_workspaces(*(Workspace(name=n, weight=100.0) for n in ("borrower", "own")))
    for n in range(CORES):
        cell.submit(f"long-{n}", step(1, estimate_s=LONG_S), workspace="borrower")
    play(cell, 1.0)
    assert len(cell.started) == CORES
    return cell


def play(cell, seconds):
    """Let time pass, with tasks that take as long as they are expected to."""
    until_s = cell.now + seconds
    while cell.now < until_s:
        cell.now += TICK_S
        for runner in cell.state.runners.values():
            fake = cell.runners[runner.id]
            for run in list(runner.runs.values()):
                part = (cell.now - run.started_s) / run.task.spec.estimate_s
                fake.percents[run.key] = min(int(100 * part), 99)
                if part >= 1 and run.key in fake.running:
                    fake.end(*run.key)
        cell.read_inventories()
        cell.scheduler.advance(cell.now)
        cell.plan()


def stops(cell):
    return [values for kind, values in cell.events if kind == "run_preempted"]


def started_by(cell, name):
    jobs = cell.state.jobs
    return [task for task, _, _ in cell.started if jobs[task.job].job.workspace == name]


def test_lent_room_comes_back_before_the_job_is_late(lent):
    """Guards against a workspace without any room for as long as others run."""
    entry = lent.submit("short", step(2, estimate_s=2.0), workspace="own")
    play(lent, 6.0)
    assert len(started_by(lent, "own")) == 2
    assert [values["rule"] for values in stops(lent)] == ["lent_room"] * 2
    assert entry.phase.final
    # A tick for the end, and one for the start.
    assert entry.ended_ms / 1000 <= entry.due_s + 2 * TICK_S


def test_borrower_keeps_the_room_up_to_its_upper_bound(lent):
    """Guards against room that goes to and fro between two workspaces."""
    for n in range(8):
        lent.submit(f"short-{n}", step(4, estimate_s=4.0), workspace="own")
    play(lent, 20.0)
    assert len(stops(lent)) == CORES - UPPER_CORES


def test_no_task_is_stopped_or_served_twice(lent):
    """Guards against work that is thrown away again and again for the same reason."""
    for n in range(40):
        lent.submit(f"short-{n}", step(3, estimate_s=2.0), workspace="own")
        play(lent, 2.0)
    stopped = collections.Counter((v["job"], v["task"]) for v in stops(lent))
    assert stopped
    assert max(stopped.values()) == 1
    assert len(stopped) <= len(lent.started)


@pytest.mark.parametrize("reason", ["has time", "late", "in excess", "above its share"])
def test_nothing_is_stopped_without_need(lent, reason):
    """Guards against stops that cost one caller more than they give another one."""
    entry = lent.submit("short", step(1, estimate_s=2.0), workspace="own")
    if reason == "has time":
        entry.due_s += 600.0
        entry.objective_s += 600.0
    elif reason == "late":
        entry.due_s -= 4.0
    elif reason == "in excess":
        lent.plan()
        entry.in_excess = True
    else:
        lent.state.shares.in_use["own"] = {2: Usage(cpu=8000)}
    play(lent, 4.5)
    assert stops(lent) == []


def test_job_that_would_be_late_is_not_stopped(lent):
    """Guards against a borrower that loses what it was about to get."""
    for entry in lent.state.jobs.values():
        entry.due_s = entry.accepted_s + LONG_S + 1.0
    lent.submit("short", step(1, estimate_s=2.0), workspace="own")
    play(lent, 4.5)
    assert stops(lent) == []


def test_run_that_holds_the_whole_share_is_not_stopped(make_cell):
    """Guards against a borrower that falls below its share, and takes room back."""
    cell = make_cell(runners=1, cpu=16_000)
    cell.configuration = attrs.evolve(cell.configuration, queues=(BATCH,))
    cell.set_workspaces(*(Workspace(name=n, weight=100.0) for n in ("borrower", "own")))
    spec = step(1, cpu=14_000, estimate_s=LONG_S)
    cell.submit("long", spec, workspace="borrower")
    play(cell, 1.0)
    cell.submit("short", step(1, cpu=3000, estimate_s=2.0), workspace="own")
    play(cell, 4.5)
    assert stops(cell) == []


def test_work_that_saves_is_stopped_first(lent):
    """Guards against work that is thrown away beside some that would be kept."""
    saving = list(lent.state.jobs.values())[5]
    saving.steps[0, 0].spec = attrs.evolve(saving.steps[0, 0].spec, checkpoints=True)
    lent.submit("short", step(1, estimate_s=2.0), workspace="own")
    play(lent, 4.5)
    assert [values["job"] for values in stops(lent)] == [saving.id]


class LentLoad:
    """A borrower fills an empty cell with long tasks before four others have work.

    Attributes
    ----------
    cell : Cell
        Cell of 32 cores.
    jobs : list of JobEntry
        Jobs of the others, which need a third of the cell.
    """

    def __init__(self, make_cell, *, seed):
        self.cell = cell = make_cell(runners=8)
        cell.configuration = attrs.evolve(cell.configuration, queues=(BATCH,))
        names = ["borrower", *OTHERS]
        cell.set_workspaces(*(Workspace(name=n, weight=50.0) for n in names))
        self.long = [
            cell.submit(f"long-{n}", step(8, estimate_s=LONG_S), workspace="borrower")
            for n in range(4)
        ]
        play(cell, 2.0)
        self.jobs = []
        generator = random.Random(seed)
        for n in range(100):
            estimate_s = generator.uniform(1.5, 4.0)
            spec = step(generator.randrange(1, 4), estimate_s=estimate_s)
            name = generator.choice(OTHERS)
            self.jobs.append(cell.submit(f"own-{n}", spec, workspace=name))
            play(cell, 0.5)
        play(cell, 2 * LONG_S)

    def count_in_time(self, entries):
        return sum(
            entry.phase.final and entry.ended_ms / 1000 <= entry.due_s
            for entry in entries
        )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_work_of_one_workspace_leaves_the_others_their_objectives(make_cell, seed):
    """Guards against a workspace that fills an empty cell with long tasks."""
    load = LentLoad(make_cell, seed=seed)
    assert load.count_in_time(load.jobs) >= KEPT_PART * len(load.jobs)
    assert load.count_in_time(load.long) == len(load.long)
