"""Role `cell_metrics`: serves the metrics of the process as text."""

from aiohttp import web

from wasabipaddle.ingress import IngressListener, ListenerProfile
from wasabipaddle.kernel import Plugin
from wasabipaddle.settings import CellPeer

__all__ = ["MetricsPlugin", "render"]

PATH = "/metrics"
PREFIX = "wasabipaddle_"
SHUTDOWN_S = 0.5


def render(metrics) -> str:
    """Return all counters, gauges and histograms, one value per line."""
    snapshot = metrics.snapshot()
    lines = [
        f"{PREFIX}{name} {value}"
        for group in ("counters", "gauges")
        for name, value in snapshot[group].items()
    ]
    for name, summary in snapshot["histograms"].items():
        for key, value in summary.items():
            lines.append(f"{PREFIX}{name}_{key} {value}")
    return "\n".join(lines) + "\n"


class MetricsPlugin(Plugin):
    """Serves the metrics of the process over HTTP on `metrics_port`."""

    name = "cell_metrics"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.listener = None

    async def start(self):
        """Open the listener, unless `metrics_port` is 0."""
        settings = self.context.settings
        if not settings.metrics_port:
            return
        app = web.Application()
        app.router.add_get(PATH, self._show)
        self.listener = IngressListener(
            ingress=self.context.ingress,
            runner=web.AppRunner(app, shutdown_timeout=SHUTDOWN_S),
            profile=ListenerProfile(listener="metrics"),
        )
        host = CellPeer.parse(settings.internal).host
        await self.listener.open(host, settings.metrics_port)

    async def stop(self):
        """Close the listener."""
        if self.listener is not None:
            await self.listener.close()

    async def _show(self, request):
        return web.Response(text=render(self.context.metrics))
