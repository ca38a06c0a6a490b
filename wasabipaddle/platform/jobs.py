"""Decoding of the jobs that callers submit."""

import math
import re

import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import JobPhase, JobSpec
from wasabipaddle.jobs.checks import find_spec_problem
from wasabipaddle.jobs.decoding import DECODING_ERRORS, rounded, whole
from wasabipaddle.jobs.submission import find_schedule_problem, find_size_problem

__all__ = ["JOB_ID", "KEY_HEADER", "PHASE_WORDS", "decode_spec"]

MS_PER_S = 1000
# Header that carries the key of a caller.
KEY_HEADER = "Key"
JOB_ID = re.compile(r"[0-9a-f]{16}")
PHASE_WORDS = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "cancelled",
}


def decode_spec(data, *, max_tasks=math.inf) -> Result[JobSpec, Failure]:
    """Return the job in a request body.

    Errors are of kind `body_too_large` for a job with more than `max_tasks` tasks, else
    `invalid_request`.
    """
    try:
        # The conversion checks the type of every field.
        spec = msgspec.convert(_read_spec(msgspec.json.decode(data)), JobSpec)
    except DECODING_ERRORS as error:
        detail = f"the job cannot be decoded: {type(error).__name__} {error}"
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail))
    problem = find_size_problem(spec, max_tasks)
    if problem:
        return Err(Failure(kind=ErrorKind.BODY_TOO_LARGE, detail=problem))
    problem = find_spec_problem(spec) or find_schedule_problem(spec)
    if problem:
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=problem))
    return Ok(spec)


def _read_spec(body):
    """Return the fields of a `JobSpec`, in the types of the body."""
    scheduled = whole(body.get("repeat_count") or 0)
    return {
        "payload": body.get("spec", ""),
        "steps": [_read_step(step) for step in body["steps"]],
        "occurrences": max(scheduled, 1),
        "first_due_ms": rounded(body.get("start_at_ms") or 0) if scheduled else 0,
        "interval_ms": rounded(body.get("interval_ms") or 0) if scheduled else 0,
    }


def _read_step(step):
    """Return the fields of a `StepSpec`, in the types of the body."""
    may_miss = step.get("may_miss")
    return {
        "count": whole(step.get("count") or 0),
        "cpu": whole(step.get("cpu") or 0),
        "memory_mb": whole(step.get("mem_mb") or 0),
        "gpus": whole(step.get("gpu") or 0),
        "estimate_s": (step.get("estimate_ms") or 0) / MS_PER_S,
        "after": [whole(position) for position in step.get("after") or ()],
        "gang": step.get("gang") or False,
        "same_rack": step.get("same_rack") or False,
        "required_label": step.get("requires") or "",
        "preferred_rack": step.get("affinity") or "",
        "max_per_runner": whole(step.get("max_per_server") or 0),
        "speculative": step.get("speculative") or False,
        "lasting": step.get("long_running") or False,
        "checkpoints": step.get("checkpointing") or False,
        "image": step.get("image") or "",
        "target_latency_ms": rounded(step.get("target_ms") or 0),
        "opportunistic": step.get("fills") or False,
        "disruption_allowance": -1 if may_miss is None else whole(may_miss),
    }
