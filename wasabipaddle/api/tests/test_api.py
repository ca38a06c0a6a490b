"""Tests of the HTTP interface on loopback."""

import asyncio

import aiohttp
import pytest

from wasabipaddle.api.tests.cell import ARCHIVE, EXAMPLES, MEMORIAL, open_cell
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError
from wasabipaddle.kernel import ReadinessChanged
from wasabipaddle.messages import StopRun, SubmitRun
from wasabipaddle.timeline import EventKind

REQUESTS = "/v1/services/manifesti/requests"
RUNS = "/v1/services/anniversary-pages/runs"
PAGES = "/v1/services/anniversary-pages"
BROKEN = WasabipaddleError(Failure(kind=ErrorKind.ANSWER_BROKEN))


def in_cell(test, **options):
    """Run a coroutine function with a running HTTP interface."""

    async def main():
        async with open_cell(**options) as cell:
            await test(cell)

    asyncio.run(main())


def test_request_is_answered_whole():
    """Guards against an incomplete answer, and a missing length, digest or id."""

    async def check(cell):
        status, headers, body = await cell.call("POST", REQUESTS, data=b"x")
        assert (status, body, headers["Content-Length"]) == (200, b"answer", "6")
        assert headers["X-Answer-Digest"] == "xxh3=" + "0" * 16
        assert headers["X-Request-Id"] == cell.received[0].request
        assert cell.received[0].body == b"x"

    in_cell(check)


@pytest.mark.parametrize(
    ("chunks", "length"),
    [
        ([b"ans", b"wer", BROKEN], 6),
        ([b"ans", b"wer", ValueError("fault")], 6),
        ([b"an", b"s", b"w"], 6),
        ([b"an", b"swer", b"more"], 6),
    ],
)
def test_broken_answer_never_looks_complete(chunks, length):
    """Guards against a failed, too short or too long answer that looks complete."""

    async def check(cell):
        cell.chunks, cell.length = chunks, length
        with pytest.raises(aiohttp.ClientPayloadError):
            await cell.call("POST", REQUESTS)
        cell.chunks = chunks[-1:]
        status, _, body = await cell.call("POST", REQUESTS)
        assert (status >= 500, "kind" in body) == (True, True)

    in_cell(check)


def test_repeated_idempotency_key_does_not_run_again():
    """Guards against a second run of a request that its caller repeats with its key."""

    async def check(cell):
        headers = {"Idempotency-Key": "k1"}
        cell.chunks = [b"ans", None, b"wer"]
        first = asyncio.create_task(cell.call("POST", REQUESTS, headers=headers))
        while not cell.received:
            await asyncio.sleep(0)
        status, _, body = await cell.call("POST", REQUESTS, headers=headers)
        assert (status, body["kind"], body["outcome"]) == (
            409,
            "in_progress",
            "unknown",
        )
        cell.release.set()
        await first
        status, _, body = await cell.call("POST", REQUESTS, headers=headers)
        assert (status, body, len(cell.received)) == (200, b"answer", 1)
        other = await cell.call("POST", REQUESTS, headers=headers, data=b"other")
        assert other[2]["kind"] == "conflict"

    in_cell(check)


