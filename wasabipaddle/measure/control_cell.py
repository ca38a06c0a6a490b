"""Cell of child processes on loopback; this process serves the platform's API."""

import asyncio
import collections
import os
import pathlib
import re
import signal
import sys
import tempfile

import aiohttp
import attrs
import yaml
from aiohttp import web

from wasabipaddle.documents import Resources
from wasabipaddle.interfaces import VmEntry, VmRole, VmStatus
from wasabipaddle.interfaces.http_store import CLIENT_HEADER
from wasabipaddle.leadership import LeaderRecord, leader_key
from wasabipaddle.measure.cell import make_deployment
from wasabipaddle.messages import decode
from wasabipaddle.standins import MemoryStore
from wasabipaddle.standins.ledger import Ledger
from wasabipaddle.standins.servers import store_routes, vms_routes, worker_routes
from wasabipaddle.standins.vms import MemoryVmList
from wasabipaddle.standins.worker import MemoryWorker

__all__ = ["ControlCell"]

HOST = "127.0.0.1"
HEADER_BYTES = 350  # size of request and response headers of one `aiohttp` call
SETTLE_S = 3.0
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024
DATA_CENTRES = 3
WIRE_GAUGE = "wire_bytes."

# A process that sets up an HTTP server and client but uses neither. Its memory is
# subtracted from that of an entry process to obtain that of the control functions.
IDLE_PROGRAM = """
import asyncio, signal
from aiohttp import web, ClientSession

async def main():
    runner = web.AppRunner(web.Application())
    await runner.setup()
    session = ClientSession()
    print("ready", flush=True)
    await asyncio.Event().wait()

asyncio.run(main())
"""

# Baseline: every process sends heartbeats to all others and watches the store.
BASELINE_PROGRAM = """
import sys
from wasabipaddle.membership import MemberTable
from wasabipaddle.serve.relay import RelayPlugin
from wasabipaddle.commands import main

MemberTable.next_targets = lambda self: sorted(self.members)
RelayPlugin.watches_store = lambda self: True
sys.argv = ["wasabipaddle", *sys.argv[1:]]
main()
"""


@attrs.frozen(kw_only=True)
class Sample:
    """Counters of one process at one point in time."""

    cpu_s: float
    wire_bytes: int
    platform_bytes: int


