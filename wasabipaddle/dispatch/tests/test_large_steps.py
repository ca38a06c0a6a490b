"""Steps of thousands of tasks: start orders in flight, and work of a round."""

import collections

import pytest

from wasabipaddle.dispatch import StartOutcome, StartTask
from wasabipaddle.dispatch.model import Step, Task
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import OrderReply

TASKS = 5_000
# Starts that a runner may have without a reply.
MAX_IN_FLIGHT = 36
REPLY_S = 0.05


class SlowStarts:
    """Cell whose runners reply to start orders `REPLY_S` later."""

    def __init__(self, cell):
        self.cell = cell
        self.in_flight = []
        self.most_in_flight = 0

    def round(self):
        """Plan once, send the orders, then receive their replies."""
        cell = self.cell
        cell.scheduler.advance(cell.now)
        cell.scheduler.plan(cell.now)
        orders = cell.scheduler.take_orders()
        starts = [order.run for order in orders if isinstance(order, StartTask)]
        assert len(orders) == len(starts)
        self.in_flight += starts
        for count in collections.Counter(r.runner.id for r in self.in_flight).values():
            self.most_in_flight = max(self.most_in_flight, count)
        cell.now += REPLY_S
        for run in self.in_flight:
            fake = cell.runners[run.runner.id]
            fake.running[run.key] = ""
            cell.scheduler.replies.start_replied(
                run,
                StartOutcome.REPLIED,
                OrderReply(clock_ms=fake.clock_ms),
                cell.now,
                sent_s=cell.now - REPLY_S,
            )
        self.in_flight.clear()
        return starts


@pytest.fixture
def large(make_cell):
    cell = make_cell(runners=6, cpu=50_000)
    return SlowStarts(cell)


def small_step(count):
    return step(count, cpu=50, estimate_s=60.0)


def test_tasks_of_a_large_step_start_as_replies_arrive(large):
    """Guards against thousands of start calls at once, which all run into time-outs."""
    entry = large.cell.submit("j0", small_step(TASKS))
    started = 0
    while started < TASKS and large.cell.now < 110.0:
        starts = large.round()
        started += len(starts)
        in_steps = entry.steps[(0, 0)]
        assert len(in_steps.pending) == TASKS - started
        if large.cell.now % 1 < REPLY_S:
            large.cell.read_inventories()
    assert started == TASKS
    assert large.most_in_flight <= MAX_IN_FLIGHT
    assert not any(kind == "leases_expired" for kind, _ in large.cell.events)


def test_small_job_starts_beside_a_large_one(large):
    """Guards against a job that waits until all tasks of a large one have started."""
    large.cell.submit("j0", small_step(TASKS))
    for _ in range(3):
        large.round()
    entry = large.cell.submit("j1", small_step(3))
    submitted_s = large.cell.now
    while entry.steps[(0, 0)].pending:
        large.round()
        assert large.cell.now - submitted_s <= 3.0


@pytest.mark.parametrize("queue", ["batch", "urgent"])
def test_wait_for_replies_is_no_lack_of_capacity(large, queue):
    """Guards against preemption for tasks that only wait for other starts."""
    large.cell.submit("j0", small_step(200))
    large.round()
    large.cell.submit("j1", small_step(500), queue=queue)
    large.cell.scheduler.plan(large.cell.now)
    assert not large.cell.state.capacity_exhausted
    assert large.cell.scheduler.placement.deferred
    assert all(isinstance(o, StartTask) for o in large.cell.scheduler.take_orders())


def test_starts_without_a_reply_count_until_their_runs_are_gone(make_cell):
    """Guards against more and more orders for a runner that does not reply."""
    cell = make_cell(runners=1, cpu=50_000)
    cell.submit("j0", small_step(TASKS))
    cell.unresponsive.add("r0")
    for _ in range(5):
        cell.plan()
        cell.now += 1.1
        cell.state.runners["r0"].paused_until_s = 0.0
    assert len(cell.started) <= MAX_IN_FLIGHT


def count_visits(make_cell, tasks):
    """Return how many tasks a watchdog round visits, without completed runs."""
    cell = make_cell(runners=6, cpu=50_000)
    cell.submit("j0", small_step(tasks))
    starts = SlowStarts(cell)
    while cell.state.ready:
        starts.round()
    cell.now += 1.0
    cell.read_inventories()
    visits = 0

    class CountedTasks(list):
        def __iter__(self):
            nonlocal visits
            for item in list.__iter__(self):
                visits += 1
                yield item

    (entry,) = cell.state.jobs.values()
    counted = entry.steps[(0, 0)]
    assert isinstance(counted, Step)
    assert isinstance(counted.tasks[0], Task)
    counted.tasks = CountedTasks(counted.tasks)
    cell.scheduler.watchdog.check(cell.now)
    return visits


def test_watchdog_visits_the_tasks_of_a_step_once_a_round(make_cell):
    """Guards against a round whose cost grows with the square of the tasks."""
    for tasks in (100, 1_000):
        assert 0 < count_visits(make_cell, tasks) <= tasks
