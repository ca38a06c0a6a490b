"""Keys in the head of calls, over real connections."""

import asyncio
import json
import logging
import types

import pytest
from result import Err, Ok

from wasabipaddle.clock import LoopClock
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.ingress import RequestLimits
from wasabipaddle.jobs import (
    CellConfiguration,
    Queue,
    Workspace,
    digest_key,
    identify_workspace,
)
from wasabipaddle.kernel import Context
from wasabipaddle.platform import decode_configuration
from wasabipaddle.platform.callers import CallerListener

JOB = "00000000000000aa"
QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p")
CONFIGURATION = CellConfiguration(
    version=1,
    queues=(QUEUE,),
    workspaces={
        "w": Workspace(name="w", key_digests=frozenset({digest_key("secret")})),
    },
    requires_keys=True,
)
SIZE = 1_000
TIMEOUT_S = 10.0
BODY = b'{"spec":"t","steps":[{"count":1}]}'


class Service:
    """Job service with one workspace that records the calls that it admits."""

    ready = True

    def __init__(self):
        self.configuration = CONFIGURATION
        self.proved = True
        self.admitted = []

    def request_limits(self):
        return RequestLimits(max_head_bytes=10 * SIZE, max_body_bytes=10 * SIZE)

    def select_queue(self, host, path):
        queue = self.configuration.match(host, path)
        return Err(Failure(kind=ErrorKind.NOT_FOUND)) if queue is None else Ok(queue)

    def identify(self, queue, key):
        if not self.proved:
            kind = ErrorKind.STALE_CONFIGURATION
            return Err(Failure(kind=kind, retry_after_s=1.0))
        return identify_workspace(self.configuration, queue, key)

    async def submit(self, queue, job_id, spec, *, wait_s, workspace):
        self.admitted.append(workspace)
        return Ok(0)


def head(key, *, method="POST", path=f"/q/{JOB}", size=SIZE):
    """Return the head of a call whose body has `size` bytes."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Content-Length: {size}"]
    key_line = b"" if key is None else b"Key: " + key + b"\r\n"
    return "\r\n".join(lines).encode() + b"\r\n" + key_line + b"\r\n"


@pytest.fixture
def call():
    """Send bytes to a listener, run a step, send more; return the answer's head."""

    def run(service, first, *, step=None, then=b""):
        async def main():
            service.context = Context.create(
                settings=types.SimpleNamespace(max_job_tasks=10),
                clock=LoopClock(),
                process="p0",
                seed=1,
            )
            callers = CallerListener(service=service)
            address = "127.0.0.1:0"
            await callers.open(callers_address=address, readiness_address=address)
            port = callers.listeners[0].server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(first)
            if step is not None:
                await asyncio.sleep(0.1)
                step()
                writer.write(then)
            async with asyncio.timeout(TIMEOUT_S):
                answer = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            await callers.close()
            return int(answer.split()[1]), answer

        return asyncio.run(main())

    return run


@pytest.mark.parametrize("key", [None, b"", b"secre", b"secret2", b"\xff\xfe", b"\xc3"])
def test_call_without_a_known_key_is_answered_before_its_body(call, key):
    """Guards against bodies that are read for callers who have no key.

    The body is never sent, so a listener that waits for it does not answer.
    """
    status, _ = call(Service(), head(key))
    assert status == 401


@pytest.mark.parametrize("path", ["/other/", "/q"])
def test_unknown_queue_is_not_found_whatever_the_key(call, path):
    """Guards against status 401 for a queue that does not exist."""
    for key in (None, b"secret"):
        assert call(Service(), head(key, path=path))[0] == 404


def test_number_of_waiting_jobs_needs_a_key(call):
    """Guards against a call about a queue that nobody checks."""
    assert call(Service(), head(None, method="GET", path="/q/", size=0))[0] == 401


def test_call_without_a_proof_of_the_configuration_may_be_repeated(call):
    """Guards against a refusal that does not say when to come back."""
    service = Service()
    service.proved = False
    status, answer = call(service, head(b"secret"))
    assert status == 503
    assert b"Retry-After: 1\r\n" in answer


def test_key_that_is_removed_while_the_body_arrives_admits_nothing(call):
    """Guards against heads that are sent in advance and used after the removal."""
    service, first = Service(), head(b"secret", size=len(BODY))
    assert call(service, first, step=lambda: None, then=BODY)[0] == 200
    assert service.admitted == ["w"]

    def remove():
        service.configuration = CellConfiguration(
            version=2, queues=(QUEUE,), requires_keys=True
        )

    assert call(service, first, step=remove, then=BODY)[0] == 401
    assert service.admitted == ["w"]


@pytest.mark.parametrize(
    "key", [b"hidden\x00", b"hidden\x7f", b"hidden" * 2_000, b"a\r\n hidden"]
)
def test_key_in_a_malformed_head_is_not_logged(call, key, caplog):
    """Guards against keys in the lines of the HTTP library about malformed heads."""
    with caplog.at_level(logging.DEBUG):
        status, _ = call(Service(), head(key))
    assert status in (400, 431)
    assert "hidden" not in caplog.text


@pytest.mark.parametrize("key", ["k" * 1_000_000, "\ud800", "", 5, None, ["secret"]])
def test_workspace_with_an_odd_key_is_left_out_and_named_without_it(key):
    """Guards against one odd key that stops the others, and against keys in reports."""
    rows = [{"name": "w1", "api_keys": ["secret", key]}, {"name": "w2"}]
    reports = []
    value = json.dumps({"version": 1, "tenants": rows}).encode()
    decoded = decode_configuration(value, report=reports.append).ok()
    assert list(decoded.workspaces) == ["w2"]
    assert decoded.requires_keys
    assert [report for report in reports if "w1" in report] == reports != []
    assert "secret" not in repr(reports)
    assert str(key)[:10] not in repr(reports) or key in ("", None)


@pytest.mark.parametrize(("characters", "valid"), [(128, True), (129, False)])
def test_length_of_a_key_is_limited_in_bytes(characters, valid):
    """Guards against a limit that counts characters, which may have several bytes."""
    rows = [{"name": "w", "api_keys": ["é" * characters]}]
    value = json.dumps({"version": 1, "tenants": rows}).encode()
    decoded = decode_configuration(value, report=lambda detail: None).ok()
    assert list(decoded.workspaces) == (["w"] if valid else [])
