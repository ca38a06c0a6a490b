"""Stand-in of the platform's metadata store, after the page PROTOCOL.md."""

import asyncio
import base64
import json
import time

from aiohttp import web

LATENCY_S = 0.004
HISTORY_S = 20.0
PAGE_ITEMS = 500
MAX_ENTRIES = 32
MAX_WAIT_MS = 30_000
OPERATOR_PREFIXES = ("op/", "servers/")


async def close_site(runner):
    """Abort the open connections of a listener and close it."""
    for connection in list(runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()
    try:
        await asyncio.wait_for(runner.cleanup(), 1)
    except (asyncio.TimeoutError, asyncio.CancelledError):
        pass


class Store:
    """Keys with revisions, conditions, leases and watches.

    It listens on one port for each process of the system, so that a process can be cut
    off from it: a call on such a port is neither carried out nor answered.

    Attributes
    ----------
    down : bool
        Whether the store answers every call with 503. Leases pause meanwhile.
    latency_s : float
        Time that an answer takes; half of it passes before the call is carried out.
    cut : set of str
        Processes that are cut off.
    """

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.dropped = 0
        self.revision = 100
        self.leases = {}
        self.next_lease = 1
        self.down = False
        self.latency_s = LATENCY_S
        self.cut = set()
        self.changed = asyncio.Event()
        self.ports = {}
        self.sites = []
        self.task = None

    async def listen(self, process, host="127.0.0.1"):
        """Open the port of one process and return its address."""

        async def handle(request):
            return await self._handle(process, request)

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        site = web.TCPSite(runner, host, 0)
        await site.start()
        port = runner.addresses[0][1]
        self.sites.append(runner)
        self.ports[process] = port
        if self.task is None:
            self.task = asyncio.create_task(self._expire())
        return f"{host}:{port}"

    async def close(self):
        """Stop listening."""
        if self.task is not None:
            self.task.cancel()
        for runner in self.sites:
            await close_site(runner)

    def set_down(self, down):
        """Begin or end an outage."""
        if down != self.down:
            self.record.add("store", down=down)
        self.down = down
        self._notify()

    def write(self, key, value):
        """Write a key for the operator, a runner or another writer."""
        self.revision += 1
        self._put(key, value, 0)
        self._notify()

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._delete(key)
            self._notify()

    def _put(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((time.monotonic(), dict(item)))

    def _delete(self, key):
        del self.items[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.history.append((time.monotonic(), event))

    def _notify(self):
        limit = time.monotonic() - HISTORY_S
        while self.history and self.history[0][0] < limit:
            self.dropped = self.history.pop(0)[1]["revision"]
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def _expire(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.down:
                for lease in self.leases.values():
                    lease["until"] += now - last
            last = now
            for number, lease in list(self.leases.items()):
                if now >= lease["until"]:
                    self._end_lease(number)

    def _end_lease(self, number):
        del self.leases[number]
        keys = [k for k, item in self.items.items() if item["lease"] == number]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    async def _handle(self, process, request):
        body = await request.read()
        if process in self.cut:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.latency_s / 2)
        if process in self.cut:
            await asyncio.sleep(3600)
        if self.down:
            return web.Response(status=503)
        status, answer = await self._route(request, json.loads(body or b"{}"))
        await asyncio.sleep(self.latency_s / 2)
        if process in self.cut:
            await asyncio.sleep(3600)
        return web.json_response(answer, status=status)

    async def _route(self, request, body):
        path, query = request.path, request.query
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if path == "/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            wait_ms = min(int(query["wait_ms"]), MAX_WAIT_MS)
            return await self._watch(query["prefix"], int(query["after"]), wait_ms)
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            ttl_ms = max(body["ttl_ms"], 1000)
            number, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[number] = {
                "ttl": ttl_ms / 1000,
                "until": time.monotonic() + ttl_ms / 1000,
            }
            return 200, {"lease": number, "ttl_ms": ttl_ms}
        number = int(path.rpartition("/")[2])
        lease = self.leases.get(number)
        if lease is None:
            return 404, {}
        if path.startswith("/kv-keep/"):
            lease["until"] = time.monotonic() + lease["ttl"]
        else:
            self._end_lease(number)
        return 200, {}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[k] for k in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "as_of": self.revision,
        }

    async def _watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if self.down:
                return 503, {}
            if after < self.dropped:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, body):
        conditions = body.get("expected_rev") or []
        puts = body.get("puts") or []
        deletes = body.get("deletes") or []
        if len(conditions) + len(puts) + len(deletes) > MAX_ENTRIES:
            return 400, {}
        if any(p["key"].startswith(OPERATOR_PREFIXES) for p in puts):
            return 403, {}
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                items = [self.items[r["key"]] for r in conditions if r["key"] in self.items]
                return 412, {"items": items}
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease") or 0)
        for key in deletes:
            if key in self.items:
                self._delete(key)
        self._notify()
        return 200, {"revision": self.revision}
