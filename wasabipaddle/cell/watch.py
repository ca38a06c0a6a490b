"""Watches of prefixes of the platform's store."""

import asyncio

from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["StoreWatch"]

MS_PER_S = 1000
# Wait of a poll; the shortest that the store accepts, so that the poll returns at once.
NO_WAIT_S = 0.001
# Share of the time within which a change must take effect that a watch may be without
# an answer. The rest is for a new listing and for orders on their way.
UNANSWERED_SHARE = 0.6
# Part of this time that is reserved for the answer, beyond the latency of the store.
ANSWER_MARGIN_S = 0.5
MAX_ANSWER_MARGIN_S = 1.0
MIN_WAIT_S = 0.1
# Time for an answer that has arrived while the process was paused or busy.
RECEIVE_S = 0.1


class StoreWatch:
    """Listings and long-polled changes of one prefix, with logs and metrics.

    Parameters
    ----------
    store_plugin : CellStorePlugin
        Plugin that owns the client of the store.
    name : str
        Name of the watch in logs and metrics.
    prefix : str
        Prefix of the keys.
    bound_s : float
        Time within which a change must take effect. A watch without an answer counts as
        lost early enough for that, whether its connection is silent or the store holds
        the call.

    Attributes
    ----------
    revision : int or None
        Store revision up to which changes are known; None before the first listing and
        after a failed call, so that the prefix has to be listed.
    confirmed_s : float
        Monotonic time of the last answer of the store.
    fresh : asyncio.Event
        Set unless the watch has expired and the prefix has not been listed since.
    """

    def __init__(self, *, store_plugin, name, prefix, bound_s):
        self.store_plugin = store_plugin
        self.name = name
        self.prefix = prefix
        self.bound_s = bound_s
        self.revision = None
        self.call = None
        self.fresh = asyncio.Event()
        self.expirations = 0
        self.context = store_plugin.context
        self.confirmed_s = self.context.clock.now()
        self.context.metrics.gauge(f"watch_age_s_{name}", self.age_s)

    @property
    def wait_s(self) -> float:
        """Longest time for which the store waits for a change."""
        return max(UNANSWERED_SHARE * self.bound_s - ANSWER_MARGIN_S, MIN_WAIT_S)

    def age_s(self) -> float:
        """Return the time since the last answer in seconds."""
        return self.context.clock.now() - self.confirmed_s

    async def list(self):
        """Return a listing of the prefix as a `Page` in a `Result`."""
        began = self.context.clock.now()
        expirations = self.expirations
        page = await self.store_plugin.call(
            self.store_plugin.store.list_all(self.prefix)
        )
        if page.is_err():
            return page
        if expirations != self.expirations:
            return _expired()
        self.revision = page.ok().revision
        self.fresh.set()
        self.context.metrics.count(f"watch_listings_{self.name}")
        self.context.journal(
            "watch_listed",
            watch=self.name,
            entries=len(page.ok().entries),
            revision=self.revision,
            took_ms=int((self.context.clock.now() - began) * MS_PER_S),
            age_ms=int(self.age_s() * MS_PER_S),
        )
        self._confirm()
        return page

    async def follow(self):
        """Wait for changes after `revision`; return a `WatchBatch` in a `Result`."""
        return await self._receive(self._call_within_limit())

    def expire(self):
        """Have the prefix listed again; calls in progress count as lost."""
        self.expirations += 1
        self.fresh.clear()
        self.revision = None
        if self.call is not None:
            self.call.cancel()

    async def poll(self):
        """Return the changes after `revision` at once, as a `WatchBatch` in a `Result`.

        In contrast to `follow`, a failure counts for the health of the store.
        """
        call = self._call_store(NO_WAIT_S)
        return await self._receive(self.store_plugin.call(call))

    def close(self):
        """Remove the gauge of the age, unless a later watch has set it."""
        self.context.metrics.remove_gauge(f"watch_age_s_{self.name}", self.age_s)

    async def _call_within_limit(self):
        """Wait for changes; fail if there is no answer soon after the wait."""
        latency_s = self.store_plugin.health.latency_s
        margin_s = min(ANSWER_MARGIN_S + latency_s, MAX_ANSWER_MARGIN_S)
        limit_s = self.wait_s + margin_s
        store = self.store_plugin.store
        connections = store.connection_generation
        call = self.call = asyncio.ensure_future(self._call_store(self.wait_s))
        try:
            await asyncio.wait({call}, timeout=limit_s)
            if not call.done():
                await asyncio.wait({call}, timeout=RECEIVE_S)
            if call.done() and not call.cancelled():
                return call.result()
            if not call.done():
                store.replace_connections(connections)
        finally:
            call.cancel()
            self.call = None
        detail = f"no answer, time limit {limit_s:.2f} s"
        return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))

    def _call_store(self, wait_s):
        return self.store_plugin.store.follow(
            self.prefix, after_revision=self.revision, wait_s=wait_s
        )

    async def _receive(self, call):
        """Await a call that returns changes, and record its result."""
        began = self.context.clock.now()
        revision = self.revision
        self.context.metrics.count(f"watch_calls_{self.name}")
        batch = await call
        if self.revision is None:
            batch = _expired()
        if batch.is_err():
            self.context.metrics.count(f"watch_lost_{self.name}")
            self.context.journal(
                "watch_lost",
                watch=self.name,
                reason=batch.err().kind.value,
                detail=batch.err().detail,
                revision=revision,
                waited_ms=int((self.context.clock.now() - began) * MS_PER_S),
                age_ms=int(self.age_s() * MS_PER_S),
            )
            self.revision = None
            return batch
        self.revision = max(self.revision, batch.ok().revision)
        self._confirm()
        return batch

    def _confirm(self):
        metrics = self.context.metrics
        metrics.count(f"watch_answers_{self.name}")
        metrics.observe(f"watch_gap_{self.name}", self.age_s())
        self.confirmed_s = self.context.clock.now()


def _expired():
    detail = "the watch has expired"
    return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
