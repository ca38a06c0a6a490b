"""Responses of servers that are too large or never end."""

import asyncio

from aiohttp import web

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.standins.listener import Listener
from wasabipaddle.transport.json_client import JsonHttpClient
from wasabipaddle.transport.tests.relay import HOST

LIMIT_BYTES = 100_000
PIECE = b" " * 10_000
# What a server can send before it notices that the client reads no more: the buffers
# of both ends.
BUFFERED_BYTES = 20_000_000
WAIT_S = 5.0


class Server:
    """Server of responses without an end, or of a given size.

    Attributes
    ----------
    sent : int
        Bytes of the response without an end.
    """

    def __init__(self):
        self.sent = 0

    async def send_forever(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(PIECE)
            self.sent += len(PIECE)

    async def send(self, request):
        size = int(request.query["size"])
        return web.Response(body=b"{}" + b" " * (size - 2))


def with_server(check):
    async def main():
        server = Server()
        routes = [web.get("/forever", server.send_forever), web.get("/", server.send)]
        listener = Listener(routes=routes, host=HOST)
        await listener.start()
        client = JsonHttpClient(
            address=f"{HOST}:{listener.port}", max_response_bytes=LIMIT_BYTES
        )
        try:
            await check(server, client)
        finally:
            await client.close()
            await listener.close()

    asyncio.run(main())


def test_response_without_end_is_not_held():
    """Guards against a reply of a runner or the store that fills the memory."""

    async def check(server, client):
        result = await client.call("GET", "/forever", timeout_s=WAIT_S)
        assert result.err().kind is ErrorKind.TIMEOUT
        assert str(LIMIT_BYTES) in result.err().detail
        assert server.sent < BUFFERED_BYTES

    with_server(check)


def test_largest_response_is_read():
    """Guards against a limit that is off by one, or blocks the calls after it."""

    async def check(server, client):
        for size, read in ((LIMIT_BYTES, True), (LIMIT_BYTES + 1, False), (2, True)):
            query = {"size": size}
            result = await client.call("GET", "/", query=query, timeout_s=WAIT_S)
            assert result.is_ok() is read

    with_server(check)
