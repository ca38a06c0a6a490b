"""Book of work that waits for amounts held on chosen workers."""

__all__ = ["HoldBook"]

# Time past the planned start after which a plan is made again.
REPLAN_MINIMUM_S = 30.0
REPLAN_FRACTION = 0.5
# Held workers examined for one backfill.
BACKFILL_EXAMINED = 12


class HoldBook:
    """Plans with holds in the fleet index.

    Parameters
    ----------
    fleet : FleetIndex
        Keeps the held amounts.
    """

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.plans = {}
        self.by_run = {}
        self.changed = {}

    def add(self, plan):
        """Hold the amounts of a plan."""
        self.plans[plan.key] = plan
        self.by_run.setdefault(plan.work.run, {})[plan.key] = plan
        self.changed[plan.key] = None
        for worker, count in plan.counts.items():
            self.fleet.hold_tasks(plan.key, worker, plan.need, count)

    def remove(self, plan) -> list[str]:
        """Forget a plan and free what it holds; return its workers."""
        del self.plans[plan.key]
        self.changed.pop(plan.key, None)
        plans = self.by_run[plan.work.run]
        del plans[plan.key]
        if not plans:
            del self.by_run[plan.work.run]
        return self.fleet.drop_holds(plan.key)

    def worker_changed(self, worker):
        """Note that a worker's holds may have become complete."""
        state = self.fleet.workers.get(worker)
        if state is not None:
            for key in state.holds:
                self.changed[key] = None

    def complete(self) -> list:
        """Return plans that can start now."""
        changed, self.changed = list(self.changed), {}
        plans = [self.plans[k] for k in changed if k in self.plans]
        return [p for p in plans if self.fleet.holds_complete(p.key)]

    def broken(self) -> list:
        """Return plans with a worker that has left or takes no tasks."""
        return [
            p
            for p in self.plans.values()
            if any(not self._usable(worker) for worker in p.counts)
        ]

    def overdue(self, now) -> list:
        """Return plans whose planned start has passed."""
        return [p for p in self.plans.values() if now >= p.start_at]

    def must_replan(self, plan, now) -> bool:
        """Return whether the planned start has passed by so much that it is void."""
        wait = max(REPLAN_FRACTION * (plan.start_at - plan.planned_at), 0.0)
        return now > plan.start_at + max(wait, REPLAN_MINIMUM_S)

    def borrow(self, need, end_by, random):
        """Lend held amounts to a task that ends before the held work starts.

        Returns
        -------
        tuple of str or None
            Worker and key of the plan.
        """
        for plan in self.plans.values():
            if plan.start_at < end_by:
                continue
            workers = list(plan.counts)
            if len(workers) > BACKFILL_EXAMINED:
                workers = random.sample(workers, BACKFILL_EXAMINED)
            for worker in workers:
                if self.fleet.borrow(plan.key, worker, need):
                    return worker, plan.key
        return None

    def _usable(self, worker):
        state = self.fleet.workers.get(worker)
        return state is not None and not (state.quarantined or state.leaving)