class ControlCell:
    """Cell of entry processes that run as child processes.

    Parameters
    ----------
    entries, workers : int
        Number of entry processes, and of workers in all data centres.
    first_port : int
        First port of the entry processes.
    use_baseline : bool
        Whether to run the baseline.
    """

    def __init__(self, *, entries, workers, first_port, use_baseline):
        self.deployment = make_deployment(
            entries=entries,
            data_centres=min(DATA_CENTRES, entries),
            base_port=first_port,
        )
        self.centres = [d.name for d in self.deployment.data_centres]
        self.use_baseline = use_baseline
        self.workers = workers
        self.store = MemoryStore()
        self.vms = MemoryVmList(lag_s=0.0)
        self.platform_bytes = collections.Counter()
        self.children = {}
        self.runner = None
        self.port = 0

    async def measure(self, window_s):
        """Start the cell, observe it for `window_s` seconds and stop it."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._start_platform()
                await self._start_entries(pathlib.Path(folder))
                await asyncio.sleep(SETTLE_S)
                return await self._observe(window_s)
            finally:
                await self._stop()

    # Platform

    async def _start_platform(self):
        app = web.Application(middlewares=[self._count_bytes])
        app.add_routes(store_routes(self.store))
        app.add_routes(vms_routes(self.vms))
        ledger = Ledger()
        for number in range(self.workers):
            worker = MemoryWorker(
                name=f"w{number:04d}",
                capacity=Resources(cpu_milli=64_000, memory_mb=256_000),
                ledger=ledger,
            )
            app.add_routes(worker_routes(worker))
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, 0).start()
        self.port = self.runner.addresses[0][1]
        for number in range(self.workers):
            self.vms.add(self._worker_entry(number), at_once=True)

    def _worker_entry(self, number):
        centre = self.centres[number % len(self.centres)]
        return VmEntry(
            vm=f"w{number:04d}",
            role=VmRole.WORKER,
            status=VmStatus.LIVE,
            data_centre=centre,
            rack=f"{centre}-r{number // 8}",
            host=HOST,
            port=self.port,
            resources=Resources(cpu_milli=64_000, memory_mb=256_000),
        )

    @web.middleware
    async def _count_bytes(self, request, handler):
        response = await handler(request)
        size = HEADER_BYTES + (request.content_length or 0)
        size += response.content_length or 0
        self.platform_bytes[self._accounted_to(request)] += size
        return response

    def _accounted_to(self, request):
        """Return the process or data centre that a call is attributed to, or "all"."""
        client = request.headers.get(CLIENT_HEADER)
        if client is not None:
            return client
        worker = re.match(r"/worker/v1/w(\d+)/", request.path)
        if worker is not None:
            return self.centres[int(worker.group(1)) % len(self.centres)]
        return "all"

    # Entry processes

    async def _start_entries(self, folder):
        settings = folder / "settings.yaml"
        deployment = folder / "deployment.yaml"
        deployment.write_text(yaml.safe_dump(self._deployment_yaml()))
        settings.write_text(
            yaml.safe_dump({"process": "e00", "deployment": deployment.name})
        )
        program = (
            ["-c", BASELINE_PROGRAM] if self.use_baseline else ["-m", "wasabipaddle"]
        )
        for peer in self.deployment.entries:
            arguments = ["serve", str(settings), "--process", peer.name]
            self.children[peer.name] = await _spawn(*program, *arguments)
        self.children["idle"] = await _spawn("-c", IDLE_PROGRAM)
        async with asyncio.timeout(START_TIMEOUT_S):
            for peer in self.deployment.entries:
                await self._wait_until_up(peer)

    async def _wait_until_up(self, peer):
        while True:
            if self.children[peer.name].returncode is not None:
                raise RuntimeError(f"entry process {peer.name} ended at start-up")
            try:
                await self._wire_bytes(peer)
                return
            except (aiohttp.ClientError, OSError):
                await asyncio.sleep(0.2)

    def _deployment_yaml(self):
        url = f"http://{HOST}:{self.port}"
        return {
            "name": self.deployment.name,
            "store_region": self.deployment.store_region,
            "store_url": url,
            "vm_list_url": url,
            "data_centres": [attrs.asdict(d) for d in self.deployment.data_centres],
            "entries": [attrs.asdict(p) for p in self.deployment.entries],
        }

    async def _wire_bytes(self, peer):
        url = f"http://{peer.host}:{peer.api_port}/v1/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            body = await response.json()
        gauges = body["gauges"]
        return sum(v for k, v in gauges.items() if k.startswith(WIRE_GAUGE))

    async def _stop(self):
        for child in self.children.values():
            if child.returncode is None:
                child.send_signal(signal.SIGKILL)
        for child in self.children.values():
            await asyncio.wait_for(child.wait(), STOP_TIMEOUT_S)
        if self.runner is not None:
            await self.runner.cleanup()

    # Figures

    async def _observe(self, window_s):
        loop = asyncio.get_running_loop()
        before, started = await self._sample(), loop.time()
        await asyncio.sleep(window_s)
        after, seconds = await self._sample(), loop.time() - started
        idle_mb = _resident_mb(self.children["idle"].pid)
        names = list(before)
        bytes_per_s = [
            _traffic(after[n]) / seconds - _traffic(before[n]) / seconds for n in names
        ]
        cores = [100 * (after[n].cpu_s - before[n].cpu_s) / seconds for n in names]
        sizes = [_resident_mb(self.children[n].pid) for n in names]
        return {
            "bytes_per_s": round(max(bytes_per_s)),
            "bytes_per_s_mean": round(sum(bytes_per_s) / len(names)),
            "core_percent": round(max(cores), 2),
            "core_percent_mean": round(sum(cores) / len(names), 2),
            "control_mb": round(max(sizes) - idle_mb, 1),
            "process_mb": round(max(sizes), 1),
            "idle_process_mb": round(idle_mb, 1),
            "link_bytes_per_s": round(
                await self._link_bytes_per_s(before, after, seconds)
            ),
        }

    async def _sample(self):
        leaders = await self._leaders()
        shared = self.platform_bytes["all"] // len(self.deployment.entries)
        samples = {}
        for peer in self.deployment.entries:
            platform = self.platform_bytes[peer.name] + shared
            if leaders.get(peer.data_centre) == peer.name:
                platform += self.platform_bytes[peer.data_centre]
            samples[peer.name] = Sample(
                cpu_s=_cpu_s(self.children[peer.name].pid),
                wire_bytes=await self._wire_bytes(peer),
                platform_bytes=platform,
            )
        return samples

    async def _leaders(self):
        leaders = {}
        for centre in self.centres:
            entry = (await self.store.get(leader_key(f"{centre}-0"))).unwrap()
            if entry is not None:
                leaders[centre] = decode(entry.value, LeaderRecord).unwrap().leader
        return leaders

    async def _link_bytes_per_s(self, before, after, seconds):
        """Return the platform bytes per second of processes in other regions."""
        regions = {d.name: d.region for d in self.deployment.data_centres}
        far = [
            p.name
            for p in self.deployment.entries
            if regions[p.data_centre] != self.deployment.store_region
        ]
        sizes = (after[n].platform_bytes - before[n].platform_bytes for n in far)
        return sum(sizes) / seconds


async def _spawn(*arguments):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )


def _traffic(sample):
    return sample.wire_bytes + sample.platform_bytes


def _cpu_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _resident_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / KB_PER_MB
