"""In-memory endpoints for the measures of the request path."""

import asyncio
import collections

import attrs
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import EndpointAnswer, EndpointClient, RequestState
from wasabipaddle.routing.answers import digest_of

__all__ = ["EndpointServer", "RemoteClient"]

# One-way latency between a process and an endpoint.
LATENCY_S = 0.0015
MAX_IDLE_CONNECTIONS = 64


@attrs.define(kw_only=True, eq=False)
class EndpointServer:
    """Endpoint with a limited number of slots and injectable faults.

    Parameters
    ----------
    failing : float
        Probability that a request fails after it has run.
    late_s : float
        Time added to every answer.
    draining, gone : bool
        Whether new requests are refused, and whether the VM has left.
    detections_s : list of float
        Times that requests waited on a silent connection until the process abandoned
        it.
    """

    name: str
    slots: int
    random: object
    failing: float = 0.0
    late_s: float = 0.0
    draining: bool = False
    gone: bool = False
    running: int = 0
    cut_off: int = 0
    busy_s: float = 0.0
    most_running: int = 0
    last_accepted_s: float = 0.0
    sends: int = 0
    executed: collections.Counter = attrs.field(factory=collections.Counter)
    states: dict = attrs.field(factory=dict)
    connections: set = attrs.field(factory=set)
    detections_s: list = attrs.field(factory=list)

    def stall_connections(self):
        """Make every open connection silent permanently; new ones work."""
        for connection in self.connections:
            connection.silent = True
        self.connections.clear()

    def leave(self):
        """Mark the VM as gone and count its running requests as cut off."""
        self.gone = True
        self.cut_off += self.running

    async def run(self, request, service_s):
        """Run one request in a slot, or refuse it."""
        self.sends += 1
        if self.gone:
            return Err(Failure(kind=ErrorKind.UNREACHABLE))
        if self.draining:
            return Err(Failure(kind=ErrorKind.DRAINING))
        if self.running >= self.slots:
            return Err(Failure(kind=ErrorKind.NO_CAPACITY))
        loop = asyncio.get_running_loop()
        self.last_accepted_s = loop.time()
        self.executed[request] += 1
        self.states[request] = RequestState.RUNNING
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await asyncio.sleep(service_s + self.late_s)
        self.running -= 1
        self.busy_s += service_s
        self.states[request] = RequestState.RAN
        if self.random.random() < self.failing:
            return Err(Failure(kind=ErrorKind.ENDPOINT_FAILED))
        return Ok(None)


@attrs.define(eq=False)
class _Connection:
    silent: bool = False


class RemoteClient(EndpointClient):
    """Endpoint client of one process, with its own connections.

    The body of a request holds its service time in seconds as text.

    Parameters
    ----------
    server : EndpointServer
        Endpoint to call.
    """

    def __init__(self, *, server):
        self.server = server
        self.idle = []
        self.tasks = set()

    async def send(self, request):
        """Send on an idle or a new connection."""
        connection = self.idle.pop() if self.idle else self._open()
        result = await self._exchange(connection, request)
        if len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        if result.is_err():
            return result
        return Ok(_answer(request.request))

    async def query(self, request):
        """Ask for the state of a request on a new connection."""
        await asyncio.sleep(2 * LATENCY_S)
        if self.server.gone:
            return Err(Failure(kind=ErrorKind.UNREACHABLE))
        return Ok(self.server.states.get(request, RequestState.NEVER_SEEN))

    async def probe(self):
        """Check that a connection can be opened."""
        await asyncio.sleep(2 * LATENCY_S)
        if self.server.gone:
            return Err(Failure(kind=ErrorKind.UNREACHABLE))
        return Ok(None)

    async def replace_connections(self):
        """Drop idle connections."""
        self.server.connections.difference_update(self.idle)
        self.idle.clear()

    def _open(self):
        connection = _Connection()
        self.server.connections.add(connection)
        return connection

    async def _exchange(self, connection, request):
        await asyncio.sleep(LATENCY_S)
        if connection.silent:
            await self._wait_until_abandoned()
        # The endpoint finishes a request even if its client has disconnected.
        service_s = float(request.body)
        task = asyncio.ensure_future(self.server.run(request.request, service_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        result = await asyncio.shield(task)
        await asyncio.sleep(LATENCY_S)
        if connection.silent:
            await self._wait_until_abandoned()
        return result

    async def _wait_until_abandoned(self):
        """Wait until the process abandons the connection; record the elapsed time."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            await loop.create_future()
        finally:
            self.server.detections_s.append(loop.time() - began)


def _answer(request):
    body = request.encode()
    return EndpointAnswer(
        request=request,
        length=len(body),
        digest=digest_of(body),
        chunks=_single_chunk(body),
    )


async def _single_chunk(body):
    yield body
