"""Book of work that waits for amounts held on chosen workers."""

from wasabipaddle.placement.amounts import ZERO, fit_count, scaled

__all__ = ["HoldRegistry"]

# Time past the planned start after which a plan is made again.
MIN_REPLAN_DELAY_S = 30.0
REPLAN_FRACTION = 0.5
# Least time for which amounts are lent to a task that is checkpointed afterwards.
MIN_BACKFILL_S = 60.0
# Held workers examined for one backfill.
BACKFILL_WORKERS_EXAMINED = 12


class HoldRegistry:
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
            self.fleet.hold_tasks(
                plan.key, worker, plan.need, count, first=plan.preempts
            )

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

    def gangs(self) -> list:
        """Return plans of gangs that do not wait for preempted tasks."""
        return [p for p in self.plans.values() if p.work.is_gang and not p.preempts]

    def counts_for_start(self, plan) -> dict | None:
        """Return tasks per worker for a start with what is held or free now."""
        missing = len(plan.indices)
        counts = {}
        for worker in plan.counts:
            state = self.fleet.workers.get(worker)
            if state is None or plan.key not in state.holds or not state.open:
                return None
            available = state.free + state.holds[plan.key].amount
            counts[worker] = fit_count(plan.need, available, missing)
            missing -= counts[worker]
            if not missing:
                return counts
        if not scaled(plan.need, missing).fits(self.fleet.total_free):
            return None
        allowed = plan.work.placement.data_centres
        for state in self.fleet.candidates(plan.need, missing + len(counts)):
            if state.name in counts or (allowed and state.data_centre not in allowed):
                continue
            counts[state.name] = fit_count(plan.need, state.free, missing)
            missing -= counts[state.name]
            if not missing:
                return counts
        return None

    def overdue(self, now) -> list:
        """Return plans whose planned start has passed."""
        return [p for p in self.plans.values() if now >= p.start_at]

    def must_replan(self, plan, now) -> bool:
        """Return whether the planned start has passed by so much that it is void."""
        wait = max(REPLAN_FRACTION * (plan.start_at - plan.planned_at), 0.0)
        return now > plan.start_at + max(wait, MIN_REPLAN_DELAY_S)

    def backfill_capacity(self, state):
        """Return the held amounts of a worker that may be lent."""
        amount = ZERO
        for key, hold in state.holds.items():
            if self.plans[key].allows_backfill:
                amount += hold.amount
        return amount

    def backfill(self, need, now, run_s, random, *, preemptible):
        """Lend held amounts to a task that ends before the held work starts.

        Parameters
        ----------
        run_s : float
            Expected run time of the task.
        preemptible : bool
            Whether the task can be checkpointed as soon as the held work could start.
            Such a task may also be expected to run longer.

        Returns
        -------
        tuple of str or None
            Worker and key of the plan.
        """
        for plan in self.plans.values():
            if not plan.allows_backfill:
                continue
            left_s = plan.start_at - now
            if left_s < min(run_s, MIN_BACKFILL_S if preemptible else run_s):
                continue
            workers = list(plan.counts)
            if len(workers) > BACKFILL_WORKERS_EXAMINED:
                workers = random.sample(workers, BACKFILL_WORKERS_EXAMINED)
            for worker in workers:
                if self.fleet.free_for_backfill(plan.key, worker, need):
                    return worker, plan.key
        return None

    def _usable(self, worker):
        state = self.fleet.workers.get(worker)
        return state is not None and not (state.quarantined or state.leaving)
