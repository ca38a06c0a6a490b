"""Placement of the steps of one job on a copy of the state."""

import collections
import copy
import heapq

import attrs

from wasabipaddle.dispatch.advisor import Advisor
from wasabipaddle.dispatch.claims import needed_together
from wasabipaddle.dispatch.fitting import score
from wasabipaddle.dispatch.model import Step
from wasabipaddle.dispatch.order import Rank
from wasabipaddle.dispatch.orders import AdviceRequest
from wasabipaddle.dispatch.placement import Placement
from wasabipaddle.dispatch.preemption import Preemption
from wasabipaddle.dispatch.preemption_rules import URGENT_DELAY_S
from wasabipaddle.dispatch.preview import copy_runner
from wasabipaddle.messages.placement import Candidate, Exclusion, WaitReason

__all__ = ["MAX_CANDIDATES", "MAX_STARTS", "JobPlacement", "StepView"]

# Largest numbers of tasks of a step that start, and of runners in an answer.
MAX_STARTS = 256
MAX_CANDIDATES = 12


@attrs.define(kw_only=True, eq=False)
class StepView:
    """What a step found before its first start, and what followed.

    Parameters
    ----------
    step : Step
        The step.
    rank : Rank
        Its rank.
    place, ahead : int
        Number of steps that go before it, in the cell and in its pool.
    candidates : list of Candidate
        Best runners of the pool, those that may get a task first.
    excluded : dict of str to int
        Number of excluded runners by `Exclusion`.
    drain_s : float or None
        Expected time until a task, or the gang, fits; None if that is not known.
    victims : tuple of (RunnerState, list of Run) or None
        What would be stopped for the step if it waited for room.
    starts : dict of str to int
        Number of tasks that start by runner, in the order of the starts.
    waits_for : WaitReason
        Why other tasks do not start.
    request : AdviceRequest or None
        Request to the eligibility service that would be sent.
    """

    step: Step
    rank: Rank
    place: int
    ahead: int
    candidates: list
    excluded: dict
    drain_s: float | None = None
    victims: tuple | None = None
    starts: dict = attrs.field(factory=dict)
    waits_for: WaitReason = WaitReason.NONE
    request: AdviceRequest | None = None


