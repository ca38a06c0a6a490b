"""Placement decisions of a shard leader."""

import collections

from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.placement.estimation import UsageEstimator
from wasabipaddle.placement.gangs import ReservingGangs
from wasabipaddle.placement.holds import HoldRegistry
from wasabipaddle.placement.impossible import ImpossibleWork
from wasabipaddle.placement.plans import PlanMaintainer
from wasabipaddle.placement.preemption import LeastLossPreemption
from wasabipaddle.placement.quarantine import LikelihoodRatioQuarantine
from wasabipaddle.placement.queue import PendingQueue, PendingRun
from wasabipaddle.placement.registry import TaskRegistry
from wasabipaddle.placement.reservations import ReservationResizer
from wasabipaddle.placement.retries import TaskRetrier
from wasabipaddle.placement.running import TaskState
from wasabipaddle.placement.scoring import BestFitScoring
from wasabipaddle.placement.shares import ShareLedger
from wasabipaddle.placement.starting import TaskStarter
from wasabipaddle.placement.work import Checkpoint, GiveUp, Impossible

__all__ = ["Placer"]

# Period at which the services that have waited longest for space are tried again.
SWEEP_PERIOD_S = 10.0
# Failed attempts in one `decide` call; bounds its duration when nothing fits.
MAX_FAILURES_PER_CALL = 64


