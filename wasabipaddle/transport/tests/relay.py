"""Relay of TCP connections that can stop carrying data."""

import contextlib

from wasabipaddle.settings import LinkSettings
from wasabipaddle.standins.link import Link
from wasabipaddle.standins.proxy import LinkProxy, ProxyRoute

HOST = "127.0.0.1"
SOURCE, TARGET = "a", "b"


class Relay:
    """Relay to a port of this machine.

    Parameters
    ----------
    port : int
        Listening port.
    link : Link
        Link between `SOURCE` and `TARGET` that carries the connections.
    """

    def __init__(self, *, port, link):
        self.port = port
        self.link = link
        self.address = f"{HOST}:{port}"

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self.link.connections)

    def silence(self):
        """Make all open connections stop carrying data, but not later ones."""
        self.link.silence(SOURCE, TARGET)


@contextlib.asynccontextmanager
async def open_relay(target_port):
    """Relay connections to a port while the context is open."""
    link = Link(
        regions={SOURCE: "r", TARGET: "r"},
        settings=LinkSettings(data_centre_latency_ms=1.0),
    )
    route = ProxyRoute(
        port=0, target_host=HOST, target_port=target_port, source=SOURCE, target=TARGET
    )
    proxy = LinkProxy(link=link, host=HOST, routes=(route,))
    await proxy.start()
    try:
        yield Relay(port=proxy.ports[route], link=link)
    finally:
        await proxy.close()
