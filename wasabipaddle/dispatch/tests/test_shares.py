"""Shares of workspaces when there is too little room for all."""

import random

import attrs
import pytest

from wasabipaddle.dispatch import StopTask
from wasabipaddle.dispatch.tests import conftest
from wasabipaddle.dispatch.tests.conftest import Cell, step
from wasabipaddle.jobs import Job, JobPhase, JobSpec, Workspace

URGENT = attrs.evolve(conftest.URGENT, stretch=1.5, target_s=0.6)
BATCH = attrs.evolve(conftest.BATCH, stretch=2.2, target_s=1.5)
NAMES = [f"w{n}" for n in range(10)]
HOT = NAMES[0]
# Jobs a second that each workspace usually submits, and how many times as many the hot
# one submits between two times.
URGENT_PER_S, BATCH_PER_S = 1.2, 0.04
HOT_FACTOR, HOT_FROM_S, HOT_UNTIL_S = 9, 8.0, 18.0
LENGTH_S = 30.0
ROUND_S = 0.1
# Worth of a job by its queue, and the part of it that a late job earns, up to three
# times its objective.
WORTH = {"urgent": 1.0, "batch": 5.0}
LATE_WORTH, LATE_FACTOR = 0.2, 3.0
# Part of what the other workspaces get without the burst that they keep beside it.
KEPT_PART = 0.9


class Load:
    """Submits a day of jobs to a cell whose tasks take as long as they say.

    About nine tenths of the cell are in use if the hot workspace does as usual.

    Parameters
    ----------
    hot : bool
        Whether the hot workspace submits `HOT_FACTOR` times its usual for a while.
    width : int
        Number of times that the jobs of the hot workspace are as wide as others.
    """

    def __init__(self, *, hot=False, width=1):
        self.width = width
        self.cell = Cell(runners=12, cpu=4000)
        queues = (URGENT, BATCH)
        self.cell.configuration = attrs.evolve(self.cell.configuration, queues=queues)
        self.cell.set_workspaces(*(Workspace(name=name, weight=2.0) for name in NAMES))
        self.random = random.Random(11)
        self.arrivals = sorted(
            (at_s, name, kind)
            for name in NAMES
            for kind, per_s in (("urgent", URGENT_PER_S), ("batch", BATCH_PER_S))
            for at_s in self.draw(per_s, name if hot else None)
        )
        self.jobs = []

    def draw(self, per_s, hot_name):
        """Return the times at which a workspace submits jobs of one kind."""
        times, at_s = [], 0.0
        while True:
            at_s += self.random.expovariate(per_s)
            if at_s >= LENGTH_S:
                break
            times.append(at_s)
        if hot_name == HOT:
            extra = int((HOT_FACTOR - 1) * per_s * (HOT_UNTIL_S - HOT_FROM_S))
            span_s = (HOT_UNTIL_S - HOT_FROM_S) / extra
            times += [HOT_FROM_S + n * span_s for n in range(extra)]
        return times

    def play(self):
        """Play the day and return the part earned by each workspace."""
        began = self.cell.now
        while self.cell.now < began + 2 * LENGTH_S:
            self.cell.now += ROUND_S
            while self.arrivals and self.arrivals[0][0] <= self.cell.now - began:
                self.submit(*self.arrivals.pop(0)[1:])
            self.end_tasks()
            self.cell.scheduler.advance(self.cell.now)
            self.cell.read_inventories()
            self.cell.plan()
        return self.earned()

    def submit(self, name, kind):
        width = self.width if name == HOT else 1
        if kind == "urgent":
            spec = step(4 * width, estimate_s=0.6)
        else:
            spec = step(12 * width, estimate_s=3.0)
        job = f"j{len(self.jobs)}"
        self.jobs.append(self.cell.submit(job, spec, queue=kind, workspace=name))

    def end_tasks(self):
        """End the runs that have taken their time."""
        for runner in self.cell.state.runners.values():
            fake = self.cell.runners[runner.id]
            for run in list(runner.runs.values()):
                over = self.cell.now - run.started_s >= run.task.spec.estimate_s
                if over and run.key in fake.running:
                    fake.end(*run.key)

    def earned(self):
        """Return the part of their worth that the jobs of each workspace earn.

        Only jobs within the rate of their workspace are owed anything.
        """
        owed, earned = dict.fromkeys(NAMES, 0.0), dict.fromkeys(NAMES, 0.0)
        for entry in self.jobs:
            if entry.in_excess:
                continue
            worth = WORTH[entry.queue.name]
            owed[entry.job.workspace] += worth
            earned[entry.job.workspace] += worth * self.worth(entry)
        return {name: earned[name] / owed[name] for name in NAMES}

    def worth(self, entry):
        if entry.phase is not JobPhase.COMPLETED:
            return 0.0
        ended_s = entry.ended_ms / 1000
        if ended_s <= entry.due_s:
            return 1.0
        late_s = entry.accepted_s + LATE_FACTOR * (entry.due_s - entry.accepted_s)
        return LATE_WORTH if ended_s <= late_s else 0.0


def worst(earned):
    """Return the mean of the two workspaces besides the hot one that earn least."""
    parts = sorted(part for name, part in earned.items() if name != HOT)
    return (parts[0] + parts[1]) / 2


def test_burst_of_one_workspace_leaves_the_others_their_part():
    """Guards against a workspace whose burst costs all others their objectives."""
    usual, beside = Load().play(), Load(hot=True).play()
    assert worst(beside) >= KEPT_PART * worst(usual)


def test_large_jobs_of_one_workspace_leave_the_others_their_part():
    """Guards against a workspace that keeps to its rate and takes the room of all."""
    usual, beside = Load().play(), Load(width=5).play()
    assert worst(beside) >= KEPT_PART * worst(usual)


@pytest.fixture
def shops(cell):
    """Return a cell of eight cores with two workspaces, one of double weight."""
    cell.set_workspaces(
        Workspace(name="small", weight=10.0), Workspace(name="large", weight=20.0)
    )
    return cell


def started_by(cell, name):
    jobs = cell.state.jobs
    return sum(jobs[task.job].job.workspace == name for task, _, _ in cell.started)


def test_workspaces_get_room_by_weight(make_cell):
    """Guards against a backlog that holds back a workspace below its share.

    Both have more work than fits, the small one for longer. Its share is a third of 24
    cores, and each round may be off by one task.
    """
    cell = make_cell(runners=6, cpu=4000)
    cell.set_workspaces(
        Workspace(name="small", weight=10.0), Workspace(name="large", weight=20.0)
    )
    for n in range(40):
        cell.submit(f"a{n}", step(5), workspace="small")
        cell.submit(f"b{n}", step(5), workspace="large")
    rounds = 6
    for _ in range(rounds):
        cell.now += 1.0
        for runner in cell.runners.values():
            for run in list(runner.running):
                runner.end(*run)
        cell.read_inventories()
        cell.plan()
    assert len(cell.started) == 24 * rounds
    assert abs(started_by(cell, "small") - 8 * rounds) <= rounds


def test_idle_room_is_lent(shops):
    """Guards against room that is kept free for a workspace without work."""
    shops.submit("j0", step(20), workspace="small")
    shops.plan()
    assert started_by(shops, "small") == 8


def test_batch_work_of_a_workspace_does_not_delay_its_urgent_jobs(make_cell):
    """Guards against urgent jobs that come last since their workspace has other work.

    The workspace holds most of the cell with work that lasts; of the urgent jobs, its
    own has the earlier objective.
    """
    cell = make_cell(runners=4, cpu=4000)
    cell.set_workspaces(*(Workspace(name=n, weight=20.0) for n in ("busy", "other")))
    cell.submit("j0", step(14, lasting=True), workspace="busy")
    cell.plan()
    cell.submit("j1", step(2, estimate_s=0.5), workspace="busy", queue="urgent")
    cell.submit("j2", step(2, estimate_s=5.0), workspace="other", queue="urgent")
    cell.plan()
    assert started_by(cell, "busy") == 16


