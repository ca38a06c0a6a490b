"""What the driver records while it applies decisions."""

import attrs

from wasabipaddle.documents import Urgency

__all__ = ["Outcomes", "Sample", "median", "percentile"]


def percentile(values, fraction) -> float:
    """Return the nearest-rank percentile, 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def median(values) -> float:
    """Return the median by nearest rank, 0 for no values."""
    return percentile(values, 0.5)


@attrs.define(kw_only=True)
class Outcomes:
    """Counts, waits and timings of one run of the driver.

    Parameters
    ----------
    waits : dict of Urgency to list of float
        Seconds from arrival to first start, per task that is not part of a gang.
    gang_waits : list of float
        Seconds from arrival to first start, per gang.
    decisions : int
        Decisions that were applied.
    overfilled : int
        Starts and resizes after which reservations exceeded a worker's size.
    two_places : int
        Starts of a task that was running.
    partial_gangs : int
        Starts of a gang without all its remaining tasks.
    over_quota : int
        Starts after which a team held more than its quota.
    evicted : int
        Checkpoints ordered for any reason.
    call_s, decide_s : float, list of float
        Processor time of all calls, and of each call of `decide`.
    """

    waits: dict = attrs.field(factory=lambda: {u: [] for u in Urgency})
    gang_waits: list = attrs.field(factory=list)
    decisions: int = 0
    starts: int = 0
    completed: int = 0
    overfilled: int = 0
    two_places: int = 0
    partial_gangs: int = 0
    over_quota: int = 0
    evicted: int = 0
    throttled: int = 0
    resized: int = 0
    cancelled: int = 0
    impossible_waits: list = attrs.field(factory=list)
    impossible_blocking_s: float = 0.0
    refused_possible: int = 0
    given_up: int = 0
    given_up_wrong: int = 0
    quarantined_good: set = attrs.field(factory=set)
    quarantined_bad: set = attrs.field(factory=set)
    carried: list = attrs.field(factory=list)
    call_s: float = 0.0
    decide_s: list = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Sample:
    """True use at one time, in processor and memory.

    Parameters
    ----------
    carried : tuple of float
        Use on all workers, at most the size of each.
    reserved : tuple of float
        Reservations as the workers keep them.
    demand : tuple of float
        The same with the use of waiting tasks.
    overloaded : int
        Workers whose true use exceeds their size.
    """

    at: float
    carried: tuple[float, float]
    reserved: tuple[float, float]
    demand: tuple[float, float]
    running: int
    overloaded: int
