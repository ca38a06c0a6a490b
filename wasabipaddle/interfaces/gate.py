"""Throttling pause and call counters shared by all store clients of a process."""

from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces.store import Store

__all__ = ["StoreGate", "GatedStore"]

MIN_PAUSE_S = 0.5
# Largest jitter as a share of the pause; it spreads the first calls after a pause, as
# all processes of the cell pause together.
PAUSE_JITTER = 0.5
# A pause is ignored if it ends at most this much later than the announced pause.
# Processes announce pauses to each other, and would otherwise prolong them for ever.
PAUSE_HYSTERESIS_S = 0.1

READS = frozenset({"get", "list", "watch"})


class StoreGate:
    """Access to the store for all users in one process.

    If the store throttles one call, all calls of the process are paused. A call during
    the pause fails with `store_throttled` and does not reach the store.

    Parameters
    ----------
    store : Store
        Client of the platform's store.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the jitter.
    """

    def __init__(self, *, store, clock, random):
        self.store = store
        self.clock = clock
        self.random = random
        self.announced_until = 0.0
        self.paused_until = 0.0
        self.calls = {}

    @property
    def pause_s(self) -> float:
        """Remaining pause without its jitter, as announced to other processes."""
        return max(self.announced_until - self.clock.now(), 0.0)

    def pause(self, seconds):
        """Pause all calls for `seconds` plus jitter."""
        until = self.clock.now() + seconds
        if until <= self.announced_until + PAUSE_HYSTERESIS_S:
            return
        self.announced_until = until
        jitter = PAUSE_JITTER * seconds * self.random.random()
        self.paused_until = max(self.paused_until, until + jitter)

    def refusal(self) -> Failure | None:
        """Return the failure of a call that is made now, None outside a pause."""
        remaining = self.paused_until - self.clock.now()
        if remaining <= 0:
            return None
        return Failure(
            kind=ErrorKind.STORE_THROTTLED,
            detail="store calls are paused",
            retry_after_s=remaining,
        )

    def store_for(self, purpose) -> "GatedStore":
        """Return a store whose calls count under `purpose` and fail in a pause."""
        return GatedStore(gate=self, purpose=purpose)

    def reads(self) -> int:
        """Return the number of read calls so far, watches included."""
        return sum(n for (_, operation), n in self.calls.items() if operation in READS)

    def writes(self) -> int:
        """Return the number of write and lease calls so far."""
        return sum(
            n for (_, operation), n in self.calls.items() if operation not in READS
        )

    async def call(self, purpose, operation, *args, **kwargs):
        """Make and count one store call, unless calls are paused."""
        refused = self.refusal()
        if refused is not None:
            return Err(refused)
        key = (purpose, operation)
        self.calls[key] = self.calls.get(key, 0) + 1
        result = await getattr(self.store, operation)(*args, **kwargs)
        if result.is_err():
            failure = result.unwrap_err()
            if failure.kind is ErrorKind.STORE_THROTTLED:
                self.pause(max(failure.retry_after_s or 0.0, MIN_PAUSE_S))
        return result


class GatedStore(Store):
    """Store whose calls are counted under one purpose and share the pause.

    Parameters
    ----------
    gate : StoreGate
        Access to the store.
    purpose : str
        Name under which the calls are counted.
    """

    def __init__(self, *, gate, purpose):
        self.gate = gate
        self.purpose = purpose

    async def get(self, key):
        """Read one key."""
        return await self.gate.call(self.purpose, "get", key)

    async def list(self, prefix, *, after="", limit=100):
        """Read one page of the keys with a prefix."""
        return await self.gate.call(
            self.purpose, "list", prefix, after=after, limit=limit
        )

    async def put(self, key, value, *, expected_revision=None, lease=None):
        """Write one key."""
        return await self.gate.call(
            self.purpose,
            "put",
            key,
            value,
            expected_revision=expected_revision,
            lease=lease,
        )

    async def delete(self, key, *, expected_revision=None):
        """Delete one key."""
        return await self.gate.call(
            self.purpose, "delete", key, expected_revision=expected_revision
        )

    async def watch(self, prefix, *, after_revision, wait_s):
        """Wait for changes under a prefix."""
        return await self.gate.call(
            self.purpose, "watch", prefix, after_revision=after_revision, wait_s=wait_s
        )

    async def grant_lease(self, ttl_s):
        """Create a store lease."""
        return await self.gate.call(self.purpose, "grant_lease", ttl_s)

    async def renew_lease(self, lease):
        """Extend a store lease."""
        return await self.gate.call(self.purpose, "renew_lease", lease)
