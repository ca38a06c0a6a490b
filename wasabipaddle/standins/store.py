"""In-memory stand-in of the platform's key-value store."""

import asyncio
import collections
import math
import random as random_module

import attrs
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Store
from wasabipaddle.standins.exchange import call_later
from wasabipaddle.standins.faults import change_faults
from wasabipaddle.standins.keyspace import KeySpace
from wasabipaddle.standins.token_bucket import TokenBucket

__all__ = [
    "MemoryStore",
    "SecondCount",
    "StoreAllowance",
    "StoreFaults",
    "MemoryStoreClient",
]

HISTORY_LIMIT = 10_000
DEFAULT_TIMEOUT_S = 1.0
WRITES = frozenset({"put", "delete", "grant_lease", "renew_lease"})


@attrs.define(kw_only=True)
class StoreFaults:
    """Faults of the store, which can change at any time.

    Parameters
    ----------
    down : bool
        Refuse every call with `store_unavailable`.
    hang : bool
        Carry out and answer no call, so that callers time out.
    extra_latency_s : float
        Additional round-trip time; a write may take effect after the caller's timeout.
    lost_call : float
        Probability that a call is lost before it takes effect.
    lost_answer : float
        Probability that an answer is lost after the call took effect.
    """

    down: bool = False
    hang: bool = False
    extra_latency_s: float = 0.0
    lost_call: float = 0.0
    lost_answer: float = 0.0


@attrs.frozen(kw_only=True)
class StoreAllowance:
    """Calls per second that the store accepts from all clients together."""

    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0


@attrs.define(kw_only=True)
class SecondCount:
    """Calls that arrived in one second.

    Calls in `throttled` are also counted in `reads` or `writes`.
    """

    second: int
    reads: int = 0
    writes: int = 0
    throttled: int = 0


class MemoryStoreClient(Store):
    """Client of a `MemoryStore` for one process.

    Parameters
    ----------
    store : MemoryStore
        The shared store.
    name : str
        Client name under which calls are counted.
    timeout_s : float
        Longest wait for an answer.

    Attributes
    ----------
    partitioned : bool
        Whether calls of the process and answers to it are lost.
    """

    def __init__(self, *, store, name, timeout_s=DEFAULT_TIMEOUT_S):
        self.store = store
        self.name = name
        self.timeout_s = timeout_s
        self.partitioned = False

    async def get(self, key):
        """Read one key."""
        return await self._call("get", lambda now: self.store.keys.get(key))

    async def list(self, prefix, *, after="", limit=100):
        """Read one page of keys."""
        keys = self.store.keys
        return await self._call("list", lambda now: keys.list(prefix, after, limit))

    async def put(self, key, value, *, expected_revision=None, lease=None):
        """Write one key."""
        keys = self.store.keys
        return await self._call(
            "put", lambda now: keys.put(key, value, expected_revision, lease, now)
        )

    async def delete(self, key, *, expected_revision=None):
        """Delete one key."""
        keys = self.store.keys
        return await self._call(
            "delete", lambda now: keys.delete(key, expected_revision)
        )

    async def watch(self, prefix, *, after_revision, wait_s):
        """Wait for changes of a prefix."""
        loop = asyncio.get_running_loop()
        answer = loop.create_future()

        def arrive():
            self.store.arrive_watch(self, answer, prefix, after_revision, wait_s)

        call_later(self.store.one_way_s, arrive)
        return await self._wait(answer, wait_s + self.timeout_s, "watch")

    async def grant_lease(self, ttl_s):
        """Create a lease."""
        return await self._call(
            "grant_lease", lambda now: self.store.start_lease(ttl_s, now)
        )

    async def renew_lease(self, lease):
        """Extend a lease."""
        keys = self.store.keys
        return await self._call("renew_lease", lambda now: keys.renew_lease(lease, now))

    async def _call(self, kind, apply):
        loop = asyncio.get_running_loop()
        answer = loop.create_future()

        def arrive():
            self.store.arrive(self, answer, kind, apply)

        # The call is delivered independently of the caller: a write takes effect even
        # if the caller has timed out or was cancelled.
        call_later(self.store.one_way_s, arrive)
        return await self._wait(answer, self.timeout_s, kind)

    async def _wait(self, answer, timeout_s, kind):
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError:
            detail = f"no answer from the store to {kind}"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))


