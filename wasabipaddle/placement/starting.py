"""Placement of the next run of a service, now or as a planned start."""

from wasabipaddle.documents import Resources, Urgency
from wasabipaddle.placement.gangs import HoldPlan
from wasabipaddle.placement.registry import reclaim_class
from wasabipaddle.placement.resources import fit_count, scaled
from wasabipaddle.placement.running import TaskState
from wasabipaddle.placement.state import Reclaim
from wasabipaddle.placement.work import Assignment, Checkpoint, Start, task_id

__all__ = ["TaskStarter"]

# Waiting time after which a task may return to a worker on which it failed.
AVOID_S = 60.0
# Waiting time after which resources are held for a single task that does not fit.
STARVATION_S = 600.0
# Number of workers in the fleet per single task that may have such a hold. Held
# resources are idle until all have been collected, so few tasks may have a hold at a
# time.
WORKERS_PER_STARVATION_PLAN = 50
# Pause between two attempts to plan a start for the same service, and the shorter pause
# if its work has priority.
PLAN_PAUSE_S = 5.0
PRIORITY_PLAN_PAUSE_S = 0.1
# No tasks are preempted while this many plans exist, of whatever kind.
MAX_PLANS_FOR_PREEMPTION = 512
# Divisors of declared resources that no measurement has confirmed, if the work does not
# fit: all are tried at once for a single task with priority, and any work gets the next
# divisor after each REDUCE_AFTER_S of waiting.
SIZE_DIVISORS = (2, 4, 8)
REDUCE_AFTER_S = 300.0
NO_WORKERS = frozenset()


