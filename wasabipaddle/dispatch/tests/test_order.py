"""Order of waiting steps when there is too little room."""

import attrs
import pytest

from wasabipaddle.dispatch.objective import measure_objective_s
from wasabipaddle.dispatch.order import FLOOR_SHARE, Outlook, WorkOrder
from wasabipaddle.dispatch.orders import StopTask
from wasabipaddle.dispatch.tests.conftest import ADVISED, BATCH, step
from wasabipaddle.jobs import JobSpec, Workspace


@pytest.fixture
def full_cell(make_cell):
    """Return a cell whose only runner is in use by work that lasts."""
    cell = make_cell(runners=1)
    cell.submit("service", step(4, lasting=True), queue="urgent")
    cell.plan()
    return cell


def waiting(cell):
    """Return the identifiers of the waiting jobs in their order."""
    return [s.job.id for s in cell.state.order.waiting(cell.now)]


def test_job_that_is_late_goes_after_those_that_can_be_in_time(full_cell):
    """Guards against a queue in which one late job makes all after it late."""
    full_cell.submit("old", step(1, estimate_s=2.0), queue="urgent")
    full_cell.now += 1.5
    full_cell.submit("new", step(1, estimate_s=2.0), queue="urgent")
    assert waiting(full_cell) == ["new", "old"]


def test_job_that_is_late_goes_after_work_in_time_of_the_next_priority(full_cell):
    """Guards against late jobs that make less urgent ones late as well."""
    full_cell.submit("late", step(1, estimate_s=2.0), queue="urgent")
    middle = full_cell.submit("middle", step(1, estimate_s=9.0))
    middle.queue = attrs.evolve(middle.queue, priority=1)
    assert waiting(full_cell) == ["late", "middle"]
    full_cell.now += 1.5
    full_cell.submit("batch", step(1, estimate_s=9.0))
    assert waiting(full_cell) == ["middle", "late", "batch"]


def test_job_of_no_use_goes_after_less_urgent_work(full_cell):
    """Guards against room for jobs whose callers gain nothing by it any more."""
    full_cell.submit("lost", step(1), queue="urgent")
    full_cell.now += 4.0
    full_cell.submit("batch", step(1, estimate_s=9.0))
    assert waiting(full_cell) == ["batch", "lost"]


def test_job_that_may_be_in_time_is_not_given_up_for_its_estimate(full_cell):
    """Guards against jobs put back because an estimate is too high by a factor."""
    full_cell.submit("old", step(1, estimate_s=2.0), queue="urgent")
    full_cell.now += 0.5
    full_cell.submit("new", step(1, estimate_s=2.0), queue="urgent")
    assert waiting(full_cell) == ["old", "new"]


def test_small_step_goes_before_a_wide_one_of_about_the_same_deadline(full_cell):
    """Guards against short work behind wide work, and wide work behind all other.

    The wide step occupies the runner for 4 s, the small ones for a quarter of that.
    """
    full_cell.submit("wide", step(2, estimate_s=8.0))
    full_cell.submit("small", step(1, estimate_s=4.0))
    assert waiting(full_cell) == ["small", "wide"]
    full_cell.now += 0.4
    full_cell.submit("soon", step(1, estimate_s=4.0))
    assert waiting(full_cell) == ["small", "soon", "wide"]
    full_cell.submit("much later", step(1, estimate_s=4.0)).due_s += 20.0
    assert waiting(full_cell) == ["small", "soon", "wide", "much later"]


def test_started_job_goes_before_another_one_like_it(full_cell):
    """Guards against work that waits half done while other work is begun."""
    full_cell.submit("begun", step(1))
    full_cell.submit("new", step(1))
    full_cell.state.jobs["new"].work_done = 0.0
    full_cell.state.jobs["begun"].work_done = 4000.0
    assert waiting(full_cell) == ["begun", "new"]
    full_cell.state.jobs["begun"].work_done = 0.0
    full_cell.state.jobs["new"].work_done = 4000.0
    full_cell.now += 0.3
    assert waiting(full_cell) == ["new", "begun"]


