"""Dry runs of placement: what they answer happens, and they change nothing."""

import random

import attrs
import pytest

from wasabipaddle.dispatch.job_placement import MAX_CANDIDATES, MAX_STARTS
from wasabipaddle.dispatch.reservations import Reservation
from wasabipaddle.dispatch.runners import RunnerState
from wasabipaddle.dispatch.tests.conftest import QUEUES, step
from wasabipaddle.dispatch.tests.dry_run_parts import (
    ASKED,
    ask,
    make_job,
    snapshot,
    submit,
)
from wasabipaddle.jobs import Capacity, JobPhase, JobSpec, Workspace
from wasabipaddle.messages.placement import Exclusion, WaitReason


def draw_step(draw):
    count = draw.choice([1, 1, 2, 3, 6, 40])
    return step(
        count,
        cpu=draw.choice([500, 500, 1000, 1000, 2000, 3500]),
        memory_mb=draw.choice([0, 0, 30_000]),
        estimate_s=draw.choice([0.2, 1.0, 5.0]),
        gang=draw.random() < 0.25,
        same_rack=draw.random() < 0.5,
        lasting=draw.random() < 0.2,
        opportunistic=draw.random() < 0.1,
        max_per_runner=draw.choice([0, 0, 0, 1, 2]),
        required_label=draw.choice(["", "", "", "", "", "rack-r1"]),
        preferred_rack=draw.choice(["", "", "rack-r0", "rack-r2"]),
    )


def draw_cell(make_cell, draw):
    """Return a cell with random runners, workspaces and work, as a round leaves it."""
    cell = make_cell(runners=0)
    for number in range(draw.randint(2, 7)):
        cell.add_runner(f"r{number}", cpu=draw.choice([2000, 4000, 8000]))
    cell.set_workspaces(
        Workspace(name="w1", weight=draw.choice([0.2, 1.0, 5.0])),
        Workspace(name="w2", quota=Capacity(cpu=draw.choice([1000, 3000, 9000]))),
    )
    if draw.random() < 0.5:
        cell.scheduler.forecaster.forecast(cell.now)
        cell.advance_time(4.0)
    for number in range(draw.randint(0, 12)):
        queue = draw.choice(["urgent", "batch", "batch", "advised"])
        workspace = draw.choice(["", "w1", "w2"])
        cell.submit(f"j{number}", draw_step(draw), queue=queue, workspace=workspace)
        if draw.random() < 0.5:
            cell.now += 0.3
            requests, _ = cell.plan(answer=draw.random() < 0.9)
            for request in requests:
                tickets = {r.id: "t" for r in request.runners if draw.random() < 0.7}
                cell.scheduler.advisor.record_answer(
                    request.step, request.runners, tickets, 0.0, cell.now
                )
    for runner in cell.state.runners.values():
        if draw.random() < 0.2:
            entry = attrs.evolve(runner.entry, draining=True, leaves_in_s=5.0)
            cell.scheduler.set_runner(entry, cell.now)
        if draw.random() < 0.3:
            runner.health.speed = draw.choice([0.4, 0.7, 1.7])
        if draw.random() < 0.15:
            runner.health.quarantined_until_s = cell.now + 3.0
        if draw.random() < 0.1:
            cell.scheduler.inventory_failed(runner, cell.now)
    cell.now += draw.choice([0.01, 0.3, 2.5])
    cell.plan()
    return cell


@pytest.mark.parametrize("seed", range(150))
def test_answer_is_what_then_happens_and_changes_nothing(make_cell, seed):
    """Guards against an answer by other decisions, and a question with an effect."""
    draw = random.Random(seed)
    cell = draw_cell(make_cell, draw)
    queue = draw.choice(["urgent", "batch", "advised"])
    job = make_job(
        cell, draw_step(draw), queue=queue, workspace=draw.choice(["", "w1", "w2"])
    )
    before = snapshot([cell.scheduler, cell.events])
    reply = ask(cell, job)
    assert snapshot([cell.scheduler, cell.events]) == before
    (answer,) = reply.steps
    starts, asked = submit(cell, job)
    assert list(answer.starts.items()) == list(starts.items())
    assert answer.asked == asked
    assert (answer.start_s == 0.0) == bool(starts)
    entry = cell.state.jobs[job.id]
    assert reply.objective_s == entry.objective_s
    assert answer.in_excess == entry.in_excess
    if starts and not job.spec.steps[0].gang:
        assert answer.candidates[0].runner == next(iter(starts))
        assert answer.candidates[0].exclusion is None
    position = [s.job.id for s in cell.state.order.sequence]
    if not starts:
        assert position.index(job.id) == answer.place
    asked_step = entry.steps[0, 0]
    assert bool(asked_step.pending) == (answer.waits_for is not WaitReason.NONE)
    if asked_step.pending:
        together = len(asked_step.pending) if asked_step.spec.gang else 1
        admits = cell.state.quotas.admits(asked_step, count=together)
        assert admits == (answer.waits_for is not WaitReason.QUOTA)
    if answer.waits_for is WaitReason.REPLIES:
        assert cell.scheduler.placement.deferred


