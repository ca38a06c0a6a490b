"""Waves and the machine service: decoding, statuses and refusals."""

import asyncio

import pytest
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Entry
from wasabipaddle.interfaces.machines import MaintenanceReply
from wasabipaddle.jobs.maintenance import Machine, MachineState, MaintenanceWave
from wasabipaddle.platform import PlatformMachines, decode_wave, encode_wave_status
from wasabipaddle.transport.json_client import HttpResponse

WAVE = b'{"wave":7,"machines":["a","b","a"],"duration_s":30,"cap":2}'
ROW = {
    "machine": "a", "pool": "p", "state": "upkeep", "zone": "z",
    "labels": ["kind", "rack"], "capacity": {"cpu": 1}, "id": "i-1",
}  # fmt: skip


class FakeClient:
    """HTTP client with prepared results, which records its calls."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []

    async def call(self, method, path, **options):
        self.calls.append((method, path, options))
        return self.results.pop(0)


@pytest.fixture
def make_service():
    def make(*results):
        service = PlatformMachines(address="127.0.0.1:9")
        service.client = FakeClient(*results)
        return service

    return make


def answer(status, **body):
    return Ok(HttpResponse(status=status, body=body))


def entry(value, key="op/wave/7"):
    return Entry(key=key, value=value, revision=1)


def begin(service):
    call = service.begin_maintenance("a", 7, holder="p0", epoch=5, timeout_s=1.0)
    return asyncio.run(call)


def test_wave_is_decoded():
    wave = MaintenanceWave(number=7, machines=("a", "b"), duration_s=30, cap=2)
    assert decode_wave(entry(WAVE)) == Ok(wave)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b'"wave":7', b'"wave":8'),
        (b'"cap":2', b'"cap":-1'),
        (b'"cap":2', b'"cap":1.5'),
        (b'"machines":["a","b","a"]', b'"machines":[3]'),
        (b'"machines":["a","b","a"]', b'"machines":null'),
        (b'"duration_s":30', b'"duration_s":"x"'),
        (b"}", b""),
    ],
)
def test_unreadable_wave_is_an_error(old, new):
    assert decode_wave(entry(WAVE.replace(old, new))).is_err()


def test_status_says_running_or_completed():
    status = encode_wave_status(7, completed=False)
    assert status == ("status/wave/7", b'{"state":"running"}')
    assert encode_wave_status(7, completed=True)[1] == b'{"state":"completed"}'


def test_list_has_the_machines_of_all_pages(make_service):
    odd = {"machine": "b", "state": 5, "labels": 3}
    service = make_service(
        answer(200, machines=[ROW], next_token="t"), answer(200, machines=[odd])
    )
    found = asyncio.run(service.list_machines(timeout_s=1.0)).ok()
    machine = Machine(
        id="a",
        pool="p",
        state=MachineState.MAINTENANCE,
        data_centre="z",
        rack="rack",
        runner="i-1",
    )
    assert found == (machine, Machine(id="b", pool="", state=MachineState.DOWN))
    assert service.client.calls[1][2]["query"] == {"page_token": "t"}


@pytest.mark.parametrize(
    "page",
    [
        answer(200),
        answer(503),
        answer(429),
        answer(200, machines=[{"state": "up"}]),
        Err(Failure(kind=ErrorKind.TIMEOUT)),
    ],
)
def test_list_without_a_page_is_an_error(make_service, page):
    """Guards against machines that count as gone because a page is missing."""
    service = make_service(answer(200, machines=[ROW], next_token="t"), page)
    assert asyncio.run(service.list_machines(timeout_s=1.0)).is_err()


def test_call_names_the_holder_and_the_epoch(make_service):
    service = make_service(answer(200))
    assert begin(service) == Ok(MaintenanceReply.ACCEPTED)
    method, path, options = service.client.calls[0]
    assert (method, path) == ("POST", "/machine-upkeep")
    assert options["body"] == {"machine": "a", "wave": 7}
    assert options["headers"] == {"Lease-Holder": "p0", "Fencing-Token": "5"}


@pytest.mark.parametrize(
    ("response", "reply"),
    [
        (answer(409, reason="fence"), MaintenanceReply.STALE_EPOCH),
        (answer(409, reason="busy"), MaintenanceReply.BUSY),
        (answer(409, reason="wave"), MaintenanceReply.NOT_IN_WAVE),
        (answer(400), MaintenanceReply.INVALID),
    ],
)
def test_refusals_are_told_apart(make_service, response, reply):
    assert begin(make_service(response)) == Ok(reply)


@pytest.mark.parametrize(
    ("response", "kind"),
    [
        (answer(429), ErrorKind.RATE_LIMITED),
        (answer(503), ErrorKind.TIMEOUT),
        (answer(409, reason="new"), ErrorKind.TIMEOUT),
        (answer(409, reason=200), ErrorKind.TIMEOUT),
        (Err(Failure(kind=ErrorKind.UNREACHABLE)), ErrorKind.UNREACHABLE),
    ],
)
def test_unclear_answers_leave_the_outcome_open(make_service, response, kind):
    """Guards against a call that counts as refused and is carried out."""
    assert begin(make_service(response)).err().kind is kind
