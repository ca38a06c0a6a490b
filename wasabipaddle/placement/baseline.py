"""Baseline placement, with which measurements compare the production policies.

A single first-in, first-out queue and first fit by declared resources, without
estimation, preemption, reservations for gangs or quarantine.
"""

from wasabipaddle.documents import Urgency
from wasabipaddle.placement.estimation import RunTime, UsageEstimator
from wasabipaddle.placement.gangs import NonReservingGangs
from wasabipaddle.placement.placer import Placer
from wasabipaddle.placement.preemption import NoPreemption
from wasabipaddle.placement.quarantine import NoQuarantine
from wasabipaddle.placement.queue import PendingQueue
from wasabipaddle.placement.scoring import FirstFitScoring

__all__ = ["DeclaredEstimator", "FifoQueue", "baseline_placer"]


# Low, because first fit examines every worker in each failed attempt.
MAX_FAILURES_PER_CALL = 2


class FifoQueue(PendingQueue):
    """Single queue for all work; a run that cannot be placed moves to the end."""

    def park_space(self, queue, need):
        """Move the head run to the end of the queue."""
        self._rotate(queue)

    def park_quota(self, queue):
        """Move the head run to the end of the queue."""
        self._rotate(queue)

    def park_fleet(self, queue):
        """Move the head run to the end of the queue."""
        self._rotate(queue)

    def key_of(self, work):
        """Return the same key for all work."""
        return "", Urgency.NORMAL

    def _rotate(self, queue):
        queue.runs.rotate(-1)
        self.make_ready(queue)


class DeclaredEstimator(UsageEstimator):
    """Uses the declared resources and run times; learns nothing."""

    def observe(self, work, usage, now, *, first):
        """Ignore the measurement."""

    def record_run_time(self, work, duration_s, now):
        """Ignore the run time."""

    def needs(self, work, now):
        """Return the declared resources of one task."""
        return work.needs

    def run_time(self, work, now):
        """Return the declared run time, or the default if none is declared."""
        if work.is_service or not work.expected_s:
            return super().run_time(work, now)
        return RunTime(median_s=work.expected_s, high_s=work.expected_s)


def baseline_placer(*, fleet, random) -> Placer:
    """Return a placer with the baseline policies."""
    return Placer(
        fleet=fleet,
        random=random,
        scoring=FirstFitScoring(),
        gangs=NonReservingGangs(),
        preemption=NoPreemption(),
        quarantine=NoQuarantine(),
        estimator=DeclaredEstimator(fleet=fleet),
        queue=FifoQueue,
        resizes=False,
        max_failures=MAX_FAILURES_PER_CALL,
    )
