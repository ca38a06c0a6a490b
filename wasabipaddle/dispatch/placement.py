"""Choice of the runner for each waiting task."""

from wasabipaddle.dispatch.candidates import CandidateIndex
from wasabipaddle.dispatch.choices import FleetChoice, FullFleetChoice, TicketChoice
from wasabipaddle.dispatch.copies import copy_wins, needs_copy
from wasabipaddle.dispatch.eligibility import KnownAnswers
from wasabipaddle.dispatch.fitting import (
    fits,
    free_slots,
    is_permitted,
    within_runner_limit,
)
from wasabipaddle.dispatch.fleet import SuspectedRuns
from wasabipaddle.dispatch.model import Run, RunPhase
from wasabipaddle.dispatch.orders import StartTask
from wasabipaddle.dispatch.preemption_searches import PreemptionSearches

__all__ = ["Placement", "free_slots", "within_runner_limit"]

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
        Stops runs for tasks that fit on no runner.
    reservations : Reservations
        Keeps capacity free for work that smaller work would starve.

    Attributes
    ----------
    index : CandidateIndex
        Runners that may get work.
    unanswered : dict of str to list of Run
        Runs whose start has no reply yet, by runner.
    deferred : bool
        Whether the last plan left tasks waiting for such replies. Gangs do not wait for
        them, since all their tasks have to start together.
    """

    def __init__(self, *, state, preemption, reservations):
        self.state = state
        self.searches = PreemptionSearches(state=state, preemption=preemption)
        self.reservations = reservations
        self.index = CandidateIndex(state=state)
        self.unanswered = {}
        self.deferred = False

    def plan(self, now):
        """Start the waiting tasks that fit.

        Recovered jobs wait while suspect runners may hold runs of the previous
        dispatcher.
        """
        self.searches.begin_round()
        self.reservations.begin_round(now)
        self._forget_answered()
        self.deferred = False
        self.state.capacity_exhausted = self.state.urgent_task_waiting = False
        self.state.suspected_runs = SuspectedRuns.find(self.state)
        self.state.shares.begin_round()
        for step, limit in self.state.order.floor_turns(now):
            self._plan_step(step, now, limit=limit)
        for step in self.state.order.turns(now):
            self._plan_step(step, now)

    def _plan_step(self, step, now, *, limit=None):
        """Start the waiting tasks of a step that fit, at most `limit`."""
        if self.state.suspected_runs.may_include(step.job):
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

        No copy is started if the last plan left waiting tasks without capacity. In a
        step with too few runs to compare with, a late run may be on a slow runner.
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
            late = [t for t in step.tasks if needs_copy(t, expected_s, now)]
            permitted = self._permitted(step, now) if late else []
            for task in late:
                self._start_copy(task, permitted, now, compared=usual_s is not None)

    def _start_copy(self, task, permitted, now, *, compared):
        if not self.state.quotas.admits(task.step):
            return
        run = task.runs[0]
        others = [(r, ticket) for r, ticket in permitted if r is not run.runner]
        best = self._choose(task.step, others, now).scan(task)
        if best is None or (compared and not copy_wins(run, best[0], now)):
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
        return self.index.members(step, now)

    def admits(self, step, runner, now) -> bool:
        """Return whether a runner may run the step, regardless of free capacity."""
        return is_permitted(step, runner) and self.index.admits(runner, now)

    def eligible(self, step, now):
        """Return the candidates that the eligibility service has allowed for the step.

        Only runners with a ticket, valid or expired, are examined, so the cost does
        not grow with the size of the fleet.
        """
        return list(self._answers(step, now).eligible)

    def not_asked(self, step, now):
        """Return candidates of sufficient size for which no answer is known."""
        answers = self._answers(step, now)
        if answers.all_asked:
            return []
        not_asked = [
            runner
            for runner in self.candidates(step, now)
            if runner.fits_when_empty(step.spec)
            and not step.eligibility.is_eligible(runner)
            and not step.eligibility.is_ineligible(runner)
        ]
        answers.all_asked = not not_asked
        return not_asked

    def may_fit(self, step, now) -> bool:
        """Return whether a task of a step may fit somewhere; False is certain."""
        return self.index.may_fit(step, now)

    def select_usable(self, step, runners, now):
        """Return those of some runners on which another task of the step may start now.

        A ticket may be missing, and replies to other starts, as these arrive sooner
        than an answer of the eligibility service.
        """
        if not runners or not self.may_fit(step, now):
            return []
        fitting = [runner for runner in runners if fits(step, runner)]
        return self.reservations.select_unreserved(step, fitting)

    def _answers(self, step, now) -> KnownAnswers:
        """Return what the answers for a step say about the runners of now.

        The result is kept until a runner or an answer changes, so that a step which
        waits does not visit its runners in each round.
        """
        self.index.refresh(now)
        eligibility, queue = step.eligibility, step.job.queue
        may_run = step.job.may_run_in(queue.pool)
        key = (self.index.version, eligibility.version, queue.pool, may_run)
        if eligibility.known is None or eligibility.known.key != key:
            runners = map(self.state.runners.get, eligibility.tickets)
            eligible = [
                r
                for r in runners
                if r is not None
                and eligibility.is_eligible(r)
                and self.admits(step, r, now)
            ]
            eligibility.known = KnownAnswers(key=key, eligible=eligible)
        return eligibility.known

    def _permitted(self, step, now):
        """Return the runners that may start the step now, each with its ticket.

        The ticket is empty if the queue needs no eligibility answers.
        """
        if step.job.queue.advice is None:
            return [(runner, "") for runner in self.candidates(step, now)]
        return list(self._permitted_by_ticket(step, now))

    def _permitted_by_ticket(self, step, now):
        """Yield the runners that a valid ticket permits, each with its ticket."""
        eligibility = step.eligibility
        if now >= eligibility.last_expiry_s:
            return
        for runner in self._answers(step, now).eligible:
            ticket = eligibility.ticket(runner, now)
            if ticket is not None:
                yield runner, ticket

    def _choose(self, step, permitted, now):
        """Return the choice among the permitted runners of a step."""
        return TicketChoice(
            step=step,
            may_order_start=self._may_order_start,
            reserved=self.reservations.reserved_for_others(step),
            permitted=permitted,
            admits=lambda runner: self.index.admits(runner, now),
        )

    def _open_choice(self, step, now):
        """Return the choice of runners for the waiting tasks of a step."""
        options = {
            "step": step,
            "may_order_start": self._may_order_start,
            "reserved": self.reservations.reserved_for_others(step),
        }
        if step.job.queue.advice is None:
            return FleetChoice(index=self.index, now=now, **options)
        if not self.index.may_fit(step, now):
            return FullFleetChoice(
                find_permitted=lambda: self._permitted_by_ticket(step, now), **options
            )
        return self._choose(step, self._permitted(step, now), now)

    def _plan_tasks(self, step, now, *, limit=None):
        if self._waits_for_quota(step, now) or self._is_recorded(step, now):
            return
        choice = self._open_choice(step, now)
        if not choice:
            return
        for task in list(step.pending.values())[:limit]:
            if self._waits_for_quota(step, now):
                return
            best = choice.best(task)
            if best is None and choice.waits_for_replies():
                self.deferred = True
                return
            if best is None:
                self.state.capacity_exhausted = True
                self.state.urgent_task_waiting |= step.job.queue.priority == 0
                if self.searches.may_help(task, choice.reserved, now):
                    self.searches.search(task, choice, now)
                self._note_waiting(step, now)
                if not task.avoided:
                    return
                continue
            self._start(task, *best, task.last_run + 1, now)
            if step.pending and self.state.order.gives_way(step, now):
                return

    def _is_recorded(self, step, now) -> bool:
        """Return whether a step fits nowhere and the plan has recorded all about that.

        Nothing would follow then from the search for its runners.
        """
        state, urgent = self.state, step.job.queue.priority == 0
        if not state.capacity_exhausted or self.index.may_fit(step, now):
            return False
        if self.reservations.may_reserve(step, now):
            return False
        reserved = self.reservations.reserved_for_others(step)
        for task in step.pending.values():
            if self.searches.may_help(task, reserved, now):
                return False
            if not task.avoided:
                break
        return state.urgent_task_waiting or not urgent

    def _waits_for_quota(self, step, now, *, count=1):
        """Return whether the quota leaves no room for `count` tasks; record it."""
        if self.state.quotas.admits(step, count=count):
            return False
        self.state.quotas.note_wait(step, now)
        return True

    def _plan_gang(self, step, now):
        """Start all tasks of a gang under one run number, or none of them.

        With `same_rack`, a single rack is preferred to a spread over several.
        """
        if len(step.pending) < step.remaining:
            return
        if self._waits_for_quota(step, now, count=len(step.pending)):
            return
        if not self.index.may_fit(step, now):
            self._note_waiting(step, now)
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
        self.searches.note_start()
        self.reservations.note_start(task.step, runner, now)
        self.state.outbox.append(StartTask(run=run, ticket=ticket))
