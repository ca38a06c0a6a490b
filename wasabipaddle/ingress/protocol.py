"""HTTP connection of a client, which counts bytes before the parser gets them."""

import contextlib

from aiohttp import web

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.ingress.content import ContentCost
from wasabipaddle.ingress.framing import (
    EMPTY_LINE,
    HEAD_END,
    SMALL_HEAD_BYTES,
    find_head_end,
)
from wasabipaddle.ingress.ledger import Phase
from wasabipaddle.ingress.replies import (
    RETRY_AFTER_S,
    RefusedBodyError,
    busy_failure,
    malformed_failure,
    raw_reply,
)

__all__ = ["Connection"]

# Bytes that one read takes from a socket, and bytes of a chunked body that are parsed
# before the rest of a read.
READ_BYTES = 32_768
# Twice this size, or a sixteenth of it in chunks, pauses reading. A single read has to
# stay below, since a paused parser keeps bytes that are counted no longer.
BUFFER_BYTES = 262_144
CHUNKED_PIECE_BYTES = 4_096
# Places in a chunked body that may be its end, and after which parsing is interrupted.
MAX_CUTS = 1_000
# Bytes of replies that may wait for a client before its handler waits.
REPLY_BUFFER_BYTES = 16_384
# Largest size of a chunked body with its framing, relative to the body, and in
# addition.
MAX_FRAMING = 16
FRAMING_BYTES = 65_536
# The size of a head is limited in bytes, so the parser's own limits stay out of reach.
MAX_HEADERS = 100_000
MAX_FIELD_BYTES = 100_000_000
# Time for which the rest of a body is awaited after an early reply to its request.
EARLY_REPLY_S = 10.0
# Bound once, since they are compared for each piece of data.
IDLE, SERVING = Phase.IDLE, Phase.SERVING
CLOSING_KINDS = frozenset({ErrorKind.QUEUE_FULL, ErrorKind.DRAINING})


