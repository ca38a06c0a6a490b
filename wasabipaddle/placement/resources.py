"""Arithmetic on `Resources`."""

from wasabipaddle.documents import Resources

__all__ = [
    "ZERO",
    "dominant_share",
    "elementwise_max",
    "elementwise_min",
    "fit_count",
    "leftover_score",
    "scaled",
]

ZERO = Resources()


def elementwise_min(a, b) -> Resources:
    """Return the minimum of two resource vectors in each dimension."""
    return Resources(
        cpu_milli=min(a.cpu_milli, b.cpu_milli),
        memory_mb=min(a.memory_mb, b.memory_mb),
        accelerators=min(a.accelerators, b.accelerators),
    )


def elementwise_max(a, b) -> Resources:
    """Return the maximum of two resource vectors in each dimension."""
    return Resources(
        cpu_milli=max(a.cpu_milli, b.cpu_milli),
        memory_mb=max(a.memory_mb, b.memory_mb),
        accelerators=max(a.accelerators, b.accelerators),
    )


def scaled(amount, count) -> Resources:
    """Return a resource vector multiplied by an integer."""
    return Resources(
        cpu_milli=amount.cpu_milli * count,
        memory_mb=amount.memory_mb * count,
        accelerators=amount.accelerators * count,
    )


def fit_count(need, free, limit) -> int:
    """Return how many tasks that need `need` fit into `free`, at most `limit`."""
    count = limit
    if need.cpu_milli:
        count = min(count, free.cpu_milli // need.cpu_milli)
    if need.memory_mb:
        count = min(count, free.memory_mb // need.memory_mb)
    if need.accelerators:
        count = min(count, free.accelerators // need.accelerators)
    return max(count, 0)


def leftover_score(need, free) -> float:
    """Return a score of what `need` leaves of `free`; lower is a better fit.

    The score is the sum of the unused fractions of processor and memory plus twice
    their difference, because resources left in one dimension alone are hard to use.
    """
    cpu = 1 - need.cpu_milli / free.cpu_milli if free.cpu_milli else 0.0
    memory = 1 - need.memory_mb / free.memory_mb if free.memory_mb else 0.0
    return cpu + memory + 2 * abs(cpu - memory)


def dominant_share(amount, total) -> float:
    """Return the largest fraction of `total` that `amount` is in any dimension."""
    return max(
        amount.cpu_milli / total.cpu_milli if total.cpu_milli else 0.0,
        amount.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        amount.accelerators / total.accelerators if total.accelerators else 0.0,
    )
