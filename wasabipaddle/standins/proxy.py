"""TCP proxy that carries traffic between processes over a `Link`.

While two places are cut off from each other, bytes on open connections are held back
and delivered after the cut is removed, as TCP does. A new connection is accepted but
makes no progress before that. If its client closes it during the cut, the target never
learns of it, as of a TCP connection that could not be established.
"""

import asyncio

import attrs

__all__ = ["LinkProxy", "ProxyRoute"]

CHUNK_BYTES = 16_384
QUEUE_CHUNKS = 32


@attrs.frozen(kw_only=True)
class ProxyRoute:
    """Listening port whose connections are relayed to a target over the link.

    Parameters
    ----------
    port : int
        Listening port; 0 takes a free one.
    target_host, target_port
        Address of the target.
    source, target : str
        Places of the connecting side and of the target.
    """

    port: int
    target_host: str
    target_port: int
    source: str
    target: str


class LinkProxy:
    """TCP proxy with any number of routes over one link.

    Parameters
    ----------
    link : Link
        Latency, bandwidth, cuts and byte counts.
    host : str
        IP address of the listening ports.
    routes : tuple of ProxyRoute
        Ports and their targets.

    Attributes
    ----------
    ports : dict of ProxyRoute to int
        Listening port of each route, set by `start`.
    """

    def __init__(self, *, link, host, routes):
        self.link = link
        self.host = host
        self.routes = routes
        self.ports = {}
        self.servers = []
        self.tasks = set()

    async def start(self):
        """Open the listening ports."""
        for route in self.routes:
            server = await asyncio.start_server(
                self._handler(route), self.host, route.port, limit=CHUNK_BYTES
            )
            self.servers.append(server)
            self.ports[route] = server.sockets[0].getsockname()[1]

    async def close(self):
        """Close ports and connections."""
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _handler(self, route):
        async def handle(reader, writer):
            task = asyncio.current_task()
            self.tasks.add(task)
            try:
                await self._relay(route, reader, writer)
            except asyncio.CancelledError:
                pass  # the proxy is closing
            finally:
                self.tasks.discard(task)
                writer.transport.abort()

        return handle

    async def _relay(self, route, reader, writer):
        """Relay one connection until both directions have ended."""
        source, target = route.source, route.target
        connection = self.link.connect(source, target)
        queue = asyncio.Queue(maxsize=QUEUE_CHUNKS)
        upstream = None
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read(connection, source, target, reader, queue))
                await asyncio.sleep(self.link.latency_s(source, target))
                await self._wait_while_cut(connection, source, target)
                target_reader, upstream = await asyncio.open_connection(
                    route.target_host, route.target_port, limit=CHUNK_BYTES
                )
                connection.established = True
                connection.reset = _make_reset(writer, upstream)
                group.create_task(
                    self._write(connection, source, target, upstream, queue)
                )
                group.create_task(
                    self._relay_direction(
                        connection, target, source, target_reader, writer
                    )
                )
        except* OSError:
            pass  # one side closed the connection; `finally` closes the other one
        finally:
            connection.close()
            if upstream is not None:
                upstream.transport.abort()

    async def _relay_direction(self, connection, source, target, reader, writer):
        """Relay one direction with the latency and bandwidth of the link."""
        queue = asyncio.Queue(maxsize=QUEUE_CHUNKS)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read(connection, source, target, reader, queue))
            group.create_task(self._write(connection, source, target, writer, queue))

    async def _read(self, connection, source, target, reader, queue):
        loop = asyncio.get_running_loop()
        while True:
            data = await reader.read(CHUNK_BYTES)
            now = loop.time()
            delay_s = self.link.latency_s(source, target)
            if data:
                delay_s = self.link.schedule_transfer(source, target, len(data), now)
            if not data and not self._may_deliver_end(connection, source, target):
                raise ConnectionResetError("closed while nothing is delivered")
            await queue.put((now + delay_s, data))
            if not data:
                return

    async def _write(self, connection, source, target, writer, queue):
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await queue.get()
            await asyncio.sleep(due_s - loop.time())
            await self._wait_while_cut(connection, source, target)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    async def _wait_while_cut(self, connection, source, target):
        """Wait while the link is cut; on a silent connection, wait for ever."""
        await self.link.wait_until_passes(source, target)
        if connection.silent:
            await asyncio.get_running_loop().create_future()

    def _may_deliver_end(self, connection, source, target):
        """Return whether the other side may learn that this one has closed."""
        if connection.silent:
            return False
        return connection.established or self.link.passes(source, target)


def _make_reset(*writers):
    def close():
        for writer in writers:
            writer.transport.abort()

    return close
