"""Stored jobs and progress that cannot be decoded, in whole or in part."""

import json

import pytest

from wasabipaddle.dispatch import Scheduler
from wasabipaddle.dispatch.state import Timing
from wasabipaddle.jobs import (
    Job,
    JobPhase,
    JobProgress,
    JobSpec,
    Queue,
    StepSpec,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)

QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p")
JOB = Job(
    id="00000000000000aa",
    policy=QUEUE,
    accepted_ms=1,
    spec=JobSpec(payload="p", steps=(StepSpec(count=3), StepSpec(count=1, after=(0,)))),
)
PROGRESS = JobProgress(
    phase=JobPhase.RUNNING,
    completed={"0.0": [0, 2]},
    failures={"0.0.1": [5], "0.0.gang": [6]},
    ended_ms=7,
)
NESTED = b"[" * 100_000


def change(value, path, new):
    """Return an encoded value with another value at a path of keys."""
    body = json.loads(value)
    item = body
    for key in path[:-1]:
        item = item[key]
    item[path[-1]] = new
    return json.dumps(body).encode()


@pytest.mark.parametrize(
    ("path", "new"),
    [
        (("accepted_ms",), 10**40),
        (("accepted_ms",), 1.5),
        (("policy",), None),
        (("policy", "stretch"), 1e300),
        (("policy", "target_s"), -1e300),
        (("policy", "priority"), 2**70),
        (("policy", "priority"), "0"),
        (("spec", "steps"), []),
        (("spec", "steps", 0, "count"), 10**9),
        (("spec", "steps", 0, "count"), -1),
        (("spec", "steps", 0, "cpu"), 2**64),
        (("spec", "steps", 0, "estimate_s"), 1e300),
        (("spec", "steps", 0, "estimate_s"), -1),
        (("spec", "steps", 0, "disruption_allowance"), -(2**70)),
        (("spec", "steps", 1, "after"), [1]),
        (("spec", "steps", 1, "after"), [-1]),
        (("spec", "occurrences"), 0),
        (("spec", "occurrences"), -3),
        (("spec", "occurrences"), 10**9),
        (("spec", "first_due_ms"), 10**400),
        (("spec", "interval_ms"), -1),
    ],
    ids=str,
)
def test_stored_job_that_cannot_be_planned_is_left_out(path, new):
    """Guards against a job of another writer that stops the planning of all jobs."""
    assert decode_job(encode_job(JOB)) == JOB
    assert decode_job(change(encode_job(JOB), path, new)) is None


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"{}", NESTED, encode_job(JOB)[:-1] + b',"x":' + NESTED]
)
def test_undecodable_job_is_left_out(value):
    """Guards against an error in the watch of jobs."""
    assert decode_job(value) is None


@pytest.mark.parametrize(
    ("path", "new", "expected"),
    [
        (("completed", "0"), [1], {"0.0": [0, 2]}),
        (("completed", "0.x"), [1], {"0.0": [0, 2]}),
        (("completed", "0.-1"), [1], {"0.0": [0, 2]}),
        (("completed", "0." + "9" * 5000), [1], {"0.0": [0, 2]}),
        (("completed", "0.1"), [0.5], {"0.0": [0, 2]}),
        (("completed", "0.1"), [-1], {"0.0": [0, 2]}),
        (("completed", "0.1"), 5, {"0.0": [0, 2]}),
        (("completed",), [], {}),
        (("failures",), 5, {"0.0": [0, 2]}),
        (("failures", "0.0"), [1], {"0.0": [0, 2]}),
        (("failures", "0.0.1"), ["5"], {"0.0": [0, 2]}),
        (("phase",), "lost", {"0.0": [0, 2]}),
        (("phase",), [], {"0.0": [0, 2]}),
        (("ended_ms",), 2**70, {"0.0": [0, 2]}),
    ],
    ids=str,
)
def test_readable_rows_of_progress_are_kept(path, new, expected):
    """Guards against tasks that run again because of another unreadable row."""
    reasons = []
    assert decode_progress(encode_progress(PROGRESS), report=reasons.append) == PROGRESS
    assert not reasons
    value = change(encode_progress(PROGRESS), path, new)
    progress = decode_progress(value, report=reasons.append)
    assert progress.completed == expected
    assert len(reasons) == 1


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"[]", b"5", NESTED, b'{"phase":1e999}']
)
def test_value_that_is_no_progress_is_left_out(value):
    """Guards against a takeover that fails on one record."""
    reasons = []
    assert decode_progress(value, report=reasons.append) is None
    assert len(reasons) == 1


@pytest.mark.parametrize(
    "progress",
    [
        JobProgress(completed={"0.0": [0, 7]}),
        JobProgress(completed={"0.9": [0]}),
        JobProgress(completed={"5.0": [0], "0.0": [0]}),
        JobProgress(failures={"0.0.9": [1], "9.0.0": [1], "0.9.gang": [1]}),
    ],
    ids=str,
)
@pytest.mark.parametrize("scheduled", [False, True])
def test_progress_that_the_job_does_not_have_is_left_out(progress, scheduled):
    """Guards against an error or an endless loop of the dispatcher in a takeover."""
    spec = JobSpec(
        payload="p",
        steps=JOB.spec.steps,
        occurrences=3 if scheduled else 1,
        first_due_ms=10**15 if scheduled else 0,
        interval_ms=1000 if scheduled else 0,
    )
    job = Job(id=JOB.id, policy=QUEUE, accepted_ms=1, spec=spec)
    scheduler = Scheduler(timing=Timing(), journal=lambda kind, **values: None)
    entry = scheduler.lifecycle.add_job(job, 0.0, progress=progress, recovered=True)
    assert len(entry.steps) <= 6
    scheduler.advance(1.0)
    scheduler.plan(1.0)
