"""Simulated network: latency, bandwidth, cuts, silent connections and traffic."""

import asyncio
import math

import msgspec

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Store, VmList, WorkerClient
from wasabipaddle.standins.exchange import fail

__all__ = ["Link", "LinkConnection", "LinkedStore", "LinkedVmList", "LinkedWorker"]

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
LOCAL_LATENCY_S = 0.0002
CALL_OVERHEAD_BYTES = 200


class Link:
    """Network between named places, such as data centres, the store and clients.

    Parameters
    ----------
    regions : dict of str to str
        Region of each place. A place without a region counts as a client, and
        `cut_off` does not separate it from other places.
    settings : LinkSettings
        Latency and bandwidth.

    Attributes
    ----------
    pair_bytes : dict of tuple to int
        Bytes sent by (source, target).
    region_bytes : dict of tuple to int
        Bytes sent by (source region, target region), for different regions only.
    groups : dict of str to list of str
        Places that a name stands for, in addition to itself, in cuts, resets, silences
        and extra latencies.
    """

    def __init__(self, *, regions, settings):
        self.regions = regions
        self.settings = settings
        self.pair_bytes = {}
        self.region_bytes = {}
        self.cuts = set()
        self.restored = asyncio.Event()
        self.extra_latency_s = {}
        self.busy_until_s = {}
        self.connections = set()
        self.groups = {}

    def _pairs(self, source, target):
        """Return the pairs of places that two places or groups stand for."""
        sources = (source, *self.groups.get(source, ()))
        targets = (target, *self.groups.get(target, ()))
        return {(first, second) for first in sources for second in targets}

    def _open_connections(self, source, target):
        """Return the open connections between two places or groups."""
        pairs = self._pairs(source, target) | self._pairs(target, source)
        return [c for c in self.connections if (c.source, c.target) in pairs]

    def cut(self, source, target, *, one_way=False):
        """Block traffic between two places, or from source to target if `one_way`."""
        self.cuts |= self._pairs(source, target)
        if not one_way:
            self.cuts |= self._pairs(target, source)

    def restore(self, source, target):
        """Remove the cuts between two places."""
        self.cuts -= self._pairs(source, target) | self._pairs(target, source)
        self._wake_waiting()

    def reset(self, source, target):
        """Close the open connections between two places."""
        for connection in self._open_connections(source, target):
            connection.reset()

    def set_extra_latency(self, source, target, seconds):
        """Set the additional latency between two places, in both directions."""
        for first, second in self._pairs(source, target):
            self.extra_latency_s[first, second] = seconds
            self.extra_latency_s[second, first] = seconds

    def cut_off(self, place):
        """Cut one place off from every other place that has a region."""
        for other in self.regions:
            if other != place:
                self.cut(place, other)

    def cut_regions(self, first, second):
        """Cut two regions off from each other."""
        for source, source_region in self.regions.items():
            for target, target_region in self.regions.items():
                if {source_region, target_region} == {first, second}:
                    self.cut(source, target)

    def heal(self):
        """Remove every cut."""
        self.cuts.clear()
        self._wake_waiting()

    def silence(self, source, target):
        """Make the open connections between two places silent, but not later ones."""
        for connection in self._open_connections(source, target):
            connection.silent = True

    def passes(self, source, target) -> bool:
        """Return whether traffic from source to target is not cut at present."""
        return (source, target) not in self.cuts

    async def wait_until_passes(self, source, target):
        """Wait while traffic from source to target is cut."""
        while not self.passes(source, target):
            await self.restored.wait()

    def _wake_waiting(self):
        """Let the tasks that wait for the end of a cut look again."""
        restored, self.restored = self.restored, asyncio.Event()
        restored.set()

    def latency_s(self, source, target) -> float:
        """Return the latency from source to target."""
        extra_s = self.extra_latency_s.get((source, target), 0.0)
        return extra_s + self._base_latency_s(source, target)

    def _base_latency_s(self, source, target):
        first, second = self.regions.get(source), self.regions.get(target)
        if first is None or second is None:
            return self.settings.client_latency_ms / 1000
        if first != second:
            return self.settings.region_latency_ms / 1000
        if source != target:
            return self.settings.data_centre_latency_ms / 1000
        return LOCAL_LATENCY_S

    def schedule_transfer(self, source, target, size, now) -> float:
        """Schedule the transfer of `size` bytes and return the seconds until arrival.

        Traffic between regions waits until earlier bytes of the same pair of regions
        have been sent.
        """
        pair = (source, target)
        self.pair_bytes[pair] = self.pair_bytes.get(pair, 0) + size
        delay_s = self.latency_s(source, target)
        regions = (self.regions.get(source), self.regions.get(target))
        if None in regions or regions[0] == regions[1]:
            return delay_s
        self.region_bytes[regions] = self.region_bytes.get(regions, 0) + size
        rate = self.settings.region_mbit_per_s * BITS_PER_MBIT / BITS_PER_BYTE
        start_s = max(now, self.busy_until_s.get(regions, -math.inf))
        self.busy_until_s[regions] = start_s + size / rate
        return self.busy_until_s[regions] - now + delay_s

    def connect(self, source, target) -> "LinkConnection":
        """Open a connection between two places."""
        connection = LinkConnection(link=self, source=source, target=target)
        self.connections.add(connection)
        return connection


