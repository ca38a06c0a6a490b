"""Role `api`: HTTP interface for callers and operators."""

from wasabipaddle.api import (
    ApiState,
    CertificateReloader,
    ClusterRoutes,
    DocumentRoutes,
    Listener,
    Readiness,
    RequestRoutes,
    RunRoutes,
    server_context,
)
from wasabipaddle.documents import Catalogue
from wasabipaddle.kernel import Plugin, ReadinessChanged, Route
from wasabipaddle.messages import DocumentRevision

__all__ = ["ApiPlugin"]

CERTIFICATE_CHECK_S = 5.0


class ApiPlugin(Plugin):
    """Owns the listener for callers and operators.

    Documents arrive as `DocumentRevision` events on the bus. Other roles report that
    they are not ready by `ReadinessChanged` events. Their public routes are served to
    operators only.

    Attributes
    ----------
    catalogue : Catalogue
        Applied documents.
    readiness : Readiness
        Reasons of roles that are not ready, and the state of the shutdown.
    state : ApiState or None
        Shared objects of the routes; None before `start`.
    listener : Listener or None
        The listener; None before `start`.
    """

    name = "api"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.catalogue = Catalogue(quotas=context.settings.deployment.quotas)
        self.readiness = Readiness()
        self.state = None
        self.listener = None
        # Roles that start earlier may publish events before this role starts.
        bus = context.bus
        self.subscriptions = [
            bus.events(DocumentRevision).subscribe(self._apply),
            bus.events(ReadinessChanged).subscribe(self.readiness.update),
        ]

    async def start(self):
        """Open the listener."""
        settings = self.context.settings
        self.state = ApiState.create(
            context=self.context,
            catalogue=self.catalogue,
            readiness=self.readiness,
            store=self._find_store(),
        )
        ssl = server_context(settings.api.tls)
        if ssl is not None:
            self._watch_certificate(ssl)
        routes = [*self._own_routes(), *self._routes_of_others()]
        self.listener = Listener(state=self.state, routes=routes, ssl=ssl)
        await self.listener.open(settings.peer.host, settings.peer.api_port)

    async def drain(self):
        """Report not ready, then wait for the work in progress."""
        await self.listener.drain()

    async def stop(self):
        """Close the listener."""
        for subscription in self.subscriptions:
            subscription.dispose()
        if self.listener is not None:
            await self.listener.close()

    def _find_store(self):
        """Return the store client of the process, or None.

        The client of the role `store` is preferred, since it honours the pause that
        all roles share.
        """
        plugins = self.context.plugins
        if "store" in plugins:
            return plugins["store"].gate.store_for("documents")
        return getattr(plugins.get("platform"), "store", None)

    def _own_routes(self):
        parts = (RequestRoutes, RunRoutes, DocumentRoutes, ClusterRoutes)
        return [route for part in parts for route in part(state=self.state).routes()]

    def _routes_of_others(self):
        return [
            self._for_operators(route)
            for plugin in self.context.plugins.values()
            for route in plugin.routes()
            if not route.internal
        ]

    def _for_operators(self, route):
        async def handler(request):
            self.state.auth.operator(request)
            return await route.handler(request)

        return Route(method=route.method, path=route.path, handler=handler)

    def _watch_certificate(self, ssl):
        """Reload the certificate of both listeners and of the calls to peers."""
        transport = self.context.plugins.get("transport")
        internal = (getattr(transport, n, None) for n in ("ssl", "client_ssl"))
        contexts = [ssl, *(c for c in internal if c is not None)]
        tls = self.context.settings.api.tls
        reloader = CertificateReloader(tls=tls, contexts=contexts)
        ticks = self.context.timers.every(CERTIFICATE_CHECK_S)
        self.subscriptions.append(
            ticks.subscribe(lambda _: reloader.reload_if_changed())
        )

    def _apply(self, event):
        applied = self.catalogue.apply(event.service, event.revision, event.text)
        if applied.is_err():
            self.context.metrics.count("api.documents_refused")
