"""Choice of the runner for each waiting task."""

from wasabipaddle.dispatch.fleet import waits_for_suspects
from wasabipaddle.dispatch.model import COMPARED_PERCENT, Run, RunPhase
from wasabipaddle.dispatch.orders import StartTask

__all__ = ["Placement", "free_slots", "within_runner_limit"]

# Weights of the terms in the score of a runner.
SPEED_WEIGHT = 0.6
FREE_CPU_WEIGHT = 1.0
PREFERRED_RACK_WEIGHT = 2.0
AVOIDED_PENALTY = 4.0
INTERFERENCE_PENALTY = 1.5
# A run of a speculative task may be late after LATE_ESTIMATE_FACTOR times its expected
# duration plus LATE_MARGIN_S.
LATE_ESTIMATE_FACTOR = 1.3
LATE_MARGIN_S = 0.2
# Start orders without a reply that a runner may have. Thousands at once delay each
# other until all run into the time-out of the call.
MAX_UNANSWERED_STARTS = 32
# Least number of these that a step may have, however many steps wait.
MIN_STEP_SHARE = 4
UNANSWERED_PHASES = (RunPhase.STARTING, RunPhase.DOUBTFUL)


class Placement:
    """Starts waiting tasks in the order of `dispatch.order`.

    Parameters
    ----------
    state : CellState
        Shared state.
    preemption : Preemption
        Frees capacity for urgent tasks.
    reservations : Reservations
        Keeps capacity free for work that smaller work would starve.

    Attributes
    ----------
    unanswered : dict of str to list of Run
        Runs whose start has no reply yet, by runner.
    deferred : bool
        Whether the last plan left tasks waiting for such replies. Gangs do not wait for
        them, since all their tasks have to start together.
    """

    def __init__(self, *, state, preemption, reservations):
        self.state = state
        self.preemption = preemption
        self.reservations = reservations
        self.unanswered = {}
        self.deferred = False

    def plan(self, now):
        """Start the waiting tasks that fit.

        Recovered jobs wait while suspect runners may hold runs of the previous
        dispatcher.
        """
        self.preemption.begin_round()
        self.reservations.begin_round(now)
        self._forget_answered()
        self.deferred = False
        self.state.capacity_exhausted = self.state.urgent_task_waiting = False
        self.state.shares.begin_round()
        for step, limit in self.state.order.floor_turns(now):
            self._plan_step(step, now, limit=limit)
        for step in self.state.order.turns(now):
            self._plan_step(step, now)

    def _plan_step(self, step, now, *, limit=None):
        """Start the waiting tasks of a step that fit, at most `limit`."""
        if waits_for_suspects(self.state, step):
            return
        if step.spec.gang:
            self._plan_gang(step, now)
        else:
            self._plan_tasks(step, now, limit=limit)

    def _forget_answered(self):
        unanswered = {}
        for runner_id, runs in self.unanswered.items():
            left = [
                run
                for run in runs
                if run.phase in UNANSWERED_PHASES and run.key in run.runner.runs
            ]
            if left:
                unanswered[runner_id] = left
        self.unanswered = unanswered

    def _may_order_start(self, step, runner) -> bool:
        """Return whether a runner may get another start order of a step now.

        Waiting steps share the orders, so that a small one does not wait until all
        tasks of a large one have started.
        """
        runs = self.unanswered.get(runner.id, ())
        if len(runs) >= MAX_UNANSWERED_STARTS:
            return False
        share = MAX_UNANSWERED_STARTS // max(len(self.state.ready), 1)
        own = sum(run.task.step is step for run in runs)
        return own < max(share, MIN_STEP_SHARE)

    def plan_copies(self, now):
        """Start copies of speculative tasks whose only run is late.

        No copy is started if the last plan left waiting tasks without capacity.
        """
        if self.state.capacity_exhausted:
            return
        steps = {
            run.task.step.key: run.task.step
            for runner in self.state.runners.values()
            for run in runner.runs.values()
            if run.task.spec.speculative
        }
        for step in steps.values():
            usual_s = step.measure_usual_duration().seconds()
            expected_s = step.spec.estimate_s if usual_s is None else usual_s
            late = [t for t in step.tasks if _needs_copy(t, expected_s, now)]
            permitted = self._permitted(step, now) if late else []
            for task in late:
                self._start_copy(task, permitted, now)

    def _start_copy(self, task, permitted, now):
        if not self.state.quotas.admits(task.step):
            return
        run = task.runs[0]
        others = [(r, ticket) for r, ticket in permitted if r is not run.runner]
        best = self._best(task, others)
        if best is None:
            return
        self.state.journal(
            "run_copied",
            job=task.id.job,
            task=task.id[1:],
            runner=run.runner.id,
            held_ms=int((now - run.started_s) * 1000),
            percent=run.percent,
            copy=best[0].id,
        )
        self._start(task, *best, task.last_run + 1, now)

    def candidates(self, step, now):
        """Return the runners that may run the step, regardless of free capacity."""
        return [r for r in self.state.runners.values() if self.admits(step, r, now)]

    def admits(self, step, runner, now) -> bool:
        """Return whether a runner may run the step, regardless of free capacity."""
        label = step.spec.required_label
        return (
            runner.entry.pool == step.job.queue.pool
            and step.job.may_run_in(runner.entry.pool)
            and runner.usable(now)
            and (not label or label in runner.entry.labels)
            and runner.health.admits_task(
                now, (run.started_s for run in runner.runs.values())
            )
        )

    def eligible(self, step, now):
        """Return the candidates that the eligibility service has allowed for the step.

        Only runners with a ticket, valid or expired, are examined, so the cost does
        not grow with the size of the fleet.
        """
        runners = map(self.state.runners.get, step.eligibility.tickets)
        return [
            r
            for r in runners
            if r is not None
            and step.eligibility.is_eligible(r)
            and self.admits(step, r, now)
        ]

    def _permitted(self, step, now):
        """Return the runners that may start the step now, each with its ticket.

        The ticket is empty if the queue needs no eligibility answers.
        """
        eligibility = step.eligibility
        if step.job.queue.advice is None:
            return [(runner, "") for runner in self.candidates(step, now)]
        if now >= eligibility.last_expiry_s:
            return []
        runners = self.eligible(step, now)
        tickets = ((r, eligibility.ticket(r, now)) for r in runners)
        return [(runner, ticket) for runner, ticket in tickets if ticket is not None]

    def _plan_tasks(self, step, now, *, limit=None):
        if self._waits_for_quota(step, now):
            return
        permitted = self._permitted(step, now)
        permitted = self.reservations.exclude_reserved(step, permitted)
        if not permitted:
            return
        for task in list(step.pending.values())[:limit]:
            if self._waits_for_quota(step, now):
                return
            best = self._best(task, permitted)
            if best is None and self._waits_for_replies(step, permitted):
                self.deferred = True
                return
            if best is None:
                self.state.capacity_exhausted = True
                self.state.urgent_task_waiting |= step.job.queue.priority == 0
                if self.preemption.is_allowed(task, now):
                    self.preemption.free_capacity(task, [r for r, _ in permitted], now)
                self._note_waiting(step, now)
                if not task.avoided:
                    return
                continue
            self._start(task, *best, task.last_run + 1, now)
            if step.pending and self.state.order.gives_way(step, now):
                return

    def _waits_for_quota(self, step, now, *, count=1):
        """Return whether the quota leaves no room for `count` tasks; record it."""
        if self.state.quotas.admits(step, count=count):
            return False
        self.state.quotas.note_wait(step, now)
        return True

    def _waits_for_replies(self, step, permitted):
        """Return whether a task of the step fits, once replies to starts arrive."""
        return any(
            not self._may_order_start(step, runner) and _fits(step, runner)
            for runner, _ in permitted
        )

    def _best(self, task, permitted):
        """Return the runner of highest score and its ticket.

        Returns None if no runner fits or may get a start order now.
        """
        best, best_score = None, None
        for runner, ticket in permitted:
            if not self._may_order_start(task.step, runner):
                continue
            if not _fits(task.step, runner):
                continue
            score = self._score(task, runner)
            if best is None or score > best_score:
                best, best_score = (runner, ticket), score
        return best

    def _score(self, task, runner):
        spec = task.spec
        score = (
            SPEED_WEIGHT * runner.health.speed
            + FREE_CPU_WEIGHT * runner.free_cpu_fraction
        )
        if spec.preferred_rack and spec.preferred_rack == runner.entry.rack:
            score += PREFERRED_RACK_WEIGHT
        if runner.id in task.avoided:
            score -= AVOIDED_PENALTY
        if spec.opportunistic or spec.target_latency_ms:
            score -= INTERFERENCE_PENALTY * _interferes(spec, runner)
        return score

    def _plan_gang(self, step, now):
        """Start all tasks of a gang under one run number, or none of them.

        With `same_rack`, a single rack is preferred to a spread over several.
        """
        if len(step.pending) < step.remaining:
            return
        if self._waits_for_quota(step, now, count=len(step.pending)):
            return
        permitted = self._permitted(step, now)
        permitted = self.reservations.exclude_reserved(step, permitted)
        if step.spec.same_rack:
            racks = {}
            for runner, ticket in permitted:
                racks.setdefault(runner.entry.rack, []).append((runner, ticket))
            groups = [*racks.values(), permitted]
        else:
            groups = [permitted]
        for group in groups:
            assignments = self._fit_gang(step, group)
            if assignments is not None:
                number = max(t.last_run for t in step.tasks) + 1
                for task, (runner, ticket) in assignments:
                    self._start(task, runner, ticket, number, now)
                return
        self._note_waiting(step, now)

    def _note_waiting(self, step, now):
        """Record a step that does not fit, so that other work cannot starve it."""
        if not self.reservations.may_reserve(step, now):
            return
        advised = step.job.queue.advice is not None
        runners = self.eligible(step, now) if advised else self.candidates(step, now)
        self.reservations.note_waiting(step, runners)

    def _fit_gang(self, step, permitted):
        """Return each waiting task with its runner and ticket, None if not all fit."""
        spec = step.spec
        assignments = []
        free = [
            (runner, ticket, free_slots(step, runner)) for runner, ticket in permitted
        ]
        free.sort(key=lambda item: (-item[0].health.speed, -item[2]))
        tasks = list(step.pending.values())
        for runner, ticket, slots in free:
            for _ in range(slots):
                if len(assignments) == len(tasks):
                    break
                assignments.append((tasks[len(assignments)], (runner, ticket)))
        return assignments if len(assignments) == spec.count else None

    def _start(self, task, runner, ticket, number, now):
        run = Run(
            task=task,
            number=number,
            runner=runner,
            phase=RunPhase.STARTING,
            started_s=now,
        )
        task.last_run = number
        self.state.add_run(run)
        self.unanswered.setdefault(runner.id, []).append(run)
        self.reservations.note_start(task.step, runner, now)
        self.state.outbox.append(StartTask(run=run, ticket=ticket))


