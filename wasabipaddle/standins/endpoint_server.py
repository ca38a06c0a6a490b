"""HTTP server of an in-memory endpoint."""

import asyncio
import weakref

import msgspec
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import EndpointRequest
from wasabipaddle.interfaces.http_endpoint import AnswerHead
from wasabipaddle.standins.listener import (
    Listener,
    failure_response,
    hang,
    json_response,
)

__all__ = ["EndpointServer"]

PING_INTERVAL_S = 0.25
CHUNK_BYTES = 16_384


class EndpointServer:
    """HTTP server of one endpoint.

    Parameters
    ----------
    endpoint : MemoryEndpoint
        Endpoint that runs the requests.
    host, port
        Listening address; port 0 takes a free one.
    """

    def __init__(self, *, endpoint, host, port=0):
        self.endpoint = endpoint
        self.silent = weakref.WeakSet()
        path = f"/endpoint/v1/{endpoint.name}"
        routes = [
            web.post(path + "/requests/{request}", self._send),
            web.get(path + "/requests/{request}", self._query),
            web.get(path + "/health", self._probe),
        ]
        self.listener = Listener(routes=routes, host=host, port=port)

    def silence_connections(self):
        """Make every open connection silent; new ones work."""
        self.silent.update(self.listener.transports())

    def _is_silent(self, transport):
        return self.endpoint.faults.silent or transport in self.silent

    async def _probe(self, request):
        if self._is_silent(request.transport):
            await hang(request)
        return json_response(None)

    async def _query(self, request):
        if self._is_silent(request.transport):
            await hang(request)
        return json_response(self.endpoint.state_of(request.match_info["request"]))

    async def _send(self, request):
        transport = request.transport
        if self._is_silent(transport):
            await hang(request)
            return failure_response(Failure(kind=ErrorKind.TIMEOUT))
        if len(self.listener.transports()) > self.endpoint.connections:
            response = failure_response(Failure(kind=ErrorKind.NO_CAPACITY))
            response.force_close()
            return response
        accepted = self.endpoint.accept(await _parse(request))
        if accepted.is_err():
            return failure_response(accepted.unwrap_err())
        running = accepted.unwrap()
        response = web.StreamResponse()
        try:
            await response.prepare(request)
            await self._ping(transport, response, running)
            await self._answer(request, response, running)
        except ConnectionError:
            pass  # `disconnect` records the cut-off if the request is in progress
        finally:
            self.endpoint.disconnect(running)
        return response

    async def _ping(self, transport, response, running):
        """Send line breaks as a sign of progress until the request has ended."""
        loop = asyncio.get_running_loop()
        while not running.ended.done():
            if loop.time() <= running.pings_until_s and not self._is_silent(transport):
                await response.write(b"\n")
            if transport.is_closing():
                raise ConnectionResetError("the client closed the connection")
            await asyncio.wait([running.ended], timeout=PING_INTERVAL_S)

    async def _answer(self, request, response, running):
        result = running.ended.result()
        if running.lost or self._is_silent(request.transport):
            await hang(request)
            return
        if result.is_err():
            failure = result.unwrap_err()
            if failure.kind is ErrorKind.TIMEOUT:
                request.transport.abort()
                return
            head = AnswerHead(request=running.request.request, failure=failure)
            await response.write(msgspec.json.encode(head) + b"\n")
            return
        answer = result.unwrap()
        head = AnswerHead(
            request=answer.request, length=answer.length, digest=answer.digest
        )
        await response.write(msgspec.json.encode(head) + b"\n")
        for start in range(0, len(answer.body), CHUNK_BYTES):
            await response.write(answer.body[start : start + CHUNK_BYTES])
        if answer.stalls:
            await hang(request)


async def _parse(request):
    query = request.query
    return EndpointRequest(
        request=request.match_info["request"],
        service=query.get("service", ""),
        shard=query.get("shard", ""),
        epoch=int(query.get("epoch", "0")),
        deadline_s=float(query.get("deadline_s", "30")),
        body=await request.read(),
    )
