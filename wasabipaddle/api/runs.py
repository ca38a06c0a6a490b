"""Routes of runs: submission, state, long polling, listing, cancellation and stop."""

import asyncio
import hashlib

import msgspec
from aiohttp import web

from wasabipaddle.api.responses import fail, json_response
from wasabipaddle.api.state import ASK_MARGIN_S, KEY_HEADER, read_body, read_integer
from wasabipaddle.documents import ServiceKind
from wasabipaddle.documents.units import parse_quantity, rule_for
from wasabipaddle.exceptions import ErrorKind, WasabipaddleError
from wasabipaddle.kernel import Route
from wasabipaddle.messages import (
    CancelRun,
    ListRuns,
    QueryRun,
    StopRun,
    SubmitRun,
    WaitRun,
    encode,
)

__all__ = ["RunRoutes"]

SUBMIT_TIMEOUT_S = 10.0
QUERY_TIMEOUT_S = 5.0
DEFAULT_LIMIT = 100
MAX_LIMIT = 1_000
DEFAULT_GRACE_S = 10.0
MAX_GRACE_S = 3_600.0
MAX_RUN_ID_LENGTH = 128


class RunRoutes:
    """Routes of runs.

    Parameters
    ----------
    state : ApiState
        Shared objects of the routes.
    """

    def __init__(self, *, state):
        self.state = state

    def routes(self) -> list[Route]:
        """Return the routes."""
        table = (
            ("POST", "/v1/services/{service}/runs", self.submit),
            ("GET", "/v1/runs", self.list),
            ("GET", "/v1/runs/{run}", self.get),
            ("POST", "/v1/runs/{run}/cancel", self.cancel),
            ("POST", "/v1/runs/{run}/stop", self.stop),
        )
        return [Route(method=m, path=p, handler=h) for m, p, h in table]

    async def submit(self, request):
        """Submit a run and return its state once it is accepted."""
        service = request.match_info["service"]
        operator = self.state.auth.operator(request)
        document = self.state.document(service)
        operator.check(document.team)
        if document.kind is ServiceKind.REQUEST:
            fail(ErrorKind.INVALID_REQUEST, f"{service} takes requests, not runs")
        key = self.state.key_of(request, generate=True)
        payload = _payload_text(await read_body(request))
        message = SubmitRun(shard="", service=service, key=key, payload=payload)
        try:
            view = await self.state.ask(message, timeout_s=SUBMIT_TIMEOUT_S)
        except WasabipaddleError as error:
            if error.failure.kind is not ErrorKind.TIMEOUT:
                raise
            detail = f"acceptance is unknown; repeat the call with {KEY_HEADER}: {key}"
            fail(ErrorKind.ACCEPTANCE_UNKNOWN, detail)
        headers = {KEY_HEADER: key, "Location": f"/v1/runs/{view.run}"}
        return json_response(view, status=202, headers=headers)

    async def get(self, request):
        """Return the state of a run.

        With `wait` in the query, the response is delayed until the run has ended, the
        time has passed or the process starts to shut down.
        """
        operator = self.state.auth.operator(request)
        run = _run_of(request)
        wait_s = min(
            _query_seconds(request, "wait", 0.0), self.state.settings.max_wait_s
        )
        view = await self._wait(run, wait_s) if wait_s else await self._query(run)
        operator.check(view.team)
        etag = f'"{hashlib.sha256(encode(view)).hexdigest()[:32]}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return json_response(view, headers={"ETag": etag})

    async def list(self, request):
        """Return a page of runs, without those of other teams."""
        operator = self.state.auth.operator(request)
        message = ListRuns(
            shard="",
            service=request.query.get("service", ""),
            after=request.query.get("after", ""),
            limit=read_integer(request, "limit", DEFAULT_LIMIT, low=1, high=MAX_LIMIT),
        )
        page = await self.state.ask(message, timeout_s=QUERY_TIMEOUT_S)
        runs = [v for v in page.runs if operator.team in (None, v.team)]
        return json_response({"runs": runs, "next_after": page.next_after})

    async def cancel(self, request):
        """Cancel a run, which then has no result."""
        run = await self._authorized_run(request)
        message = CancelRun(run=run)
        return json_response(await self.state.ask(message, timeout_s=SUBMIT_TIMEOUT_S))

    async def stop(self, request):
        """Stop a run gracefully within the `grace` time of the query."""
        grace_s = min(_query_seconds(request, "grace", DEFAULT_GRACE_S), MAX_GRACE_S)
        run = await self._authorized_run(request)
        message = StopRun(run=run, grace_s=grace_s)
        return json_response(await self.state.ask(message, timeout_s=SUBMIT_TIMEOUT_S))

    async def _authorized_run(self, request):
        """Return the run id of a call, or raise if the run belongs to another team."""
        operator = self.state.auth.operator(request)
        run = _run_of(request)
        if operator.team is not None:
            operator.check((await self._query(run)).team)
        return run

    async def _query(self, run):
        return await self.state.ask(QueryRun(run=run), timeout_s=QUERY_TIMEOUT_S)

    async def _wait(self, run, wait_s):
        """Wait for the end of a run, at most until the process starts to shut down."""
        message = WaitRun(run=run, wait_s=wait_s)
        ask = self.state.ask(message, timeout_s=wait_s + ASK_MARGIN_S)
        waiting = asyncio.ensure_future(ask)
        shutting_down = asyncio.ensure_future(self.state.readiness.shutting_down.wait())
        try:
            await asyncio.wait(
                (waiting, shutting_down), return_when=asyncio.FIRST_COMPLETED
            )
            if waiting.done():
                return waiting.result()
        finally:
            waiting.cancel()
            shutting_down.cancel()
        return await self._query(run)


def _payload_text(body):
    """Return the JSON text of a payload; an empty body is `null`."""
    if not body.strip():
        return "null"
    try:
        text = body.decode()
        msgspec.json.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        fail(ErrorKind.INVALID_REQUEST, "the body is not JSON in UTF-8")
    return text


def _run_of(request):
    run = request.match_info["run"]
    if len(run) > MAX_RUN_ID_LENGTH or not run.isprintable():
        fail(ErrorKind.NOT_FOUND, "there is no such run")
    return run


def _query_seconds(request, name, default):
    """Return a duration from the query; a number without a unit is in seconds."""
    text = request.query.get(name)
    if text is None:
        return default
    rule = rule_for("wait_s")
    value = parse_quantity(text, rule, whole=False)
    if value is None:
        value = parse_quantity(f"{text}s", rule, whole=False)
    if value is None:
        fail(ErrorKind.INVALID_REQUEST, f"{name} is not {rule.allowed}")
    return value
