"""Role `transport`: calls between entry processes and the internal listener."""

import ssl

from aiohttp import web

from wasabipaddle.ingress import IngressListener, ListenerProfile
from wasabipaddle.kernel import Plugin
from wasabipaddle.transport import HttpTransport

__all__ = ["TransportPlugin", "peer_client_context", "peer_server_context"]

SHUTDOWN_S = 1.0


def peer_server_context(tls) -> ssl.SSLContext | None:
    """Return the TLS context of the internal listener, None if TLS is off.

    Clients must present a certificate that the configured authority has signed.
    """
    if not tls.certificate:
        return None
    purpose = ssl.Purpose.CLIENT_AUTH
    context = ssl.create_default_context(purpose, cafile=tls.authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def peer_client_context(tls) -> ssl.SSLContext | None:
    """Return the TLS context of calls to peers, None if TLS is off.

    The client presents the certificate of this process and verifies the certificate
    and host name of the peer against the configured authority.
    """
    if not tls.certificate:
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    return context


class TransportPlugin(Plugin):
    """Owns the internal listener and the connections to peers.

    Other roles register their message handlers with `transport.handle` in their
    constructor or in `start`. The listener is therefore opened by a separate call of
    `open` after every role has started.
    """

    name = "transport"

    def __init__(self, *, context):
        super().__init__(context=context)
        settings = context.settings
        self.client_ssl = peer_client_context(settings.api.tls)
        self.transport = HttpTransport(
            peers={p.name: p for p in settings.deployment.entries},
            ssl=self.client_ssl,
        )
        self.ssl = peer_server_context(settings.api.tls)
        self.listener = None

    async def open(self):
        """Listen on the internal port for messages and internal routes."""
        peer = self.context.settings.peer
        app = web.Application()
        app.add_routes(self.transport.routes())
        for plugin in self.context.plugins.values():
            for route in plugin.routes():
                if route.internal:
                    app.router.add_route(route.method, route.path, route.handler)
        self.listener = IngressListener(
            ingress=self.context.ingress,
            runner=web.AppRunner(app, shutdown_timeout=SHUTDOWN_S),
            profile=ListenerProfile(listener="internal"),
        )
        await self.listener.open(peer.host, peer.internal_port, ssl=self.ssl)

    async def stop(self):
        """Close the listener and the connections to peers."""
        if self.listener is not None:
            await self.listener.close()
        await self.transport.close()