def exclude_room(cell, runner):
    cell.submit("other", step(4))
    cell.plan()


def exclude_replies(cell, runner):
    cell.submit("other", step(40, cpu=1))
    cell.scheduler.plan(cell.now)
    cell.scheduler.take_orders()


@pytest.mark.parametrize(
    ("exclusion", "change"),
    [
        (Exclusion.GONE, lambda c, r: c.scheduler.mark_unlisted(r.id)),
        (Exclusion.GONE, lambda c, r: c.scheduler.runner_exited(r, c.now)),
        (
            Exclusion.DRAINING,
            lambda c, r: c.scheduler.set_runner(
                attrs.evolve(r.entry, draining=True), c.now
            ),
        ),
        (Exclusion.NOT_READY, lambda c, r: setattr(r, "in_fleet_record", False)),
        (Exclusion.UNKNOWN_TASKS, lambda c, r: setattr(r, "lists_unknown_tasks", True)),
        (Exclusion.PAUSED, lambda c, r: c.scheduler.inventory_failed(r, c.now)),
        (
            Exclusion.QUARANTINED,
            lambda c, r: setattr(r.health, "quarantined_until_s", c.now + 1.0),
        ),
        (Exclusion.NO_ROOM, exclude_room),
        (Exclusion.AWAITS_REPLIES, exclude_replies),
    ],
)
def test_excluded_runner_is_named_with_the_reason(make_cell, exclusion, change):
    """Guards against a runner that gets no work for a reason that is not shown."""
    cell = make_cell(runners=1)
    change(cell, cell.state.runners["r0"])
    (answer,) = ask(cell, make_job(cell, step())).steps
    assert [c.exclusion for c in answer.candidates] == [exclusion]
    assert answer.excluded == {exclusion.value: 1}
    awaits = exclusion is Exclusion.AWAITS_REPLIES
    assert (answer.waits_for is WaitReason.REPLIES) == awaits
    assert submit(cell, make_job(cell, step())) == ({}, ())


@pytest.mark.parametrize(
    ("changes", "exclusion"),
    [
        ({"required_label": "absent"}, Exclusion.LABEL),
        ({"cpu": 5000}, Exclusion.TOO_SMALL),
    ],
)
def test_step_that_no_runner_can_hold_is_told_from_one_that_waits(
    cell, changes, exclusion
):
    """Guards against the answer that work waits for room which never comes."""
    (answer,) = ask(cell, make_job(cell, step(**changes))).steps
    assert answer.waits_for is WaitReason.NO_RUNNER
    assert answer.excluded == {exclusion.value: 2}
    assert answer.start_s is None


def test_urgent_job_names_the_runs_that_are_then_preempted(make_cell):
    """Guards against an answer that hides what an urgent job costs others."""
    cell = make_cell(runners=2)
    cell.submit("other", step(8, estimate_s=50.0))
    cell.plan()
    cell.read_inventories()
    cell.submit("later", step(1))
    cell.plan()
    job = make_job(cell, step(), queue="urgent")
    (answer,) = ask(cell, job).steps
    assert (answer.waits_for, answer.place) == (WaitReason.ROOM, 0)
    submit(cell, job)
    cell.now += 0.11
    cell.scheduler.plan(cell.now)
    stopped = [order.runner.id for order in cell.scheduler.take_orders()]
    assert stopped == [answer.preempts_on] * answer.preempted
    assert answer.start_s > 0.1


def test_job_that_is_sent_to_another_pool_is_not_written(cell):
    """Guards against the record of a job that was only asked about."""
    policy = attrs.evolve(QUEUES["batch"], pool="earlier")
    job = attrs.evolve(make_job(cell, step()), policy=policy)
    before = snapshot([cell.scheduler, cell.events])
    ask(cell, job)
    assert snapshot([cell.scheduler, cell.events]) == before
    cell.scheduler.lifecycle.add_job(job, cell.now)
    assert cell.state.dirty


