"""Planning of requests to the eligibility service."""

import math

from wasabipaddle.dispatch.advice_line import AdviceLine
from wasabipaddle.dispatch.claims import needed_together
from wasabipaddle.dispatch.fitting import fits
from wasabipaddle.dispatch.model import COMPARED_PERCENT, RunPhase
from wasabipaddle.dispatch.naming import MAX_RUNNERS_PER_REQUEST, Naming
from wasabipaddle.dispatch.orders import AdviceRequest
from wasabipaddle.dispatch.placement import free_slots

__all__ = ["Advisor"]

# Pause after a failed request; URGENT_RETRY_S applies to steps of priority 0.
RETRY_S = 0.2
URGENT_RETRY_S = 0.03
# Number of ready non-urgent steps, in order of priority, whose tickets are renewed
# even while no runner has free capacity for them.
RENEWED_STEPS = 6


class Advisor:
    """Plans requests to the eligibility service.

    Parameters
    ----------
    state : CellState
        Shared state.
    placement : Placement
        Selects the candidate runners of a step.

    Attributes
    ----------
    naming : Naming
        Chooses which runners a request names.
    line : AdviceLine
        Chooses which steps ask while the service is busy.
    """

    def __init__(self, *, state, placement):
        self.state = state
        self.placement = placement
        self.naming = Naming()
        self.line = AdviceLine(order=state.order)

    def plan(self, now, *, slots=math.inf):
        """Return the requests to send now.

        Ready steps come first, in their order, then steps about to open. Ready
        steps that wait for the quota of their workspace need no answer yet.

        Parameters
        ----------
        slots : float
            Number of non-urgent requests that can be sent now; infinite by default.
        """
        steps, renewed = self._ready_steps(now)
        steps += self._steps_opening_soon(now)

        def make_request(step):
            reserved = bool(self.placement.reservations.reserved_for(step))
            return self._request(step, now, renew=reserved or step.key in renewed)

        urgent = [step for step in steps if step.job.queue.priority == 0]
        others = [step for step in steps if step.job.queue.priority != 0]
        requests = [make_request(step) for step in urgent]
        requests = [request for request in requests if request is not None]
        return requests + self.line.share_out(others, make_request, now, slots=slots)

    def _ready_steps(self, now):
        """Return ready steps in their order, and the keys of those that renew."""
        steps, renewed, non_urgent = [], set(), 0
        for step in self.state.order.waiting(now):
            if not self.state.quotas.admits(step, count=needed_together(step)):
                continue
            if step.job.queue.priority != 0:
                if non_urgent < RENEWED_STEPS:
                    renewed.add(step.key)
                non_urgent += 1
            if step.job.queue.advice is not None:
                steps.append(step)
        return steps, renewed

    def _request(self, step, now, *, renew=False):
        policy, eligibility = step.job.queue.advice, step.eligibility
        if eligibility.requested_s is not None:
            return None
        if now < eligibility.retry_s:
            return None
        runners = self._runners_to_ask(step, now, renew=renew)
        if not runners:
            return None
        eligibility.requested_s = now
        runners = tuple(runners)
        self.naming.begin(step, runners)
        return AdviceRequest(
            step=step,
            runners=runners,
            urgent=step.job.queue.priority == 0,
            expected_s=policy.base_s + policy.per_runner_s * len(runners),
            with_room=sum(fits(step, runner) for runner in runners),
        )

    def _runners_to_ask(self, step, now, *, renew):
        """Return the runners to name in a request, or an empty list for no request.

        These are the usable runners without a valid ticket, eligible ones and those not
        yet asked about, if the ones with a ticket do not suffice. With `renew`, tickets
        are renewed before they expire, also without free capacity: capacity that
        becomes free is usually taken again before an answer arrives, so only a step
        that already holds a ticket can use it.
        """
        waits = step.opened and not renew and step.job.queue.priority != 0
        if waits and not self.placement.may_fit(step, now):
            # Others go first when room becomes free: an answer would expire unused.
            return []
        eligible = self.placement.eligible(step, now)
        usable = self.placement.select_usable(step, eligible, now)
        valid_s = self._answered_s(step, len(eligible), now) if renew else now
        lacking = [r for r in usable if step.eligibility.ticket(r, valid_s) is None]
        needed = step.spec.count if step.spec.gang else 1
        wanted = max(needed, len(step.pending)) if renew else needed
        places = _count_places(step, usable)
        if places - _count_places(step, lacking) >= wanted:
            return []
        not_asked = self._runners_not_asked(step, now, renew=renew)
        with_room = self.placement.select_usable(step, not_asked, now)
        if lacking or with_room:
            spare = self._without_room(step, eligible, usable) if renew else []
            return self.naming.choose(step, lacking + spare, with_room)
        if not_asked and places < needed:
            return self.naming.choose(step, [], not_asked)
        return self._runners_to_renew(step, eligible, valid_s) if renew else []

    def _without_room(self, step, eligible, usable):
        """Return the eligible runners that may get room for a step."""
        names = {runner.id for runner in usable}
        unreserved = self.placement.reservations.select_unreserved(step, eligible)
        return [runner for runner in unreserved if runner.id not in names]

    def _runners_not_asked(self, step, now, *, renew):
        """Return the runners without an answer that are worth a request."""
        runners = self.placement.not_asked(step, now)
        if step.opened and not renew and step.job.queue.priority != 0:
            return self.placement.select_usable(step, runners, now)
        return self.placement.reservations.select_unreserved(step, runners)

    def _runners_to_renew(self, step, eligible, valid_s):
        """Return the runners to name while no usable runner lacks a ticket.

        Those that are kept free for the step come first. The list is empty if a ticket
        will still be valid at a time.
        """
        reservations = self.placement.reservations
        kept_ids = reservations.reserved_for(step)
        kept = [runner for runner in eligible if runner.id in kept_ids]
        awaited = kept or reservations.select_unreserved(step, eligible)
        if any(step.eligibility.ticket(r, valid_s) for r in awaited):
            return []
        return self.naming.choose(step, awaited, [])

    def _answered_s(self, step, named, now):
        """Return when a request that names a number of runners is answered."""
        policy = step.job.queue.advice
        return now + policy.base_s + policy.per_runner_s * named

    def _steps_opening_soon(self, now):
        """Yield unopened steps without tickets that are expected to open soon.

        Soon means within the response time of the largest request, and within half
        the validity of a ticket, so that the tickets do not expire unused.
        """
        for entry in self.state.unfinished.values():
            if len(entry.steps) < 2:
                continue
            if entry.queue.advice is None:
                continue
            for step in entry.steps.values():
                unopened_without_ticket = (
                    not step.opened and not step.eligibility.tickets
                )
                if unopened_without_ticket and self._opens_soon(entry, step, now):
                    yield step

    def _opens_soon(self, entry, step, now):
        policy = entry.queue.advice
        answer_s = policy.base_s + policy.per_runner_s * MAX_RUNNERS_PER_REQUEST
        limit_s = min(answer_s, policy.valid_s / 2)
        urgent = entry.queue.priority == 0
        for position in step.spec.after:
            predecessor = entry.steps[(step.occurrence, position)]
            if not predecessor.remaining:
                continue
            if not predecessor.opened or predecessor.pending:
                return False
            for task in predecessor.tasks:
                if task.completed:
                    continue
                if _remaining_s(task, now, urgent=urgent) > limit_s:
                    return False
        return True

    def record_answer(self, step, runners, advice, valid_s, now):
        """Record the answer for the named runners of a step.

        Parameters
        ----------
        advice : dict of str to str
            Text of the ticket by runner identifier; the other named runners are
            ineligible.
        valid_s : float
            Validity of the tickets in seconds; 0 stands for the validity in the policy.
        """
        policy, eligibility = step.job.queue.advice, step.eligibility
        if policy is not None and not valid_s:
            valid_s = policy.valid_s
        self.naming.end(step)
        new = [r for r in runners if not eligibility.is_eligible(r)]
        good = sum(runner.id in advice for runner in new)
        self.naming.learn(step, named=len(new), eligible=good)
        step.eligibility.record_answer(runners, advice, valid_s, now)

    def record_failure(self, step, now):
        """Schedule the retry of a request that got no answer."""
        self.naming.end(step)
        urgent = step.job.queue.priority == 0
        step.eligibility.record_failure(now, URGENT_RETRY_S if urgent else RETRY_S)


def _count_places(step, runners) -> int:
    """Return how many more tasks of a step fit on some runners now."""
    return sum(free_slots(step, runner) for runner in runners)


def _remaining_s(task, now, *, urgent) -> float:
    """Return the expected time until a task ends.

    A run that exceeds its expected duration without a report of its progress is
    expected to take as long again, except in urgent jobs: for these an answer that
    comes too early costs less than one that comes too late.
    """
    for run in task.runs:
        if run.phase is RunPhase.RUNNING:
            elapsed_s = now - run.started_s
            left_s = run.projected_s() - elapsed_s
            if left_s < 0 and run.percent < COMPARED_PERCENT and not urgent:
                return elapsed_s
            return left_s
    return task.spec.estimate_s
