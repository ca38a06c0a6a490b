"""HTTP listener for callers and operators, with a connection limit and draining."""

import asyncio

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from wasabipaddle.api.middleware import Middleware, http_failure
from wasabipaddle.api.responses import failure_response
from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["Listener"]

FIRST_REQUEST_TIMEOUT_S = 10.0
HANDSHAKE_TIMEOUT_S = 5.0
KEEPALIVE_TIMEOUT_S = 75.0
LINGERING_TIME_S = 2.0
# Time for the balancer to see the failed readiness check before work is refused.
REFUSAL_DELAY_S = 1.0
DRAIN_POLL_S = 0.02
CONTINUE = "100-continue"


class _Protocol(web.RequestHandler):
    """Connection, aborted if no request arrives within `FIRST_REQUEST_TIMEOUT_S`."""

    def connection_made(self, transport):
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self.first_request_timer = loop.call_later(
            FIRST_REQUEST_TIMEOUT_S, transport.abort
        )

    def connection_lost(self, exc):
        self.first_request_timer.cancel()
        super().connection_lost(exc)

    def request_arrived(self):
        """Cancel the time-out for the first request."""
        self.first_request_timer.cancel()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return an error response with an `ErrorKind` for malformed HTTP."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has already begun")
        if isinstance(exc, LineTooLong):
            failure = Failure(kind=ErrorKind.HEADERS_TOO_LARGE)
        elif status >= 500:
            failure = Failure(kind=ErrorKind.INTERNAL)
        else:
            detail = "the request is not valid HTTP"
            failure = Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail)
        response = failure_response(failure)
        response.force_close()
        return response


class _RefusedConnection(asyncio.Protocol):
    """Connection above the limit, closed after an error response."""

    def connection_made(self, transport):
        detail = "too many open connections"
        failure = Failure(kind=ErrorKind.QUEUE_FULL, detail=detail)
        response = failure_response(failure)
        head = (
            f"HTTP/1.1 {response.status} Service Unavailable\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(response.body)}\r\n"
            "Retry-After: 1\r\nConnection: close\r\n\r\n"
        )
        transport.write(head.encode() + response.body)
        transport.close()


class Listener:
    """HTTP server for callers and operators.

    Parameters
    ----------
    state : ApiState
        Shared objects of the routes.
    routes : list of Route
        Routes to serve.
    ssl : ssl.SSLContext or None
        TLS context; None serves plain HTTP.
    """

    def __init__(self, *, state, routes, ssl=None):
        self.state = state
        self.ssl = ssl
        self.middleware = Middleware(state=state)
        self.app = web.Application(
            middlewares=self.middleware.all(),
            client_max_size=state.settings.max_body_bytes,
        )
        for route in routes:
            self.app.router.add_route(route.method, route.path, route.handler)
        limit = state.settings.max_header_bytes
        self.protocol_options = {
            "max_line_size": limit,
            "max_field_size": limit,
            "keepalive_timeout": KEEPALIVE_TIMEOUT_S,
            "lingering_time": LINGERING_TIME_S,
            "auto_decompress": False,
            "access_log": None,
        }
        self.app_runner = web.AppRunner(
            self.app, shutdown_timeout=1.0, **self.protocol_options
        )
        self.server = None
        self.app_handler = None

    @property
    def port(self) -> int:
        """Port of the open listener."""
        return self.server.sockets[0].getsockname()[1]

    async def open(self, host, port):
        """Listen on an address."""
        await self.app_runner.setup()
        self.app_handler = self.app_runner.server.request_handler
        self.app_runner.server.request_handler = self._handle
        loop = asyncio.get_running_loop()
        timeout_s = None if self.ssl is None else HANDSHAKE_TIMEOUT_S
        self.server = await loop.create_server(
            self._make_protocol,
            host,
            port,
            ssl=self.ssl,
            ssl_handshake_timeout=timeout_s,
        )

    async def drain(self):
        """Report not ready, then refuse new work and wait for calls in progress.

        The whole drain takes at most `drain_s` of the settings.
        """
        loop = asyncio.get_running_loop()
        drain_s = self.state.settings.drain_s
        drain_until = loop.time() + drain_s
        self.state.readiness.shutting_down.set()
        await asyncio.sleep(min(REFUSAL_DELAY_S, drain_s / 4))
        self.state.readiness.refuses_new_work = True
        while self.middleware.in_progress and loop.time() < drain_until:
            await asyncio.sleep(DRAIN_POLL_S)
        if self.app_runner.server is not None:
            self.app_runner.server.pre_shutdown()

    async def close(self):
        """Close the listener and every connection."""
        if self.server is not None:
            self.server.close()
        await self.app_runner.cleanup()

    async def _handle(self, request):
        """Serve one call.

        Some errors of `aiohttp` occur outside the middlewares and are handled here.
        """
        if request.headers.get("Expect", CONTINUE).lower() != CONTINUE:
            detail = f"Expect is not {CONTINUE}"
            failure = Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail)
            return failure_response(failure)
        try:
            return await self.app_handler(request)
        except web.HTTPException as error:
            return failure_response(http_failure(error))

    def _make_protocol(self):
        server = self.app_runner.server
        if len(server.connections) >= self.state.settings.max_connections:
            self.state.context.metrics.count("api.connections_refused")
            return _RefusedConnection()
        loop = asyncio.get_running_loop()
        return _Protocol(server, loop=loop, **self.protocol_options)