def test_run_operations_are_put_on_the_bus():
    """Guards against run operations that lose a parameter on the way to the bus."""

    async def check(cell):
        headers = {**ARCHIVE, "Idempotency-Key": "k"}
        status, found, body = await cell.call("POST", RUNS, json=[1], headers=headers)
        assert (status, found["Location"], body["run"]) == (202, "/v1/runs/s.1", "s.1")
        submitted = SubmitRun(
            shard="", service="anniversary-pages", key="k", payload="[1]"
        )
        assert cell.received == [submitted]
        _, found, _ = await cell.call("POST", RUNS, headers=ARCHIVE)
        assert len(found["Idempotency-Key"]) == 32
        _, found, _ = await cell.call("GET", "/v1/runs/s.1", headers=ARCHIVE)
        seen = {**ARCHIVE, "If-None-Match": found["ETag"]}
        assert (await cell.call("GET", "/v1/runs/s.1", headers=seen))[0] == 304
        path = "/v1/runs/s.1/stop?grace=90s"
        await cell.call("POST", path, headers=ARCHIVE)
        assert cell.received[-1] == StopRun(run="s.1", grace_s=90.0)
        page = (await cell.call("GET", "/v1/runs?limit=5", headers=ARCHIVE))[2]
        assert [r["team"] for r in page["runs"]] == ["archive"]
        absent = await cell.call("GET", "/v1/runs/absent", headers=ARCHIVE)
        assert (absent[0], absent[2]["outcome"]) == (404, "not_run")

    in_cell(check)


def test_team_runs_and_edits_only_its_own_services():
    """Guards against an operator that reads or changes the work of another team."""

    async def check(cell):
        text = (EXAMPLES / "anniversary-pages.yaml").read_text()
        new = {"If-None-Match": "*"}
        calls = [
            ("POST", RUNS, {}, b""),
            ("POST", "/v1/runs/s.1/cancel", {}, b""),
            ("POST", "/v1/runs/s.1/stop", {}, b""),
            ("GET", "/v1/runs/s.1", {}, b""),
            ("PUT", PAGES, new, text),
        ]
        for method, path, headers, data in calls:
            for token, kind in ((MEMORIAL, "forbidden"), ({}, "unauthenticated")):
                response = await cell.call(
                    method, path, headers={**headers, **token}, data=data
                )
                assert response[2]["kind"] == kind, (method, path)
        assert cell.store.entries == {}

    in_cell(check)


def test_document_edits_are_conditional():
    """Guards against an edit that overwrites a revision the operator has not seen."""

    async def check(cell):
        text = (EXAMPLES / "anniversary-pages.yaml").read_text()

        async def put(text=text, **headers):
            names = {k.replace("_", "-"): v for k, v in headers.items()}
            return await cell.call(
                "PUT", PAGES, data=text, headers={**ARCHIVE, **names}
            )

        assert (await put())[2]["kind"] == "precondition_required"
        status, first, _ = await put(If_None_Match="*")
        assert status == 201
        assert (await put(If_None_Match="*"))[2]["kind"] == "revision_mismatch"
        edited = text.replace("tasks: 16", "tasks: 17")
        assert (await put(edited, If_Match=first["ETag"]))[0] == 200
        assert (await put(If_Match=first["ETag"]))[2]["kind"] == "revision_mismatch"
        refused = await put("service: {", If_Match='"2"')
        assert refused[2]["kind"] == "invalid_document"
        _, headers, view = await cell.call("GET", PAGES, headers=ARCHIVE)
        assert view["text"] == edited
        history = await cell.call("GET", PAGES + "/history", headers=ARCHIVE)
        assert [r["text"] for r in history[2]["revisions"]] == [text, edited]
        seen = {**ARCHIVE, "If-Match": headers["ETag"]}
        assert (await cell.call("DELETE", PAGES, headers=seen))[0] == 200
        assert (await cell.call("GET", PAGES, headers=ARCHIVE))[0] == 404

    in_cell(check)


def test_local_operators_need_no_token_if_none_is_configured():
    """Guards against a cell without tokens that refuses operators on loopback."""

    async def check(cell):
        assert (await cell.call("GET", "/v1/metrics"))[0] == 200
        cluster = (await cell.call("GET", "/v1/cluster"))[2]
        assert (cluster["process"], cluster["ready"]) == ("brescia-a-e1", True)

    in_cell(check, tokens=())


