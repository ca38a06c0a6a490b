"""Records that the driver keeps while it applies decisions."""

import attrs

from wasabipaddle.documents import Urgency

__all__ = ["Outcomes", "Sample", "median", "percentile"]


def percentile(values, fraction) -> float:
    """Return the value at `fraction` of the sorted values, 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def median(values) -> float:
    """Return the median, the upper of two middle values, 0 for no values."""
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
        Starts of a task that was already running.
    partial_gangs : int
        Starts of a gang without all its remaining tasks.
    over_quota : int
        Starts after which a team held more than its quota.
    evicted : int
        Checkpoints ordered, for any reason.
    impossible_waits : list of float
        Seconds from arrival to refusal, per run that was refused as impossible.
    impossible_blocking_s : float
        Seconds during which the placer's queue held an impossible run.
    refused_possible : int
        Runs that were refused as impossible although they are possible.
    given_up, given_up_wrong : int
        Tasks that the placer gave up, and those of them that do not fail on every
        worker.
    quarantined_good, quarantined_bad : set of str
        Healthy and faulty workers that were in quarantine when a sample was taken.
    samples : list of Sample
        Samples of true use, in order of time.
    call_s, decide_s : float, list of float
        Elapsed time of all calls of the placer, and of each call of `decide` that
        returned decisions.
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
    samples: list = attrs.field(factory=list)
    call_s: float = 0.0
    decide_s: list = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Sample:
    """True use at one time, each as processor and memory.

    Parameters
    ----------
    carried : tuple of float
        Use of attempts that do not fail, at most the size of each worker.
    reserved : tuple of float
        Reservations as recorded by the workers.
    demand : tuple of float
        `carried` plus the use of waiting tasks.
    overloaded : int
        Number of workers whose true use exceeds their size.
    """

    at: float
    carried: tuple[float, float]
    reserved: tuple[float, float]
    demand: tuple[float, float]
    running: int
    overloaded: int
