"""Requests: short work that is answered on the caller's connection."""

import asyncio
import hashlib
import secrets

import attrs
from absl import logging
from aiohttp import web

from wasabipaddle.api.answers import fail, failure_response, unwrap
from wasabipaddle.api.idempotency import KeptAnswer
from wasabipaddle.api.state import ASK_MARGIN_S, read_body
from wasabipaddle.documents import ServiceKind
from wasabipaddle.documents.units import parse_quantity, rule_for
from wasabipaddle.exceptions import ErrorKind, Failure, Outcome, WasabipaddleError
from wasabipaddle.kernel import Route
from wasabipaddle.messages import RoutedAnswer, RouteRequest
from wasabipaddle.routing.key_records import key_digest

__all__ = ["RequestRoutes"]

DIGEST_HEADER = "X-Answer-Digest"
REQUEST_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "Request-Timeout"
KEPT_BODY_BYTES = 65_536
STARTED = web.RequestKey("started", web.StreamResponse)


@attrs.define(kw_only=True)
class _Delivery:
    """Progress of one answer on the caller's connection."""

    answer: RoutedAnswer
    response: web.StreamResponse
    total: int = 0
    caller_left: bool = False
    kept: list = attrs.field(factory=list)

    def add(self, chunk):
        """Count a chunk and keep it while the whole answer is small."""
        self.total += len(chunk)
        if self.total > self.answer.length:
            fail(ErrorKind.ANSWER_BROKEN, "the answer is longer than announced")
        if self.is_small:
            self.kept.append(chunk)

    @property
    def is_small(self) -> bool:
        """Whether the answer is kept for a repeated key."""
        return self.answer.length <= KEPT_BODY_BYTES

    def ended(self) -> KeptAnswer:
        """Return what is kept of a whole answer."""
        return KeptAnswer(
            request=self.answer.request,
            body=b"".join(self.kept) if self.is_small else None,
            digest=self.answer.digest,
        )


class RequestRoutes:
    """Routes of requests.

    Parameters
    ----------
    state : ApiState
        Shared objects of the routes.
    """

    def __init__(self, *, state):
        self.state = state

    def routes(self) -> list[Route]:
        """Return the routes."""
        path = "/v1/services/{service}/requests"
        return [Route(method="POST", path=path, handler=self.post)]

    async def post(self, request):
        """Run one request and stream its answer."""
        service = request.match_info["service"]
        caller = self.state.auth.caller(request)
        document = self.state.document(service)
        if document.kind is not ServiceKind.REQUEST:
            fail(ErrorKind.INVALID_REQUEST, f"{service} takes runs, not requests")
        deadline_s = _deadline_of(request, document)
        key = self.state.key_of(request, generate=False)
        body = await read_body(request)
        now = asyncio.get_running_loop().time()
        message = RouteRequest(
            request=f"{self.state.context.settings.process}.{secrets.token_hex(8)}",
            service=service,
            caller=caller,
            body=body,
            deadline=now + deadline_s,
        )
        if not key:
            return await self._run(request, message, deadline_s, lambda end: None)
        return await self._run_once(request, message, deadline_s, key)

    async def _run_once(self, request, message, deadline_s, key):
        """Run a request unless one with the same key is in progress or kept."""
        kept = self.state.kept
        name = key_digest(message.caller, message.service, key)
        fingerprint = hashlib.sha256(message.body).digest()
        earlier = unwrap(kept.begin(name, fingerprint))
        if earlier is None:
            earlier = await self._claim(name, message, fingerprint)
        if earlier is not None:
            return _repeat(earlier)
        unknown = Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail="interrupted")
        end = KeptAnswer(request=message.request, failure=unknown)

        def remember(answer):
            nonlocal end
            end = answer

        try:
            return await self._run(request, message, deadline_s, remember)
        finally:
            kept.end(name, end)
            failure, keys = end.failure, self.state.keys
            not_run = failure is not None and failure.outcome is Outcome.NOT_RUN
            if not_run and keys is not None:
                keys.release(name, message.request)

    async def _claim(self, name, message, fingerprint):
        """Return how another process ended the request, None if it may run here."""
        keys = self.state.keys
        if keys is None:
            return None
        may_run = False
        try:
            claimed = await keys.claim(name, message.request, fingerprint.hex())
            may_run = claimed.is_ok() and claimed.unwrap() is None
            return unwrap(claimed)
        finally:
            if not may_run:
                self.state.kept.abandon(name)

    async def _run(self, request, message, deadline_s, remember):
        try:
            answer = await self.state.ask(message, timeout_s=deadline_s + ASK_MARGIN_S)
            headers = _headers(answer.request, answer.digest)
            response = web.StreamResponse(headers=headers)
            response.content_length = answer.length
            response.content_type = "application/octet-stream"
            delivery = _Delivery(answer=answer, response=response)
            async with asyncio.timeout_at(message.deadline + ASK_MARGIN_S):
                await _deliver(request, delivery)
            remember(delivery.ended())
            if not delivery.caller_left:
                await response.write_eof()
            return response
        except WasabipaddleError as error:
            failure = error.failure
        except TimeoutError:
            detail = "the answer was not delivered before the deadline"
            failure = Failure(kind=ErrorKind.TIMEOUT, detail=detail)
        except ConnectionError:
            detail = "the caller has closed the connection"
            failure = Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail)
        except Exception:
            logging.exception("unexpected error in request %s", message.request)
            failure = Failure(kind=ErrorKind.INTERNAL)
        remember(KeptAnswer(request=message.request, failure=failure))
        self.state.context.metrics.count(f"api.request.{failure.kind.value}")
        return _give_up(request, failure)


