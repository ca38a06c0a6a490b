"""HTTP listener for callers and operators, with a connection limit and draining."""

import asyncio

from aiohttp import web

from wasabipaddle.api.middleware import Middleware, http_failure
from wasabipaddle.api.responses import failure_response
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.ingress import (
    Connection,
    IngressListener,
    ListenerProfile,
    RequestLimits,
)

__all__ = ["Listener"]

FIRST_REQUEST_TIMEOUT_S = 10.0
HANDSHAKE_TIMEOUT_S = 5.0
KEEPALIVE_TIMEOUT_S = 75.0
# Longest pause within a body or between the reads of an answer.
IDLE_TIMEOUT_S = 60.0
# Size of a request line, which `max_header_bytes` does not count.
REQUEST_LINE_BYTES = 8_192
LISTENER = "api"
# Time for the balancer to see the failed readiness check before work is refused.
REFUSAL_DELAY_S = 1.0
DRAIN_POLL_S = 0.02
CONTINUE = "100-continue"


class _Connection(Connection):
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
        limits = RequestLimits(
            max_head_bytes=state.settings.max_header_bytes + REQUEST_LINE_BYTES,
            max_body_bytes=state.settings.max_body_bytes,
            header_s=FIRST_REQUEST_TIMEOUT_S,
            idle_s=IDLE_TIMEOUT_S,
        )
        ingress = state.context.ingress
        ingress.ledger.limit_connections(LISTENER, state.settings.max_connections)
        self.app_runner = web.AppRunner(self.app, shutdown_timeout=1.0)
        self.listener = IngressListener(
            ingress=ingress,
            runner=self.app_runner,
            profile=ListenerProfile(
                listener=LISTENER,
                find_limits=lambda: limits,
                render=failure_response,
            ),
            options={"keepalive_timeout": KEEPALIVE_TIMEOUT_S},
            connection_type=_Connection,
        )
        self.app_handler = None

    @property
    def port(self) -> int:
        """Port of the open listener."""
        return self.listener.server.sockets[0].getsockname()[1]

    async def open(self, host, port):
        """Listen on an address."""
        timeout_s = None if self.ssl is None else HANDSHAKE_TIMEOUT_S
        await self.listener.open(
            host, port, ssl=self.ssl, ssl_handshake_timeout=timeout_s
        )
        self.app_handler = self.listener.handler
        self.listener.handler = self._handle

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
        await self.listener.close()

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
