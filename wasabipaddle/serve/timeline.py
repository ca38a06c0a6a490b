"""Role `timeline`: merges the events of all processes of the cell."""

import asyncio

from aiohttp import web
from result import Ok

from wasabipaddle.kernel import Plugin, Route
from wasabipaddle.messages import EventPage, QueryEvents, encode
from wasabipaddle.timeline import merge_events

__all__ = ["TimelinePlugin"]

CALL_TIMEOUT_S = 2.0
DEFAULT_LIMIT = 1_000
MAX_LIMIT = 20_000


class TimelinePlugin(Plugin):
    """Serves events of this process to peers, and the merged timeline to operators."""

    name = "timeline"
    requires = ("transport",)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.transport = context.plugins["transport"].transport
        self.transport.handle(QueryEvents, self.select_events)

    def routes(self):
        """Return the route of the merged timeline."""
        return [Route(method="GET", path="/v1/timeline", handler=self._get)]

    async def select_events(self, query):
        """Return the latest matching events of this process, at most `query.limit`."""
        events = self.context.events.select(
            run=query.run, vm=query.vm, service=query.service, since_ms=query.since_ms
        )
        process = self.context.settings.process
        latest = tuple(events[-query.limit :])
        return Ok(EventPage(process=process, events=latest))

    async def collect(self, query):
        """Return the merged timeline, which names processes that did not reply."""
        names = [p.name for p in self.context.settings.deployment.entries]
        pages = await asyncio.gather(*(self._ask(name, query) for name in names))
        found = {n: p.events for n, p in zip(names, pages, strict=True) if p}
        missing = [n for n in names if n not in found]
        return merge_events(found, missing=missing, limit=query.limit)

    async def _ask(self, name, query):
        if name == self.context.settings.process:
            return (await self.select_events(query)).unwrap()
        result = await self.transport.call(
            name, query, EventPage, timeout_s=CALL_TIMEOUT_S
        )
        return result.ok()

    async def _get(self, request):
        filters = request.query
        query = QueryEvents(
            run=filters.get("run"),
            vm=filters.get("vm"),
            service=filters.get("service"),
            since_ms=_integer(filters, "since", 0, 10**15),
            limit=max(_integer(filters, "limit", DEFAULT_LIMIT, MAX_LIMIT), 1),
        )
        timeline = await self.collect(query)
        return web.Response(body=encode(timeline), content_type="application/json")


def _integer(query, name, default, high):
    text = query.get(name, "")
    if not text.isascii() or not text.isdigit():
        return default
    return min(int(text), high)
