"""Tests of the limit on the tasks of a submitted job."""

import asyncio
import json
import types

import pytest
from result import Ok

from wasabipaddle.jobs import Job, JobSpec, Queue, StepSpec, decode_job, encode_job
from wasabipaddle.platform.callers import CallerListener
from wasabipaddle.settings import CellSettings, PlatformAddresses

QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p")
JOB = "00000000000000aa"


class Service:
    """Job service that records the jobs it gets."""

    def __init__(self, **settings):
        settings = CellSettings(
            process="p0",
            data_centre="a",
            region="r",
            callers="127.0.0.1:1",
            readiness="127.0.0.1:2",
            internal="127.0.0.1:3",
            platform=PlatformAddresses(store="127.0.0.1:4"),
            **settings,
        )
        self.context = types.SimpleNamespace(settings=settings)
        self.submitted = []

    def select_queue(self, host, path):
        return Ok(QUEUE)

    def identify(self, queue, key):
        return Ok("")

    async def submit(self, queue, job_id, spec, *, wait_s, workspace):
        self.submitted.append(spec)
        return Ok(0)


class Request:
    """Call of a caller with a job in its body."""

    headers = types.MappingProxyType({})
    path = QUEUE.prefix + JOB

    def __init__(self, body):
        self.body = json.dumps(body).encode()

    async def read(self):
        return self.body


def submit(service, counts, **fields):
    """Submit a job with steps of these numbers of tasks; return the response."""
    body = {"spec": "t", "steps": [{"count": n} for n in counts], **fields}
    listener = CallerListener(service=service)
    return asyncio.run(listener._submit(Request(body), JOB, 3.0))


@pytest.mark.parametrize(
    ("counts", "fields"),
    [
        ([20_001], {}),
        ([10_000, 10_001], {}),
        ([1_000_000], {}),
        ([10**12], {}),
        ([10_000], {"repeat_count": 3, "interval_ms": 5}),
        ([1], {"repeat_count": 10**9, "interval_ms": 5}),
    ],
)
def test_job_with_too_many_tasks_is_refused_and_not_stored(counts, fields):
    """Guards against a job whose tasks keep the dispatcher busy for minutes."""
    service = Service()
    response = submit(service, counts, **fields)
    assert response.status == 413
    assert b"20000" in response.body
    assert service.submitted == []


def test_largest_job_is_accepted():
    """Guards against a limit that is off by one, or not that of the settings."""
    service = Service()
    assert submit(service, [10_000, 10_000]).status == 200
    assert submit(Service(max_job_tasks=7), [8]).status == 413
    assert submit(Service(max_job_tasks=7), [7]).status == 200


def test_stored_job_beyond_the_limit_is_read():
    """Guards against the loss of a job that an earlier version has accepted."""
    spec = JobSpec(payload="p", steps=(StepSpec(count=300_000),))
    job = Job(id=JOB, policy=QUEUE, accepted_ms=1, spec=spec)
    assert decode_job(encode_job(job)) == job
