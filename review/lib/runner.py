"""Stand-in of a runner, after the page PROTOCOL.md."""

import asyncio
import json
import time

from aiohttp import web

from lib.store import close_site

HEARTBEAT_S = 1.5
TICK_S = 0.01
ENDS_A_CALL = 500
STOP_S = 0.05


class Runner:
    """One runner: tasks under leases, fence numbers, and lists of runs and ends.

    Parameters
    ----------
    record : Record
        Receives the begin and the end of each run.
    store : Store
        Store in which the runner registers itself.
    name, service, zone, labels, capacity
        What it says of itself.
    work_s : callable
        Returns the duration of a task by its name, None for one that lasts.
    hold_max_s : float
        Longest lease.
    """

    def __init__(
        self, *, record, store, name, service, zone, labels, capacity, work_s, hold_max_s
    ):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.work_s = work_s
        self.hold_max_s = hold_max_s
        self.site = None
        self.port = 0
        self.alive = False
        self.tasks = []
        self.sequence = 0
        # Whether a call reaches this runner, by its fence number; see `allow`.
        self.allow = lambda fence: True
        # Address that it registers instead of its own.
        self.link = None
        # Time that a message takes in one direction; two more for a new channel.
        self.one_way_s = 0.0
        self.channels = set()

    async def start(self, *, host="127.0.0.1"):
        """Begin a life: listen, register and send heartbeats."""
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}
        self.seen = {}
        self.ended = []
        self.last_end = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.alive = True
        self.site = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self.site.setup()
        tcp = web.TCPSite(self.site, host, self.port, reuse_address=True)
        await tcp.start()
        self.port = self.site.addresses[0][1]
        self.address = f"{host}:{self.port}"
        if self.link is not None:
            self.address = self.link
        self.record.add(
            "runner", name=self.name, born=self.born, labels=",".join(self.labels)
        )
        self.tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]

    async def crash(self):
        """End this life: whatever runs is gone, and open channels are reset."""
        self.record.add("runner_crashed", name=self.name, runs=len(self.running))
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for key, run in list(self.running.items()):
            self.record.add(
                "end", task=key[0], run=key[1], runner=self.name, how="crashed"
            )
        self.running = {}
        await close_site(self.site)

    async def close(self):
        """Stop without a trace."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        if self.site is not None:
            await close_site(self.site)

    def clock_ms(self):
        """Return the time on the runner's steady clock."""
        return int((time.monotonic() - self.began) * 1000) + 1

    async def _beat(self):
        while True:
            await asyncio.sleep(self.store.latency_s / 2)
            if not self.store.down:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        """Write the runner's entry."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "seq": self.sequence,
        }
        self.store.write(f"servers/{self.name}", json.dumps(entry).encode())

    async def _work(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if self.running and self.clock_ms() >= self.deadline_ms:
                self.record.add("lease_expired", runner=self.name, runs=len(self.running))
                for key in list(self.running):
                    self._end(key, "lapsed")
                continue
            for key, run in list(self.running.items()):
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self._end(key, "stopped")
                elif run["done_at"] is not None and now >= run["done_at"]:
                    self._end(key, "done")

    def _end(self, key, how):
        del self.running[key]
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        self.record.add(
            "end", task=key[0], run=key[1], runner=self.name, how=how, n=self.last_end
        )
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def _handle(self, request):
        if self.one_way_s:
            new = id(request.protocol) not in self.channels
            self.channels.add(id(request.protocol))
            await asyncio.sleep(self.one_way_s * (3 if new else 1))
        answer = await self._route(request)
        await asyncio.sleep(self.one_way_s)
        return answer

    async def _route(self, request):
        body = json.loads(await request.read() or b"{}")
        if not self.allow(body.get("fencing_token", 0)):
            await asyncio.sleep(3600)
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return self._answer(421)
        if request.path == "/health":
            return self._answer(200)
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        if fence > self.fence:
            self.record.add("fence", runner=self.name, fence=fence)
        self.fence = fence
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/pace":
            return self._answer(200)
        return self._answer(404)

    def _answer(self, status, **fields):
        body = {"clock_ms": self.clock_ms(), "born": self.born, **fields}
        return web.json_response(body, status=status)

    def _extend(self, deadline_ms):
        limit_ms = self.clock_ms() + int(self.hold_max_s * 1000)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def _start(self, body):
        task, run = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        if (task, run) in self.running:
            return self._answer(200)
        if run <= self.seen.get(task, 0):
            return self._answer(409, reason="old")
        self.seen[task] = run
        now = time.monotonic()
        work_s = self.work_s(task)
        self.running[(task, run)] = {
            "began": now,
            "work_s": work_s,
            "done_at": None if work_s is None else now + work_s,
            "stop_at": None,
        }
        self.record.add(
            "begin",
            task=task,
            run=run,
            runner=self.name,
            fence=body.get("fencing_token", 0),
            labels=",".join(self.labels),
        )
        return self._answer(200)

    def _stop(self, body):
        task, run = body["task"], body["run"]
        found = self.running.get((task, run))
        if found is not None:
            if found["stop_at"] is None:
                found["stop_at"] = time.monotonic() + STOP_S
        else:
            self.seen[task] = max(self.seen.get(task, 0), run)
        return self._answer(200)

    async def _hold(self, body):
        seen = body.get("last_seen", 0)
        if self.ended and self.ended[0][0] <= seen:
            last = max(e[0] for e in self.ended if e[0] <= seen)
            self.record.add("noted", runner=self.name, last_seen=last)
            self.ended = [e for e in self.ended if e[0] > seen]
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if not self.allow(body.get("fencing_token", 0)):
            await asyncio.sleep(3600)
        now = time.monotonic()
        running = [
            [task, run, "", _percent(row, now), 0]
            for (task, run), row in self.running.items()
        ]
        return self._answer(200, running=running, ended=self.ended[:ENDS_A_CALL])


def _percent(row, now):
    if row["work_s"] is None:
        return 100
    return min(int(100 * (now - row["began"]) / row["work_s"]), 99)
