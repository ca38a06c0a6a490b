"""Listener for callers and for the platform's readiness probe."""

import asyncio
import contextlib
import math

import msgspec
from aiohttp import web
from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.ingress import IngressListener, ListenerProfile, read_body
from wasabipaddle.platform.jobs import (
    JOB_ID,
    KEY_HEADER,
    PHASE_WORDS,
    decode_spec,
)

__all__ = ["CallerListener", "read_wait_s"]

MS_PER_S = 1000
MAX_WAIT_S = 30.0
# Number of digits beyond which a wait is longer than `MAX_WAIT_S`.
MAX_WAIT_DIGITS = 12
DEFAULT_WAIT_S = 3.0
READY_PATH = "/readiness"
KEEPALIVE_S = 75.0
SHUTDOWN_S = 0.5
# The job may have been accepted, so the status must not mean that it never runs.
OUTCOME_UNKNOWN_STATUS = 504
STATUS_BY_KIND = {
    ErrorKind.INVALID_REQUEST: 400,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.GONE: 410,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.METHOD_NOT_ALLOWED: 405,
    ErrorKind.RATE_LIMITED: 429,
    ErrorKind.QUEUE_FULL: 503,
    ErrorKind.DRAINING: 503,
    ErrorKind.STORE_UNAVAILABLE: 503,
    ErrorKind.STORE_THROTTLED: 503,
    ErrorKind.NO_LEADER: 503,
    ErrorKind.ACCEPTANCE_UNKNOWN: OUTCOME_UNKNOWN_STATUS,
    ErrorKind.TIMEOUT: OUTCOME_UNKNOWN_STATUS,
}
# Kinds whose detail describes the call itself and is sent to the caller.
EXPLAINED_KINDS = frozenset({ErrorKind.INVALID_REQUEST, ErrorKind.BODY_TOO_LARGE})


class CallerListener:
    """HTTP server that passes the calls of callers to a job service.

    Parameters
    ----------
    service : EntryPlugin
        Handles the calls.
    """

    def __init__(self, *, service):
        self.service = service
        self.listeners = []
        self.in_progress = 0
        self.closing = False

    async def open(self, *, callers_address, readiness_address):
        """Listen for callers and for readiness probes; addresses are "HOST:PORT"."""
        await self._listen("callers", self._handle, callers_address)
        await self._listen("readiness", self._probe, readiness_address)

    async def _listen(self, name, handler, address):
        host, _, port = address.rpartition(":")
        listener = IngressListener(
            ingress=self.service.context.ingress,
            runner=web.ServerRunner(web.Server(handler), shutdown_timeout=SHUTDOWN_S),
            profile=ListenerProfile(
                listener=name,
                find_limits=self.service.request_limits,
                render=_error_response,
            ),
            options={"keepalive_timeout": KEEPALIVE_S},
        )
        await listener.open(host, int(port))
        self.listeners.append(listener)

    async def close(self):
        """Stop listening; refuse the requests that have not arrived whole."""
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*(listener.close() for listener in self.listeners))

    async def _probe(self, request):
        ready = request.path == READY_PATH and self.service.ready
        return web.Response(status=200 if ready else 503)

    async def _handle(self, request):
        self.in_progress += 1
        try:
            response = await self._route(request)
        finally:
            self.in_progress -= 1
        if self.closing:
            response.force_close()
        return response

    async def _route(self, request):
        identified = self._identify(request)
        if identified.is_err():
            return _error_response(identified.err())
        queue, workspace = identified.ok()
        job = request.path[len(queue.prefix) :]
        wait_s = read_wait_s(request.headers.get("Deadline-Ms", ""))
        if not job and request.method == "GET":
            waiting = await self.service.count_waiting(queue, wait_s=wait_s)
            return _respond(waiting, lambda count: {"waiting": count})
        if JOB_ID.fullmatch(job) is None:
            return web.Response(status=400)
        if request.method == "POST":
            return await self._submit(request, job, wait_s)
        options = {"wait_s": wait_s, "workspace": workspace}
        if request.method == "GET":
            phase = await self.service.find_phase(queue, job, **options)
            return _respond(phase, lambda found: {"state": PHASE_WORDS[found]})
        if request.method == "DELETE":
            cancelled = await self.service.cancel(queue, job, **options)
            return _respond(cancelled)
        return web.Response(status=405)

    def _identify(self, request):
        """Return the queue of a call and the workspace that it acts for, as a `Result`.

        Both follow from the current configuration.
        """
        host = request.headers.get("Host", "").partition(":")[0]
        selected = self.service.select_queue(host, request.path)
        if selected.is_err():
            return selected
        queue = selected.ok()
        identified = self.service.identify(queue, request.headers.get(KEY_HEADER))
        return identified if identified.is_err() else Ok((queue, identified.ok()))

    async def _submit(self, request, job, wait_s):
        body = await read_body(request)
        if body.is_err():
            return _error_response(body.err())
        data = body.ok()
        max_tasks = self.service.context.settings.max_job_tasks
        spec = decode_spec(data, max_tasks=max_tasks)
        if spec.is_err():
            return _error_response(spec.err())
        # The key may have been revoked while the body was on its way.
        identified = self._identify(request)
        if identified.is_err():
            return _error_response(identified.err())
        queue, workspace = identified.ok()
        accepted = await self.service.submit(
            queue, job, spec.ok(), wait_s=wait_s, workspace=workspace
        )
        return _respond(accepted)


def read_wait_s(text) -> float:
    """Return how long a caller waits for a response, at most `MAX_WAIT_S`.

    Parameters
    ----------
    text : str
        Value of the header `Deadline-Ms`, an empty string if there is none.
    """
    if not text.isascii() or not text.isdecimal():
        return DEFAULT_WAIT_S
    if len(text) > MAX_WAIT_DIGITS:
        return MAX_WAIT_S
    return min(int(text) / MS_PER_S, MAX_WAIT_S)


def _error_response(failure):
    status = STATUS_BY_KIND.get(failure.kind, failure.response.status)
    headers = {}
    if status in (429, 503):
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s or 1)))
    body = None
    if failure.kind in EXPLAINED_KINDS:
        headers["Content-Type"] = "text/plain; charset=utf-8"
        body = failure.detail.encode(errors="replace")
    return web.Response(status=status, headers=headers, body=body)


def _respond(result, encode=None):
    """Return the response to a result, with a body if there is `encode`."""
    if result.is_err():
        return _error_response(result.err())
    if encode is None:
        return web.Response(status=200)
    body = msgspec.json.encode(encode(result.ok()))
    return web.Response(body=body, content_type="application/json")
