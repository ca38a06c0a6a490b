"""Replies of a listener to raw bytes."""

import asyncio
import contextlib

import attrs
import pytest
from aiohttp import web

from wasabipaddle.clock import LoopClock
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.ingress import (
    IngressLimits,
    IngressListener,
    Ledger,
    ListenerProfile,
    Phase,
    RequestLimits,
    failure_response,
    read_body,
)
from wasabipaddle.ingress.ledger import IDLE_S
from wasabipaddle.ingress.replies import RefusedConnection
from wasabipaddle.kernel import Context

HOST = "127.0.0.1"
LIMITS = RequestLimits(max_head_bytes=500, max_body_bytes=20_000)
REPLY_LIMIT_S = 10.0
# More than the buffers of a connection hold on both sides.
LONG_REPLY = b"x" * 30_000_000
READ_BYTES = 65_536
SLOW = b"POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"


class RawListener:
    """Listener that echoes bodies, and its raw clients.

    Attributes
    ----------
    released : asyncio.Event
        Set to let the handler of "/slow" return.
    """

    def __init__(self, limits):
        self.context = Context.create(
            settings=None, clock=LoopClock(), process="p", seed=1
        )
        self.limits = limits
        self.released = asyncio.Event()
        self.received = []
        self.listener = IngressListener(
            ingress=self.context.ingress,
            runner=web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.5),
            profile=ListenerProfile(
                listener="callers", find_limits=lambda: self.limits
            ),
        )

    async def _handle(self, request):
        if request.path == "/early":
            return web.Response(status=401)
        if request.path == "/long":
            return web.Response(body=LONG_REPLY)
        body = await read_body(request)
        if body.is_err():
            return failure_response(body.err())
        if request.path == "/slow":
            await self.released.wait()
        self.received.append(body.ok())
        return web.Response(body=request.path.encode() + b"=" + body.ok())

    async def connect(self):
        port = self.listener.server.sockets[0].getsockname()[1]
        return await asyncio.open_connection(HOST, port)

    async def exchange(self, *pieces) -> bytes:
        """Send pieces on one connection; return all that arrives until its end."""
        reader, writer = await self.connect()
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.01)
        async with asyncio.timeout(REPLY_LIMIT_S):
            reply = await reader.read()
        writer.close()
        return reply

    @property
    def usages(self):
        return self.context.ingress.ledger.usages


@pytest.fixture
def run_listener():
    """Return a function that runs a check with a `RawListener`."""

    def run(check, **limits):
        async def main():
            raw = RawListener(attrs.evolve(LIMITS, **limits))
            await raw.listener.open(HOST, 0)
            try:
                await check(raw)
            finally:
                await raw.listener.close()
            await asyncio.sleep(0)
            assert not raw.usages
            assert raw.context.ingress.ledger.reserved == 0

        asyncio.run(main())

    return run


def _post(body=b"", headers=""):
    headers = headers or f"Content-Length: {len(body)}\r\n"
    return f"POST /a HTTP/1.1\r\nHost: h\r\n{headers}\r\n".encode() + body


CLOSE = "Connection: close\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ((_post(headers="X: " + "x" * 500 + "\r\n"),), 431),
        ((b"\r\n" * 300,), 431),
        ((b"GET /" + b"x" * 600,), 431),
        ((_post(headers="Content-Length: 20001\r\n"),), 413),
        ((_post(headers=CHUNKED), b"5000\r\n" + b"x" * 20_480), 413),
        (
            (_post(headers=CHUNKED) + b"4e21\r\n" + b"x" * 20_001 + b"\r\n0\r\n\r\n",),
            413,
        ),
        ((_post(headers=CHUNKED), b"2\r\nxx\r\nnonsense\r\n"), 400),
        ((b"NONSENSE\r\n\r\n",), 400),
        ((_post(headers="Content-Length: 3\r\n" + CHUNKED),), 400),
        ((_post(headers="Content-Length: 3\r\nContent-Length: 4\r\n"),), 400),
    ],
)
def test_request_beyond_the_limits_is_refused_with_a_reply(
    run_listener, pieces, status
):
    """Guards against requests that are refused without a reply, or held."""

    async def check(raw):
        reply = await raw.exchange(*pieces)
        assert reply.split()[1] == b"%d" % status
        assert reply.count(b"HTTP/1.") == 1
        assert raw.received == []

    run_listener(check)