def test_workspace_ranks_behind_the_priority(full_cell):
    """Guards against a workspace over its share that goes before others."""
    full_cell.state.shares.level = lambda step, now: int(step.job.id == "greedy")
    full_cell.submit("greedy", step(1), workspace="greedy")
    full_cell.submit("modest", step(1, estimate_s=9.0))
    full_cell.submit("urgent", step(1), queue="urgent")
    assert waiting(full_cell) == ["urgent", "modest", "greedy"]


def test_flood_of_urgent_work_leaves_the_floor_to_other_work(make_cell):
    """Guards against a priority that stands still while a higher one is flooded."""
    cell = make_cell(runners=2, cpu=20_000)
    cell.submit("batch", step(20, estimate_s=30.0))
    for i in range(20):
        cell.submit(f"old{i}", step(10, estimate_s=9.0), queue="urgent")
        cell.now += 0.1
    cell.plan()
    started = [task.job for task, _, _ in cell.started]
    assert started.count("batch") == FLOOR_SHARE * 40
    assert len(started) == 40


def test_work_in_time_leaves_the_floor_to_late_work(make_cell):
    """Guards against accepted jobs that stand still once they are late."""
    cell = make_cell(runners=2, cpu=20_000)
    cell.submit("late", step(20), queue="urgent")
    cell.now += 1.5
    cell.submit("new", step(60, estimate_s=9.0), queue="urgent")
    cell.plan()
    started = [task.job for task, _, _ in cell.started]
    assert started[:3] == ["late", "late", "new"]


def test_preemption_leaves_the_floor(make_cell):
    """Guards against a flood of urgent work that stops all other work."""
    cell = make_cell(runners=1, cpu=40_000)
    cell.submit("batch", step(40, estimate_s=30.0))
    cell.plan()
    cell.read_inventories()
    for i in range(4):
        cell.submit(f"urgent{i}", step(40, estimate_s=9.0), queue="urgent")
    for _ in range(60):
        cell.now += 0.05
        cell.plan()
        cell.read_inventories()
    stopped = [kind for kind, _ in cell.events if kind == "run_preempted"]
    assert len(stopped) == 40 - FLOOR_SHARE * 40


def test_job_of_no_use_stops_no_other_work(make_cell):
    """Guards against work thrown away for a caller that gains nothing by it."""
    cell = make_cell(runners=1)
    cell.submit("batch", step(4, estimate_s=30.0))
    cell.plan()
    cell.submit("urgent", step(1), queue="urgent")
    cell.now += 4.0
    _, orders = cell.plan()
    assert not any(isinstance(order, StopTask) for order in orders)


def test_victims_are_runs_of_jobs_that_lose_nothing(make_cell):
    """Guards against a stop of work in time while work of no use goes on."""
    cell = make_cell(runners=1)
    cell.submit("lost", step(2, estimate_s=1.0))
    cell.now += 4.0
    cell.submit("useful", step(2, estimate_s=30.0, checkpoints=True))
    cell.plan()
    cell.read_inventories()
    cell.submit("urgent", step(1), queue="urgent")
    cell.now += 0.2
    _, orders = cell.plan()
    stopped = [o.task.job for o in orders if isinstance(o, StopTask)]
    assert stopped == ["lost"]


def test_outlook_of_an_occurrence_counts_from_its_own_time(full_cell):
    """Guards against later occurrences that count as late when they begin."""
    full_cell.submit("timed", step(1))
    (s,) = [s for s in full_cell.state.ready.values() if s.job.id == "timed"]
    spec = attrs.evolve(
        s.job.job.spec, occurrences=9, interval_ms=2000, first_due_ms=100_000
    )
    s.job.job = attrs.evolve(s.job.job, spec=spec)
    s.occurrence = 4
    order = full_cell.state.order
    assert order.outlook(s, 108.0) is Outlook.IN_TIME
    assert order.outlook(s, 109.0) is Outlook.LATE
    assert order.outlook(s, 112.0) is Outlook.LOST


