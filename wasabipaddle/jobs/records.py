"""Stored form of jobs and their progress."""

import attrs
import msgspec

from wasabipaddle.jobs.model import Job, JobPhase

__all__ = [
    "JobProgress",
    "decode_job",
    "decode_progress",
    "encode_job",
    "encode_progress",
]


@attrs.frozen(kw_only=True)
class JobProgress:
    """Progress of a job that the next dispatcher must know.

    Parameters
    ----------
    phase : JobPhase
        State of the job. After a recovery, QUEUED or RUNNING is shown to callers by
        whether any task is known to have started, not by this field.
    completed : dict of str to list of int
        Indexes of the completed tasks by "occurrence.step".
    failures : dict of str to list of int
        Numbers of the failed runs by "occurrence.step.index", and of the failed runs
        of a gang by "occurrence.step.gang".
    ended_ms : int
        Time of the end in Unix milliseconds, 0 before.
    """

    phase: JobPhase = JobPhase.QUEUED
    completed: dict[str, list[int]] = attrs.field(factory=dict)
    failures: dict[str, list[int]] = attrs.field(factory=dict)
    ended_ms: int = 0


def encode_job(job) -> bytes:
    """Encode a `Job` for the store."""
    return msgspec.json.encode(job)


def decode_job(data) -> Job | None:
    """Decode a stored job; return None if the value is invalid."""
    try:
        return msgspec.json.decode(data, type=Job)
    except msgspec.MsgspecError:
        return None


def encode_progress(progress) -> bytes:
    """Encode a `JobProgress` for the store."""
    return msgspec.json.encode(progress)


def decode_progress(data) -> JobProgress | None:
    """Decode stored progress; return None if the value is invalid."""
    try:
        return msgspec.json.decode(data, type=JobProgress)
    except msgspec.MsgspecError:
        return None
