"""A cell process on loopback addresses, and crowds of clients that misuse it."""

import asyncio
import contextlib
import os
import pathlib
import resource

import pytest
import yaml

from wasabipaddle.demo.processes import spawn_process
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import CellConfiguration, JobSpec, Pool, Queue, StepSpec
from wasabipaddle.platform.client import JobCaller, encode_configuration
from wasabipaddle.platform.server import store_routes
from wasabipaddle.standins.listener import Listener, reserve_port
from wasabipaddle.standins.transactions import MemoryTransactions, TransactionsClient

HOST = "127.0.0.1"
QUEUE = Queue(name="q", host="q.example", prefix="/q/", pool="pool")
JOB = JobSpec(payload="x", steps=(StepSpec(count=1, cpu=100, memory_mb=10),))
# Limits in the settings of the process, from which the bounds of the tests follow.
MEMORY_MB = 96
DESCRIPTORS = 1_000
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Limits of the test itself, so that it ends if the process hangs.
START_LIMIT_S = 30.0
SEND_LIMIT_S = 30.0
REPLY_LIMIT_S = 30.0
CALL_WAIT_S = 5.0
POLL_S = 0.05
READ_BYTES = 1_024
KB_PER_MB = 1024


class CrowdedCell:
    """A cell of one process, its store, and the clients of a test.

    Attributes
    ----------
    sockets : int
        Largest number of sockets that the process was seen to have open.
    """

    def __init__(self, directory):
        self.directory = directory
        self.memory = MemoryTransactions()
        self.caller = JobCaller(wait_s=CALL_WAIT_S)
        self.sockets = 0
        self.jobs = 0
        self.tasks = set()

    async def start(self):
        """Start the store and the process, and wait until it is ready."""
        configuration = CellConfiguration(
            version=1, queues=(QUEUE,), pools={"pool": Pool(name="pool")}
        )
        key, value = encode_configuration(configuration)
        self.memory.apply((), (Put(key=key, value=value),), ())
        store = TransactionsClient(memory=self.memory, client="p0")
        self.store = Listener(routes=store_routes(store), host=HOST)
        await self.store.start()
        self.holders = {
            name: reserve_port(HOST) for name in ("callers", "readiness", "internal")
        }
        self.addresses = {
            name: f"{HOST}:{holder.getsockname()[1]}"
            for name, holder in self.holders.items()
        }
        settings = {
            "process": "p0",
            "data_centre": "a",
            "region": "r",
            **self.addresses,
            "platform": {"store": f"{HOST}:{self.store.port}"},
            "memory": f"{MEMORY_MB}MB",
            "descriptors": DESCRIPTORS,
        }
        path = self.directory / "p0.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.child = await spawn_process(self.directory / "p0.log", "cell", path)
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.child.pid, resource.RLIMIT_NOFILE, limits)
        self._spawn(self._watch_sockets())
        async with asyncio.timeout(START_LIMIT_S):
            while not await self.caller.is_ready(self.addresses["readiness"]):
                await asyncio.sleep(POLL_S)

    async def _watch_sockets(self):
        while self.child.returncode is None:
            self.sockets = max(self.sockets, self._count_sockets())
            await asyncio.sleep(POLL_S)

    def _count_sockets(self):
        directory = pathlib.Path(f"/proc/{self.child.pid}/fd")
        found = 0
        with contextlib.suppress(FileNotFoundError, PermissionError):
            for entry in directory.iterdir():
                with contextlib.suppress(FileNotFoundError):
                    found += os.readlink(entry).startswith("socket:")
        return found

    @property
    def peak_memory_mb(self):
        """Largest resident memory of the process so far, in megabytes."""
        status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        (line,) = [row for row in status.splitlines() if row.startswith("VmHWM")]
        return int(line.split()[1]) / KB_PER_MB

    async def send_crowd(self, size, send, *, listener="callers"):
        """Open connections that send at once and then stay open.

        Parameters
        ----------
        send : callable
            Coroutine function that sends on one connection. Called with its writer and
            its number. The crowd is complete once all calls have ended, or after
            `SEND_LIMIT_S`.
        """
        senders = [
            self._spawn(self._send_one(send, number, listener))
            for number in range(size)
        ]
        await asyncio.wait(senders, timeout=SEND_LIMIT_S)

    async def _send_one(self, send, number, listener):
        host, _, port = self.addresses[listener].rpartition(":")
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            self._spawn(self._hold(reader, writer))
            await send(writer, number)

    async def _hold(self, reader, writer):
        """Keep a connection open, and close it once the process has closed it."""
        with contextlib.suppress(OSError):
            while await reader.read(READ_BYTES):
                pass
        writer.close()

    def keep_sending(self, sending):
        """Run a sender in the background, until its connection breaks or the end."""

        async def send():
            with contextlib.suppress(OSError):
                await sending

        self._spawn(send())

    async def check(self):
        """Check the bounds, and that one ordinary job is accepted meanwhile."""
        accepted = await self.submit()
        assert self.child.returncode is None
        assert self.peak_memory_mb < MEMORY_MB
        assert self.sockets <= DESCRIPTORS - FILE_DESCRIPTORS
        assert accepted
        assert await self.caller.is_ready(self.addresses["readiness"])

    async def submit(self) -> bool:
        """Submit a job as callers do, who repeat a call that was not accepted."""
        self.jobs += 1
        job = f"{self.jobs:016x}"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_LIMIT_S):
                while self.child.returncode is None:
                    result = await self.caller.submit(
                        self.addresses["callers"], QUEUE, job, JOB
                    )
                    if result.status == 200:
                        return True
                    await asyncio.sleep(POLL_S)
        return False

    async def wait_for_exit(self):
        """Return the exit code of the process, or None if it does not exit."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_LIMIT_S):
                return await self.child.wait()
        return None

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self):
        """Close the connections, then kill the process."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.caller.close()
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()
        await self.store.close()
        for holder in self.holders.values():
            holder.close()


@pytest.fixture
def run_crowded(tmp_path):
    """Return a function that runs a check with a `CrowdedCell`."""

    def run(check):
        async def main():
            cell = CrowdedCell(tmp_path)
            try:
                await cell.start()
                await check(cell)
            finally:
                await cell.close()

        asyncio.run(main())

    return run