def test_events_are_filtered():
    """Guards against a filter that drops a matching event or returns another one."""

    async def check(cell):
        events = cell.plugin.context.events
        events.record(EventKind.RUN_ACCEPTED, run="s.1", service="pages")
        events.record(EventKind.RUN_ENDED, run="s.2", service="pages")
        for query, count in (("", 2), ("?run=s.1", 1), ("?since=9999999999999", 0)):
            body = (await cell.call("GET", "/v1/events" + query, headers=ARCHIVE))[2]
            assert len(body["events"]) == count
        assert body["process"] == "brescia-a-e1"

    in_cell(check)


def test_callers_need_a_token_if_tokens_are_configured():
    """Guards against anonymous requests in a cell with tokens for callers."""

    async def check(cell):
        assert (await cell.call("POST", REQUESTS))[2]["kind"] == "unauthenticated"
        token = {"Authorization": "Bearer caller-token-portal"}
        assert (await cell.call("POST", REQUESTS, headers=token))[0] == 200
        assert cell.received[0].caller == "portal"

    in_cell(check, callers=("portal",))


def test_limits_refuse_without_running():
    """Guards against calls that run although they exceed a configured limit."""

    async def check(cell):
        large = await cell.call("POST", REQUESTS, data=b"x" * 2_000)
        assert (large[0], large[2]["kind"]) == (413, "body_too_large")
        many = {f"X-{i}": "y" * 500 for i in range(4)}
        header = await cell.call("POST", REQUESTS, headers=many)
        assert header[2]["kind"] == "headers_too_large"
        line = await cell.call("POST", REQUESTS, headers={"X-Long": "y" * 3_000})
        assert line[2]["kind"] == "headers_too_large"
        limited = [await cell.call("POST", REQUESTS) for _ in range(4)][-1]
        assert (limited[0], limited[2]["kind"]) == (429, "rate_limited")
        assert int(limited[1]["Retry-After"]) >= 1
        assert len(cell.received) <= 3

    in_cell(
        check,
        max_body_bytes=1_024,
        max_header_bytes=1_024,
        caller_rate_per_s=0.01,
        caller_burst=4,
    )


def test_connections_are_bounded():
    """Guards against open connections above the limit, each of which takes memory."""

    async def check(cell):
        assert (await cell.call("GET", "/healthz"))[0] == 200
        port = cell.plugin.listener.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        assert b"queue_full" in await reader.read()
        writer.close()

    in_cell(check, max_connections=1)


def test_shutdown_cuts_off_no_request():
    """Guards against a shutdown that aborts a request or a long poll in progress."""

    async def check(cell):
        cell.chunks = [b"ans", None, b"wer"]
        request = asyncio.create_task(cell.call("POST", REQUESTS))
        while not cell.received:
            await asyncio.sleep(0)
        wait = cell.call("GET", "/v1/runs/s.1?wait=30s", headers=ARCHIVE)
        waiting = asyncio.create_task(wait)
        while len(cell.received) < 2:
            await asyncio.sleep(0)
        drain = asyncio.create_task(cell.plugin.drain())
        assert (await waiting)[0] == 200
        status, _, body = await cell.call("GET", "/readyz")
        assert (status, body["reasons"]) == (503, ["draining"])
        while not cell.plugin.state.readiness.refuses_new_work:
            await asyncio.sleep(0.01)
        refused = await cell.call("POST", REQUESTS)
        assert (refused[0], refused[2]["kind"]) == (503, "draining")
        assert not drain.done()
        cell.release.set()
        assert (await request)[2] == b"answer"
        await drain

    in_cell(check, drain_s=4.0)


def test_roles_delay_readiness():
    """Guards against traffic for a process with a role that is not ready."""

    async def check(cell):
        bus = cell.plugin.context.bus
        bus.publish(ReadinessChanged(role="relay", reason="no documents yet"))
        status, _, body = await cell.call("GET", "/readyz")
        assert (status, body["reasons"]) == (503, ["relay: no documents yet"])
        bus.publish(ReadinessChanged(role="relay"))
        assert (await cell.call("GET", "/readyz"))[0] == 200

    in_cell(check)
