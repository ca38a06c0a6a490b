"""Attempts to place the head run of a service."""

from wasabipaddle.documents import Urgency
from wasabipaddle.placement.amounts import scaled
from wasabipaddle.placement.gangs import HoldPlan
from wasabipaddle.placement.running import TaskState
from wasabipaddle.placement.work import Assignment, Checkpoint, Start, task_id

__all__ = ["Starter"]

# Waiting time after which a single task that does not fit gets a held place.
STARVED_S = 60.0
# Pause between two attempts to plan the start of work that needs a held place.
PLAN_PAUSE_S = 5.0
# Urgent tasks that may wait for preempted tasks to end at one time.
LARGEST_ROOM_PLANS = 512
NOT_HELD = frozenset()


class Starter:
    """Places waiting tasks, at once or by holding a place for later.

    Parameters
    ----------
    book : TaskBook
        Keeps placed tasks.
    holds : HoldBook
        Keeps planned starts.
    gangs : GangPolicy
        Places gangs.
    preemption : PreemptionPolicy
        Makes room for urgent work.
    random : random.Random
        Samples held workers for backfill.
    """

    def __init__(self, *, book, holds, gangs, preemption, random):
        self.book = book
        self.holds = holds
        self.gangs = gangs
        self.preemption = preemption
        self.random = random
        self.fleet = book.fleet
        self.ledger = book.ledger
        self.queue = book.queue
        self.estimator = book.estimator
        self.plan_times = {}

    def attempt(self, queue, now) -> list:
        """Place the head run of a service, or park the service.

        Returns
        -------
        list of Decision
            Empty if nothing could be started.
        """
        work = queue.head().work
        need = self.estimator.needs(work, now)
        count = len(queue.head().indices) if work.is_gang else 1
        amount = scaled(need, count)
        if self.fleet.capacity_for(need, 1, work.placement.data_centres) < 1:
            self.queue.park_fleet(queue)
            return []
        if not self.ledger.within_quota(work, amount):
            self.queue.park_quota(queue)
            return []
        reclaimable = work.urgency is Urgency.DEFERRABLE
        if not self.ledger.respects_floors(work, amount, reclaimable=reclaimable):
            self.queue.park_space(queue, need)
            return []
        if work.is_gang:
            return self._attempt_gang(queue, need, count, now)
        return self._attempt_task(queue, need, now)

    def start_held(self, plan, now) -> list:
        """Start the tasks of a plan whose holds are complete."""
        assignments = []
        indices = list(plan.indices)
        for worker, count in plan.counts.items():
            for _ in range(count):
                index = indices.pop(0)
                self.book.place(
                    plan.work, index, worker, plan.need, now, claim=plan.key
                )
                task = task_id(plan.work.run, index)
                assignments.append(
                    Assignment(task=task, worker=worker, needs=plan.need)
                )
        self.holds.remove(plan)
        return [Start(run=plan.work.run, assignments=tuple(assignments))]

    def order_checkpoint(self, placed, reason) -> Checkpoint:
        """Order the end of a task that is queued again."""
        placed.state = TaskState.ENDING
        self.fleet.keep(placed.task)
        return Checkpoint(task=placed.task, worker=placed.worker, reason=reason)

    def _attempt_task(self, queue, need, now):
        pending = queue.head()
        work, index = pending.work, pending.indices[0]
        entry = self.book.open_run(work)
        avoid = entry.history_of(index).failed_on
        waited = now - pending.since
        if avoid and waited > STARVED_S:
            avoid = NOT_HELD
        worker = self.book.scoring.choose(self.fleet, work, need, avoid)
        if worker is not None:
            self.queue.take(queue, 1)
            return self._start_task(work, index, worker, need, now, None)
        lent = self._backfill(work, need, now)
        if lent is not None:
            self.queue.take(queue, 1)
            return self._start_task(work, index, lent[0], need, now, lent[1])
        if work.urgency is Urgency.URGENT or self.ledger.below_floor(work.service):
            decisions = self._make_room(queue, need, 1, now)
            if decisions is not None:
                return decisions
        elif waited > STARVED_S and self._plan(queue, need, 1, now):
            return []
        self.queue.park_space(queue, need)
        return []

    def start_probe(self, state, now, quarantine) -> list:
        """Start one waiting batch task on an excluded worker."""
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
        self.book.running[task_id(work.run, index)].is_probe = True
        quarantine.probe_started(state.name)
        return started

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
        if work.urgency is Urgency.URGENT or self.ledger.below_floor(work.service):
            decisions = self._make_room(queue, need, count, now)
            if decisions is not None:
                return decisions
        if not self._plan(queue, need, count, now):
            self.queue.park_space(queue, need)
        return []

    def _start_task(self, work, index, worker, need, now, lender):
        placed = self.book.place(work, index, worker, need, now)
        placed.backfill_for = lender
        assignment = Assignment(task=placed.task, worker=worker, needs=need)
        return [Start(run=work.run, assignments=(assignment,))]

    def _start_gang(self, work, indices, counts, need, now):
        assignments = []
        remaining = iter(indices)
        for worker, count in counts.items():
            for _ in range(count):
                placed = self.book.place(work, next(remaining), worker, need, now)
                assignments.append(
                    Assignment(task=placed.task, worker=worker, needs=need)
                )
        return [Start(run=work.run, assignments=tuple(assignments))]

    def _backfill(self, work, need, now):
        if work.is_service or not self.holds.plans:
            return None
        end_by = now + self.estimator.run_time(work, now).high_s
        return self.holds.borrow(need, end_by, self.random)

    def _make_room(self, queue, need, count, now):
        """Checkpoint reclaimable tasks for the head run, or return None."""
        if len(self.holds.plans) >= LARGEST_ROOM_PLANS:
            return None
        work = queue.head().work
        running = self.book.running
        room = self.preemption.make_room(self.fleet, running, work, need, count, now)
        if room is None:
            return None
        self._hold(queue, need, room.counts, count, now, now)
        return [
            self.order_checkpoint(v, f"room for {work.urgency.value} work")
            for v in room.victims
        ]

    def _plan(self, queue, need, count, now) -> bool:
        """Hold workers for the earliest start of the head run."""
        work = queue.head().work
        if now < self.plan_times.get(work.service, 0.0):
            return False
        self.plan_times[work.service] = now + PLAN_PAUSE_S
        allowed = work.placement.data_centres
        plan = self.gangs.plan(self.fleet, self.book.running, need, count, allowed, now)
        if plan is None:
            return False
        self._hold(queue, need, plan[0], count, plan[1], now)
        return True

    def _hold(self, queue, need, counts, count, start_at, now):
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
        )
        self.ledger.take(work, scaled(need, count))
        self.holds.add(plan)
        self.queue.share_changed(work.service)
