"""Planning of requests to the eligibility service."""

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.orders import AdviceRequest
from wasabipaddle.dispatch.placement import free_slots, within_runner_limit

__all__ = ["Advisor"]

# Largest number of runners named in one request.
MAX_RUNNERS_PER_REQUEST = 30
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
    """

    def __init__(self, *, state, placement):
        self.state = state
        self.placement = placement

    def plan(self, now):
        """Return the requests to send now.

        Ready steps come first, in order of priority, then steps about to open. Ready
        steps that wait for the quota of their workspace need no answer yet.
        """
        wanted = []
        non_urgent = 0
        shares = self.state.shares
        for step in sorted(
            self.state.ready.values(), key=lambda s: shares.sort_key(s, now)
        ):
            urgent = step.job.queue.priority == 0
            if not self.state.quotas.admits(step, count=_least_start(step)):
                continue
            renew = not urgent and non_urgent < RENEWED_STEPS
            non_urgent += not urgent
            wanted.append(self._request(step, now, renew=renew))
        for step in self._steps_opening_soon(now):
            wanted.append(self._request(step, now))
        return [request for request in wanted if request is not None]

    def _request(self, step, now, *, renew=False):
        policy, eligibility = step.job.queue.advice, step.eligibility
        if policy is None or eligibility.requested_s is not None:
            return None
        if now < eligibility.retry_s:
            return None
        runners = self._runners_to_ask(step, now, renew=renew)
        if not runners:
            return None
        eligibility.requested_s = now
        return AdviceRequest(
            step=step,
            runners=tuple(runners),
            urgent=step.job.queue.priority == 0,
            expected_s=policy.base_s + policy.per_runner_s * len(runners),
        )

    def _runners_to_ask(self, step, now, *, renew):
        """Return the runners to name in a request, or an empty list for no request.

        These are eligible runners with free capacity, or runners not yet asked about
        if the eligible ones do not suffice. With `renew`, tickets are renewed before
        they expire even without free capacity: capacity that becomes free is usually
        taken again before an answer arrives, so only a step that already holds a
        ticket can use it.
        """
        eligibility = step.eligibility
        eligible = self.placement.eligible(step, now)
        usable = [
            r for r in eligible if r.fits(step.spec) and within_runner_limit(step, r)
        ]
        needed = step.spec.count if step.spec.gang else 1
        enough = sum(free_slots(step, runner) for runner in usable) >= needed
        has_valid_ticket = any(eligibility.ticket(r, now) is not None for r in usable)
        not_asked = [] if enough else self._runners_not_asked(step, now)
        if not_asked:
            not_asked.sort(key=lambda r: -r.free_cpu_fraction)
            # Most of the cost of a request is fixed, so it also renews known tickets.
            return [*not_asked, *eligible][:MAX_RUNNERS_PER_REQUEST]
        if has_valid_ticket and not renew:
            return []
        if renew and eligible:
            return self._runners_to_renew(step, eligible, usable, now)
        return usable[:MAX_RUNNERS_PER_REQUEST]

    def _runners_not_asked(self, step, now):
        """Return candidates of sufficient size for which no answer is known."""
        eligibility = step.eligibility
        return [
            runner
            for runner in self.placement.candidates(step, now)
            if runner.fits_when_empty(step.spec)
            and not eligibility.is_eligible(runner)
            and not eligibility.is_ineligible(runner)
        ]

    def _runners_to_renew(self, step, eligible, usable, now):
        """Return the runners to name in a request that renews tickets.

        The list is empty if a ticket will still be valid when the answer is expected.
        """
        policy = step.job.queue.advice
        horizon = now + policy.base_s + policy.per_runner_s * len(eligible)
        if any(step.eligibility.ticket(r, horizon) for r in usable or eligible):
            return []
        eligible.sort(key=lambda r: (r not in usable, -r.free_cpu_fraction))
        return eligible[:MAX_RUNNERS_PER_REQUEST]

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
        for position in step.spec.after:
            predecessor = entry.steps[(step.occurrence, position)]
            if not predecessor.remaining:
                continue
            if not predecessor.opened or predecessor.pending:
                return False
            for task in predecessor.tasks:
                if not task.completed and _remaining_s(task, now) > limit_s:
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
        policy = step.job.queue.advice
        if policy is not None and not valid_s:
            valid_s = policy.valid_s
        step.eligibility.record_answer(runners, advice, valid_s, now)

    def record_failure(self, step, now):
        """Schedule the retry of a request that got no answer."""
        urgent = step.job.queue.priority == 0
        step.eligibility.record_failure(now, URGENT_RETRY_S if urgent else RETRY_S)


def _least_start(step):
    """Return how many tasks of a step have to start at the same time."""
    return len(step.pending) if step.spec.gang else 1


def _remaining_s(task, now):
    """Return the estimated time until a task ends."""
    for run in task.runs:
        if run.phase is RunPhase.RUNNING:
            return run.projected_s() - (now - run.started_s)
    return task.spec.estimate_s
