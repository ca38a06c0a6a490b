"""Raw bytes on a connection of the callers' listener."""

import asyncio
import random
import zlib

import attrs
import msgspec
from aiohttp import web
from result import Err, Ok

from wasabipaddle.clock import ManualClock
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.fuzz.stubs import QUEUE, require
from wasabipaddle.ingress import IngressListener, ListenerProfile
from wasabipaddle.jobs import JobPhase
from wasabipaddle.kernel import Context
from wasabipaddle.platform.callers import CallerListener
from wasabipaddle.settings import CellSettings, PlatformAddresses

__all__ = ["check_connection", "make_requests"]

MAX_REQUESTS = 5
MAX_CHANGES = 3
# Lower statuses only announce the reply.
FINAL_STATUS = 200
MAX_PIECE_BYTES = 60
# Turns of the event loop without an event after which a connection is quiet.
QUIET_TURNS = 12
TAG = "X-Request"
JOB = msgspec.json.encode({"spec": "x", "steps": [{"count": 1}]})
HEADERS = (
    b"Content-Length: 3\r\n", b"Content-Length: 0\r\n", b"Content-Length: -1\r\n",
    b"Content-Length: +3\r\n", b"Content-Length: 3, 3\r\n", b"Content-Length: 0x3\r\n",
    b"Content-Length: 99999999999999999999\r\n", b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked, identity\r\n", b"Transfer-Encoding : chunked\r\n",
    b"Transfer-Encoding: xchunked\r\n", b"Expect: 100-continue\r\n",
    b"Connection: Upgrade\r\nUpgrade: websocket\r\n", b"Connection: close\r\n",
    b"Content-Encoding: gzip\r\n", b"X: a\r\n b\r\n", b"X: a\nY: b\r\n", b": x\r\n",
    b"X\r\n", b"X: \x00\r\n", b"Host: other\r\n", b"X: " + b"x" * 9_000 + b"\r\n",
)  # fmt: skip
FRAGMENTS = (
    b"\r\n", b"\n", b"\r", b"\r\n" * 9, b"0\r\n\r\n", b"0\r\n", b"5\r\nab", b"ffffffff",
    b"ffffffffffffffff\r\n", b"-1\r\n", b"3;x=y\r\n", b"\x00", b"\xff" * 9, b" ",
    b"GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n",
)  # fmt: skip


def make_requests(rng) -> bytes:
    """Return requests in a row, some of them malformed, cut or framed oddly."""
    data = b"".join(_make_request(rng) for _ in range(rng.randint(1, MAX_REQUESTS)))
    for _ in range(rng.randint(0, MAX_CHANGES)):
        at = rng.randrange(len(data) + 1)
        change = rng.random()
        if change < 0.4:
            data = data[:at] + rng.choice(FRAGMENTS) + data[at:]
        elif change < 0.6:
            data = data[:at] + data[at + rng.randint(1, 20) :]
        elif change < 0.8:
            data = data[:at] + data[max(at - 40, 0) :]
        else:
            data = data[:at]
    return data


def _make_request(rng):
    method = rng.choice((b"POST", b"POST", b"POST", b"GET", b"DELETE", b"HEAD"))
    job = b"%016x" % rng.randrange(2**64) if rng.random() < 0.9 else b""
    headers, body = b"", b""
    if method == b"POST" or rng.random() < 0.1:
        body = rng.choice((JOB, JOB[:-1], b"", b"x" * 300))
        if rng.random() < 0.5:
            headers = b"Content-Length: %d\r\n" % len(body)
        else:
            headers, body = b"Transfer-Encoding: chunked\r\n", _chunk(rng, body)
    if rng.random() < 0.15:
        headers += rng.choice(HEADERS)
    head = b"%b /q/%b HTTP/1.1\r\nHost: h\r\n%b\r\n" % (method, job, headers)
    return head + body


def _chunk(rng, body):
    chunks, at = [], 0
    while at < len(body):
        piece = body[at : at + rng.choice((1, 2, 50, 500))]
        at += len(piece)
        chunks.append(b"%x\r\n%b\r\n" % (len(piece), piece))
    return b"".join(chunks) + b"0\r\n\r\n"


def check_connection(data):
    """Check that replies belong to their requests, however the bytes are cut."""
    with asyncio.Runner() as runner:
        whole = runner.run(_exchange([data]))
        cut = runner.run(_exchange(_cut(data)))
    for outcome in (whole, cut):
        require(not outcome.errors, f"unexpected errors: {outcome.errors}")
        tags = [tag for _, tag in outcome.replies if tag]
        require(tags == outcome.handled[: len(tags)], "a reply of another request")
        refusals = [status for status, tag in outcome.replies if not tag]
        statuses = {status for status, _ in outcome.replies}
        require(max(statuses, default=0) < 500, "an unexpected error of the server")
        require(len(refusals) <= 1, "more than one reply to an invalid request")
        require(not refusals or not outcome.replies[-1][1], "a reply after a refusal")
    require(whole.jobs == cut.jobs, "the cuts decide which jobs are accepted")


