"""Client of an in-memory endpoint with its own connections."""

import asyncio

import attrs
from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import AnswerChunks, EndpointAnswer, EndpointClient
from wasabipaddle.standins.exchange import fail

__all__ = ["Connection", "MemoryEndpointClient"]

DEFAULT_PROGRESS_S = 1.0
CHUNK_BYTES = 16_384


@attrs.define(kw_only=True, eq=False)
class Connection:
    """One open connection to an endpoint; delivers nothing while `silent` is set."""

    silent: bool = False


class MemoryEndpointClient(EndpointClient):
    """Client of a `MemoryEndpoint` for one process.

    Parameters
    ----------
    progress_s : float
        Time without progress after which a call on a connection times out.

    Attributes
    ----------
    partitioned : bool
        Whether the process is cut off from the endpoint.
    """

    def __init__(self, *, endpoint, progress_s=DEFAULT_PROGRESS_S):
        self.endpoint = endpoint
        self.progress_s = progress_s
        self.partitioned = False
        self.idle = []

    async def send(self, request):
        """Send a request on an idle or a new connection."""
        opened = await self._connect()
        if opened.is_err():
            return opened
        connection = opened.unwrap()
        try:
            async with asyncio.timeout(request.deadline_s):
                result = await self._exchange(connection, request)
        except TimeoutError:
            result = fail(ErrorKind.TIMEOUT, "deadline of the request has passed")
        except asyncio.CancelledError:
            self._drop(connection)
            raise
        if result.is_err():
            if result.unwrap_err().kind is ErrorKind.TIMEOUT:
                self._drop(connection)
            else:
                self.idle.append(connection)
            return result
        return Ok(self._as_answer(connection, result.unwrap()))

    async def query(self, request):
        """Query the state of a request id on a new connection."""
        probed = await self.probe()
        if probed.is_err():
            return probed
        return Ok(self.endpoint.state_of(request))

    async def probe(self):
        """Check that a new connection is accepted and the endpoint is not silent."""
        opened = await self._connect(new=True)
        if opened.is_err():
            return opened
        self._drop(opened.unwrap())
        if self.endpoint.faults.silent:
            return await self._stall()
        return Ok(None)

    async def replace_connections(self):
        """Close idle connections."""
        for connection in list(self.idle):
            self._drop(connection)

    async def close(self):
        """Close connections."""
        await self.replace_connections()

    async def _connect(self, *, new=False):
        endpoint = self.endpoint
        while self.idle and not new:
            connection = self.idle.pop()
            if connection in endpoint.open:
                return Ok(connection)
        if self.partitioned:
            await asyncio.sleep(self.progress_s)
            return fail(ErrorKind.UNREACHABLE, "connection attempt timed out")
        await asyncio.sleep(endpoint.latency_s)
        if endpoint.refuses_connections():
            return fail(ErrorKind.UNREACHABLE, f"{endpoint.name} refuses connections")
        if len(endpoint.open) >= endpoint.connections:
            return fail(ErrorKind.NO_CAPACITY, "no free connection")
        connection = Connection()
        endpoint.open.add(connection)
        return Ok(connection)

    async def _exchange(self, connection, request):
        endpoint = self.endpoint
        await asyncio.sleep(endpoint.latency_s / 2)
        if self._is_silent(connection):
            return await self._stall()
        if connection not in endpoint.open:
            return fail(ErrorKind.TIMEOUT, "connection closed by the endpoint")
        accepted = endpoint.accept(request)
        if accepted.is_err():
            await asyncio.sleep(endpoint.latency_s / 2)
            return accepted
        running = accepted.unwrap()
        try:
            result = await self._wait(connection, running)
        finally:
            endpoint.disconnect(running)
        await asyncio.sleep(endpoint.latency_s / 2)
        return result

    async def _wait(self, connection, running):
        """Wait for the end of a request, or until its connection stops progressing."""
        loop = asyncio.get_running_loop()
        progress_at_s = loop.time()
        while True:
            await asyncio.wait([running.ended], timeout=self.progress_s / 4)
            silent = self._is_silent(connection)
            if running.ended.done() and not silent and not running.lost:
                return running.ended.result()
            if connection not in self.endpoint.open:
                return fail(ErrorKind.TIMEOUT, "connection closed by the endpoint")
            if not silent and loop.time() <= running.pings_until_s:
                progress_at_s = loop.time()
            if loop.time() - progress_at_s >= self.progress_s:
                return fail(ErrorKind.TIMEOUT, "no progress on the connection")
            if running.ended.done():
                await asyncio.sleep(self.progress_s / 4)

    def _is_silent(self, connection):
        silent = connection.silent or self.endpoint.faults.silent
        return silent or self.partitioned

    async def _stall(self):
        await asyncio.sleep(self.progress_s)
        return fail(ErrorKind.TIMEOUT, "no progress on the connection")

    def _as_answer(self, connection, answer):
        def release(whole):
            if whole and connection in self.endpoint.open:
                self.idle.append(connection)
            else:
                self._drop(connection)

        return EndpointAnswer(
            request=answer.request,
            length=answer.length,
            digest=answer.digest,
            chunks=AnswerChunks(source=self._chunks(answer), release=release),
        )

    async def _chunks(self, answer):
        for start in range(0, len(answer.body), CHUNK_BYTES):
            await asyncio.sleep(0)
            yield answer.body[start : start + CHUNK_BYTES]
        if answer.stalls:
            await asyncio.sleep(self.progress_s)
        if len(answer.body) < answer.length:
            raise ConnectionError("the answer ended early")

    def _drop(self, connection):
        self.endpoint.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