class MemoryStore(Store):
    """Key-value store in memory on the running asyncio loop.

    Direct calls are counted for the client name "".

    Parameters
    ----------
    latency_s : float
        Round-trip time of a call.
    allowance : StoreAllowance or None
        Call rates allowed to all clients together; if None, the defaults apply.
    history_limit : int
        Number of changes kept for watches.
    random : random.Random or None
        Random number generator for lost calls and answers; None uses seed 0.

    Attributes
    ----------
    faults : StoreFaults
        Current faults.
    calls : collections.Counter
        Calls that arrived, by (client name, kind).
    throttled : int
        Calls refused because the allowance was exceeded.
    """

    def __init__(
        self,
        *,
        latency_s=0.004,
        allowance=None,
        history_limit=HISTORY_LIMIT,
        random=None,
    ):
        self.latency_s = latency_s
        self.keys = KeySpace(history_limit=history_limit)
        self.faults = StoreFaults()
        self.random = random or random_module.Random(0)
        self.calls = collections.Counter()
        self.throttled = 0
        self.seconds = {}
        self.views = {}
        self.waiting = set()
        self.set_allowance(allowance or StoreAllowance())
        self.keys.listeners.append(self._notify)

    @property
    def one_way_s(self) -> float:
        """One-way latency of calls and answers."""
        return (self.latency_s + self.faults.extra_latency_s) / 2

    def set_allowance(self, allowance):
        """Change the allowed call rates."""
        self.allowance = allowance
        self.read_bucket = TokenBucket(rate_per_s=allowance.reads_per_s)
        self.write_bucket = TokenBucket(rate_per_s=allowance.writes_per_s)

    def set_faults(self, **changes):
        """Set faults by name; an outage ends waiting watches."""
        change_faults(self.faults, changes)
        if self.faults.down:
            for watch in list(self.waiting):
                self._finish_watch(watch)

    def client(self, name, *, timeout_s=DEFAULT_TIMEOUT_S) -> MemoryStoreClient:
        """Return the client with a name, which is created at the first call."""
        if name not in self.views:
            self.views[name] = MemoryStoreClient(
                store=self, name=name, timeout_s=timeout_s
            )
        return self.views[name]

    def count(self, *, client=None, kind=None) -> int:
        """Return the number of calls, optionally of one client or one kind."""
        return sum(
            number
            for (name, call), number in self.calls.items()
            if client in (None, name) and kind in (None, call)
        )

    def history(self) -> tuple[SecondCount, ...]:
        """Return calls per second in order of time, without idle seconds."""
        return tuple(self.seconds[s] for s in sorted(self.seconds))

    async def get(self, key):
        """Read one key."""
        return await self.client("").get(key)

    async def list(self, prefix, *, after="", limit=100):
        """Read one page of keys."""
        return await self.client("").list(prefix, after=after, limit=limit)

    async def put(self, key, value, *, expected_revision=None, lease=None):
        """Write one key."""
        return await self.client("").put(
            key, value, expected_revision=expected_revision, lease=lease
        )

    async def delete(self, key, *, expected_revision=None):
        """Delete one key."""
        return await self.client("").delete(key, expected_revision=expected_revision)

    async def watch(self, prefix, *, after_revision, wait_s):
        """Wait for changes of a prefix."""
        return await self.client("").watch(
            prefix, after_revision=after_revision, wait_s=wait_s
        )

    async def grant_lease(self, ttl_s):
        """Create a lease."""
        return await self.client("").grant_lease(ttl_s)

    async def renew_lease(self, lease):
        """Extend a lease."""
        return await self.client("").renew_lease(lease)

    def arrive(self, view, answer, kind, apply):
        """Carry out one call on its arrival at the store."""
        if not self._accept(view, answer, kind):
            return
        self._answer(view, answer, apply(asyncio.get_running_loop().time()))

    def arrive_watch(self, view, answer, prefix, after_revision, wait_s):
        """Answer a watch now, after the next change, or after `wait_s`."""
        if not self._accept(view, answer, "watch"):
            return
        found = self.keys.changes_after(prefix, after_revision)
        if found.is_err() or found.unwrap():
            self._answer(view, answer, found)
            return
        watch = _Watch(
            view=view, answer=answer, prefix=prefix, after_revision=after_revision
        )
        self.waiting.add(watch)
        watch.timer = call_later(wait_s, self._finish_watch, watch)

    def start_lease(self, ttl_s, now):
        """Create a lease and start its expiry timer."""
        granted = self.keys.grant_lease(ttl_s, now)
        self._check_lease(granted.unwrap())
        return granted

    def _check_lease(self, lease):
        loop = asyncio.get_running_loop()
        remaining_s = self.keys.expire(lease, loop.time())
        if remaining_s > 0:
            call_later(remaining_s, self._check_lease, lease)

    def _accept(self, view, answer, kind):
        """Count a call that reached the store and return whether to carry it out."""
        if view.partitioned:
            return False
        second = self._count(view.name, kind)
        if self.faults.hang or self.random.random() < self.faults.lost_call:
            return False
        if self.faults.down:
            self._refuse(view, answer, ErrorKind.STORE_UNAVAILABLE, "store is down")
            return False
        bucket = self.write_bucket if kind in WRITES else self.read_bucket
        wait_s = bucket.take(asyncio.get_running_loop().time())
        if wait_s > 0:
            self.throttled += 1
            second.throttled += 1
            detail = "call allowance is used up"
            kind = ErrorKind.STORE_THROTTLED
            self._refuse(view, answer, kind, detail, retry_after_s=wait_s)
            return False
        return True

    def _count(self, name, kind):
        self.calls[name, kind] += 1
        number = math.floor(asyncio.get_running_loop().time())
        second = self.seconds.setdefault(number, SecondCount(second=number))
        if kind in WRITES:
            second.writes += 1
        else:
            second.reads += 1
        return second

    def _refuse(self, view, answer, kind, detail, *, retry_after_s=None):
        failure = Failure(kind=kind, detail=detail, retry_after_s=retry_after_s)
        self._send(view, answer, Err(failure))

    def _answer(self, view, answer, result):
        if self.random.random() >= self.faults.lost_answer:
            self._send(view, answer, result)

    def _send(self, view, answer, result):
        def deliver():
            if not answer.done() and not view.partitioned:
                answer.set_result(result)

        call_later(self.one_way_s, deliver)

    def _notify(self, change):
        for watch in list(self.waiting):
            if change.key.startswith(watch.prefix):
                self._finish_watch(watch, change)

    def _finish_watch(self, watch, *changes):
        self.waiting.discard(watch)
        watch.timer.cancel()
        if self.faults.hang or watch.answer.done():
            return
        if self.faults.down:
            kind = ErrorKind.STORE_UNAVAILABLE
            self._refuse(watch.view, watch.answer, kind, "store is down")
            return
        self._answer(watch.view, watch.answer, Ok(changes))


@attrs.define(kw_only=True, eq=False)
class _Watch:
    view: MemoryStoreClient
    answer: asyncio.Future
    prefix: str
    after_revision: int
    timer: asyncio.TimerHandle | None = None