class TaskStarter:
    """Starts waiting tasks, or holds resources for a later start.

    Parameters
    ----------
    registry : TaskRegistry
        Registry of placed tasks.
    holds : HoldRegistry
        Registry of planned starts.
    gangs : GangPolicy
        Chooses the workers of gangs, and of planned starts.
    preemption : PreemptionPolicy
        Chooses the tasks to preempt.
    random : random.Random
        Source of the sample of workers examined for backfill.
    """

    def __init__(self, *, registry, holds, gangs, preemption, random):
        self.registry = registry
        self.holds = holds
        self.gangs = gangs
        self.preemption = preemption
        self.random = random
        self.fleet = registry.fleet
        self.ledger = registry.ledger
        self.queue = registry.queue
        self.estimator = registry.estimator
        self.next_plan_times = {}

    def attempt(self, queue, now) -> list:
        """Start tasks of the head run of a service, plan its start or park the service.

        Returns
        -------
        list of Decision
            Starts, or checkpoints that make room; empty if the start was planned or the
            service parked.
        """
        work = queue.head().work
        need = self._need(work, now - queue.head().since, now)
        count = len(queue.head().indices) if work.is_gang else 1
        amount = scaled(need, count)
        if self.fleet.capacity_for(need, 1, work.placement.data_centres) < 1:
            self.queue.park_fleet(queue)
            return []
        if not self.ledger.within_quota(work, amount):
            self.queue.park_quota(queue)
            return []
        history = self.registry.open_run(work).history_of(queue.head().indices[0])
        reclaimable = reclaim_class(work, history) is not Reclaim.NEVER
        if not self.ledger.respects_floors(work, amount, reclaimable=reclaimable):
            self.queue.park_space(queue, need)
            return []
        if work.is_gang:
            return self._attempt_gang(queue, need, count, now)
        return self._attempt_task(queue, need, now)

    def start_held(self, plan, now) -> list:
        """Start the tasks of a plan whose holds have been collected."""
        assignments = []
        indices = list(plan.indices)
        for worker, count in plan.counts.items():
            for _ in range(count):
                index = indices.pop(0)
                self.registry.place(
                    plan.work, index, worker, plan.need, now, claim=plan.key
                )
                task = task_id(plan.work.run, index)
                assignments.append(
                    Assignment(task=task, worker=worker, needs=plan.need)
                )
        self.holds.remove(plan)
        return [Start(run=plan.work.run, assignments=tuple(assignments))]

    def start_gang(self, plan, counts, now) -> list:
        """Start a gang whose plan was removed, if it still fits; else return []."""
        for worker, count in counts.items():
            if fit_count(plan.need, self.fleet.free_of(worker), count) < count:
                return []
        return self._start_gang(plan.work, plan.indices, counts, plan.need, now)

    def order_checkpoint(self, placed, reason) -> Checkpoint:
        """Mark a task as ending and return the order to checkpoint it."""
        placed.state = TaskState.ENDING
        self.fleet.make_unreclaimable(placed.task)
        return Checkpoint(task=placed.task, worker=placed.worker, reason=reason)

    def _attempt_task(self, queue, need, now):
        pending = queue.head()
        work, index = pending.work, pending.indices[0]
        entry = self.registry.open_run(work)
        avoid = entry.history_of(index).failed_on
        waited = now - pending.since
        if avoid and waited > AVOID_S:
            avoid = NO_WORKERS
        worker = self.registry.scoring.choose(self.fleet, work, need, avoid)
        if worker is not None:
            self.queue.take(queue, 1)
            return self._start_task(work, index, worker, need, now, None)
        backfill = self._backfill(work, index, need, now)
        if backfill is not None:
            self.queue.take(queue, 1)
            return self._start_task(work, index, backfill[0], need, now, backfill[1])
        has_priority = self._has_priority(work)
        decisions = self._preempt(queue, need, 1, now)
        if decisions is None and has_priority and not self.estimator.is_learned(work):
            decisions = self._start_reduced(queue, need, now)
        if decisions is not None:
            return decisions
        if (has_priority or self._allows_starvation_plan(waited)) and self._plan(
            queue, need, 1, now
        ):
            return []
        self.queue.park_space(queue, need)
        return []

    def start_probe(self, state, now, quarantine) -> list:
        """Start one waiting batch task as a probe on an excluded worker."""
        queue = self.queue.probe_candidate(state.free)
        if queue is None:
            return []
        pending = queue.head()
        work, index = pending.work, pending.indices[0]
        need = self.estimator.needs(work, now)
        if not (need.fits(state.free) and self.ledger.within_quota(work, need)):
            return []
        self.queue.take(queue, 1)
        started = self._start_task(work, index, state.name, need, now, None)
        self.registry.running[task_id(work.run, index)].is_probe = True
        quarantine.probe_started(state.name)
        return started

    def _need(self, work, waited, now):
        """Return the resources to reserve for a task, reduced after a long wait.

        A declaration that no measurement has confirmed may be ten times too large, and
        a gang would wait for hours for resources that it does not need.
        """
        need = self.estimator.needs(work, now)
        if waited < REDUCE_AFTER_S or self.estimator.is_learned(work):
            return need
        steps = min(int(waited / REDUCE_AFTER_S), len(SIZE_DIVISORS))
        return _divided(need, SIZE_DIVISORS[steps - 1])

    def _start_reduced(self, queue, need, now):
        """Start a task that has priority, or make room for it, with reduced resources.

        No measurement has confirmed its declaration. If the true use is larger than the
        reservation, the reservation grows and less urgent tasks on the worker are
        throttled or checkpointed.
        """
        work, index = queue.head().work, queue.head().indices[0]
        for divisor in SIZE_DIVISORS:
            reduced = _divided(need, divisor)
            worker = self.registry.scoring.choose(self.fleet, work, reduced, NO_WORKERS)
            if worker is not None:
                self.queue.take(queue, 1)
                return self._start_task(work, index, worker, reduced, now, None)
            decisions = self._preempt(queue, reduced, 1, now)
            if decisions is not None:
                return decisions
        return None

    def _has_priority(self, work) -> bool:
        """Return whether work is urgent or its service is below its floor."""
        return work.urgency is Urgency.URGENT or self.ledger.below_floor(work.service)

    def _preemptible_classes(self, work, waited) -> tuple:
        """Return the classes of tasks that may be preempted for a run, in order."""
        if self._has_priority(work):
            return (Reclaim.FIRST, Reclaim.LAST)
        if work.urgency is Urgency.NORMAL and waited > STARVATION_S:
            return (Reclaim.FIRST,)
        return ()

    def _allows_starvation_plan(self, waited) -> bool:
        """Return whether a single task may get a hold because of its long wait."""
        if waited <= STARVATION_S:
            return False
        singles = sum(1 for p in self.holds.plans.values() if not p.work.is_gang)
        return singles < max(1, len(self.fleet.workers) // WORKERS_PER_STARVATION_PLAN)

    def _attempt_gang(self, queue, need, count, now):
        pending = queue.head()
        work = pending.work
        allowed = work.placement.data_centres
        counts = None
        if scaled(need, count).fits(self.fleet.total_free):
            counts = self.gangs.place(self.fleet, need, count, allowed)
        if counts is not None:
            indices = self.queue.take(queue, count)
            return self._start_gang(work, indices, counts, need, now)
        decisions = self._preempt(queue, need, count, now)
        if decisions is not None:
            return decisions
        if not self._plan(queue, need, count, now):
            self.queue.park_space(queue, need)
        return []

    def _start_task(self, work, index, worker, need, now, backfill_for):
        placed = self.registry.place(work, index, worker, need, now)
        placed.backfill_for = backfill_for
        assignment = Assignment(task=placed.task, worker=worker, needs=need)
        return [Start(run=work.run, assignments=(assignment,))]

    def _start_gang(self, work, indices, counts, need, now):
        assignments = []
        remaining = iter(indices)
        for worker, count in counts.items():
            for _ in range(count):
                placed = self.registry.place(work, next(remaining), worker, need, now)
                assignments.append(
                    Assignment(task=placed.task, worker=worker, needs=need)
                )
        return [Start(run=work.run, assignments=tuple(assignments))]

    def _backfill(self, work, index, need, now):
        if work.is_service or not self.holds.plans:
            return None
        run_s = self.estimator.run_time(work, now).median_s
        history = self.registry.open_run(work).history_of(index)
        preemptible = reclaim_class(work, history) is not Reclaim.NEVER
        return self.holds.backfill(
            need, now, run_s, self.random, preemptible=preemptible
        )

    def _preempt(self, queue, need, count, now):
        """Checkpoint tasks to make room for the head run, or return None."""
        if len(self.holds.plans) >= MAX_PLANS_FOR_PREEMPTION:
            return None
        work = queue.head().work
        classes = self._preemptible_classes(work, now - queue.head().since)
        if not classes:
            return None
        plan = self.preemption.plan_preemption(
            self.fleet, self.registry.running, work, need, count, now, classes
        )
        if plan is None:
            return None
        self._hold(queue, need, plan.counts, count, now, now, preempts=True)
        return [
            self.order_checkpoint(v, f"preempted for {work.urgency.value} work")
            for v in plan.victims
        ]

    def _plan(self, queue, need, count, now) -> bool:
        """Plan the earliest start of the head run; return whether there is a plan."""
        work = queue.head().work
        if now < self.next_plan_times.get(work.service, 0.0):
            return False
        pause = PRIORITY_PLAN_PAUSE_S if self._has_priority(work) else PLAN_PAUSE_S
        self.next_plan_times[work.service] = now + pause
        allowed = work.placement.data_centres
        plan = self.gangs.plan(
            self.fleet, self.registry.running, need, count, allowed, now
        )
        if plan is None:
            return False
        self._hold(queue, need, plan[0], count, plan[1], now)
        return True

    def _hold(self, queue, need, counts, count, start_at, now, *, preempts=False):
        """Take tasks of the head run from the queue and hold resources for them."""
        pending = queue.head()
        work, since = pending.work, pending.since
        indices = self.queue.take(queue, count)
        plan = HoldPlan(
            key=task_id(work.run, indices[0]),
            work=work,
            need=need,
            counts=counts,
            start_at=start_at,
            indices=indices,
            since=since,
            planned_at=now,
            preempts=preempts,
            allows_backfill=not preempts,
        )
        self.ledger.charge(work, scaled(need, count))
        self.holds.add(plan)
        self.queue.share_changed(work.service)


def _divided(need, divisor) -> Resources:
    """Return `need` with processor and memory divided.

    Accelerators stay, because their declared number is the number used.
    """
    return Resources(
        cpu_milli=max(need.cpu_milli // divisor, 1),
        memory_mb=max(need.memory_mb // divisor, 1),
        accelerators=need.accelerators,
    )
