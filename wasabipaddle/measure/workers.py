"""Simulated workers: true use, true run times and independent reservations."""

import math

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.interfaces import Usage
from wasabipaddle.measure.records import TaskTruth

__all__ = ["LiveTask", "WorkerModel"]

THROTTLED_RATE = 0.5
# Relative change of use up to which a task is not reported again.
MIN_REPORTED_CHANGE = 0.03


@attrs.define(kw_only=True, eq=False)
class LiveTask:
    """One running attempt.

    Parameters
    ----------
    left_s : float
        Remaining run time at `updated_at`, without throttling.
    version : int
        Version of the latest end event; events with an older version are ignored.
    reported : Usage or None
        Use that was reported last.
    constant : Usage or None
        Cached use of a task whose use does not change.
    """

    task: str
    run: str
    worker: str
    needs: Resources
    truth: TaskTruth
    started_at: float
    updated_at: float
    left_s: float
    throttled: bool = False
    ending: bool = False
    version: int = 0
    reported: Usage | None = None
    constant: Usage | None = None

    def advance(self, now):
        """Deduct the progress up to `now` from the remaining run time."""
        rate = THROTTLED_RATE if self.throttled else 1.0
        self.left_s = max(self.left_s - (now - self.updated_at) * rate, 0.0)
        self.updated_at = now

    def use(self, now) -> Usage:
        """Return the true use at `now`."""
        if not self.truth.growth and not self.throttled:
            if self.constant is None:
                self.constant = Usage(
                    cpu_milli=self.truth.use.cpu_milli,
                    memory_mb=self.truth.use.memory_mb,
                )
            return self.constant
        factor = 1.0
        if self.truth.growth and not math.isinf(self.truth.run_s):
            rate = THROTTLED_RATE if self.throttled else 1.0
            left = self.left_s - (now - self.updated_at) * rate
            factor += self.truth.growth * (1 - max(left, 0.0) / self.truth.run_s)
        cpu = self.truth.use.cpu_milli * factor
        if self.throttled:
            cpu *= THROTTLED_RATE
        return Usage(
            cpu_milli=int(cpu), memory_mb=int(self.truth.use.memory_mb * factor)
        )


class WorkerModel:
    """One worker with its own record of reservations.

    Parameters
    ----------
    spec : WorkerSpec
        Size and health.
    """

    def __init__(self, *, spec):
        self.spec = spec
        self.tasks = {}
        self.reserved = Resources()

    def start(self, live) -> bool:
        """Add a task; return False if the reservations now exceed the size."""
        self.tasks[live.task] = live
        self.reserved += live.needs
        return self.reserved.fits(self.spec.size)

    def stop(self, live):
        """Remove a task."""
        del self.tasks[live.task]
        self.reserved -= live.needs

    def resize(self, live, needs) -> bool:
        """Change a reservation; return False if reservations now exceed the size."""
        self.reserved += needs - live.needs
        live.needs = needs
        return self.reserved.fits(self.spec.size)

    def use(self, now) -> Usage:
        """Return the sum of the true uses, which may exceed the size."""
        cpu = memory = 0
        for live in self.tasks.values():
            used = live.use(now)
            cpu += used.cpu_milli
            memory += used.memory_mb
        return Usage(cpu_milli=cpu, memory_mb=memory)

    def useful_use(self, now) -> Usage:
        """Return the sum of the true uses of attempts that do not fail."""
        cpu = memory = 0
        if not self.spec.bad:
            for live in self.tasks.values():
                if not live.truth.fails:
                    used = live.use(now)
                    cpu += used.cpu_milli
                    memory += used.memory_mb
        return Usage(cpu_milli=cpu, memory_mb=memory)

    def report(self, now) -> tuple[Usage, dict]:
        """Return the use of the worker, and of tasks whose use has changed.

        The returned use of a task counts as reported.
        """
        cpu = memory = 0
        changed = {}
        for live in self.tasks.values():
            used = live.use(now)
            cpu += used.cpu_milli
            memory += used.memory_mb
            if used is live.reported:
                continue
            if live.reported is None or _differs(used, live.reported):
                live.reported = changed[live.task] = used
        return Usage(cpu_milli=cpu, memory_mb=memory), changed


def _differs(used, reported) -> bool:
    change = MIN_REPORTED_CHANGE
    return (
        abs(used.cpu_milli - reported.cpu_milli) > change * reported.cpu_milli
        or abs(used.memory_mb - reported.memory_mb) > change * reported.memory_mb
    )
