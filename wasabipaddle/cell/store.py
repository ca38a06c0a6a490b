"""Role `cell_store`: the platform's store and how well it answers."""

import attrs

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.kernel import Plugin
from wasabipaddle.platform import PlatformStore

__all__ = ["CellStorePlugin", "StoreHealth"]

# Failures in a row after which the store counts as away.
FAILURES_UNTIL_UNAVAILABLE = 2
LATENCY_WEIGHT = 0.2
UNAVAILABLE_KINDS = frozenset(
    {ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_THROTTLED, ErrorKind.TIMEOUT}
)


@attrs.define(kw_only=True)
class StoreHealth:
    """How well the store has answered this process.

    Parameters
    ----------
    failures : int
        Calls without an answer since the last answered one.
    latency_s : float
        Recent time of a call.
    """

    journal: object
    failures: int = 0
    latency_s: float = 0.0
    unavailable_since_s: float = 0.0

    @property
    def unavailable(self) -> bool:
        """Whether the store does not answer."""
        return self.failures >= FAILURES_UNTIL_UNAVAILABLE

    def record(self, result, seconds, now):
        """Note the result of one call."""
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
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)


class CellStorePlugin(Plugin):
    """Owns the client of the store.

    Attributes
    ----------
    store : TransactionalStore
        Client.
    health : StoreHealth
        How well the store has answered.
    """

    name = "cell_store"

    def __init__(self, *, context):
        super().__init__(context=context)
        self.store = PlatformStore(address=context.settings.platform.store)
        self.health = StoreHealth(journal=context.journal)

    async def call(self, coroutine):
        """Await a call of the store and note how it went."""
        clock = self.context.clock
        began = clock.now()
        result = await coroutine
        now = clock.now()
        self.health.record(result, now - began, now)
        self.context.metrics.count("store_calls")
        self.context.metrics.observe("store_call", now - began)
        return result

    async def stop(self):
        """Close the connections."""
        await self.store.close()
