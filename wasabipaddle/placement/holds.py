"""Registry of plans of later starts, for which resources of workers are held."""

from wasabipaddle.placement.resources import ZERO, fit_count, scaled

__all__ = ["HoldRegistry"]

# Delay past the planned start after which a plan is made again: a fraction of the time
# between planning and planned start, but at least the minimum.
MIN_REPLAN_DELAY_S = 30.0
REPLAN_FRACTION = 0.5
# A preemptible backfill task with a longer expected run time than this is started only
# if at least this time is left until the planned start.
MIN_BACKFILL_S = 60.0
# Workers of a plan examined for one backfill task.
BACKFILL_WORKERS_EXAMINED = 12


class HoldRegistry:
    """Plans of later starts, whose holds are in the fleet index.

    Parameters
    ----------
    fleet : FleetIndex
        Index that stores the holds.
    """

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.plans = {}
        self.by_run = {}
        self.changed = {}

    def add(self, plan):
        """Register a plan and create its holds."""
        self.plans[plan.key] = plan
        self.by_run.setdefault(plan.work.run, {})[plan.key] = plan
        self.changed[plan.key] = None
        for worker, count in plan.counts.items():
            self.fleet.create_hold(
                plan.key, worker, plan.need, count, first=plan.preempts
            )

    def remove(self, plan) -> list[str]:
        """Remove a plan, free what it holds, and return its workers."""
        del self.plans[plan.key]
        self.changed.pop(plan.key, None)
        plans = self.by_run[plan.work.run]
        del plans[plan.key]
        if not plans:
            del self.by_run[plan.work.run]
        return self.fleet.drop_holds(plan.key)

    def worker_changed(self, worker):
        """Mark the plans with holds on a worker for the next `take_complete` call."""
        state = self.fleet.workers.get(worker)
        if state is not None:
            for key in state.holds:
                self.changed[key] = None

    def take_complete(self) -> list:
        """Return plans marked as changed whose holds have all been collected."""
        changed, self.changed = list(self.changed), {}
        plans = [self.plans[k] for k in changed if k in self.plans]
        return [p for p in plans if self.fleet.holds_complete(p.key)]

    def broken(self) -> list:
        """Return plans with a worker that is removed, unavailable or quarantined."""
        return [
            p
            for p in self.plans.values()
            if any(not self._usable(worker) for worker in p.counts)
        ]

    def gangs(self) -> list:
        """Return plans of gangs for which no tasks were preempted."""
        return [p for p in self.plans.values() if p.work.is_gang and not p.preempts]

    def counts_for_start(self, plan) -> dict | None:
        """Return tasks per worker for a start with resources held or free now.

        Workers of the plan come first, then others. None if not all tasks fit.
        """
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
        """Return whether a plan is so late that it is to be made again."""
        delay_s = max(REPLAN_FRACTION * (plan.start_at - plan.planned_at), 0.0)
        return now > plan.start_at + max(delay_s, MIN_REPLAN_DELAY_S)

    def backfill_capacity(self, state):
        """Return the held resources of a worker that backfill tasks may use."""
        amount = ZERO
        for key, hold in state.holds.items():
            if self.plans[key].allows_backfill:
                amount += hold.amount
        return amount

    def backfill(self, need, now, run_s, random, *, preemptible):
        """Free held resources for a task that runs before the planned work starts.

        Parameters
        ----------
        run_s : float
            Expected run time of the task in seconds.
        preemptible : bool
            Whether the task can be checkpointed once the planned work could start. If
            so, it may be started although its expected end is after the planned start.

        Returns
        -------
        tuple of str or None
            Worker and key of the plan; None if no plan has suitable resources.
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
        return state is not None and not (state.quarantined or state.unavailable)