def _fits(step, runner):
    return runner.fits(step.spec) and within_runner_limit(step, runner)


def within_runner_limit(step, runner) -> bool:
    """Return whether `max_per_runner` of the step admits another task on a runner."""
    limit = step.spec.max_per_runner
    return not limit or _count_tasks(step, runner) < limit


def _count_tasks(step, runner):
    return sum(1 for run in runner.runs.values() if run.task.step is step)


def _is_late(run, expected_s, now):
    """Return whether a copy that starts now is expected to end before the run.

    A run on a paused runner always counts as late, other runs only once they are far
    over the expected duration.
    """
    if run.phase is not RunPhase.RUNNING:
        return False
    if now < run.runner.paused_until_s:
        return True
    if now - run.started_s <= LATE_ESTIMATE_FACTOR * expected_s + LATE_MARGIN_S:
        return False
    observed_s = run.runner.last_inventory_s - run.started_s
    if observed_s <= 0 or run.percent < COMPARED_PERCENT:
        return True
    remaining_s = observed_s * (100 - run.percent) / run.percent
    return remaining_s - (now - run.runner.last_inventory_s) > expected_s


def _needs_copy(task, expected_s, now):
    entry = task.step.job
    return (
        not task.completed
        and not entry.phase.final
        and len(task.runs) == 1
        and _is_late(task.runs[0], expected_s, now)
        and len(task.failed_runs) + 1 < entry.queue.max_attempts
    )


def free_slots(step, runner) -> int:
    """Return how many more tasks of a step fit on a runner now."""
    spec, capacity = step.spec, runner.entry.capacity
    slots = step.spec.count
    if spec.cpu and not spec.opportunistic:
        slots = min(slots, (capacity.cpu - runner.cpu) // spec.cpu)
    if spec.memory_mb:
        slots = min(slots, (capacity.memory_mb - runner.memory_mb) // spec.memory_mb)
    if spec.gpus:
        slots = min(slots, (capacity.gpus - runner.gpus) // spec.gpus)
    if spec.max_per_runner:
        slots = min(slots, spec.max_per_runner - _count_tasks(step, runner))
    return max(slots, 0)


def _interferes(spec, runner):
    """Return whether a task would share a runner with tasks that it interferes with.

    Opportunistic tasks interfere with tasks that have a latency target.
    """
    if spec.opportunistic:
        return any(run.task.spec.target_latency_ms for run in runner.runs.values())
    return any(run.task.spec.opportunistic for run in runner.runs.values())
