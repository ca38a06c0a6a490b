"""Fixtures and factories for the tests of the stand-ins."""

import json

import pytest

from wasabipaddle.documents import Resources, Urgency
from wasabipaddle.interfaces import EndpointRequest, TaskStart, WorkerSync
from wasabipaddle.standins import Ledger, MemoryEndpoint, MemoryWorker

NEEDS = Resources(cpu_milli=1000, memory_mb=1000)


def make_start(task="r/0", attempt=1, needs=NEEDS, checkpoint=None, **payload):
    return TaskStart(
        task=task,
        attempt=attempt,
        service="s",
        team="t",
        urgency=Urgency.NORMAL,
        needs=needs,
        payload=json.dumps(payload),
        checkpoint=checkpoint,
    )


def make_sync(*starts, epoch=1, lease_s=10.0, **fields):
    return WorkerSync(
        shard="a-0", epoch=epoch, leader="p", lease_s=lease_s, starts=starts, **fields
    )


def make_request(request="q1", epoch=1, deadline_s=10.0, **payload):
    return EndpointRequest(
        request=request,
        service="s",
        shard="a-0",
        epoch=epoch,
        deadline_s=deadline_s,
        body=json.dumps(payload).encode(),
    )


async def read_body(answer):
    return b"".join([chunk async for chunk in answer.chunks])


@pytest.fixture
def ledger():
    return Ledger()


@pytest.fixture
def worker(ledger):
    capacity = Resources(cpu_milli=4000, memory_mb=4000)
    return MemoryWorker(name="w1", capacity=capacity, ledger=ledger)


@pytest.fixture
def endpoint(ledger):
    return MemoryEndpoint(name="e1", ledger=ledger, slots=2, connections=4)
