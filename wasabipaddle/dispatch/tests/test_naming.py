"""Which runners requests for advice name, and how many."""

import random
import statistics

import pytest

from wasabipaddle.dispatch.naming import (
    MAX_COMPARED,
    MAX_RUNNERS_PER_REQUEST,
    Naming,
)
from wasabipaddle.dispatch.tests.conftest import Cell, step
from wasabipaddle.interfaces import EndCause

# Seeds of the load, and its mean figures over them if each request names the 30 freest
# runners: time of the service for each start, and wait of the steps for their first
# start, half of them and 95 of 100, with a margin for rounding.
SEEDS = range(200, 208)
SERVICE_S_PER_START = 0.0790
HALF_WAIT_S = 0.81
LONG_WAIT_S = 0.81


@pytest.fixture
def large_cell(make_cell):
    return make_cell(runners=60)


def answer(cell, request, *, share=0.5, seed=0):
    """Answer a request: a part of all runners is eligible for each step."""
    generator = random.Random(f"{seed}{request.step.key}")
    names = sorted(cell.runners)
    eligible = set(generator.sample(names, int(share * len(names))))
    tickets = {r.id: "t" for r in request.runners if r.id in eligible}
    cell.scheduler.advisor.record_answer(
        request.step, request.runners, tickets, 2.5, cell.now
    )


def test_number_of_named_runners_follows_the_tasks_and_the_learned_share(large_cell):
    """Guards against calls that take long since they name runners of no use."""
    large_cell.submit("small", step(2), queue="advised")
    large_cell.submit("wide", step(60), queue="advised")
    requests, _ = large_cell.plan()
    named = {r.step.job.id: len(r.runners) for r in requests}
    assert named["small"] < 12
    assert named["wide"] == MAX_RUNNERS_PER_REQUEST
    for request in requests:
        answer(large_cell, request, share=1.0)
    for i in range(30):
        large_cell.submit(f"next{i}", step(1), queue="advised")
        requests, _ = large_cell.plan()
        for request in requests:
            answer(large_cell, request, share=1.0)
    large_cell.submit("last", step(4), queue="advised")
    requests, _ = large_cell.plan()
    (last,) = [r for r in requests if r.step.job.id == "last"]
    assert len(last.runners) < named["small"]


def test_steps_that_ask_at_the_same_time_name_different_runners(large_cell):
    """Guards against answers for runners whose room others take in the meantime."""
    for i in range(4):
        large_cell.submit(f"j{i}", step(8), queue="advised")
    requests, _ = large_cell.plan()
    named = [runner.id for request in requests for runner in request.runners]
    assert len(named) == len(set(named))


def test_claims_end_with_the_answer_and_with_its_failure(large_cell):
    """Guards against runners that are never named again after a lost answer."""
    large_cell.submit("a", step(8), queue="advised")
    large_cell.submit("b", step(8), queue="advised")
    (a, b), _ = large_cell.plan()
    naming = large_cell.scheduler.advisor.naming
    assert naming.expected_uses
    answer(large_cell, a)
    large_cell.scheduler.advisor.record_failure(b.step, large_cell.now)
    assert not naming.requests
    assert not naming.expected_uses


def test_steps_far_back_do_not_ask_while_there_is_no_room(large_cell):
    """Guards against answers that expire before the step can use them."""
    large_cell.submit("service", step(240, lasting=True), queue="urgent")
    large_cell.plan()
    for i in range(40):
        large_cell.submit(f"j{i}", step(4), queue="advised")
    requests, _ = large_cell.plan()
    first = {f"j{i}" for i in range(10)}
    assert {r.step.job.id for r in requests} < first


def test_next_step_does_not_ask_while_its_predecessor_exceeds_its_estimate(make_cell):
    """Guards against answers that expire before the step opens."""
    cell = make_cell(runners=4)
    steps = (step(1, estimate_s=0.9), step(1, after=(0,)))
    entry = cell.submit("j", *steps, queue="advised")
    (first,), _ = cell.plan()
    answer(cell, first, share=1.0)
    cell.plan()
    cell.now += 3.0
    assert cell.plan()[0] == []
    (run,) = entry.steps[(0, 0)].tasks[0].runs
    run.percent, run.progress_s = 95, cell.now
    (second,), _ = cell.plan()
    assert second.step.position == 1


def play_load(cell, seed):
    """Play steps with failing tasks and too little room.

    Returns
    -------
    list of float
        Wait of each step for its first start, in seconds, in rising order.
    service_s : float
        Time of the service for each start, in seconds.
    """
    sizes, generator = random.Random(seed), random.Random(seed + 1)
    service_s, answers, ends, waits = 0.0, [], {}, {}
    for tick in range(400):
        cell.now += 0.1
        jobs = 12 if tick in (0, 100) else int(tick % 10 == 0 and tick < 200)
        for i in range(jobs):
            spec = step(sizes.randrange(1, 28), estimate_s=2.0)
            cell.submit(f"j{tick}-{i}", spec, queue="advised")
        due = [pair for pair in answers if pair[0] <= cell.now]
        answers = [pair for pair in answers if pair[0] > cell.now]
        for _, request in due:
            answer(cell, request, share=0.35)
        for fake in cell.runners.values():
            for key in list(fake.running):
                ends.setdefault(key, cell.now + generator.uniform(1.0, 6.0))
                if cell.now >= ends[key]:
                    failed = generator.random() < 0.05
                    fake.end(*key, EndCause.FAILED if failed else EndCause.COMPLETED)
        cell.read_inventories()
        cell.write()
        requests, _ = cell.plan()
        for request in requests:
            service_s += request.expected_s
            answers.append((cell.now + request.expected_s, request))
        for task, _, _ in cell.started:
            accepted_s = cell.state.jobs[task.job].accepted_s
            waits.setdefault(task.job, cell.now - accepted_s)
    assert all(entry.phase.final for entry in cell.state.jobs.values())
    return sorted(waits.values()), service_s / len(cell.started)


@pytest.fixture(scope="module")
def plays():
    """Return waits and time of the service of the load, by seed."""
    return [play_load(Cell(runners=60), seed) for seed in SEEDS]


def test_load_needs_at_most_seven_tenths_of_the_time_of_the_service(plays):
    """Guards against a service that is busy with answers that nobody uses."""
    service_s = statistics.mean(service_s for _, service_s in plays)
    assert service_s <= 0.7 * SERVICE_S_PER_START


def test_first_starts_are_no_later(plays):
    """Guards against steps that wait since too few runners were named."""
    half_s = statistics.mean(waits[len(waits) // 2] for waits, _ in plays)
    long_s = statistics.mean(waits[int(0.95 * len(waits))] for waits, _ in plays)
    assert half_s <= HALF_WAIT_S
    assert long_s <= LONG_WAIT_S


def test_request_compares_a_bounded_number_of_runners(make_cell, monkeypatch):
    """Guards against requests whose cost grows with the fleet."""
    cell = make_cell(runners=2 * MAX_COMPARED)
    measured = []
    measure = Naming._measure

    def note(self, step, runner, needs, tasks):
        measured.append(runner.id)
        return measure(self, step, runner, needs, tasks)

    monkeypatch.setattr(Naming, "_measure", note)
    for i in range(2):
        cell.submit(f"j{i}", step(1), queue="advised")
    cell.plan()
    assert len(measured) == len(set(measured)) == 2 * MAX_COMPARED