def test_work_that_lasts_is_never_late(full_cell):
    """Guards against services that wait behind all jobs once they are interrupted."""
    full_cell.submit("long", step(1, lasting=True), queue="urgent")
    full_cell.now += 60.0
    full_cell.submit("new", step(1), queue="urgent")
    assert waiting(full_cell) == ["long", "new"]


def test_estimates_are_corrected_by_what_tasks_of_the_image_took(make_cell):
    """Guards against deadlines judged by estimates that are always wrong."""
    cell = make_cell(runners=4)
    cell.submit("first", step(16, image="a"))
    cell.submit("second", step(8, image="a"))
    cell.plan()
    cell.now += 3.0
    for fake in cell.runners.values():
        for key in list(fake.running):
            fake.end(*key)
    cell.read_inventories()
    cell.plan()
    cell.now += 3.0
    for fake in cell.runners.values():
        for key in list(fake.running):
            fake.end(*key)
    cell.read_inventories()
    durations = cell.state.durations
    like = cell.submit("like", step(1, image="a")).steps[(0, 0)]
    other = cell.submit("other", step(1, image="b")).steps[(0, 0)]
    assert durations.task_s(like) == pytest.approx(3.0, rel=0.1)
    assert durations.task_s(other) == 1.0


def test_ranks_are_not_computed_for_each_plan(full_cell, monkeypatch):
    """Guards against plans whose cost is that of all ranks of 2,000 waiting steps."""
    computed = []
    rank = WorkOrder.rank

    def count_rank(order, s, now):
        computed.append(s)
        return rank(order, s, now)

    monkeypatch.setattr(WorkOrder, "rank", count_rank)
    for i in range(2000):
        full_cell.submit(f"j{i}", step(1, estimate_s=60.0))
    for _ in range(10):
        full_cell.now += 0.01
        full_cell.plan()
    assert len(computed) == 2000


def test_objective_leaves_time_for_advice_and_for_waves():
    """Guards against jobs that count as late since their room or quota is small."""
    steps = (step(8, estimate_s=2.0), step(1, estimate_s=3.0, after=(0,)))
    spec = JobSpec(payload="p", steps=steps)
    queue = attrs.evolve(BATCH, target_s=1.0, stretch=2.0)
    assert measure_objective_s(queue, spec) == 1.0 + 2.0 * 5.0
    assert measure_objective_s(queue, spec, quota=4000) == 1.0 + 2.0 * 7.0
    assert measure_objective_s(queue, spec, room=8000) == 1.0 + 2.0 * 11.0
    advised = attrs.evolve(queue, advice=ADVISED.advice)
    assert measure_objective_s(advised, spec) == pytest.approx(1.0 + 2.0 * 6.4)


def test_objective_of_a_wide_job_is_the_same_after_a_takeover(make_cell):
    """Guards against jobs that count as late since a new leader knows no room yet."""
    cell = make_cell(runners=2)
    cell.plan()
    entry = cell.submit("wide", step(40))
    assert entry.objective_s > 40 * entry.queue.stretch / 8
    cell.take_over(1, {}, [entry.job])
    recovered = cell.state.jobs["wide"]
    assert recovered.objective_s == pytest.approx(entry.objective_s)


def test_forecast_puts_no_job_beyond_the_rate_before_others(cell):
    """Guards against ranks that a forecast computes before the rates are compared."""
    cell.set_workspaces(*(Workspace(name=name, weight=1.0) for name in ("a", "b")))
    forecaster = cell.scheduler.forecaster
    forecaster.forecast(cell.now - 10.0)
    for n in range(30):
        cell.submit(f"a{n}", step(1), workspace="a")
    cell.now += 0.1
    cell.submit("b0", step(3), workspace="b")
    assert forecaster.forecast(cell.now) is not None
    cell.plan()
    assert [task.job for task, _, _ in cell.started].count("b0") == 3
