"""Link to a process or a runner that can be cut, or whose channels can go silent."""

import asyncio
import contextlib

CHUNK = 65536
PAUSE_S = 0.02


class Proxy:
    """Forwards connections to a listener.

    While it is cut, it forwards nothing and answers nothing, in both directions.
    Channels that have gone silent forward nothing any more and stay open; new ones work.
    """

    def __init__(self, *, record, target):
        self.record = record
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.cut = False
        self.tasks = set()
        self.silent = set()

    @classmethod
    async def between(cls, record, process):
        """Open a link to a process, and have the process announce it to its peers."""
        proxy = cls(record=record, target=process.control)
        process.add_setting(f'advertised: "{await proxy.open()}"')
        return proxy

    async def open(self):
        """Listen on a free port, and return the address."""
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        return "%s:%d" % (self.host, self.server.sockets[0].getsockname()[1])

    def silence(self):
        """Have all open channels go silent for good; return their number."""
        self.silent |= self.tasks
        return len(self.tasks)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        far_writer = None
        try:
            await self._wait(task)
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
            await asyncio.gather(
                self._pump(task, reader, far_writer),
                self._pump(task, far_reader, writer),
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()
            if far_writer is not None:
                far_writer.transport.abort()
            self.tasks.discard(task)
            self.silent.discard(task)

    async def _pump(self, channel, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                await self._wait(channel)
                writer.write(data)
                await writer.drain()
            writer.close()

    async def _wait(self, channel):
        while self.cut or channel in self.silent:
            await asyncio.sleep(PAUSE_S)

    async def close(self):
        """Close the link."""
        self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)