class Connection(web.RequestHandler):
    """Connection that hands bytes to the parser only within the limits.

    The parser of `aiohttp` limits single lines and holds everything else: a head, the
    framing of chunks and pipelined requests. This class counts them from outside. It
    relies on attributes of the base class to see where a head ends.

    The parser gets at most one head at a time. After an error it drops the requests
    that it has found in the same bytes, and the reply to the malformed request would be
    taken for that to the first of them.

    Parameters
    ----------
    ingress : Ingress
        Shared by all connections of the process.
    profile : ListenerProfile
        What the listener expects.
    """

    def __init__(self, server, *, ingress, profile, **options):
        super().__init__(
            server,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_HEADERS,
            lingering_time=EARLY_REPLY_S,
            read_bufsize=BUFFER_BYTES,
            auto_decompress=False,
            access_log=None,
            **options,
        )
        self.ingress = ingress
        self.profile = profile
        self.clock = self._loop.time
        self.free_bytes = ingress.ledger.limits.free_content_bytes
        self.now_s = 0.0
        self.usage = self.failure = None
        self.reading = self.serving = self.discarding = False
        self.payload = self.refused_payload = None
        self.length = None
        self.head_bytes = 0
        self.cost = ContentCost()
        self.framed_bytes = 0
        self.cuts = 0
        self.last_bytes = b""

    def connection_made(self, transport):
        """Record the connection."""
        super().connection_made(transport)
        # Large reads of many connections at once would hold memory before any limit.
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=REPLY_BUFFER_BYTES)
        self.ingress.add(self)

    def connection_lost(self, exc):
        """Release what the connection holds."""
        self.ingress.remove(self.usage)
        self.discarding = True
        super().connection_lost(exc)

    def pause_writing(self):
        """Record that the client does not read its replies."""
        super().pause_writing()
        self.usage.unread_since_s = self.clock()

    def resume_writing(self):
        """Record that the client reads again."""
        super().resume_writing()
        self.usage.unread_since_s = None

    def data_received(self, data):
        """Parse bytes as far as the limits admit them."""
        if self.discarding:
            return
        self.now_s = self.clock()
        if not data:
            self._feed(data)
        elif self.usage.phase is IDLE and not self.head_bytes:
            data = self._receive_small_head(data)
        while data and not self.discarding:
            if self.payload is None or self.payload.is_eof():
                data = self._receive_head(data)
            else:
                data = self._receive_body(data)

    def _receive_head(self, data):
        """Parse the next bytes of a head; return the bytes that follow them."""
        usage = self.usage
        if not self.head_bytes:
            usage.limits = self.profile.find_limits()
        limit = usage.limits.max_head_bytes
        if not self.last_bytes and data[0] in EMPTY_LINE:
            begin = data.lstrip(EMPTY_LINE)
            self.head_bytes += len(data) - len(begin)
            data = begin
        size = min(
            find_head_end(self.last_bytes, data), max(limit - self.head_bytes, 0)
        )
        piece, rest = data[:size], data[size:]
        self.head_bytes += size
        self.cost.add_head(piece)
        if not self.reserve():
            return b""
        self._feed(piece)
        if self.head_bytes >= limit:
            self.refuse(ErrorKind.HEADERS_TOO_LARGE)
        elif piece or (self.head_bytes and not self._request_count):
            # An empty line after a body belongs to no request yet.
            if usage.phase is IDLE:
                usage.enter(Phase.HEAD, self.now_s)
            if usage.phase is Phase.HEAD:
                usage.receive(size, self.now_s)
        return rest

    def _receive_small_head(self, data):
        """Parse a small head that has arrived whole, as most do, in fewer steps.

        Return the bytes that follow it, or all bytes if there is no such head.
        """
        usage = self.usage
        size = data.find(HEAD_END, 0, SMALL_HEAD_BYTES) + len(HEAD_END)
        limits = self.profile.find_limits()
        small = len(HEAD_END) <= size < limits.max_head_bytes
        if not small or data[0] in EMPTY_LINE:
            return data
        usage.limits = limits
        piece, rest = data[:size], data[size:]
        self.cost.add_head(piece)
        if self.cost.head > self.free_bytes and not self.reserve():
            return b""
        self._parse(piece)
        if usage.phase is IDLE:
            # The parser does not take it for a whole head.
            self.head_bytes = size
            self.last_bytes = piece[-3:]
            usage.enter(Phase.HEAD, self.now_s)
            usage.receive(size, self.now_s)
        return rest

    def _receive_body(self, data):
        """Parse the next bytes of a body; return the bytes that follow them."""
        payload = self.payload
        if self.length is None:
            size = self._receive_chunks(data)
        else:
            size = self.length - payload.total_bytes
        piece, rest = data[:size], data[size:]
        self.usage.receive(len(piece), self.now_s)
        # A declared length is reserved with the head.
        if self.length is None and not self.reserve():
            return b""
        self._feed(piece)
        if self.payload is not payload:
            return rest
        if self.length is None and self._exceeds_body_limit(payload.total_bytes):
            self.refuse(ErrorKind.BODY_TOO_LARGE)
        elif payload.is_eof():
            self._complete_body()
        return rest

    def _receive_chunks(self, data):
        """Count the next bytes of a chunked body; return how many to parse."""
        size = min(len(data), CHUNKED_PIECE_BYTES)
        if self.cuts < MAX_CUTS:
            size = min(size, find_head_end(self.last_bytes, data[:size]))
            self.cuts += 1
        self.framed_bytes += size
        self.cost.add_chunk_lines(data.count(b"\n", 0, size))
        self.cost.set_body(self.payload.total_bytes + size)
        return size

    def _exceeds_body_limit(self, size):
        limit = self.usage.limits.max_body_bytes
        framed_limit = MAX_FRAMING * limit + FRAMING_BYTES
        return size > limit or self.framed_bytes > framed_limit

    def _feed(self, piece):
        """Parse bytes, and keep the last ones to find an end that is cut."""
        self.last_bytes = (self.last_bytes + piece[-3:])[-3:]
        self._parse(piece)

    def _parse(self, piece):
        """Hand bytes to the parser and note the requests that it finds."""
        before = self._request_count
        super().data_received(piece)
        if self._request_count != before:
            self._begin_message(*self._messages[-1])
        if self._upgraded:
            # The reply declines the upgrade, and closes the connection.
            self.discarding = True
            self._message_tail = b""

    def _begin_message(self, message, payload):
        """Note the head of the request that was parsed last."""
        if not hasattr(message, "headers"):
            return self._end_at_error()
        self.head_bytes = self.cuts = 0
        self.last_bytes = b""
        self.payload = payload
        self.cost.begin_request()
        if payload.is_eof():
            return self.usage.enter(SERVING, self.now_s)
        length = message.headers.get("Content-Length")
        self.length = None if message.chunked or length is None else int(length)
        self.framed_bytes = 0
        self.usage.enter(Phase.BODY, self.now_s)
        if self._exceeds_body_limit(self.length or payload.total_bytes):
            return self.refuse(ErrorKind.BODY_TOO_LARGE)
        self.cost.set_body(self.length or payload.total_bytes)
        self.reserve()
        return None

    def _end_at_error(self):
        """Stop parsing after malformed HTTP; the reply closes the connection."""
        if self.usage.phase is Phase.BODY:
            # The parser leaves the body without an end and reports a further request.
            self._messages.pop()
            return self.refuse(ErrorKind.INVALID_REQUEST)
        self.discarding = True
        return self.usage.enter(SERVING, self.now_s)

    def _complete_body(self):
        """Note the end of a body, whose request may have been answered before."""
        self.last_bytes = b""
        if self.cost.waiting:
            self.usage.enter(SERVING, self.now_s)
        else:
            self._await_request()

    def _await_request(self):
        """Release what the requests held, since all of them have ended."""
        phase = Phase.HEAD if self.cost.head else IDLE
        self.usage.enter(phase, self.clock())
        if self.usage.reserved:
            self.ingress.release(self.usage)

    def reserve(self):
        """Reserve memory for what the connection holds, or refuse the request."""
        cost = self.cost.total
        if cost <= self.free_bytes and not self.usage.reserved:
            return True
        if self.ingress.reserve(self.usage, cost):
            return True
        self.refuse(ErrorKind.QUEUE_FULL)
        return False

    def end_request(self) -> bool:
        """Release what the request held; return whether it was the last one served."""
        self.serving = False
        self.cost.end_request()
        if self.discarding:
            return not self._messages
        if not self.cost.waiting and self.payload.is_eof():
            self._await_request()
        return False

    def refuse(self, kind):
        """Refuse the request that is being received, and close after the reply.

        Earlier requests are answered first; a head after them gets no reply of its own.
        """
        if self.discarding:
            return
        within_body = self.usage.phase is Phase.BODY
        self.discarding = True
        retry_after_s = RETRY_AFTER_S if kind in CLOSING_KINDS else None
        self.failure = Failure(kind=kind, retry_after_s=retry_after_s)
        self.ingress.count_refusal(self.profile.listener, kind)
        self.usage.enter(Phase.REFUSED, self.clock())
        self.ingress.release(self.usage)
        if within_body:
            self.refused_payload = self.payload
            # The handler replies, now or when it begins to read.
            if self.reading:
                self.payload.set_exception(RefusedBodyError())
            else:
                # The protocol of aiohttp may wait for the rest after a reply.
                with contextlib.suppress(RuntimeError):
                    self.payload.read_nowait()
        elif not (self.serving or self._messages):
            self._reply_without_request()

    def _reply_without_request(self):
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(raw_reply(self.profile.render(self.failure)))
        with contextlib.suppress(OSError, NotImplementedError, RuntimeError):
            transport.write_eof()

    def expire(self):
        """Refuse or close a connection that has exceeded a time limit."""
        if self.usage.phase in (Phase.HEAD, Phase.BODY) and not self.usage.unread:
            self.refuse(ErrorKind.REQUEST_TIMEOUT)
        else:
            self._abort()

    def _abort(self):
        """Close without sending the rest of a reply that the client does not read."""
        self.discarding = True
        # The base class forgets the transport, which still has to send the rest.
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def shut_down(self):
        """Refuse a request that is not whole, since the process ends."""
        if self.usage.unread:
            self._abort()
        elif self.usage.phase in (Phase.HEAD, Phase.BODY):
            self.refuse(ErrorKind.DRAINING)

    def evict(self):
        """Close at once, after a reply if a request was being received alone."""
        if self.usage.unread or self.transport is None:
            self._abort()
            return
        phase = self.usage.phase
        self.usage.enter(Phase.REFUSED, self.clock())
        waiting = self.reading or not (self.serving or self._messages)
        if phase in (Phase.HEAD, Phase.BODY) and waiting:
            self.failure = busy_failure()
            self._reply_without_request()
        self.discarding = True
        self.force_close()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to malformed HTTP, without a log line for each."""
        if status >= 500 and not self.discarding:
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0 or self.transport is None:
            raise ConnectionError("no reply can be sent")
        response = self.profile.render(malformed_failure())
        response.force_close()
        return response

    def log_exception(self, *args, **options):
        """Log an unexpected error, but not each malformed body."""
        if not isinstance(options.get("exc_info"), web.RequestPayloadError):
            super().log_exception(*args, **options)