class LinkConnection:
    """One connection over a link; delivers nothing while `silent` is set.

    Attributes
    ----------
    established : bool
        Whether the target has accepted the connection; `LinkProxy` sets it.
    reset : callable
        Closes both ends; `LinkProxy` sets it for the connections that it relays.
    """

    def __init__(self, *, link, source, target):
        self.link = link
        self.source = source
        self.target = target
        self.silent = False
        self.established = False
        self.reset = lambda: None

    async def carry(self, size, *, back=False):
        """Wait until `size` bytes have arrived; never return if they are lost."""
        source, target = self.source, self.target
        if back:
            source, target = target, source
        now = asyncio.get_running_loop().time()
        delay_s = self.link.schedule_transfer(source, target, size, now)
        await asyncio.sleep(delay_s)
        if self.silent or not self.link.passes(source, target):
            await asyncio.get_running_loop().create_future()

    def close(self):
        """Close the connection."""
        self.link.connections.discard(self)


class _LinkedClient:
    """Client whose calls travel over a link.

    A call that times out closes the connection, and the next call opens a new one.
    """

    def __init__(self, *, client, link, source, target, timeout_s=1.0):
        self.client = client
        self.link = link
        self.source = source
        self.target = target
        self.timeout_s = timeout_s
        self.connection = None

    async def _call(self, size, call, *, wait_s=0.0):
        if self.connection is None:
            self.connection = self.link.connect(self.source, self.target)
        connection = self.connection
        try:
            async with asyncio.timeout(self.timeout_s + wait_s):
                await connection.carry(size + CALL_OVERHEAD_BYTES)
                result = await call()
                answer = result.ok() if result.is_ok() else result.err()
                answer_size = len(msgspec.json.encode(answer))
                await connection.carry(answer_size + CALL_OVERHEAD_BYTES, back=True)
        except TimeoutError:
            connection.close()
            if self.connection is connection:
                self.connection = None
            return fail(ErrorKind.TIMEOUT, f"no answer from {self.target}")
        return result


class LinkedWorker(_LinkedClient, WorkerClient):
    """Client of a worker over a link."""

    async def sync(self, command):
        """Send one batch of commands."""
        size = len(msgspec.json.encode(command))
        return await self._call(
            size, lambda: self.client.sync(command), wait_s=command.wait_s
        )


class LinkedVmList(_LinkedClient, VmList):
    """Client of a list of VMs over a link."""

    async def read(self, *, data_centre=None):
        """Return the list, of one data centre or of all."""
        return await self._call(0, lambda: self.client.read(data_centre=data_centre))


class LinkedStore(_LinkedClient, Store):
    """Client of a store over a link."""

    async def get(self, key):
        """Read one key."""
        return await self._call(len(key), lambda: self.client.get(key))

    async def list(self, prefix, *, after="", limit=100):
        """Read one page of keys."""
        return await self._call(
            len(prefix) + len(after),
            lambda: self.client.list(prefix, after=after, limit=limit),
        )

    async def put(self, key, value, *, expected_revision=None, lease=None):
        """Write one key."""
        return await self._call(
            len(key) + len(value),
            lambda: self.client.put(
                key, value, expected_revision=expected_revision, lease=lease
            ),
        )

    async def delete(self, key, *, expected_revision=None):
        """Delete one key."""
        return await self._call(
            len(key),
            lambda: self.client.delete(key, expected_revision=expected_revision),
        )

    async def watch(self, prefix, *, after_revision, wait_s):
        """Wait for changes of a prefix."""
        return await self._call(
            len(prefix),
            lambda: self.client.watch(
                prefix, after_revision=after_revision, wait_s=wait_s
            ),
            wait_s=wait_s,
        )

    async def grant_lease(self, ttl_s):
        """Create a lease."""
        return await self._call(0, lambda: self.client.grant_lease(ttl_s))

    async def renew_lease(self, lease):
        """Extend a lease."""
        return await self._call(len(lease), lambda: self.client.renew_lease(lease))