def test_request_at_the_limits_is_served(run_listener):
    """Guards against a limit that is off by one, in one read or in many."""
    body = b"x" * LIMITS.max_body_bytes
    head = _post(headers=f"{CLOSE}Content-Length: {len(body)}\r\nX: \r\n")
    head = head.replace(b"X: ", b"X: " + b"x" * (LIMITS.max_head_bytes - len(head)))
    small_chunks = b"1\r\nx\r\n" * len(body) + b"0\r\n\r\n"

    async def check(raw):
        assert len(head) == LIMITS.max_head_bytes
        chunked = _post(headers=CLOSE + CHUNKED)
        for pieces in (
            (head + body,),
            (b"\r\n", _post(headers=f"{CLOSE}Content-Length: 20000\r\n"), body),
            (head[:-1], head[-1:], body[:-1], body[-1:]),
            (chunked, b"4e20\r\n" + body + b"\r\n0\r\n\r\n"),
            (chunked, small_chunks),
        ):
            assert (await raw.exchange(*pieces)).endswith(b"\r\n\r\n/a=" + body)

    run_listener(check)


@pytest.mark.parametrize(
    "pieces",
    [
        (b"GET / HT",),
        (b"\r\n",),
        (_post(headers="Content-Length: 9\r\n"), b"x"),
        (_post(headers=CHUNKED), b"9\r\nx"),
    ],
)
def test_request_that_stops_is_refused_after_its_time(run_listener, pieces):
    """Guards against heads and bodies that are waited for without a limit."""

    async def check(raw):
        reply = await raw.exchange(*pieces)
        assert reply.startswith(b"HTTP/1.1 408 ")
        assert raw.received == []

    run_listener(check, header_s=0.05, idle_s=0.05)


def test_refusal_follows_the_replies_to_earlier_requests(run_listener):
    """Guards against a refusal that a client takes for the reply to another request."""

    async def check(raw):
        exchange = asyncio.ensure_future(raw.exchange(SLOW, b"\r\n" * 300))
        await asyncio.sleep(0.1)
        raw.released.set()
        reply = await exchange
        assert reply.startswith(b"HTTP/1.1 200 ")
        assert reply.endswith(b"/slow=ok")

    run_listener(check)


def test_pipelined_requests_are_answered_in_order(run_listener):
    """Guards against bytes of one request that are taken for another one."""
    bodies = [b"%d" % number * number for number in range(1, 6)]
    requests = [_post(body) for body in bodies]

    async def check(raw):
        last = _post(b"end", f"{CLOSE}Content-Length: 3\r\n")
        reply = await raw.exchange(b"".join(requests) + last)
        assert raw.received == [*bodies, b"end"]
        assert reply.count(b"HTTP/1.1 200 ") == 6

    run_listener(check)


def test_reservation_that_is_lost_is_answered(run_listener):
    """Guards against an evicted body that is accepted, or closed without a reply."""

    async def check(raw):
        ledger = Ledger(limits=IngressLimits(content_bytes=1, free_content_bytes=1_000))
        raw.context.ingress.ledger = ledger
        stalled = asyncio.ensure_future(
            raw.exchange(_post(headers="Content-Length: 9000\r\n"), b"x" * 8_999)
        )
        while not any(h.phase is Phase.BODY for h in ledger.usages):
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        whole = _post(b"y" * 4_000, f"{CLOSE}Content-Length: 4000\r\n")
        assert (await raw.exchange(whole)).endswith(b"y" * 4_000)
        reply = await stalled
        assert reply.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in reply
        assert raw.received == [b"y" * 4_000]
        counters = raw.context.metrics.snapshot()["counters"]
        name = f"ingress_callers_refused_{ErrorKind.QUEUE_FULL.value}"
        assert counters[name] == 1

    run_listener(check)


def test_changed_limits_hold_for_the_next_request(run_listener):
    """Guards against a change of the limits that cuts a request which is on its way."""
    body = b"x" * 5_000

    async def check(raw):
        reader, writer = await raw.connect()
        writer.write(_post(headers="Content-Length: 5000\r\n") + body[:100])
        while not any(h.phase is Phase.BODY for h in raw.usages):
            await asyncio.sleep(0.01)
        raw.limits = attrs.evolve(LIMITS, max_body_bytes=4_000, idle_s=0.01)
        await asyncio.sleep(0.5)
        writer.write(body[100:] + _post(body))
        async with asyncio.timeout(REPLY_LIMIT_S):
            replies = await reader.read()
        writer.close()
        assert raw.received == [body]
        assert [part[:3] for part in replies.split(b"HTTP/1.1 ")] == [
            b"",
            b"200",
            b"413",
        ]

    run_listener(check)


