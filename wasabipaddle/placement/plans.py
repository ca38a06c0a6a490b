"""Maintenance of planned starts."""

import collections

from wasabipaddle.placement.queue import PendingRun
from wasabipaddle.placement.resources import ZERO, scaled
from wasabipaddle.placement.running import TaskState

__all__ = ["PlanMaintainer"]

# Period between reviews of all plans.
REVIEW_S = 0.5
# Age after which a plan is made again if it may hold more than the work needs.
UNCONFIRMED_PLAN_S = 300.0
# Number of such periods of waiting after which plans of work without measurements are
# not made again, because the resources to reserve are not reduced any further.
REDUCTION_PERIODS = 4


class PlanMaintainer:
    """Starts, replaces and drops the plans in a hold registry.

    Parameters
    ----------
    registry : TaskRegistry
        Registry of placed tasks.
    holds : HoldRegistry
        Registry of the plans.
    starter : TaskStarter
        Starts tasks and orders checkpoints.
    on_freed : callable
        Called with each worker whose resources were released.
    """

    def __init__(self, *, registry, holds, starter, on_freed):
        self.registry = registry
        self.fleet = registry.fleet
        self.ledger = registry.ledger
        self.queue = registry.queue
        self.holds = holds
        self.starter = starter
        self.on_freed = on_freed
        self.seen_availability_version = -1
        self.next_review = 0.0

    def drop(self, plan):
        """Remove a plan and free what it holds."""
        for worker in self._remove(plan):
            self.on_freed(worker)

    def _remove(self, plan):
        self.ledger.release(plan.work, scaled(plan.need, len(plan.indices)))
        workers = self.holds.remove(plan)
        self.queue.share_changed(plan.work.service)
        self.queue.wake_team(plan.work.team)
        return workers

    def _requeue(self, plan):
        """Drop a plan and queue its tasks again at the front."""
        self.drop(plan)
        self._push(plan)

    def _push(self, plan):
        self.starter.next_plan_times.pop(plan.work.service, None)
        indices = collections.deque(plan.indices)
        pending = PendingRun(work=plan.work, indices=indices, since=plan.since)
        self.queue.push(pending, front=True)

    def start_complete(self, now) -> list:
        """Start the tasks of plans whose holds have been collected."""
        decisions = []
        for plan in self.holds.take_complete():
            decisions.extend(self.starter.start_held(plan, now))
        return decisions

    def review(self, now) -> list:
        """Start gangs early, requeue void plans, and end backfill that delays a plan.

        A plan is void if one of its workers was removed, is unavailable or quarantined,
        if it is long overdue, or if it may hold more than the work needs.
        """
        if self.seen_availability_version != self.fleet.availability_version:
            self.seen_availability_version = self.fleet.availability_version
            for plan in self.holds.broken():
                self._requeue(plan)
        if now < self.next_review:
            return []
        decisions = []
        self.next_review = now + REVIEW_S
        for plan in list(self.holds.plans.values()):
            if self._is_outdated(plan, now):
                self._requeue(plan)
        for plan in self.holds.overdue(now):
            if self.holds.must_replan(plan, now):
                self._requeue(plan)
            else:
                decisions.extend(self._end_backfill(plan))
        for plan in self.holds.gangs():
            decisions.extend(self._start_early(plan, now))
            if plan.key in self.holds.plans and self._only_backfill_missing(plan):
                decisions.extend(self._end_backfill(plan))
        return decisions

    def _is_outdated(self, plan, now) -> bool:
        """Return whether a plan may hold more resources than the work needs."""
        if plan.preempts or now - plan.planned_at < UNCONFIRMED_PLAN_S:
            return False
        estimator = self.registry.estimator
        if not estimator.is_learned(plan.work):
            return now - plan.since < REDUCTION_PERIODS * UNCONFIRMED_PLAN_S
        return not plan.need.fits(estimator.needs(plan.work, now))

    def _start_early(self, plan, now):
        """Start a planned gang if it fits into its holds and other free resources."""
        counts = self.holds.counts_for_start(plan)
        if counts is None:
            return []
        workers = self._remove(plan)
        started = self.starter.start_gang(plan, counts, now)
        if not started:  # other holds on the workers collected the resources
            self._push(plan)
        for worker in workers:
            self.on_freed(worker)
        return started

    def _only_backfill_missing(self, plan) -> bool:
        """Return whether only resources of backfill tasks are missing from a plan."""
        for worker in plan.counts:
            state = self.fleet.workers[worker]
            hold = state.holds.get(plan.key)
            if hold is None:
                return False
            if hold.complete:
                continue
            missing = hold.wanted - hold.amount
            for task, amount in state.tasks.items():
                placed = self.registry.running.get(task)
                if placed is not None and placed.backfill_for == plan.key:
                    missing -= amount
            if not missing.fits(ZERO):
                return False
        return True

    def _end_backfill(self, plan):
        """Checkpoint the backfill tasks of a plan, and allow no more of them."""
        plan.allows_backfill = False
        decisions = []
        for worker in plan.counts:
            for task in list(self.fleet.workers[worker].tasks):
                placed = self.registry.running.get(task)
                if placed is None or placed.backfill_for != plan.key:
                    continue
                if placed.state is not TaskState.ENDING:
                    decisions.append(
                        self.starter.order_checkpoint(placed, "end of backfill")
                    )
        return decisions