class Placer:
    """Places the runs of a shard on its workers.

    All methods are synchronous. The caller applies the decisions and reports what
    happens to the tasks.

    Parameters
    ----------
    fleet : FleetIndex
        Workers of the shard.
    random : random.Random
        Source of random choices; a seeded one makes decisions reproducible.
    scoring, gangs, preemption, quarantine, estimator, queue : optional
        Policies, and the class of the queue; by default not those of the baseline.
    resizes : bool
        Whether the platform can change the reservation of a running task.
    max_failures : int
        Failed attempts to place work after which `decide` returns.
    """

    def __init__(
        self,
        *,
        fleet,
        random,
        scoring=None,
        gangs=None,
        preemption=None,
        quarantine=None,
        estimator=None,
        queue=None,
        resizes=True,
        max_failures=MAX_FAILURES_PER_CALL,
    ):
        self.fleet = fleet
        self.random = random
        self.ledger = ShareLedger(fleet=fleet)
        self.estimator = estimator or UsageEstimator(fleet=fleet)
        self.quarantine = quarantine or LikelihoodRatioQuarantine(fleet=fleet)
        self.preemption = preemption or LeastLossPreemption()
        self.queue = (queue or PendingQueue)(ledger=self.ledger)
        self.registry = TaskRegistry(
            fleet=fleet,
            ledger=self.ledger,
            queue=self.queue,
            scoring=scoring or BestFitScoring(random=random),
            estimator=self.estimator,
        )
        self.holds = HoldRegistry(fleet=fleet)
        self.starter = TaskStarter(
            registry=self.registry,
            holds=self.holds,
            gangs=gangs or ReservingGangs(random=random),
            preemption=self.preemption,
            random=random,
        )
        self.impossible = ImpossibleWork(fleet=fleet, ledger=self.ledger)
        self.impossible_runs = {}
        self.max_failures = max_failures
        self.outbox = collections.deque()
        self.resizer = ReservationResizer(
            registry=self.registry, outbox=self.outbox, enabled=resizes
        )
        self.plans = PlanMaintainer(
            registry=self.registry,
            holds=self.holds,
            starter=self.starter,
            on_freed=self._on_freed,
        )
        self.retrier = TaskRetrier(
            queue=self.queue,
            quarantine=self.quarantine,
            starter=self.starter,
            outbox=self.outbox,
        )
        # Called with a worker and whether it is excluded from now on.
        self.on_quarantine_change = lambda worker, excluded: None
        self.freed_workers = {}
        self.seen_membership_version = -1
        self.next_sweep = 0.0

    def submit(self, work, now, *, indices=None):
        """Queue a run, or report it as impossible.

        Parameters
        ----------
        now : float
            Time in seconds.
        indices : iterable of int, optional
            Tasks to place; all by default.
        """
        entry = self.registry.open_run(work)
        waiting = list(range(work.tasks)) if indices is None else list(indices)
        entry.remaining.update(waiting)
        if work.run in self.impossible_runs:
            earlier = self.impossible_runs.pop(work.run)[1]
            waiting = sorted({*waiting, *earlier})
        reason = self._impossible_reason(work, now)
        if reason is not None:
            self.impossible_runs[work.run] = (work, waiting, now)
            self.outbox.append(Impossible(run=work.run, reason=reason))
            return
        self._push(work, waiting, now)

    def adopt(self, work, task, worker, needs, now) -> bool:
        """Register a task that already runs, as found during a recovery.

        Returns
        -------
        bool
            False if the task is already placed or the resources are not free.
        """
        index = int(task.rpartition("/")[2])
        return self.registry.place(work, index, worker, needs, now) is not None

    def is_placed(self, task) -> bool:
        """Return whether a task is registered as placed."""
        return task in self.registry.running

    def resume(self, work, now, *, completed, waiting):
        """Queue the rest of a run that an earlier leader has begun to place.

        Parameters
        ----------
        completed, waiting : collection of int
            Tasks that have completed, and tasks without an attempt in progress. Tasks
            of a gang that are running are ended, and the gang is queued as a whole.
        """
        entry = self.registry.open_run(work)
        entry.remaining.difference_update(completed)
        if work.is_gang and entry.running:
            entry.awaiting_restart.extend(waiting)
            self.retrier.restart_gang(entry, now)
            return
        if work.is_gang:
            self._withdraw(work.run)
        known = self._known_indices(entry)
        waiting = [i for i in waiting if i not in known]
        if waiting:
            self.submit(work, now, indices=waiting)

    def _withdraw(self, run):
        """Remove a run from the queue and drop its plans before it is queued whole."""
        for plan in list(self.holds.by_run.get(run, {}).values()):
            self.plans.drop(plan)
        self.queue.cancel(run)
        self.impossible_runs.pop(run, None)

    def _known_indices(self, entry):
        """Return the tasks of a run that are placed, planned or queued."""
        run = entry.work.run
        known = set(entry.running)
        for pending in self.queue.by_run.get(run, ()):
            known.update(pending.indices)
        for plan in self.holds.by_run.get(run, {}).values():
            known.update(plan.indices)
        return known

    def cancel(self, run) -> tuple[str, ...]:
        """Drop the waiting tasks of a run and mark the others as ending.

        Returns
        -------
        tuple of str
            Tasks that are running or starting, even if their `Start` is not yet
            applied. The caller must report their end, which releases their resources.
        """
        self.impossible_runs.pop(run, None)
        self.queue.cancel(run)
        for plan in list(self.holds.by_run.get(run, {}).values()):
            self.plans.drop(plan)
        entry = self.registry.runs.get(run)
        if entry is None:
            return ()
        entry.cancelled = True
        for placed in entry.running.values():
            placed.state = TaskState.ENDING
            self.fleet.make_unreclaimable(placed.task)
        running = tuple(p.task for p in entry.running.values())
        self.registry.close_if_done(entry)
        return running

    def record_task_end(self, task, outcome, now):
        """Record the end of a task, or of an attempt that is then retried.

        Parameters
        ----------
        outcome : TaskOutcome
            `COMPLETED` and `STOPPED` are final. After `FAILED`, `CHECKPOINTED` and
            `LEASE_EXPIRED` the task is queued again, unless it is given up.
        """
        placed = self._remove(task)
        if placed is None:
            return
        entry = self.registry.runs[placed.work.run]
        if outcome in (TaskOutcome.COMPLETED, TaskOutcome.FAILED):
            failed = outcome is TaskOutcome.FAILED
            self.quarantine.record(placed.worker, placed.work, now, failed=failed)
            if not failed:
                duration = now - placed.started_at
                self.estimator.record_run_time(placed.work, duration, now)
        elif placed.is_probe:
            self.quarantine.probe_unfinished(placed.worker)
        if outcome in (TaskOutcome.COMPLETED, TaskOutcome.STOPPED):
            entry.remaining.discard(placed.index)
        elif not entry.cancelled:
            self.retrier.retry(entry, placed, outcome, now)
        self.retrier.restart_gang(entry, now)
        self.registry.close_if_done(entry)

    def record_refused_start(self, task, now):
        """Record a refused start, and close the worker until its next report."""
        placed = self._remove(task)
        if placed is None:
            return
        self.fleet.set_pressured(placed.worker, True)
        entry = self.registry.runs[placed.work.run]
        if placed.is_probe:
            self.quarantine.probe_unfinished(placed.worker)
        if not entry.cancelled:
            self.retrier.retry(entry, placed, None, now)
        self.retrier.restart_gang(entry, now)
        self.registry.close_if_done(entry)

    def observe(self, worker, usage, tasks, now):
        """Record the usage that a worker reports, and relieve it if overloaded.

        Parameters
        ----------
        usage : Usage
            Use of the VM, which lags behind the true use.
        tasks : dict of str to Usage
            Use of its tasks; tasks without a change may be absent.
        """
        state = self.fleet.workers.get(worker)
        if state is None:
            return
        for task, used in tasks.items():
            placed = self.registry.running.get(task)
            if placed is None or placed.worker != worker:
                continue
            if self.resizer.observe(placed, used, now):
                self._on_freed(worker)
        was_closed = state.pressured
        running = self.registry.running
        for decision in self.preemption.relieve(self.fleet, running, state, usage, now):
            if isinstance(decision, Checkpoint):
                placed = running[decision.task]
                decision = self.starter.order_checkpoint(placed, decision.reason)
            self.outbox.append(decision)
        if was_closed and not state.pressured:
            self._on_freed(worker)

    def set_quota(self, team, resources):
        """Set the quota of a team, or remove it if `resources` is None."""
        self.ledger.set_quota(team, resources)
        self.queue.wake_team(team)
        self.seen_membership_version = -1

    def set_floor(self, service, guaranteed):
        """Guarantee a fraction of the fleet to a service."""
        self.ledger.set_floor(service, guaranteed)
        self.queue.floor_changed(service)

    def decide(self, now, limit) -> list:
        """Return up to about `limit` decisions.

        Decisions that belong together, such as the checkpoints that make room for one
        task, are returned together even if they exceed the limit.
        """
        self._apply_quarantine()
        self._retry_parked(now)
        decisions = []
        while self.outbox and len(decisions) < limit:
            decision = self.outbox.popleft()
            if self._is_current(decision):
                decisions.append(decision)
        decisions.extend(self.plans.start_complete(now))
        decisions.extend(self.plans.review(now))
        self._probe(now, decisions)
        tried, failures = set(), 0
        while len(decisions) < limit and failures < self.max_failures:
            queue = self.queue.next_ready()
            if queue is None:
                if not self._wake_one_parked(tried):
                    break
                continue
            started = self.starter.attempt(queue, now)
            if not started:
                tried.add(id(queue))
                failures += 1
            decisions.extend(started)
        return decisions

    @property
    def more_ready(self) -> bool:
        """Whether the last `decide` left work that can be tried at once."""
        return self.queue.next_ready() is not None

    def _is_current(self, decision) -> bool:
        """Return whether a decision from the outbox still applies."""
        if isinstance(decision, Impossible):
            return decision.run in self.impossible_runs
        if isinstance(decision, GiveUp):
            return True
        placed = self.registry.running.get(decision.task)
        return placed is not None and placed.worker == decision.worker

    def _push(self, work, indices, now, *, front=False):
        pending = PendingRun(work=work, indices=collections.deque(indices), since=now)
        self.queue.push(pending, front=front)

    def _impossible_reason(self, work, now):
        return self.impossible.reason(work, self.estimator.needs(work, now))

    def _remove(self, task):
        placed = self.registry.remove(task)
        if placed is not None:
            self._on_freed(placed.worker)
        return placed

    def _on_freed(self, worker):
        self.resizer.grant_deficits(worker)
        self.freed_workers[worker] = None
        self.holds.worker_changed(worker)

    def _wake_one_parked(self, tried) -> bool:
        """Make a parked service ready if it fits on a worker with freed resources."""
        while self.freed_workers:
            worker = next(iter(self.freed_workers))
            state = self.fleet.workers.get(worker)
            usable = state is not None and state.open
            if usable:
                available = state.free + self.holds.backfill_capacity(state)
                if self.queue.wake_one(available, tried):
                    return True
            del self.freed_workers[worker]
        return False

    def _apply_quarantine(self):
        for worker in self.quarantine.take_changes():
            excluded = self.quarantine.is_excluded(worker)
            self.fleet.set_quarantined(worker, excluded)
            self.on_quarantine_change(worker, excluded)
            if not excluded and worker in self.fleet.workers:
                self._on_freed(worker)

    def _retry_parked(self, now):
        if now >= self.next_sweep:
            self.next_sweep = now + SWEEP_PERIOD_S
            self.queue.wake_oldest()
        if self.seen_membership_version == self.fleet.membership_version:
            return
        self.seen_membership_version = self.fleet.membership_version
        self.queue.wake_fleet()
        for run, (work, indices, since) in list(self.impossible_runs.items()):
            if self._impossible_reason(work, now) is None:
                del self.impossible_runs[run]
                self._push(work, indices, since)

    def _probe(self, now, decisions):
        for worker in self.quarantine.due_probes(now):
            state = self.fleet.workers.get(worker)
            if state is None:
                self.quarantine.forget(worker)
                continue
            if state.unavailable:
                continue
            decisions.extend(self.starter.start_probe(state, now, self.quarantine))