async def _until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(REPLY_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_body_that_ends_after_an_early_reply_is_released(run_listener):
    """Guards against clients without a key that keep connections and memory."""

    async def check(raw):
        reader, writer = await raw.connect()
        head = b"POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 15000\r\n\r\n"
        writer.write(head + b"x" * 100)
        assert (await reader.readline()).startswith(b"HTTP/1.1 401 ")
        writer.write(b"x" * 14_900)
        (usage,) = raw.usages
        await _until(lambda: usage.phase is Phase.IDLE)
        assert usage.reserved == 0
        writer.close()

    run_listener(check)


def test_connection_with_unread_replies_is_closed(run_listener):
    """Guards against replies that a client never reads and the process never drops."""

    async def check(raw):
        reader, writer = await raw.connect()
        writer.write(b"GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
        await _until(lambda: raw.usages)
        await _until(lambda: not raw.usages)
        received = 0
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(READ_BYTES):
                received += len(piece)
        assert received < len(LONG_REPLY)
        writer.close()

    run_listener(check, idle_s=0.1)


def test_crowd_does_not_exceed_the_limit_of_connections(run_listener):
    """Guards against several admissions before the first connection opens."""

    async def check(raw):
        raw.context.ingress.ledger.limit_connections("callers", 10)
        writers = [(await raw.connect())[1] for _ in range(10)]
        await asyncio.sleep(IDLE_S + 0.1)
        crowd = await asyncio.gather(*(raw.connect() for _ in range(60)))
        await asyncio.sleep(0.1)
        open_connections = [h.connection.transport for h in raw.usages]
        assert len(open_connections) <= 10
        server_side = raw.listener.runner.server.connections
        assert len([c for c in server_side if c.transport is not None]) <= 10
        for writer in [*writers, *(writer for _, writer in crowd)]:
            writer.close()

    run_listener(check)


def test_admitted_connections_count_before_they_open(run_listener):
    """Guards against a crowd that is admitted at once, and gets twice the limit."""

    async def check(raw):
        raw.context.ingress.ledger.limit_connections("callers", 3)
        made = [raw.listener.make_connection() for _ in range(5)]
        refused = [isinstance(each, RefusedConnection) for each in made]
        assert refused == [False] * 3 + [True] * 2
        for connection in made[:3]:
            raw.context.ingress.remove(connection.usage)

    run_listener(check)


def test_client_that_waits_for_permission_to_send_gets_it(run_listener):
    """Guards against callers that wait for their own time limit on each call."""

    async def check(raw):
        reader, writer = await raw.connect()
        fields = "Content-Length: 2\r\nExpect: 100-continue\r\nConnection: close\r\n"
        writer.write(_post(headers=fields))
        async with asyncio.timeout(REPLY_LIMIT_S):
            assert await reader.readline() == b"HTTP/1.1 100 Continue\r\n"
            writer.write(b"ok")
            assert (await reader.read()).endswith(b"/a=ok")
        writer.close()

    run_listener(check)


def test_connection_that_always_pipelines_holds_no_more_and_more(run_listener):
    """Guards against a count that only falls when no request waits."""

    async def check(raw):
        reader, writer = await raw.connect()
        body = b"x" * 300
        # Part of the next request is always on its way.
        begin, rest = _post(body)[:-10], _post(body)[-10:]
        writer.write(begin)
        reserved = []
        for _ in range(50):
            writer.write(rest + begin)
            async with asyncio.timeout(REPLY_LIMIT_S):
                await reader.readuntil(b"/a=" + body)
            reserved.append(raw.context.ingress.ledger.reserved)
        assert max(reserved[25:]) <= max(reserved[:25])
        writer.close()

    run_listener(check)


def test_empty_line_after_a_body_is_no_request(run_listener):
    """Guards against an error reply that a caller takes for that to its next call."""

    async def check(raw):
        reader, writer = await raw.connect()
        writer.write(_post(b"x") + b"\r\n")
        async with asyncio.timeout(REPLY_LIMIT_S):
            await reader.readuntil(b"/a=x")
            await asyncio.sleep(0.5)
            writer.write(_post(b"y", headers="Content-Length: 1\r\n" + CLOSE))
            reply = await reader.read()
        assert reply.startswith(b"HTTP/1.1 200 ")
        writer.close()

    run_listener(check, header_s=0.1)
