"""HTTP connection of a client, which counts bytes before the parser gets them."""

import asyncio
import contextlib

import attrs
from aiohttp import web
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.ingress.ledger import Phase

__all__ = ["Connection", "Gate", "RefusedConnection", "failure_response", "raw_reply"]

# Bytes that one read takes from a socket, and bytes of a chunked body that are parsed
# before the rest of a read.
READ_BYTES = 65_536
CHUNKED_PIECE_BYTES = 4_096
# Bytes of replies that may wait for a client before its handler waits.
REPLY_BUFFER_BYTES = 16_384
# Memory for each line of a head, and for each line that frames a chunk.
HEADER_BYTES = 350
CHUNK_LINE_BYTES = 64
# A head and a body are held twice for a moment: as received and as read. What a body
# is decoded into takes several times its size.
COPIES = 2
DECODED_COPIES = 8
# Largest size of a chunked body with its framing, relative to the body, and in
# addition.
MAX_FRAMING = 16
FRAMING_BYTES = 65_536
# The size of a head is limited in bytes, so the parser's own limits stay out of reach.
MAX_HEADERS = 100_000
MAX_FIELD_BYTES = 100_000_000
# Time for which the parser's protocol reads on after a reply to an incomplete request.
LINGERING_S = 1.0
RETRY_AFTER_S = 1.0
REASONS = {
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


def failure_response(failure) -> web.Response:
    """Return a response without a body to a request that was not read whole."""
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    return web.Response(status=failure.response.status, headers=headers)


@attrs.frozen(kw_only=True)
class Gate:
    """What a listener expects of its clients.

    Parameters
    ----------
    listener : str
        Name of the listener, which selects its part of the connections.
    find_limits : callable
        Returns the `RequestLimits` that apply to a request that begins now.
    render : callable
        Returns the `web.Response` to a `Failure`.
    """

    listener: str
    find_limits: object
    render: object = failure_response


def raw_reply(response) -> bytes:
    """Return a response as bytes, for connections without a request."""
    body = response.body or b""
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Error')}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if "Content-Length" not in response.headers:
        lines.append(f"Content-Length: {len(body)}")
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


class Connection(web.RequestHandler):
    """Connection that hands bytes to the parser only within the limits.

    The parser of `aiohttp` limits single lines and holds everything else: a head, the
    framing of chunks and pipelined requests. This class counts them from outside. It
    relies on two attributes of the base class, `_messages` and `_request_count`, to see
    where a head ends.

    Parameters
    ----------
    ingress : Ingress
        Shared by all connections of the process.
    gate : Gate
        What the listener expects.
    """

    def __init__(self, server, *, ingress, gate, **options):
        super().__init__(
            server,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_HEADERS,
            lingering_time=LINGERING_S,
            read_bufsize=READ_BYTES,
            auto_decompress=False,
            access_log=None,
            **options,
        )
        self.ingress = ingress
        self.gate = gate
        self.holding = None
        self.failure = None
        self.refused = None
        self.discarding = False
        self.serving = False
        self.payload = None
        self.length = None
        self.head_bytes = 0
        self.head_cost = 0
        self.body_cost = 0
        self.framing_cost = 0
        self.framed_bytes = 0

    def connection_made(self, transport):
        """Record the connection."""
        super().connection_made(transport)
        # Large reads of many connections at once would hold memory before any limit.
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=REPLY_BUFFER_BYTES)
        self.holding = self.ingress.add(self)

    def connection_lost(self, exc):
        """Release what the connection holds."""
        if self.holding is not None:
            self.ingress.remove(self.holding)
        self.discarding = True
        super().connection_lost(exc)

    def pause_writing(self):
        """Record that the client does not read its replies."""
        super().pause_writing()
        self.holding.enter(Phase.UNREAD, self.ingress.now())

    def resume_writing(self):
        """Record that the client reads again."""
        super().resume_writing()
        phase = Phase.SERVING if self.serving else Phase.IDLE
        self.holding.enter(phase, self.ingress.now())

    def data_received(self, data):
        """Parse bytes as far as the limits admit them."""
        if not data and not self.discarding:
            self._feed(data)
        while data and not self.discarding:
            if self.payload is None or self.payload.is_eof():
                data = self._receive_head(data)
            else:
                data = self._receive_body(data)

    def _receive_head(self, data):
        """Parse the next bytes of a head; return the bytes that follow them."""
        now_s = self.ingress.now()
        holding = self.holding
        if not self.head_bytes:
            holding.limits = self.gate.find_limits()
            if holding.phase is Phase.IDLE:
                holding.enter(Phase.HEAD, now_s)
        limit = holding.limits.max_head_bytes
        room = limit - self.head_bytes
        piece, rest = data[:room], data[room:]
        self.head_bytes += len(piece)
        self.head_cost += COPIES * len(piece) + HEADER_BYTES * piece.count(b"\n")
        if holding.phase is Phase.HEAD:
            holding.receive(len(piece), now_s)
        if not self._reserve():
            return b""
        self._feed(piece)
        if self.head_bytes >= limit:
            self.refuse(ErrorKind.HEADERS_TOO_LARGE)
        return rest

    def _receive_body(self, data):
        """Parse the next bytes of a body; return the bytes that follow them."""
        payload = self.payload
        if self.length is None:
            piece, rest = data[:CHUNKED_PIECE_BYTES], data[CHUNKED_PIECE_BYTES:]
            self.framed_bytes += len(piece)
            self.framing_cost += CHUNK_LINE_BYTES * piece.count(b"\n")
            held = payload.total_bytes + len(piece)
            self.body_cost = COPIES * held + self.framing_cost
        else:
            missing = self.length - payload.total_bytes
            piece, rest = data[:missing], data[missing:]
        self.holding.receive(len(piece), self.ingress.now())
        if not self._reserve():
            return b""
        self._feed(piece)
        if payload.is_eof():
            if self.payload is payload:
                self._complete_body()
        elif self.length is None and self._exceeds_body_limit(payload.total_bytes):
            self.refuse(ErrorKind.BODY_TOO_LARGE)
        return rest

    def _exceeds_body_limit(self, size):
        limit = self.holding.limits.max_body_bytes
        framed_limit = MAX_FRAMING * limit + FRAMING_BYTES
        return size > limit or self.framed_bytes > framed_limit

    def _feed(self, piece):
        """Hand bytes to the parser and note the requests that it finds."""
        before = self._request_count
        super().data_received(piece)
        if self._request_count != before:
            self._begin_message(*self._messages[-1])
        if self._upgraded:
            # The reply declines the upgrade, and closes the connection.
            self.discarding = True
            self.close()

    def _begin_message(self, message, payload):
        """Note the head of the request that was parsed last."""
        self.head_bytes = 0
        self.payload = payload
        if not hasattr(message, "headers"):
            # What follows malformed HTTP is not parsed; the reply closes.
            self.discarding = True
            self._complete_body()
            return
        if payload.is_eof():
            self._complete_body()
            return
        length = message.headers.get("Content-Length")
        self.length = None if message.chunked or length is None else int(length)
        self.framing_cost = self.framed_bytes = 0
        self.holding.enter(Phase.BODY, self.ingress.now())
        if self._exceeds_body_limit(self.length or payload.total_bytes):
            self.refuse(ErrorKind.BODY_TOO_LARGE)
            return
        self.body_cost = COPIES * (self.length or payload.total_bytes)
        self._reserve()

    def _complete_body(self):
        self.holding.enter(Phase.SERVING, self.ingress.now())

    def _reserve(self):
        """Reserve memory for what the connection holds, or refuse the request."""
        cost = self.head_cost + self.body_cost
        if self.ingress.reserve(self.holding, cost):
            return True
        self.refuse(ErrorKind.QUEUE_FULL)
        return False

    async def read_body(self, request):
        """Return the body of the current request, in a `Result`.

        The `Err` has the kind `body_too_large`, `queue_full` or `request_timeout`; the
        body has then not been read whole.
        """
        payload = request.content
        if payload.is_eof():
            data = payload.read_nowait()
        else:
            data = await self._wait_for_body(payload)
            if data is None:
                return Err(self.failure)
        if len(data) > self.holding.limits.max_body_bytes:
            return Err(Failure(kind=ErrorKind.BODY_TOO_LARGE))
        self.body_cost = DECODED_COPIES * len(data)
        if not self.ingress.reserve(self.holding, self.head_cost + self.body_cost):
            return Err(_busy())
        return Ok(data)

    async def _wait_for_body(self, payload):
        """Return a body that is still arriving, or None if it is refused."""
        if self.failure is not None:
            return None
        self.refused = asyncio.get_running_loop().create_future()
        reading = asyncio.ensure_future(self._collect(payload))
        try:
            await asyncio.wait(
                (reading, self.refused), return_when=asyncio.FIRST_COMPLETED
            )
            return None if self.failure is not None else reading.result()
        finally:
            reading.cancel()
            self.refused = None

    async def _collect(self, payload):
        data = bytearray()
        while chunk := await payload.readany():
            data += chunk
            self.framing_cost = 0
        return bytes(data)

    def begin_request(self):
        """Note that a handler runs."""
        self.serving = True

    def end_request(self):
        """Release what the request held, once its handler has returned."""
        self.serving = False
        if self.discarding or self._messages or not self.payload.is_eof():
            return
        self.head_cost = self.body_cost = 0
        if self.holding.phase is not Phase.UNREAD:
            self.holding.enter(Phase.IDLE, self.ingress.now())
        self.ingress.release(self.holding)

    def refuse(self, kind):
        """Refuse the request that is being received, and close after the reply."""
        if self.discarding:
            return
        within_body = self.holding.phase is Phase.BODY
        self.discarding = True
        self.failure = _busy() if kind is ErrorKind.QUEUE_FULL else Failure(kind=kind)
        self.ingress.count_refusal(self.gate.listener, kind)
        self.holding.enter(Phase.REFUSED, self.ingress.now())
        self.ingress.release(self.holding)
        if within_body:
            # The handler replies, now or when it begins to read.
            if self.refused is not None and not self.refused.done():
                self.refused.set_result(None)
        elif self.serving or self._messages:
            # The reply to an earlier request comes first and closes.
            self.close()
        else:
            self._reply_without_request()

    def _reply_without_request(self):
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(raw_reply(self.gate.render(self.failure)))
        with contextlib.suppress(OSError, NotImplementedError, RuntimeError):
            transport.write_eof()

    def expire(self):
        """Refuse or close a connection that has exceeded a time limit."""
        if self.holding.phase in (Phase.HEAD, Phase.BODY):
            self.refuse(ErrorKind.REQUEST_TIMEOUT)
        else:
            self.discarding = True
            self.force_close()

    def shut_down(self):
        """Refuse a request that is not whole, since the process ends."""
        if self.holding.phase in (Phase.HEAD, Phase.BODY):
            self.refuse(ErrorKind.QUEUE_FULL)

    def evict(self):
        """Close at once, after a reply if a request was being received alone."""
        phase = self.holding.phase
        self.ingress.release(self.holding)
        waiting = self.refused is not None or not (self.serving or self._messages)
        if phase in (Phase.HEAD, Phase.BODY) and waiting:
            self.failure = _busy()
            self._reply_without_request()
        self.discarding = True
        self.force_close()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to malformed HTTP, without a log line for each."""
        if status >= 500 and not self.discarding:
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0 or self.transport is None:
            raise ConnectionError("no reply can be sent")
        detail = "the request is not valid HTTP"
        failure = Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail)
        response = self.gate.render(failure)
        response.force_close()
        return response


def _busy():
    detail = "too many unfinished requests"
    return Failure(
        kind=ErrorKind.QUEUE_FULL, detail=detail, retry_after_s=RETRY_AFTER_S
    )


class RefusedConnection(asyncio.Protocol):
    """Connection above the limit, closed after a reply.

    Parameters
    ----------
    response : web.Response
        The reply.
    """

    def __init__(self, *, response):
        self.response = response

    def connection_made(self, transport):
        """Reply and close."""
        transport.write(raw_reply(self.response))
        transport.close()