def test_only_steps_that_open_at_once_are_placed(cell):
    """Guards against runners that are named for a step which begins later."""
    reply = ask(cell, make_job(cell, step(), step(after=(0,)), step(2)))
    assert [s.step for s in reply.steps] == [0, 2]
    assert reply.later_steps == 1


def test_known_job_is_answered_with_its_phase(cell):
    """Guards against the answer that a repeated submission starts again."""
    cell.submit("known", step())
    cell.plan()
    reply = ask(cell, make_job(cell, step(), job_id="known"))
    assert (reply.phase, reply.steps) == (JobPhase.RUNNING, ())


def test_no_start_is_promised_without_a_proof_of_leadership(cell):
    """Guards against runners that are named while the leader may start nothing."""
    (answer,) = ask(cell, make_job(cell, step()), may_start=False).steps
    assert answer.waits_for is WaitReason.NOT_GRANTING
    assert (answer.starts, answer.start_s) == ({}, None)


def test_question_between_two_rounds_decides_nothing_for_new_jobs(cell):
    """Guards against jobs that a question counts in the rate of their workspace."""
    cell.set_workspaces(Workspace(name="w1", weight=0.2))
    for number in range(3):
        cell.submit(f"new{number}", step(), workspace="w1")
    before = snapshot(cell.scheduler)
    (answer,) = ask(cell, make_job(cell, step(), workspace="w1")).steps
    assert snapshot(cell.scheduler) == before
    assert answer.in_excess


def test_answer_on_a_large_job_is_bounded(make_cell):
    """Guards against an answer that names a start for each of thousands of tasks."""
    cell = make_cell(runners=20, cpu=100_000)
    (answer,) = ask(cell, make_job(cell, step(2000))).steps
    assert answer.waits_for is WaitReason.TRUNCATED
    assert sum(answer.starts.values()) <= MAX_STARTS
    assert len(answer.candidates) == MAX_CANDIDATES


def test_work_for_a_large_gang_grows_with_the_runners_only(make_cell, monkeypatch):
    """Guards against a leader that stands still for each task on each runner."""
    cell = make_cell(runners=20)
    cell.submit("other", step(80))
    cell.plan()
    cell.read_inventories()
    reads = []
    read_id = RunnerState.id.fget
    counting = property(lambda runner: reads.append(1) or read_id(runner))
    monkeypatch.setattr(RunnerState, "id", counting)
    work = []
    for count in (1, 2000):
        reads.clear()
        (answer,) = ask(cell, make_job(cell, step(count, cpu=1, gang=True))).steps
        assert answer.waits_for is WaitReason.ROOM
        work.append(len(reads))
    assert work[0] <= work[1] <= 2 * work[0]


def test_reservation_that_has_expired_ends_in_the_next_round_only(make_cell):
    """Guards against a question that frees the runners kept for a gang."""
    cell = make_cell(runners=1)
    entry = cell.submit("gang", step(5, gang=True))
    cell.plan()
    cell.scheduler.reservations.by_pool["pool"] = Reservation(
        step=entry.steps[0, 0], runner_ids=frozenset({"r0"}), until_s=cell.now
    )
    before = snapshot([cell.scheduler, cell.events])
    (answer,) = ask(cell, make_job(cell, step())).steps
    assert snapshot([cell.scheduler, cell.events]) == before
    assert submit(cell, make_job(cell, step()))[0] == answer.starts == {"r0": 1}


def test_question_opens_no_occurrence_and_takes_no_order(cell):
    """Guards against orders that are lost, and occurrences that a question opens."""
    spec = JobSpec(
        payload="p", steps=(step(),), occurrences=3, first_due_ms=1, interval_ms=2000
    )
    job = attrs.evolve(make_job(cell, job_id="timed"), spec=spec)
    cell.state.wall_offset_s = -cell.now
    cell.scheduler.lifecycle.add_job(job, cell.now)
    cell.submit("other", step())
    cell.scheduler.plan(cell.now)
    cell.now += 3.0
    before = snapshot(cell.scheduler)
    reply = ask(cell, attrs.evolve(job, id=ASKED))
    assert snapshot(cell.scheduler) == before
    assert cell.state.outbox
    assert (len(reply.steps), reply.later_steps) == (2, 1)