def test_priority_counts_before_the_share(shops):
    """Guards against urgent jobs that wait for the batch jobs of others."""
    shops.submit("j0", step(6), workspace="small", queue="urgent")
    shops.submit("j1", step(8), workspace="large")
    shops.plan()
    assert started_by(shops, "small") == 6


def test_jobs_beyond_the_rate_wait_first(cell):
    """Guards against a burst that delays the jobs of other workspaces."""
    cell.set_workspaces(*(Workspace(name=name, weight=1.0) for name in ("a", "b")))
    for n in range(30):
        cell.submit(f"a{n}", step(1), workspace="a")
    cell.now += 0.1
    cell.submit("b0", step(3), workspace="b")
    cell.plan()
    jobs = [task.job for task, _, _ in cell.started]
    assert jobs.count("b0") == 3
    assert len(jobs) == 8


def test_job_beyond_the_rate_preempts_nothing(cell):
    """Guards against work of others that is thrown away for a burst."""
    cell.set_workspaces(*(Workspace(name=name, weight=0.1) for name in ("a", "b")))
    cell.submit("b0", step(8), workspace="b")
    cell.submit("a0", step(1), workspace="a")
    cell.submit("a1", step(1), workspace="a", queue="urgent")
    cell.plan()
    cell.now += 0.5
    _, orders = cell.plan()
    assert not any(isinstance(order, StopTask) for order in orders)


def test_rate_is_the_same_after_a_takeover(cell):
    """Guards against jobs that a new dispatcher moves in front of others.

    The new dispatcher gets the stored jobs in any order.
    """
    cell.set_workspaces(Workspace(name="a", weight=1.0))
    jobs = []
    for n in range(12):
        cell.now += 0.2
        jobs.append(cell.submit(f"j{n}", step(1), workspace="a").job)
    cell.plan()
    before = {entry.id: entry.in_excess for entry in cell.state.jobs.values()}
    assert sum(before.values()) == 7
    cell.take_over(1, {}, jobs[::-1])
    cell.plan()
    after = {entry.id: entry.in_excess for entry in cell.state.jobs.values()}
    assert after == before


@pytest.mark.parametrize("ahead_s", [0, 3600])
def test_clock_that_is_ahead_does_not_end_the_rate(cell, ahead_s):
    """Guards against one process with a wrong clock whose jobs clear the window."""
    cell.set_workspaces(Workspace(name="a", weight=1.0))
    spec = JobSpec(payload="p", steps=(step(1),))
    for n in range(20):
        accepted_s = cell.now + (ahead_s if n == 0 else 0)
        job = Job(
            id=f"j{n}",
            policy=BATCH,
            accepted_ms=int(accepted_s * 1000),
            spec=spec,
            workspace="a",
        )
        cell.scheduler.lifecycle.add_job(job, cell.now)
        cell.plan()
    within = [entry for entry in cell.state.jobs.values() if not entry.in_excess]
    assert len(within) == 5 + bool(ahead_s)


def test_memory_counts_in_the_share(shops):
    """Guards against a workspace that takes all memory with few processors."""
    shops.submit("j0", step(20, cpu=100, memory_mb=20_000), workspace="small")
    shops.submit("j1", step(20, cpu=100, memory_mb=20_000), workspace="large")
    shops.plan()
    assert len(shops.started) == 10
    assert started_by(shops, "small") <= 6


def test_workspace_without_weight_does_not_stop_the_plan(cell):
    """Guards against a weight of zero in the configuration."""
    cell.set_workspaces(Workspace(name="a", weight=0.0))
    cell.submit("j0", step(9), workspace="a")
    cell.plan()
    assert len(cell.started) == 8
