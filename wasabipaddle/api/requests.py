"""Routes of requests: short work with the answer on the caller's connection."""

import asyncio
import hashlib
import secrets

import attrs
from absl import logging
from aiohttp import web

from wasabipaddle.api.idempotency import CachedAnswer
from wasabipaddle.api.responses import fail, failure_response, unwrap
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
# Longest answer that is buffered for repeats of its idempotency key.
MAX_CACHED_BODY_BYTES = 65_536
# Response of a request, set just before its headers are sent.
STARTED_RESPONSE = web.RequestKey("started", web.StreamResponse)


@attrs.define(kw_only=True)
class _Delivery:
    """Progress of one answer on the caller's connection."""

    answer: RoutedAnswer
    response: web.StreamResponse
    total: int = 0
    caller_disconnected: bool = False
    buffered: list = attrs.field(factory=list)

    def add(self, chunk):
        """Count a chunk, and buffer it if the whole answer is small."""
        self.total += len(chunk)
        if self.total > self.answer.length:
            fail(
                ErrorKind.ANSWER_BROKEN,
                "the answer is longer than its announced length",
            )
        if self.is_small:
            self.buffered.append(chunk)

    @property
    def is_small(self) -> bool:
        """Whether the answer is small enough to be cached for a repeated key."""
        return self.answer.length <= MAX_CACHED_BODY_BYTES

    def cached_answer(self) -> CachedAnswer:
        """Return the cache entry for the completely received answer."""
        return CachedAnswer(
            request=self.answer.request,
            body=b"".join(self.buffered) if self.is_small else None,
            digest=self.answer.digest,
        )


class RequestRoutes:
    """Routes that run requests.

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
        deadline_s = _deadline_s_of(request, document)
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
            return await self._run(request, message, deadline_s, lambda answer: None)
        return await self._run_once(request, message, deadline_s, key)

    async def _run_once(self, request, message, deadline_s, key):
        """Run a request unless one with the same key is in progress or cached."""
        cache = self.state.answer_cache
        digest = key_digest(message.caller, message.service, key)
        fingerprint = hashlib.sha256(message.body).digest()
        earlier = unwrap(cache.begin(digest, fingerprint))
        if earlier is None:
            earlier = await self._claim(digest, message, fingerprint)
        if earlier is not None:
            return _cached_response(earlier)
        unknown = Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail="interrupted")
        to_cache = CachedAnswer(request=message.request, failure=unknown)

        def record_answer(answer):
            nonlocal to_cache
            to_cache = answer

        try:
            return await self._run(request, message, deadline_s, record_answer)
        finally:
            cache.end(digest, to_cache)
            failure, keys = to_cache.failure, self.state.keys
            not_run = failure is not None and failure.outcome is Outcome.NOT_RUN
            if not_run and keys is not None:
                keys.release(digest, message.request)

    async def _claim(self, digest, message, fingerprint):
        """Claim a key; return the earlier answer, or None if the request may run."""
        keys = self.state.keys
        if keys is None:
            return None
        may_run = False
        try:
            claimed = await keys.claim(digest, message.request, fingerprint.hex())
            may_run = claimed.is_ok() and claimed.unwrap() is None
            return unwrap(claimed)
        finally:
            if not may_run:
                self.state.answer_cache.abandon(digest)

    async def _run(self, request, message, deadline_s, record_answer):
        try:
            answer = await self.state.ask(message, timeout_s=deadline_s + ASK_MARGIN_S)
            headers = _headers(answer.request, answer.digest)
            response = web.StreamResponse(headers=headers)
            response.content_length = answer.length
            response.content_type = "application/octet-stream"
            delivery = _Delivery(answer=answer, response=response)
            async with asyncio.timeout_at(message.deadline + ASK_MARGIN_S):
                await _deliver(request, delivery)
            record_answer(delivery.cached_answer())
            if not delivery.caller_disconnected:
                await response.write_eof()
            return response
        except WasabipaddleError as error:
            failure = error.failure
        except TimeoutError:
            detail = "the answer was not delivered before the deadline"
            failure = Failure(kind=ErrorKind.TIMEOUT, detail=detail)
        except ConnectionError:
            detail = "the caller closed the connection"
            failure = Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail)
        except Exception:
            logging.exception("unexpected error in request %s", message.request)
            failure = Failure(kind=ErrorKind.INTERNAL)
        record_answer(CachedAnswer(request=message.request, failure=failure))
        self.state.context.metrics.count(f"api.request.{failure.kind.value}")
        return _fail_or_abort(request, failure)


async def _deliver(request, delivery):
    """Forward the chunks of an answer, each only after the next one has been read.

    The last chunk is thus sent only after the body has ended without an error, so
    that the caller never takes a broken answer for a complete one.
    """
    chunks = delivery.answer.chunks
    pending = b""
    try:
        async for chunk in chunks:
            if not chunk:
                continue
            delivery.add(chunk)
            if pending:
                await _write(request, delivery, pending)
            pending = chunk
    finally:
        close = getattr(chunks, "aclose", None)
        if close is not None:
            await close()
    if delivery.total != delivery.answer.length:
        fail(ErrorKind.ANSWER_BROKEN, "the answer is shorter than its announced length")
    await _write(request, delivery, pending)


async def _write(request, delivery, data):
    """Send data to the caller.

    If the caller has disconnected, nothing is sent, but a small answer is still read to
    its end so that it can be cached for a repeated key.
    """
    if delivery.caller_disconnected:
        return
    response = delivery.response
    try:
        if not response.prepared:
            request[STARTED_RESPONSE] = response
            await response.prepare(request)
        await response.write(data)
    except ConnectionError:
        if not delivery.is_small:
            raise
        delivery.caller_disconnected = True


def _fail_or_abort(request, failure):
    """Return an error response, or abort the connection if the answer has begun."""
    response = request.get(STARTED_RESPONSE)
    if response is None:
        return failure_response(failure)
    logging.info("connection aborted during an answer: %s", failure.kind.value)
    if request.transport is not None:
        request.transport.abort()
    return response


def _cached_response(cached):
    """Return the response to a repeated key from the answer to its first request."""
    if cached.failure is not None:
        return failure_response(cached.failure)
    return web.Response(
        body=cached.body,
        headers=_headers(cached.request, cached.digest),
        content_type="application/octet-stream",
    )


def _headers(request_id, digest):
    return {REQUEST_HEADER: request_id, DIGEST_HEADER: f"xxh3={digest}"}


def _deadline_s_of(request, document):
    """Return the lower of the caller's and the document's time limit, in seconds."""
    deadline_s = document.request.deadline_s
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return deadline_s
    rule = rule_for("deadline_s")
    requested_s = parse_quantity(text, rule, whole=False)
    if not requested_s:
        fail(ErrorKind.INVALID_REQUEST, f"{TIMEOUT_HEADER} is not {rule.allowed}")
    return min(requested_s, deadline_s)