def _cut(data):
    rng = random.Random(zlib.crc32(data))
    pieces, at = [], 0
    while at < len(data):
        size = rng.randint(1, MAX_PIECE_BYTES)
        pieces.append(data[at : at + size])
        at += size
    return pieces


@attrs.define(kw_only=True)
class _Outcome:
    """What happened on a connection.

    Parameters
    ----------
    handled : list of str
        Requests that reached the handler, in their order.
    jobs : list
        Identifiers and contents of the jobs that were submitted.
    replies : list of tuple
        Status and tag of each reply; the tag is empty without a request.
    errors : list of str
        Errors that reached the event loop.
    """

    handled: list = attrs.field(factory=list)
    jobs: list = attrs.field(factory=list)
    replies: list = attrs.field(factory=list)
    errors: list = attrs.field(factory=list)


async def _exchange(pieces) -> _Outcome:
    """Send pieces on a new connection and close it."""
    outcome = _Outcome()
    service = _Service(outcome=outcome)
    callers = CallerListener(service=service)

    async def handle(request):
        tag = str(len(outcome.handled))
        outcome.handled.append(tag)
        response = await callers._handle(request)
        response.headers[TAG] = tag
        return response

    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, found: outcome.errors.append(str(found)))
    runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.0)
    profile = ListenerProfile(listener="callers")
    listener = IngressListener(
        ingress=service.context.ingress, runner=runner, profile=profile
    )
    await listener.prepare()
    connection = listener.make_connection()
    transport = _Transport(protocol=connection)
    connection.connection_made(transport)
    for piece in pieces:
        await _wait_until_quiet(transport, outcome, turns=2)
        if not transport.closed:
            connection.data_received(piece)
    await _wait_until_quiet(transport, outcome, turns=QUIET_TURNS)
    transport.close()
    await asyncio.sleep(0)
    require(service.context.ingress.ledger.reserved == 0, "a reservation is kept")
    require(not service.context.ingress.ledger.usages, "a connection is kept")
    await runner.cleanup()
    outcome.replies = _split_replies(bytes(transport.written))
    return outcome


async def _wait_until_quiet(transport, outcome, *, turns):
    """Let the event loop turn until nothing happens any more."""
    quiet, before = 0, None
    while quiet < turns or (transport.paused and not transport.closed):
        await asyncio.sleep(0)
        now = len(transport.written), len(outcome.handled)
        quiet = quiet + 1 if now == before else 0
        before = now
        if quiet > 100:
            break


def _split_replies(written):
    replies = []
    while written:
        head, found, rest = written.partition(b"\r\n\r\n")
        require(found and head.startswith(b"HTTP/"), "a reply is not valid HTTP")
        lines = head.decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        status, tag = int(lines[0].split()[1]), fields.get(TAG, "")
        size = int(fields.get("Content-Length", 0))
        # A reply to HEAD announces the size of a body that it does not have.
        written = rest if rest.startswith(b"HTTP/") else rest[size:]
        if status >= FINAL_STATUS:
            replies.append((status, tag))
    return replies


class _Transport(asyncio.Transport):
    """Transport that keeps what is written."""

    def __init__(self, *, protocol):
        super().__init__()
        self.protocol = protocol
        self.written = bytearray()
        self.closed = False
        self.paused = False

    def write(self, data):
        """Keep bytes."""
        self.written += data

    def writelines(self, pieces):
        """Keep several pieces."""
        self.written += b"".join(pieces)

    def write_eof(self):
        """Accept no more bytes."""

    def is_closing(self):
        """Return whether the transport is closed."""
        return self.closed

    def close(self):
        """Close once."""
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    abort = close

    def pause_reading(self):
        """Note that no bytes are expected."""
        self.paused = True

    def resume_reading(self):
        """Note that bytes are expected."""
        self.paused = False

    def set_write_buffer_limits(self, high=None, low=None):
        """Ignore the limits of the buffer."""


class _Service:
    """Job service that accepts every job."""

    def __init__(self, *, outcome):
        self.outcome = outcome
        settings = CellSettings(
            process="p",
            data_centre="a",
            region="r",
            callers="",
            readiness="",
            internal="",
            platform=PlatformAddresses(store=""),
        )
        self.context = Context.create(
            settings=settings, clock=ManualClock(), process="p", seed=1
        )

    def select_queue(self, host, path):
        """Return the only queue."""
        if host != QUEUE.host or not path.startswith(QUEUE.prefix):
            return Err(Failure(kind=ErrorKind.NOT_FOUND))
        return Ok(QUEUE)

    def identify(self, queue, key):
        """Admit every caller."""
        return Ok("")

    async def submit(self, queue, job_id, spec, **options):
        """Record a job."""
        self.outcome.jobs.append((job_id, spec))
        return Ok(None)

    async def count_waiting(self, queue, **options):
        """Return a number."""
        return Ok(1)

    async def find_phase(self, queue, job_id, **options):
        """Return a phase."""
        return Ok(JobPhase.QUEUED)

    async def cancel(self, queue, job_id, **options):
        """Accept a cancellation."""
        return Ok(None)
