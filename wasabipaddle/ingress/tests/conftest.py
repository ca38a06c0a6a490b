"""Cell processes on loopback addresses, and crowds of clients that misuse it."""

import asyncio
import contextlib
import os
import pathlib
import resource

import attrs
import msgspec
import pytest
import yaml

from wasabipaddle.cell.keys import LEADER_KEY
from wasabipaddle.demo.processes import spawn_process
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import CellConfiguration, JobSpec, Limits, Pool, Queue, StepSpec
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
STATUS_OK = 200
KB_PER_MB = 1024


class CrowdedProcess:
    """One process of a cell, whose memory and descriptors are watched.

    Parameters
    ----------
    name : str
        Name of the process.
    directory : pathlib.Path
        Its settings and log.
    memory_mb, descriptors : int
        Bounds that the process has to keep.

    Attributes
    ----------
    sockets : int
        Largest number of sockets that the process was seen to have open.
    """

    def __init__(
        self, *, name, directory, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS
    ):
        self.name = name
        self.directory = directory
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.child = None
        self.sockets = 0
        self.holders = {
            listener: reserve_port(HOST)
            for listener in ("callers", "readiness", "internal")
        }
        self.addresses = {
            listener: f"{HOST}:{holder.getsockname()[1]}"
            for listener, holder in self.holders.items()
        }

    async def start(self, store_address):
        """Start a cell process with these bounds in its settings."""
        settings = {
            "process": self.name,
            "data_centre": "a",
            "region": "r",
            **self.addresses,
            "platform": {"store": store_address},
            "memory": f"{self.memory_mb}MB",
            "descriptors": self.descriptors,
        }
        path = self.directory / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        await self.spawn("cell", path)

    async def spawn(self, *arguments):
        """Start a command of wasabipaddle with the limit of descriptors."""
        log_path = self.directory / f"{self.name}.log"
        self.child = await spawn_process(log_path, *arguments)
        limits = (self.descriptors, self.descriptors)
        resource.prlimit(self.child.pid, resource.RLIMIT_NOFILE, limits)

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.child.returncode is None

    async def watch_sockets(self):
        """Count the sockets until the process ends."""
        while self.alive:
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

    def check(self):
        """Check that the process is alive and within its bounds."""
        assert self.alive
        assert self.peak_memory_mb < self.memory_mb
        assert self.sockets <= self.descriptors - FILE_DESCRIPTORS

    async def wait_for_exit(self):
        """Return the exit code of the process, or None if it does not exit."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_LIMIT_S):
                return await self.child.wait()
        return None

    async def close(self):
        """Kill the process."""
        if self.child is not None:
            if self.alive:
                self.child.kill()
            await self.child.wait()
        for holder in self.holders.values():
            holder.close()


class CrowdedCell:
    """A cell of one or several processes, its store, and the clients of a test."""

    def __init__(self, directory, processes):
        self.memory = MemoryTransactions()
        self.caller = JobCaller(wait_s=CALL_WAIT_S)
        self.processes = {
            name: CrowdedProcess(name=name, directory=directory)
            for name in (f"p{number}" for number in range(processes))
        }
        self.version = 0
        self.jobs = 0
        self.tasks = set()

    async def start(self):
        """Start the store and the processes, and wait until they are ready."""
        self.configure(Limits())
        store = TransactionsClient(memory=self.memory, client="p0")
        self.store = Listener(routes=store_routes(store), host=HOST)
        await self.store.start()
        for process in self.processes.values():
            await process.start(f"{HOST}:{self.store.port}")
            self._spawn(process.watch_sockets())
        async with asyncio.timeout(START_LIMIT_S):
            for process in self.processes.values():
                while not await self._is_ready(process):
                    await asyncio.sleep(POLL_S)

    def configure(self, limits):
        """Store the next version of the configuration."""
        self.version += 1
        configuration = CellConfiguration(
            version=self.version,
            queues=(QUEUE,),
            pools={"pool": Pool(name="pool")},
            limits=limits,
        )
        key, value = encode_configuration(configuration)
        self.memory.apply((), (Put(key=key, value=value),), ())

    def _is_ready(self, process):
        return self.caller.is_ready(process.addresses["readiness"])

    async def find_dispatcher(self) -> CrowdedProcess:
        """Return the living process that leads, once it has stored that it does."""
        async with asyncio.timeout(START_LIMIT_S):
            while True:
                entry = self.memory.items.get(LEADER_KEY)
                leader = msgspec.json.decode(entry.value)["process"] if entry else None
                if leader is not None and self.processes[leader].alive:
                    return self.processes[leader]
                await asyncio.sleep(POLL_S)

    @property
    def alive(self) -> list:
        """Processes that have not ended."""
        return [process for process in self.processes.values() if process.alive]

    async def send_crowd(self, size, send, *, listener="callers", processes=None):
        """Open connections that send at once and then stay open.

        Parameters
        ----------
        size : int
            Number of connections to each process.
        send : callable
            Coroutine function that sends on one connection. Called with its writer and
            its number. The crowd is complete once all calls have ended, or after
            `SEND_LIMIT_S`.
        processes : list of CrowdedProcess or None
            The processes, all that are alive by default.
        """
        senders = [
            self._spawn(self._send_one(send, number, process.addresses[listener]))
            for process in processes or self.alive
            for number in range(size)
        ]
        await asyncio.wait(senders, timeout=SEND_LIMIT_S)

    async def _send_one(self, send, number, address):
        host, _, port = address.rpartition(":")
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
        """Check the bounds, and that each process accepts an ordinary job meanwhile."""
        for process in self.alive:
            accepted = await self.submit(process)
            process.check()
            assert accepted
            assert await self._is_ready(process)

    async def submit(self, process, *, size=1, status=STATUS_OK) -> bool:
        """Submit a job as callers do, who repeat a call that was not accepted.

        Parameters
        ----------
        size : int
            Number of bytes of its payload.
        status : int
            Status to wait for. The return value says whether it was received.
        """
        self.jobs += 1
        job, spec = f"{self.jobs:016x}", attrs.evolve(JOB, payload="x" * size)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_LIMIT_S):
                while process.alive:
                    result = await self.caller.submit(
                        process.addresses["callers"], QUEUE, job, spec
                    )
                    if result.status == status:
                        return True
                    await asyncio.sleep(POLL_S)
        return False

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self):
        """Close the connections, then kill the processes."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.caller.close()
        for process in self.processes.values():
            await process.close()
        await self.store.close()


@pytest.fixture
def run_crowded(tmp_path):
    """Return a function that runs a check with a `CrowdedCell`."""

    def run(check, processes=1):
        async def main():
            cell = CrowdedCell(tmp_path, processes)
            try:
                await cell.start()
                await check(cell)
            finally:
                await cell.close()

        asyncio.run(main())

    return run
