"""Fuzz tests of the HTTP interface: malformed calls get a listed error kind."""

import asyncio
import contextlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wasabipaddle.api.tests.cell import open_cell
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.messages import ListRuns, QueryRun

KINDS = {k.value for k in ErrorKind}
PATH_PARTS = ["v1", "services", "runs", "requests", "history", "cancel", "stop", "s.1"]
SERVICES = ["manifesti", "anniversary-pages", "events", "cluster", "metrics", "..", ""]
CONDITIONS = ["If-Match", "If-None-Match", "Idempotency-Key", "Request-Timeout"]
OTHER_HEADERS = ["Authorization", "Expect", "Content-Encoding", "Range", "X-Any"]
TOKEN = "Bearer archive-token-0001"
METHODS = st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"])
PARTS = st.one_of(
    st.sampled_from([*PATH_PARTS, *SERVICES]),
    st.text(alphabet="abc%20Z-./", max_size=6),
)
QUERIES = st.sampled_from(["", "?wait=x", "?limit=-1", "?limit=9999999", "?since=1e9"])
HEADERS = st.dictionaries(
    st.sampled_from([*CONDITIONS, *OTHER_HEADERS]),
    st.one_of(
        st.sampled_from(
            [TOKEN, "Bearer x", '"1"', "*", "gzip", "10s", "0", "100-continue"]
        ),
        st.text(
            alphabet=st.characters(min_codepoint=32, max_codepoint=255), max_size=9
        ),
    ),
    max_size=4,
)


@pytest.fixture(scope="module")
def served():
    """Event loop with a running HTTP interface."""
    with asyncio.Runner() as runner:
        stack = contextlib.AsyncExitStack()
        limits = {"caller_rate_per_s": 1e6, "caller_burst": 1e7}
        cell = runner.run(stack.enter_async_context(open_cell(**limits)))
        yield runner, cell
        runner.run(stack.aclose())


async def exchange(cell, data):
    """Send bytes on a new connection and return all bytes received."""
    port = cell.plugin.listener.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    response = await reader.read()
    writer.close()
    return response


def check_response(response):
    """Check an HTTP response and return its error kind, None if it has none."""
    head, _, body = response.partition(b"\r\n\r\n")
    if head.startswith(b"HTTP/1.1 100"):
        head, _, body = body.partition(b"\r\n\r\n")
    assert b"Traceback" not in response and b".py" not in response
    status = int(head.split()[1])
    if status < 400 or not body:
        return None
    error = json.loads(body)
    assert set(error) == {"kind", "detail", "outcome", "retry_after_s"}
    assert error["kind"] in KINDS - {"internal"}
    return error["kind"]


@settings(max_examples=300)
@given(METHODS, st.lists(PARTS, max_size=5), QUERIES, HEADERS, st.binary(max_size=40))
def test_any_call_ends_in_a_listed_kind(served, method, parts, query, headers, body):
    """Guards against a stack trace or a side effect caused by a malformed call."""
    runner, cell = served
    lines = [f"{method} /{'/'.join(parts)}{query} HTTP/1.1", "Host: a"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    data = "\r\n".join(lines).encode("latin-1") + body
    cell.received.clear()
    if check_response(runner.run(exchange(cell, data))) is not None:
        assert all(isinstance(m, QueryRun | ListRuns) for m in cell.received)
    assert cell.store.entries == {}


@given(st.binary(max_size=200))
def test_any_bytes_end_in_a_listed_kind(served, data):
    """Guards against an unhandled exception for bytes that are not HTTP."""
    runner, cell = served
    response = runner.run(exchange(cell, b"x" + data + b"\r\n\r\n"))
    assert check_response(response) in ("invalid_request", "headers_too_large")
    assert cell.store.entries == {}
