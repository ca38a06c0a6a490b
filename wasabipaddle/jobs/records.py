"""Jobs and their progress as the store keeps them."""

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
    """What must outlive the dispatcher of a job.

    Parameters
    ----------
    phase : JobPhase
        State of the job; QUEUED and RUNNING are not distinguished after a recovery.
    completed : dict of str to list of int
        Indexes of the completed tasks by "occurrence.step".
    failures : dict of str to list of int
        Numbers of the failed runs by "occurrence.step.index".
    ended_ms : int
        Time of the end in Unix milliseconds, 0 while the job runs.
    """

    phase: JobPhase = JobPhase.QUEUED
    completed: dict[str, list[int]] = attrs.field(factory=dict)
    failures: dict[str, list[int]] = attrs.field(factory=dict)
    ended_ms: int = 0


def encode_job(job) -> bytes:
    """Return the stored form of a `Job`."""
    return msgspec.json.encode(job)


def decode_job(data) -> Job | None:
    """Return the job of a stored value, None if it cannot be read."""
    try:
        return msgspec.json.decode(data, type=Job)
    except msgspec.MsgspecError:
        return None


def encode_progress(progress) -> bytes:
    """Return the stored form of a `JobProgress`."""
    return msgspec.json.encode(progress)


def decode_progress(data) -> JobProgress | None:
    """Return the progress of a stored value, None if it cannot be read."""
    try:
        return msgspec.json.decode(data, type=JobProgress)
    except msgspec.MsgspecError:
        return None
