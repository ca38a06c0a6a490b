"""Role `cell_store`: client of the platform's store, and the health of the store."""

import attrs

from wasabipaddle.cell.unreadable import UnreadableRecords
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.kernel import Plugin
from wasabipaddle.platform import PlatformStore

__all__ = ["CellStorePlugin", "StoreHealth"]

# Consecutive failures after which the store counts as unavailable.
FAILURES_UNTIL_UNAVAILABLE = 2
# Weight of the latest call in the moving average of the latency.
LATENCY_WEIGHT = 0.2
UNAVAILABLE_KINDS = frozenset(
    {ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_THROTTLED, ErrorKind.TIMEOUT}
)


@attrs.define(kw_only=True)
class StoreHealth:
    """Health of the store as seen from this process.

    Parameters
    ----------
    journal : callable
        Receives an event when the store becomes unavailable, and when it is available
        again.
    failures : int
        Number of consecutive calls that failed because the store was unavailable,
        throttled the call or did not respond in time.
    latency_s : float
        Moving average of the duration of all other calls, 0 before the first.
    unavailable_since_s : float
        Monotonic time at which the store last became unavailable.
    """

    journal: object
    failures: int = 0
    latency_s: float = 0.0
    unavailable_since_s: float = 0.0

    @property
    def unavailable(self) -> bool:
        """Whether the last `FAILURES_UNTIL_UNAVAILABLE` calls or more have failed."""
        return self.failures >= FAILURES_UNTIL_UNAVAILABLE

    def record(self, result, seconds, now):
        """Record the result and the duration of one call."""
        failed = result.is_err() and result.err().kind in UNAVAILABLE_KINDS
        if failed:
            self.failures += 1
            if self.failures == FAILURES_UNTIL_UNAVAILABLE:
                self.unavailable_since_s = now
                self.journal("store_lost", reason=result.err().detail)
            return
        if self.unavailable:
            away_ms = int((now - self.unavailable_since_s) * 1000)
            self.journal("store_regained", away_ms=away_ms)
        self.failures = 0
        if not self.latency_s:
            self.latency_s = seconds
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)


class CellStorePlugin(Plugin):
    """Owns the client of the store.

    Attributes
    ----------
    store : TransactionalStore
        Client of the store.
    health : StoreHealth
        Health of the store as seen from this process.
    unreadable : UnreadableRecords
        Records of the store that this process could not decode.
    seen_revision : int
        Highest revision of the store that an answer has shown, 0 before the first.
    """

    name = "cell_store"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.store = PlatformStore(address=context.settings.platform.store)
        self.health = StoreHealth(journal=context.journal)
        self.unreadable = UnreadableRecords(context=context)
        self.seen_revision = 0

    async def call(self, coroutine):
        """Await a call of the store; record its result and duration."""
        clock = self.context.clock
        began = clock.now()
        result = await coroutine
        now = clock.now()
        self.health.record(result, now - began, now)
        self.context.metrics.count("store_calls")
        self.context.metrics.observe("store_call", now - began)
        if result.is_ok():
            self._note_revision(getattr(result.ok(), "revision", 0))
        return result

    async def commit(self, **changes):
        """Make a commit as with `call`, and note its revision."""
        result = await self.call(self.store.commit(**changes))
        if result.is_ok():
            self._note_revision(result.ok())
        return result

    def _note_revision(self, revision):
        self.seen_revision = max(self.seen_revision, revision)

    async def stop(self):
        """Close the connections."""
        await self.store.close()