class JobPlacement(Placement):
    """Plans the steps of one job like `Placement`, and tells why.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the original state; its parts are copied.
    state : CellState
        Copy of the state, with the job.
    entry : JobEntry
        Job whose steps are planned.
    now : float
        Time of the decisions.

    Attributes
    ----------
    copied : dict of str to RunnerState
        Copies of the runners that have got runs.
    """

    def __init__(self, *, scheduler, state, entry, now):
        super().__init__(
            state=state,
            preemption=Preemption(state=state),
            reservations=_copy_reservations(scheduler.reservations, state),
        )
        original = scheduler.placement.unanswered
        self.unanswered = {name: list(runs) for name, runs in original.items()}
        self.now = now
        self.copied = {}
        self.advisor = _JobAdvisor(state=state, placement=self, entry=entry)
        self.advisor.naming = _copy_naming(scheduler.advisor.naming)

    def place(self, steps, *, may_start):
        """Plan one round for some steps of the job and return their `StepView`s."""
        self.reservations.begin_round(self.now)
        self._forget_answered()
        self.state.shares.begin_round()
        waiting = list(self.state.order.waiting(self.now))
        views = {step.key: self._look_at(step, waiting) for step in steps}
        deferred = set()
        if may_start:
            for step in self.state.order.turns(self.now):
                if step.key in views:
                    self._start_tasks(views[step.key], deferred)
        for request in self.advisor.plan(self.now):
            if request.step.key in views:
                views[request.step.key].request = request
        for key, view in views.items():
            if view.step.pending:
                view.waits_for = self._explain_wait(
                    view, may_start=may_start, deferred=key in deferred
                )
            if view.waits_for is WaitReason.ROOM and not view.starts:
                self._look_for_room(view)
        return list(views.values())

    def _start_tasks(self, view, deferred):
        """Start the tasks of a step that fit, as in its turn of a planning round."""
        left = MAX_STARTS - sum(view.starts.values())
        if left <= 0:
            return
        self.deferred = False
        self._plan_step(view.step, self.now, limit=left)
        if self.deferred:
            deferred.add(view.step.key)
        for order in self.state.outbox:
            name = order.run.runner.id
            view.starts[name] = view.starts.get(name, 0) + 1
        self.state.outbox.clear()

    def _start(self, task, runner, ticket, number, now):
        """Start a task on a copy of its runner."""
        if runner.id not in self.copied:
            self.copied[runner.id] = copy_runner(self.state, runner.id)
        super()._start(task, self.copied[runner.id], ticket, number, now)

    def _look_at(self, step, waiting):
        """Return the `StepView` of a step before its first start.

        Parameters
        ----------
        waiting : list of Step
            All waiting steps in their order.
        """
        place = waiting.index(step)
        pool = step.job.queue.pool
        rows = self._candidates(step)
        excluded = collections.Counter(
            row.exclusion.value for row in rows if row.exclusion is not None
        )
        return StepView(
            step=step,
            rank=self.state.order.ranks[step.key],
            place=place,
            ahead=sum(other.job.queue.pool == pool for other in waiting[:place]),
            candidates=heapq.nsmallest(
                MAX_CANDIDATES, rows, key=lambda r: (r.exclusion is not None, -r.score)
            ),
            excluded=dict(excluded),
        )

    def _candidates(self, step):
        """Return a `Candidate` for each runner of the pool of a step."""
        task = next(iter(step.pending.values()))
        return [
            Candidate(
                runner=runner.id,
                score=score(task, runner),
                speed=runner.health.speed,
                free_cpu=runner.entry.capacity.cpu - runner.cpu,
                exclusion=self._find_exclusion(step, runner),
            )
            for runner in self.state.runners.values()
            if runner.entry.pool == step.job.queue.pool
        ]

    def _find_exclusion(self, step, runner):
        """Return why a runner gets no task of a step now, None if it may."""
        exclusion = runner.find_exclusion(self.now)
        if exclusion is not None:
            return exclusion
        if not self.admits(step, runner, self.now):
            label = step.spec.required_label
            missing = label and label not in runner.entry.labels
            return Exclusion.LABEL if missing else Exclusion.QUARANTINED
        if not runner.fits_when_empty(step.spec):
            return Exclusion.TOO_SMALL
        if runner.id in self.reservations.reserved_for_others(step):
            return Exclusion.RESERVED
        if not runner.fits(step.spec):
            return Exclusion.NO_ROOM
        if not step.spec.gang and not self._may_order_start(step, runner):
            return Exclusion.AWAITS_REPLIES
        return None

    def _look_for_room(self, view):
        """Set when a step without room fits, and what would be stopped for it."""
        step = view.step
        reserved = self.reservations.reserved_for_others(step)
        runners = [r for r in self.candidates(step, self.now) if r.id not in reserved]
        chosen, drain_s = self.reservations.choose_runners(step, runners, self.now)
        view.drain_s = drain_s if chosen else None
        task = next(iter(step.pending.values()))
        preempts_s = self.now + 2 * URGENT_DELAY_S
        if step.spec.gang or step.job.queue.advice is not None:
            return
        view.victims = self.searches.preemption.choose_victims(
            task, runners, preempts_s
        )

    def _explain_wait(self, view, *, may_start, deferred):
        """Return why tasks of a step have not started."""
        step = view.step
        if not may_start:
            return WaitReason.NOT_GRANTING
        together = needed_together(step)
        if not self.state.quotas.admits(step, count=together):
            return WaitReason.QUOTA
        runners = self.candidates(step, self.now)
        if not any(runner.fits_when_empty(step.spec) for runner in runners):
            return WaitReason.NO_RUNNER
        if view.request is not None:
            return WaitReason.ADVICE
        if deferred:
            return WaitReason.REPLIES
        if sum(view.starts.values()) >= MAX_STARTS:
            return WaitReason.TRUNCATED
        return WaitReason.ROOM


class _JobAdvisor(Advisor):
    """Plans the requests for the steps of one job only.

    Parameters
    ----------
    entry : JobEntry
        The job.
    """

    def __init__(self, *, entry, **options):
        super().__init__(**options)
        self.entry = entry

    def _request(self, step, now, *, renew=False):
        """Return the request for a step of the job, None for others."""
        if step.job is not self.entry:
            return None
        return super()._request(step, now, renew=renew)


def _copy_reservations(reservations, state):
    copied = copy.copy(reservations)
    copied.state = state
    copied.by_pool = dict(reservations.by_pool)
    copied.pauses_s = dict(reservations.pauses_s)
    return copied


def _copy_naming(naming):
    copied = copy.copy(naming)
    copied.shares = dict(naming.shares)
    copied.requests = dict(naming.requests)
    copied.expected_uses = copy.deepcopy(naming.expected_uses)
    return copied
