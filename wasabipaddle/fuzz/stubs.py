"""Surroundings of decoders that make no calls and keep no files."""

import msgspec
from result import Ok

from wasabipaddle.dispatch import Scheduler
from wasabipaddle.dispatch.state import Timing
from wasabipaddle.jobs import (
    Capacity,
    Job,
    JobSpec,
    Queue,
    RunnerEntry,
    StepSpec,
)
from wasabipaddle.jobs.decoding import DECODING_ERRORS
from wasabipaddle.transport.json_client import HttpResponse

__all__ = [
    "JOB",
    "RUNNER",
    "BrokenResult",
    "StubClient",
    "StubReports",
    "make_scheduler",
    "require",
    "run_now",
    "store_journal",
]

QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p")
JOB = Job(
    id="0" * 16,
    policy=QUEUE,
    accepted_ms=1,
    spec=JobSpec(payload="p", steps=(StepSpec(count=3), StepSpec(count=1, after=(0,)))),
)
RUNNER = RunnerEntry(
    id="i-1",
    address="127.0.0.1:9",
    data_centre="a",
    pool="p",
    capacity=Capacity(cpu=4000, memory_mb=100),
)


class BrokenResult(Exception):
    """A decoder returned something that the program cannot use."""


def require(condition, detail):
    """Raise `BrokenResult` unless a condition holds."""
    if not condition:
        raise BrokenResult(detail)


class StubClient:
    """HTTP client that answers every call with the same body.

    Parameters
    ----------
    raw : bytes
        Body of the answers.
    status : int
        Status of the answers.
    """

    def __init__(self, *, raw, status=200):
        self.raw = raw
        self.status = status

    async def call_hedged(self, method, path, **options):
        """Return the answer, as `call` does."""
        return await self.call(method, path, **options)

    async def call(self, method, path, **options):
        """Return the answer, decoded as `JsonHttpClient` does."""
        try:
            body = msgspec.json.decode(self.raw)
        except DECODING_ERRORS:
            body = {}
        body = body if isinstance(body, dict) else {}
        return Ok(HttpResponse(status=self.status, body=body))


class StubReports:
    """Stand-in for `UnreadableRecords` that discards its reports."""

    def record(self, kind, key, reason=""):
        """Discard a report."""


def run_now(coroutine):
    """Return the result of a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as ended:
        return ended.value
    raise RuntimeError("the coroutine waits")


def store_journal(kind, **values):
    """Encode an event like the structured log does."""
    msgspec.json.encode({"event": kind, **values})


def make_scheduler(*, job=JOB, progress=None, runner=RUNNER):
    """Return a scheduler with one job and one runner that may get work."""
    scheduler = Scheduler(timing=Timing(), journal=store_journal)
    state = scheduler.set_runner(runner, 1.0)
    state.in_fleet_record = True
    scheduler.lifecycle.add_job(job, 1.0, progress=progress, recovered=True)
    return scheduler
