"""Frame of the cases: a small deployment, its end, and the exit code."""

import asyncio
import logging
import os
import random
import signal
import sys
import tempfile
import traceback
from pathlib import Path

from lib import cell
from lib.record import Record
from lib.runner import Runner
from lib.store import Store

LIMIT_S = 110
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
CAPACITY = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}


class CouldNotRun(Exception):
    """The deployment did not get as far as the case needs."""


class Deployment:
    """Store, runners, processes and a requester, all on loopback addresses."""

    def __init__(self, *, record, folder, trouble):
        self.record = record
        self.folder = folder
        self.trouble = trouble
        self.store = Store(record)
        self.processes = {}
        self.runners = {}
        self.requester = cell.Requester(record=record, host=HOST_NAME)

    def configure(self, version=7, service=SERVICE, **fields):
        """Write the operator's config."""
        self.record.add("config", version=version, service=service)
        self.store.write(
            "op/config",
            cell.configuration(
                version=version, host=HOST_NAME, prefix=PREFIX, service=service, **fields
            ),
        )

    async def add_process(self, name, zone="brescia-a", region="nordovest"):
        """Prepare one process; it is started by `start`."""
        process = cell.Process(
            record=self.record, name=name, zone=zone, region=region,
            store=await self.store.listen(name), folder=self.folder,
        )
        self.processes[name] = process
        return process

    async def add_runner(
        self, name, *, work_s, zone="brescia-a", labels=("a", "r1-1"), capacity=None,
        service=SERVICE,
    ):
        """Start one runner."""
        runner = Runner(
            record=self.record, store=self.store, name=name, service=service, zone=zone,
            labels=list(labels), capacity=capacity or CAPACITY, work_s=work_s,
            hold_max_s=cell.BOUNDS["hold_max_ms"] / 1000,
        )
        self.runners[name] = runner
        await runner.start()
        return runner

    async def start(self):
        """Start the processes, and wait until they are ready and one leads."""
        for process in self.processes.values():
            await process.start()
        for process in self.processes.values():
            await process.wait_ready()
        await self.until(lambda: self.leader, 15, "no process leads")

    @property
    def leader(self):
        """Name of the process that holds the leader key."""
        return cell.leader(self.store)

    @property
    def fronts(self):
        """Addresses for requesters."""
        return [p.front for p in self.processes.values()]

    async def submit(self, steps, *, fronts=None, job=None, **fields):
        """Hand in a job and return its name; a job that is not accepted is an error."""
        job = job or f"{random.getrandbits(64):016x}"
        body = {"spec": "text", "steps": steps, **fields}
        fronts = fronts or self.fronts
        if not await self.requester.submit(fronts, PREFIX + job, body):
            raise CouldNotRun(f"job {job} was not accepted")
        self.record.add("accepted", job=job)
        return job

    async def state(self, job, *, fronts=None):
        """Ask for the state of a job, at each process in turn until one answers."""
        for front in fronts or self.fronts:
            status, answer = await self.requester.call("GET", front, PREFIX + job)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "410"
        return ""

    async def until(self, condition, seconds, what):
        """Wait for a condition; it is an error if it does not come."""
        try:
            async with asyncio.timeout(seconds):
                while not condition():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise CouldNotRun(what) from None

    async def close(self):
        """End all that was started."""
        for process in self.processes.values():
            await process.close()
        for runner in self.runners.values():
            await runner.close()
        await self.requester.close()
        await self.store.close()


def run(main, folder):
    """Play a case; `main` returns the lines of the verdict and whether the rule broke."""
    folder = Path(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Connections that the processes drop are part of the cases.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    random.seed()
    record, lines, code = Record(), [], COULD_NOT_RUN

    async def play(directory):
        deployment = Deployment(record=record, folder=directory, trouble=trouble)
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await main(deployment)
        finally:
            await deployment.close()

    with tempfile.TemporaryDirectory() as directory:
        directory = Path(directory)
        try:
            lines, broken = asyncio.run(play(directory))
            code = BROKEN if broken else HELD
        except CouldNotRun as error:
            lines = [f"could not run: {error}"]
        except (Exception, asyncio.CancelledError):
            lines = ["could not run:", traceback.format_exc()]
        if os.environ.get("KEEP_LOGS"):
            target = Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for log in directory.iterdir():
                (target / log.name).write_bytes(log.read_bytes())
    words = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
    lines = [f"trouble: {int(trouble)}", *lines, f"verdict: {words[code]}"]
    record.write(folder / "record.txt", lines)
    print("\n".join(lines))
    sys.exit(code)
