"""Stored form of jobs and their progress."""

import attrs
import msgspec

from wasabipaddle.jobs.checks import find_job_problem
from wasabipaddle.jobs.decoding import (
    DECODING_ERRORS,
    MAX_INTEGER,
    ignore_report,
    integer,
)
from wasabipaddle.jobs.model import Job, JobPhase

__all__ = [
    "GANG_INDEX",
    "JobProgress",
    "decode_job",
    "decode_progress",
    "encode_job",
    "encode_progress",
]

# Stands for the task index in the keys of stored failures of a gang.
GANG_INDEX = "gang"
# Largest number of digits of a number in a key.
MAX_DIGITS = 9
MAX_SHOWN_KEY = 40


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
    pools : list of str
        Pools in which tasks may have been started, besides that of the queue when the
        job was accepted.
    """

    phase: JobPhase = JobPhase.QUEUED
    completed: dict[str, list[int]] = attrs.field(factory=dict)
    failures: dict[str, list[int]] = attrs.field(factory=dict)
    ended_ms: int = 0
    pools: list[str] = attrs.field(factory=list)

    def restrict(self, spec):
        """Return the progress without occurrences, steps and tasks that a job lacks."""
        occurrences = spec.occurrences if spec.scheduled else 1

        def find_step(key):
            occurrence, position = map(int, key.split(".")[:2])
            exists = occurrence < occurrences and position < len(spec.steps)
            return spec.steps[position] if exists else None

        completed = {}
        for key, indexes in self.completed.items():
            step = find_step(key)
            if step is not None:
                completed[key] = [n for n in indexes if n < step.count]
        failures = {}
        for key, numbers in self.failures.items():
            step, index = find_step(key), key.rpartition(".")[2]
            if step is not None and (index == GANG_INDEX or int(index) < step.count):
                failures[key] = numbers
        return attrs.evolve(self, completed=completed, failures=failures)


def encode_job(job) -> bytes:
    """Encode a `Job` for the store."""
    return msgspec.json.encode(job)


def decode_job(data) -> Job | None:
    """Decode a stored job; return None if the value is invalid."""
    try:
        job = msgspec.json.decode(data, type=Job)
    except DECODING_ERRORS:
        return None
    return None if find_job_problem(job) else job


def encode_progress(progress) -> bytes:
    """Encode a `JobProgress` for the store."""
    return msgspec.json.encode(progress)


def decode_progress(data, *, report=ignore_report) -> JobProgress | None:
    """Decode stored progress; return None if the value is no progress at all.

    What is readable is kept, since tasks that have completed must not run again because
    of another row. A job without a readable phase goes on.

    Parameters
    ----------
    report : callable
        Called with the reason for each part that is left out.
    """
    try:
        body = msgspec.json.decode(data)
        if not isinstance(body, dict):
            raise TypeError("the progress is not an object")
    except DECODING_ERRORS as error:
        report(repr(error))
        return None
    progress = JobProgress(
        completed=_decode_rows(body.get("completed", {}), _is_step_key, report),
        failures=_decode_rows(body.get("failures", {}), _is_task_key, report),
        pools=_decode_pools(body.get("pools", []), report),
    )
    try:
        phase = JobPhase(body.get("phase", JobPhase.QUEUED))
        ended_ms = integer(body.get("ended_ms", 0), least=0)
        return attrs.evolve(progress, phase=phase, ended_ms=ended_ms)
    except DECODING_ERRORS as error:
        report(repr(error))
        return progress


def _decode_rows(rows, is_key, report):
    """Return the readable rows of lists of whole numbers by key."""
    decoded = {}
    if not isinstance(rows, dict):
        report("the rows are not an object")
        return decoded
    for key, numbers in rows.items():
        if is_key(key) and isinstance(numbers, list) and all(map(_is_index, numbers)):
            decoded[key] = numbers
        else:
            report(f"the row {key[:MAX_SHOWN_KEY]!r} is unreadable")
    return decoded


def _decode_pools(names, report):
    if isinstance(names, list) and all(isinstance(name, str) for name in names):
        return names
    report("the pools are unreadable")
    return []


def _is_index(value):
    return type(value) is int and 0 <= value <= MAX_INTEGER


def _is_step_key(key):
    parts = key.split(".")
    return len(parts) == 2 and all(map(_is_digits, parts))


def _is_task_key(key):
    step, _, index = key.rpartition(".")
    return _is_step_key(step) and (index == GANG_INDEX or _is_digits(index))


def _is_digits(text):
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
