"""Role `api`: HTTP interface for callers and operators."""

from wasabipaddle.api import (
    ApiState,
    CertificateReloader,
    ClusterRoutes,
    DocumentRoutes,
    Listener,
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

    The store is that of the role `platform` and the documents in force are those of
    the role `documents`, if these roles run; without the latter, `DocumentRevision`
    facts on the bus are applied. Other roles veto readiness by `ReadinessChanged`
    facts. Their public routes are served to operators.

    Attributes
    ----------
    state : ApiState
        Shared objects of the routes.
    listener : Listener or None
        The listener, from `start` on.
    """

    name = "api"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.state = None
        self.listener = None
        self.subscriptions = []

    async def start(self):
        """Open the listener."""
        settings = self.context.settings
        plugins = self.context.plugins
        store = getattr(plugins.get("platform"), "store", None)
        catalogue = getattr(plugins.get("documents"), "catalogue", None)
        bus = self.context.bus
        if catalogue is None:
            catalogue = Catalogue(quotas=settings.deployment.quotas)
            facts = bus.facts(DocumentRevision)
            self.subscriptions.append(facts.subscribe(self._apply))
        self.state = ApiState.create(
            context=self.context, catalogue=catalogue, store=store
        )
        facts = bus.facts(ReadinessChanged)
        self.subscriptions.append(facts.subscribe(self.state.readiness.update))
        ssl = server_context(settings.api.tls)
        if ssl is not None:
            self._watch_certificate(ssl)
        routes = [*self._own_routes(), *self._routes_of_others()]
        self.listener = Listener(state=self.state, routes=routes, ssl=ssl)
        await self.listener.open(settings.peer.host, settings.peer.api_port)

    async def drain(self):
        """Fail readiness first, then finish the work in progress."""
        await self.listener.drain()

    async def stop(self):
        """Close the listener."""
        for subscription in self.subscriptions:
            subscription.dispose()
        if self.listener is not None:
            await self.listener.close()

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
        """Reload the certificate of this listener and of the internal one."""
        contexts = [ssl]
        internal = getattr(self.context.plugins.get("transport"), "ssl", None)
        if internal is not None:
            contexts.append(internal)
        tls = self.context.settings.api.tls
        reloader = CertificateReloader(tls=tls, contexts=contexts)
        ticks = self.context.timers.every(CERTIFICATE_CHECK_S)
        self.subscriptions.append(ticks.subscribe(lambda _: reloader.check()))

    def _apply(self, fact):
        applied = self.state.catalogue.apply(fact.service, fact.revision, fact.text)
        if applied.is_err():
            self.context.metrics.count("api.documents_refused")
