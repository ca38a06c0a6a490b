"""In-memory stand-in of the transactional store, with lost and late commits."""

import asyncio
import random

from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Change, Entry, Page, TransactionalStore, WatchBatch

__all__ = ["MemoryTransactions", "TransactionsClient"]


LATENCY_S = 0.004
# A timer may fire this much before its time, by rounding.
TIMER_TOLERANCE_S = 1e-6
# Time after which the client gives up a call without an answer.
CALL_TIMEOUT_S = 0.9
# Time beyond its wait after which the client gives up a watch without an answer.
WATCH_MARGIN_S = 1.0


class MemoryTransactions:
    """Content of the store, shared by its clients.

    Parameters
    ----------
    seed : float
        Seed of the random choice of commits without an answer.

    Attributes
    ----------
    down : bool
        Whether every call is refused.
    refused_clients : set of str
        Clients whose calls are refused.
    cut_off_clients : set of str
        Clients whose calls have no effect and get no answer.
    lost_share : float
        Share of the commits that get no answer.
    delay_s : float or None
        Time after which a commit without an answer takes effect; None drops it.
    latency_s : float
        Latency of every call, in seconds.
    watches_answered : bool
        Whether watches are answered. A watch that should be answered while this is
        False gets no answer, also later, until `cut_watches`. Other calls are answered.
    """

    def __init__(self, *, seed=0):
        self.items = {}
        self.leases = {}
        self.lease_ends = {}
        self.last_lease = 1000
        self.revision = 1
        self.history = []
        self.compacted_revision = 0
        self.changed = asyncio.Event()
        self.random = random.Random(seed)
        self.down = False
        self.refused_clients = set()
        self.cut_off_clients = set()
        self.lost_share = 0.0
        self.delay_s = 0.0
        self.latency_s = LATENCY_S
        self.watches_answered = True
        self.watches_cut = asyncio.Event()

    def apply(self, conditions, puts, deletes):
        """Apply one commit and return its revision, or a failure."""
        for key, revision in conditions:
            entry = self.items.get(key)
            if (entry.revision if entry else 0) != revision:
                return _failure(ErrorKind.REVISION_MISMATCH, key)
        for put in puts:
            if put.lease and put.lease not in self.leases:
                return _failure(ErrorKind.NOT_FOUND, "the lease has expired")
        self.revision += 1
        self._detach({put.key for put in puts}.union(deletes))
        for put in puts:
            self.items[put.key] = Entry(
                key=put.key, value=put.value, revision=self.revision
            )
            self._record(put.key, put.value)
            if put.lease:
                self.leases[put.lease].add(put.key)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self._record(key, None)
        return Ok(self.revision)

    def _detach(self, keys):
        """Remove keys from their leases, whose ends then leave them alone."""
        for attached in self.leases.values():
            attached.difference_update(keys)

    def _record(self, key, value):
        self.history.append(Change(key=key, value=value, revision=self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        """End a lease and delete its keys."""
        keys = self.leases.pop(lease, set())
        self.apply((), (), [k for k in keys if k in self.items])

    def grant(self, ttl_s) -> int:
        """Create a lease, which expires unless it is extended."""
        self.last_lease += 1
        self.leases[self.last_lease] = set()
        self.extend(self.last_lease, ttl_s)
        return self.last_lease

    def extend(self, lease, ttl_s=None):
        """Extend a lease by `ttl_s` from now, or by its previous duration."""
        loop = asyncio.get_running_loop()
        if ttl_s is None:
            ttl_s = self.lease_ends[lease][1]
        self.lease_ends[lease] = (loop.time() + ttl_s, ttl_s)
        loop.call_later(ttl_s, self._expire, lease)

    def _expire(self, lease):
        until_s, _ = self.lease_ends.get(lease, (0.0, 0.0))
        now = asyncio.get_running_loop().time()
        if lease in self.leases and now >= until_s - TIMER_TOLERANCE_S:
            self.end_lease(lease)

    def forget_history(self):
        """Compact the history, so that clients that follow it have to list again."""
        self.history.clear()
        self.compacted_revision = self.revision

    def cut_watches(self):
        """Close the connections of the watches that wait without an answer."""
        self.watches_cut.set()
        self.watches_cut = asyncio.Event()

    def remove(self, key):
        """Delete a key, as the platform does to revoke it."""
        self.apply((), (), [key])


class TransactionsClient(TransactionalStore):
    """Client of the store for one process.

    Parameters
    ----------
    memory : MemoryTransactions
        Content of the store.
    client : str
        Name of the process.
    """

    def __init__(self, *, memory, client):
        self.memory = memory
        self.client = client

    async def _refusal(self):
        """Wait for the latency of a call; return a failure if the call is refused."""
        await asyncio.sleep(self.memory.latency_s)
        if self.client in self.memory.cut_off_clients:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return _failure(ErrorKind.TIMEOUT, "no answer from the store")
        if self.memory.down or self.client in self.memory.refused_clients:
            return _failure(ErrorKind.STORE_UNAVAILABLE, "the store is down")
        return None

    async def get(self, key):
        """Return the entry of a key, or None if it does not exist."""
        return await self._refusal() or Ok(self.memory.items.get(key))

    async def list(self, prefix, *, after="", limit=0):
        """Return all entries with a prefix as one page."""
        return await self.list_all(prefix)

    async def list_all(self, prefix):
        """Return all entries with a prefix and the revision of the store."""
        refusal = await self._refusal()
        if refusal:
            return refusal
        keys = sorted(k for k in self.memory.items if k.startswith(prefix))
        entries = tuple(self.memory.items[k] for k in keys)
        return Ok(Page(entries=entries, revision=self.memory.revision))

    async def commit(self, *, conditions=(), puts=(), deletes=()):
        """Apply all changes if all conditions hold, or none of them."""
        refusal = await self._refusal()
        if refusal:
            return refusal
        if self.memory.random.random() >= self.memory.lost_share:
            return self.memory.apply(conditions, puts, deletes)
        if self.memory.delay_s is not None:
            asyncio.get_running_loop().call_later(
                self.memory.delay_s, self.memory.apply, conditions, puts, deletes
            )
        await asyncio.sleep(CALL_TIMEOUT_S)
        return _failure(ErrorKind.TIMEOUT, "no answer from the store")

    async def follow(self, prefix, *, after_revision, wait_s):
        """Return the changes of a prefix, waiting for the first at most `wait_s`."""
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            refusal = await self._refusal()
            if refusal:
                return refusal
            if not self.memory.watches_answered:
                return await self._wait_for_cut(until_s + WATCH_MARGIN_S)
            if after_revision < self.memory.compacted_revision:
                return _failure(ErrorKind.REVISION_MISMATCH, "the history is compacted")
            found = tuple(
                change
                for change in self.memory.history
                if change.revision > after_revision and change.key.startswith(prefix)
            )
            remaining_s = until_s - asyncio.get_running_loop().time()
            if found or remaining_s <= 0:
                revision = self.memory.revision
                return Ok(WatchBatch(changes=found, revision=revision))
            try:
                async with asyncio.timeout(remaining_s):
                    await self.memory.changed.wait()
            except TimeoutError:
                pass

    async def _wait_for_cut(self, until_s):
        """Wait until the watches are cut, or until a time of the loop."""
        try:
            async with asyncio.timeout_at(until_s):
                await self.memory.watches_cut.wait()
        except TimeoutError:
            return _failure(ErrorKind.TIMEOUT, "no answer from the store")
        return _failure(ErrorKind.TIMEOUT, "the connection is closed")

    async def grant_lease(self, ttl_s):
        """Create a lease."""
        refusal = await self._refusal()
        if refusal:
            return refusal
        return Ok(self.memory.grant(ttl_s))

    async def renew_lease(self, lease):
        """Extend a lease."""
        refusal = await self._refusal()
        if refusal:
            return refusal
        if lease not in self.memory.leases:
            return _failure(ErrorKind.NOT_FOUND, "the lease has expired")
        self.memory.extend(lease)
        return Ok(None)

    async def end_lease(self, lease):
        """End a lease and delete its keys."""
        refusal = await self._refusal()
        if refusal:
            return refusal
        self.memory.end_lease(lease)
        return Ok(None)


def _failure(kind, detail):
    return Err(Failure(kind=kind, detail=detail))
