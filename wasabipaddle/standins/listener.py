"""HTTP listener of a stand-in that can refuse connections."""

import asyncio
import socket

import msgspec
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind

__all__ = [
    "Listener",
    "failure_response",
    "hang",
    "reserve_port",
    "json_response",
    "result_response",
]

MAX_BODY_BYTES = 4_000_000
SHUTDOWN_TIMEOUT_S = 0.2
HANG_LIMIT_S = 60.0
HANG_POLL_INTERVAL_S = 0.2


class Listener:
    """HTTP listener whose port can be closed and opened again.

    Parameters
    ----------
    routes : list
        Routes of `aiohttp`.
    host : str
        IP address.
    port : int
        Port; 0 takes a free port at the start.
    """

    def __init__(self, *, routes, host, port=0):
        self.routes = routes
        self.host = host
        self.port = port
        self.app_runner = None
        self.site = None
        self.reserved_socket = None

    async def start(self):
        """Open the port."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(self.routes)
        self.app_runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            handle_signals=False,
        )
        await self.app_runner.setup()
        if self.port == 0:
            self.reserved_socket = reserve_port(self.host, socket.SO_REUSEPORT)
            self.port = self.reserved_socket.getsockname()[1]
        await self.accept()

    async def accept(self):
        """Open the port if it is closed."""
        if self.site is not None:
            return
        self.site = web.TCPSite(
            self.app_runner,
            self.host,
            self.port,
            reuse_address=True,
            reuse_port=self.reserved_socket is not None,
            backlog=512,
        )
        await self.site.start()

    async def refuse(self):
        """Close the port and abort open connections."""
        if self.site is not None:
            site, self.site = self.site, None
            await site.stop()
        for transport in self.transports():
            transport.abort()

    def transports(self):
        """Return the transports of the open connections."""
        handlers = self.app_runner.server.connections
        return [h.transport for h in handlers if h.transport is not None]

    async def close(self):
        """Close the port and the connections."""
        await self.refuse()
        await self.app_runner.cleanup()
        if self.reserved_socket is not None:
            self.reserved_socket.close()


def reserve_port(host, option=socket.SO_REUSEADDR):
    """Reserve a free port and return the socket that is bound to it.

    A bound socket that does not listen refuses connections, and the operating system
    does not assign its port to another process.

    Parameters
    ----------
    host : str
        IP address.
    option : int
        Socket option for sharing the port, which the listener has to set as well.
    """
    reserved_socket = socket.socket()
    reserved_socket.setsockopt(socket.SOL_SOCKET, option, 1)
    reserved_socket.bind((host, 0))
    return reserved_socket


def json_response(value) -> web.Response:
    """Return a response with a value as JSON."""
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def failure_response(failure) -> web.Response:
    """Return a response with the status and body of a failure."""
    body = msgspec.json.encode(failure)
    status = failure.response.status
    return web.Response(body=body, status=status, content_type="application/json")


async def result_response(request, result) -> web.Response:
    """Return the response for a result; a timeout keeps the client waiting first."""
    if result.is_ok():
        return json_response(result.unwrap())
    failure = result.unwrap_err()
    if failure.kind is ErrorKind.TIMEOUT:
        await hang(request)
    return failure_response(failure)


async def hang(request):
    """Send nothing for `HANG_LIMIT_S` or until the client closes the connection."""
    for _ in range(int(HANG_LIMIT_S / HANG_POLL_INTERVAL_S)):
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        await asyncio.sleep(HANG_POLL_INTERVAL_S)
