"""Stand-ins of the platform, of workers and of endpoints."""

from wasabipaddle.standins.store import (
    MemoryStore,
    SecondCount,
    StoreAllowance,
    StoreFaults,
    StoreView,
)

__all__ = [
    "MemoryStore",
    "SecondCount",
    "StoreAllowance",
    "StoreFaults",
    "StoreView",
]
