"""Decoding of the jobs that callers submit."""

import re

import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import JobPhase, JobSpec, StepSpec

__all__ = ["JOB_ID", "PHASE_WORDS", "decode_spec"]

MS_PER_S = 1000
JOB_ID = re.compile(r"[0-9a-f]{16}")
PHASE_WORDS = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "cancelled",
}


def decode_spec(data) -> Result[JobSpec, Failure]:
    """Return the job in a request body, or an `Err` of kind `invalid_request`."""
    try:
        body = msgspec.json.decode(data)
        steps = tuple(_decode_step(step) for step in body["steps"])
        repeat_count = body.get("repeat_count", 0)
        spec = JobSpec(
            payload=body.get("spec", ""),
            steps=steps,
            occurrences=max(repeat_count, 1),
            first_due_ms=body.get("start_at_ms", 0) if repeat_count else 0,
            interval_ms=body.get("interval_ms", 0) if repeat_count else 0,
        )
    except (msgspec.MsgspecError, KeyError, TypeError, AttributeError) as error:
        detail = f"the job cannot be decoded: {type(error).__name__} {error}"
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail))
    for position, step in enumerate(steps):
        if step.count < 1 or any(not 0 <= n < position for n in step.after):
            detail = (
                f"step {position} has no tasks, or depends on a step that does not "
                "precede it"
            )
            return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail))
    return Ok(spec)


def _decode_step(step):
    return StepSpec(
        count=step.get("count", 0),
        cpu=step.get("cpu", 0),
        memory_mb=step.get("mem_mb", 0),
        gpus=step.get("gpu", 0),
        estimate_s=step.get("estimate_ms", 0) / MS_PER_S,
        after=tuple(step.get("after", ())),
        gang=step.get("gang", False),
        same_rack=step.get("same_rack", False),
        required_label=step.get("requires", ""),
        preferred_rack=step.get("affinity", ""),
        max_per_runner=step.get("max_per_server", 0),
        speculative=step.get("speculative", False),
        lasting=step.get("long_running", False),
        checkpoints=step.get("checkpointing", False),
        image=step.get("image", ""),
        target_latency_ms=step.get("target_ms", 0),
        opportunistic=step.get("fills", False),
        disruption_allowance=step.get("may_miss", -1),
    )
