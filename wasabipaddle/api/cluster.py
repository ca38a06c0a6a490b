"""Routes for health, readiness, metrics, events and members."""

from wasabipaddle.api.responses import json_response
from wasabipaddle.api.state import read_integer
from wasabipaddle.kernel import Route
from wasabipaddle.messages import QueryCluster

__all__ = ["HEALTH_PATHS", "ClusterRoutes"]

HEALTH_PATHS = frozenset({"/healthz", "/readyz"})
QUERY_TIMEOUT_S = 2.0
DEFAULT_EVENTS = 1_000
MAX_EVENTS = 20_000
MAX_TIME_MS = 10**15


class ClusterRoutes:
    """Routes that report on the process and its cell.

    Parameters
    ----------
    state : ApiState
        Shared objects of the routes.
    """

    def __init__(self, *, state):
        self.state = state

    def routes(self) -> list[Route]:
        """Return the routes."""
        table = (
            ("/healthz", self.health),
            ("/readyz", self.ready),
            ("/v1/metrics", self.metrics),
            ("/v1/events", self.events),
            ("/v1/cluster", self.cluster),
        )
        return [Route(method="GET", path=p, handler=h) for p, h in table]

    async def health(self, request):
        """Return success while the event loop of the process runs."""
        return json_response({"healthy": True})

    async def ready(self, request):
        """Return whether the process is ready for new work from the balancer."""
        reasons = self.state.readiness.reasons
        status = 503 if reasons else 200
        return json_response({"ready": not reasons, "reasons": reasons}, status=status)

    async def metrics(self, request):
        """Return counters, gauges and histograms."""
        self.state.auth.operator(request)
        return json_response(self.state.context.metrics.snapshot())

    async def events(self, request):
        """Return the latest events of this process that match the filters."""
        self.state.auth.operator(request)
        query = request.query
        found = self.state.context.events.select(
            run=query.get("run"),
            vm=query.get("vm"),
            service=query.get("service"),
            since_ms=read_integer(request, "since", 0, high=MAX_TIME_MS),
        )
        limit = read_integer(request, "limit", DEFAULT_EVENTS, low=1, high=MAX_EVENTS)
        process = self.state.context.settings.process
        return json_response({"process": process, "events": found[-limit:]})

    async def cluster(self, request):
        """Return the state of this process and the members known to it."""
        self.state.auth.operator(request)
        context = self.state.context
        reply = await context.bus.ask(QueryCluster(), timeout_s=QUERY_TIMEOUT_S)
        reasons = self.state.readiness.reasons
        body = {
            "process": context.settings.process,
            "data_centre": context.settings.data_centre,
            "region": context.settings.region,
            "revision": self.state.catalogue.revision,
            "ready": not reasons,
            "reasons": reasons,
            "members": reply.unwrap().members if reply.is_ok() else (),
            "members_error": "" if reply.is_ok() else reply.unwrap_err().detail,
        }
        return json_response(body)