async def _deliver(request, delivery):
    """Pass chunks on, each one only after the next was read.

    The last chunk is held back until the body has ended without an error, so that a
    broken answer never looks complete.
    """
    chunks = delivery.answer.chunks
    held = b""
    try:
        async for chunk in chunks:
            if not chunk:
                continue
            delivery.add(chunk)
            if held:
                await _write(request, delivery, held)
            held = chunk
    finally:
        close = getattr(chunks, "aclose", None)
        if close is not None:
            await close()
    if delivery.total != delivery.answer.length:
        fail(ErrorKind.ANSWER_BROKEN, "the answer is shorter than announced")
    await _write(request, delivery, held)


async def _write(request, delivery, data):
    """Send data; a small answer is read to its end even if the caller has left."""
    if delivery.caller_left:
        return
    response = delivery.response
    try:
        if not response.prepared:
            request[STARTED] = response
            await response.prepare(request)
        await response.write(data)
    except ConnectionError:
        if not delivery.is_small:
            raise
        delivery.caller_left = True


def _give_up(request, failure):
    """Answer a failure, or abort the connection if the answer has begun."""
    response = request.get(STARTED)
    if response is None:
        return failure_response(failure)
    logging.info("answer aborted: %s", failure.kind.value)
    if request.transport is not None:
        request.transport.abort()
    return response


def _repeat(kept):
    """Answer a repeated key as the first request was answered."""
    if kept.failure is not None:
        return failure_response(kept.failure)
    return web.Response(
        body=kept.body,
        headers=_headers(kept.request, kept.digest),
        content_type="application/octet-stream",
    )


def _headers(request_id, digest):
    return {REQUEST_HEADER: request_id, DIGEST_HEADER: f"xxh3={digest}"}


def _deadline_of(request, document):
    """Return the caller's time limit in seconds, at most that of the document."""
    deadline_s = document.request.deadline_s
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return deadline_s
    rule = rule_for("deadline_s")
    asked_s = parse_quantity(text, rule, whole=False)
    if not asked_s:
        fail(ErrorKind.INVALID_REQUEST, f"{TIMEOUT_HEADER} is not {rule.allowed}")
    return min(asked_s, deadline_s)
