"""Listeners that share the limits of a process on what clients may hold."""

import asyncio
import contextlib
import socket

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.ingress.ledger import ConnectionUsage, Ledger
from wasabipaddle.ingress.limits import derive_limits
from wasabipaddle.ingress.protocol import Connection
from wasabipaddle.ingress.replies import RefusedConnection, busy_failure

__all__ = ["Ingress", "IngressListener"]

SWEEP_INTERVAL_S = 0.25
# Delay of a sweep beyond which the process itself stood still.
SUSPENSION_S = 1.0
# Time without a refusal after which the next one is logged.
REFUSAL_LOG_INTERVAL_S = 10.0
# Time within which an admitted connection opens, its handshake included.
OPENING_S = 10.0
# Connections that wait to be accepted, and those accepted before the next event.
BACKLOG = 512
ACCEPT_BATCH = 16


class Ingress:
    """Connections of all clients of a process.

    Parameters
    ----------
    context : Context
        Settings, timers, metrics and log of the process.

    Attributes
    ----------
    ledger : Ledger
        Decides what the connections may hold.
    """

    def __init__(self, *, context):
        settings = context.settings
        self.context = context
        self.ledger = Ledger(
            limits=derive_limits(
                memory_mb=getattr(settings, "memory_mb", 0),
                descriptors=getattr(settings, "descriptors", 0),
            )
        )
        self.listeners = 0
        self.sweeping = None
        self.last_sweep_s = 0.0
        self.last_refusal_s = None

    def now(self) -> float:
        """Return the time of the running loop, in seconds."""
        return asyncio.get_running_loop().time()

    def open(self):
        """Begin to enforce the time limits, with the first listener."""
        self.listeners += 1
        if self.sweeping is None:
            self.last_sweep_s = self.now()
            timer = self.context.timers.every(SWEEP_INTERVAL_S, jitter=0.0)
            self.sweeping = timer.subscribe(self._sweep)

    def close(self):
        """Stop to enforce the time limits, with the last listener."""
        self.listeners -= 1
        if not self.listeners:
            self.sweeping.dispose()
            self.sweeping = None

    def admit(self, profile) -> bool:
        """Return whether a new connection is served; evict others for it."""
        evicted = self.ledger.admit(profile.listener, self.now())
        if evicted is None:
            self.count_refusal(profile.listener, ErrorKind.QUEUE_FULL)
            return False
        for usage in evicted:
            self.context.metrics.count(f"ingress_{profile.listener}_evicted")
            usage.connection.evict()
            self.ledger.remove(usage)
        return True

    def expect(self, connection):
        """Count a connection that is about to open.

        Several connections are admitted before the first of them opens. One that does
        not open, as after a failed handshake, is forgotten.
        """
        connection.usage = ConnectionUsage(
            connection=connection,
            listener=connection.profile.listener,
            since_s=self.now(),
        )
        self.ledger.add(connection.usage)
        asyncio.get_running_loop().call_later(
            OPENING_S, self._forget_unopened, connection
        )

    def _forget_unopened(self, connection):
        if connection.transport is None:
            self.ledger.remove(connection.usage)

    def add(self, connection):
        """Record that a connection has opened."""
        self.ledger.add(connection.usage)

    def remove(self, usage):
        """Forget a closed connection."""
        self.ledger.remove(usage)

    def reserve(self, usage, cost) -> bool:
        """Set the reservation of a connection; return whether it is granted."""
        evicted = self.ledger.reserve(usage, cost, self.now())
        for other in evicted or ():
            other.connection.refuse(ErrorKind.QUEUE_FULL)
        return evicted is not None

    def release(self, usage):
        """Drop the reservation of a connection."""
        self.ledger.release(usage)

    def count_refusal(self, listener, kind):
        """Count a refusal; log the first one after a calm time."""
        now_s = self.now()
        metrics = self.context.metrics
        metrics.count(f"ingress_{listener}_refused_{kind.value}")
        last_s, self.last_refusal_s = self.last_refusal_s, now_s
        if last_s is None or now_s - last_s > REFUSAL_LOG_INTERVAL_S:
            self.context.journal(
                "clients_refused",
                listener=listener,
                reason=kind.value,
                connections=len(self.ledger.usages),
                reserved=self.ledger.reserved,
            )

    def _sweep(self, now_s):
        """Refuse or close the connections that have exceeded a time limit."""
        late_s = now_s - self.last_sweep_s - SWEEP_INTERVAL_S
        self.last_sweep_s = now_s
        self.context.metrics.gauge("ingress_connections", len(self.ledger.usages))
        self.context.metrics.gauge("ingress_reserved_bytes", self.ledger.reserved)
        if late_s > SUSPENSION_S:
            return
        for usage in self.ledger.find_overdue(now_s):
            usage.connection.expire()


class IngressListener:
    """Listener whose connections are within the limits of the process.

    Parameters
    ----------
    ingress : Ingress
        Shared by the listeners of the process.
    runner : web.BaseRunner
        Runner of the server or application that handles the requests.
    profile : ListenerProfile
        What the listener expects of its clients.
    options : dict
        Further options of the connections.
    connection_type : type
        Class of the connections, derived from `Connection`.
    """

    def __init__(
        self, *, ingress, runner, profile, options=None, connection_type=Connection
    ):
        self.connection_type = connection_type
        self.ingress = ingress
        self.runner = runner
        self.profile = profile
        self.options = options or {}
        self.server = None
        self.handler = None

    async def prepare(self):
        """Set up the handler of requests, which `open` does as well."""
        await self.runner.setup()
        self.handler = self.runner.server.request_handler
        self.runner.server.request_handler = self._handle

    async def open(self, host, port, *, ssl=None, ssl_handshake_timeout=None):
        """Listen on an address."""
        await self.prepare()
        listening_socket = _bind(host, port)
        self.server = await asyncio.get_running_loop().create_server(
            self.make_connection,
            sock=listening_socket,
            backlog=ACCEPT_BATCH,
            ssl=ssl,
            ssl_handshake_timeout=ssl_handshake_timeout,
        )
        # The event loop accepts as many connections in a row as its backlog has, which
        # is far more than a process near its limit of descriptors may open.
        listening_socket.listen(BACKLOG)
        self.ingress.open()

    async def close(self):
        """Stop listening; refuse requests that are not whole, then close."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for usage in list(self.ingress.ledger.usages):
            if usage.listener == self.profile.listener:
                usage.connection.shut_down()
        await self.runner.cleanup()
        self.ingress.close()

    async def _handle(self, request):
        protocol = request.protocol
        protocol.serving = True
        try:
            response = await self.handler(request)
        finally:
            last = protocol.end_request()
        if last:
            response.force_close()
        return response

    def make_connection(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        if not self.ingress.admit(self.profile):
            failure = busy_failure("too many open connections")
            return RefusedConnection(response=self.profile.render(failure))
        connection = self.connection_type(
            self.runner.server,
            ingress=self.ingress,
            profile=self.profile,
            loop=asyncio.get_running_loop(),
            **self.options,
        )
        self.ingress.expect(connection)
        return connection


def _bind(host, port):
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    with contextlib.suppress(OSError):
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound
