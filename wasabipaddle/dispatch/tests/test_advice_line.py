"""Shares of the steps in the requests for advice that can be made at a time."""

import attrs
import pytest

from wasabipaddle.dispatch.tests.conftest import ADVISED, step


@pytest.fixture
def busy_cell(make_cell):
    """Return a cell with 40 waiting steps and one of a queue of lower priority."""
    last = attrs.evolve(ADVISED, name="last", priority=3)
    now = attrs.evolve(ADVISED, name="now", priority=0)
    cell = make_cell(runners=8, queues=(last, now))
    cell.submit("z", step(1), queue="last")
    for i in range(40):
        cell.submit(f"j{i:02}", step(1), queue="advised")
    return cell


def request_one(cell):
    """Return the job of the only request that can be made 0.25 s later."""
    cell.now += 0.25
    (request,), _ = cell.plan(advice_slots=1)
    return request.step.job.id


def test_request_goes_to_the_first_step_in_the_order(busy_cell):
    """Guards against steps that ask by chance while the service is busy."""
    asked = [request_one(busy_cell) for _ in range(3)]
    assert asked == ["j00", "j01", "j02"]


def test_work_of_lower_priority_asks_before_a_burst_has_ended(busy_cell):
    """Guards against work that never asks while more urgent work goes on."""
    asked = [request_one(busy_cell) for _ in range(8)]
    assert asked.count("z") == 1


def test_step_that_lasts_does_not_wait_for_its_kind(busy_cell):
    """Guards against a task that lasts behind many steps of its own kind."""
    spec = step(1, lasting=True, estimate_s=100.0)
    for i in range(4):
        busy_cell.submit(f"service{i}", spec, queue="last")
    asked = [request_one(busy_cell) for _ in range(14)]
    assert {"service0", "service1", "service2", "service3"} < set(asked)


def test_urgent_request_needs_no_slot(busy_cell):
    """Guards against urgent steps that wait for the answers of others."""
    busy_cell.submit("u", step(1), queue="now")
    requests, _ = busy_cell.plan(advice_slots=0)
    assert [request.step.job.id for request in requests] == ["u"]
