"""Child processes of a demo."""

import asyncio
import os
import signal
import sys

import aiohttp

from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError

__all__ = ["ProcessGroup", "spawn_process"]

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.1
STOP_TIMEOUT_S = 15.0


class ProcessGroup:
    """Starts, stops and pauses the processes of a demo as children of the driver.

    Parameters
    ----------
    layout : Layout
        Files and addresses of the demo.
    directory : pathlib.Path
        Directory for the output of each process, in `{name}.log`.
    """

    def __init__(self, *, layout, directory):
        self.layout = layout
        self.directory = directory
        self.children = {}
        self.stopped = set()

    async def start_all(self):
        """Start the stand-ins, then the entry processes; wait until all are ready."""
        for index, path in enumerate(self.layout.standins):
            await self._spawn(f"standin-{index}", "standin", path)
        await self._wait_for(f"{url}/verdict" for url in self.layout.controls)
        for entry in self.layout.deployment.entries:
            await self.start_entry(entry.name)
        await self.wait_ready()

    async def start_entry(self, name):
        """Start one entry process."""
        self.stopped.discard(name)
        path = self.layout.settings[name]
        await self._spawn(name, "serve", path, "--process", name)

    async def wait_ready(self):
        """Wait until every entry process that was not stopped is ready."""
        running = [
            e for e in self.layout.deployment.entries if e.name not in self.stopped
        ]
        await self._wait_for(f"http://{e.host}:{e.api_port}/readyz" for e in running)

    def kill(self, name):
        """Kill a process without a graceful shutdown."""
        self.stopped.add(name)
        self.children[name].kill()

    def pause(self, name):
        """Suspend a process with SIGSTOP."""
        self.children[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Continue a suspended process."""
        self.children[name].send_signal(signal.SIGCONT)

    async def drain(self, name) -> bool:
        """Shut a process down gracefully.

        Returns
        -------
        bool
            Whether it exited in time with code 0.
        """
        self.stopped.add(name)
        child = self.children[name]
        child.terminate()
        try:
            await asyncio.wait_for(child.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            return False
        return child.returncode == 0

    async def stop_all(self):
        """Kill every process that is still running and wait for its end."""
        for child in self.children.values():
            if child.returncode is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            await child.wait()

    async def _spawn(self, name, *arguments):
        path = self.directory / f"{name}.log"
        self.children[name] = await spawn_process(path, *arguments)

    async def _wait_for(self, urls):
        try:
            async with aiohttp.ClientSession() as session:
                await asyncio.gather(*(_wait_until_ok(session, url) for url in urls))
        except TimeoutError as error:
            self._check_running()
            detail = f"a process was not ready after {READY_TIMEOUT_S:g} s"
            failure = Failure(kind=ErrorKind.UNREACHABLE, detail=detail)
            raise WasabipaddleError(failure) from error
        self._check_running()

    def _check_running(self):
        """Raise an error if a process has ended, for example because its port is taken.

        Readiness checks do not detect this: another process that listens on the port
        would answer them.
        """
        ended = [
            n
            for n, child in self.children.items()
            if n not in self.stopped and child.returncode is not None
        ]
        if ended:
            detail = f"{', '.join(ended)} ended during startup; see the logs"
            failure = Failure(kind=ErrorKind.UNREACHABLE, detail=detail)
            raise WasabipaddleError(failure)


async def spawn_process(log_path, *arguments, checkout=None):
    """Start a command of wasabipaddle as a child process.

    Parameters
    ----------
    log_path : path
        File to which standard output and standard error are appended.
    arguments : sequence
        Name of the command and its arguments.
    checkout : str or None
        Directory whose package is run instead of the one of this process.

    Returns
    -------
    asyncio.subprocess.Process
        The process.
    """
    environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
    if checkout is not None:
        environment["PYTHONPATH"] = str(checkout)
    with open(log_path, "ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "wasabipaddle",
            *(str(a) for a in arguments),
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            cwd=checkout,
            env=environment,
        )


async def _wait_until_ok(session, url):
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(READY_POLL_S)
