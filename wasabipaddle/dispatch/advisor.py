"""Which steps to ask the eligibility service about, and when."""

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.orders import AdviceRequest
from wasabipaddle.dispatch.placement import rank, room_in_step, slots_on

__all__ = ["Advisor"]

# Runners named in one request.
MAX_NAMED = 30
RETRY_S = 0.2
URGENT_RETRY_S = 0.03
# Steps that are not urgent whose tickets are renewed whether or not there is room.
KEPT_STEPS = 6


class Advisor:
    """Plans requests to the eligibility service.

    Parameters
    ----------
    state : CellState
        Shared state.
    placement : Placement
        Knows the candidates of a step.
    """

    def __init__(self, *, state, placement):
        self.state = state
        self.placement = placement

    def plan(self, now):
        """Return the requests to make now, the most urgent first."""
        wanted = []
        first = 0
        for step in sorted(self.state.ready.values(), key=rank):
            urgent = step.job.queue.priority == 0
            keep = not urgent and first < KEPT_STEPS
            first += not urgent
            wanted.append(self._request(step, now, keep=keep))
        for step in self._soon_ready(now):
            wanted.append(self._request(step, now))
        return [request for request in wanted if request is not None]

    def _request(self, step, now, *, keep=False):
        policy, eligibility = step.job.queue.advice, step.eligibility
        if policy is None or eligibility.asked_s is not None:
            return None
        if now < eligibility.retry_s:
            return None
        runners = self._to_name(step, now, keep=keep)
        if not runners:
            return None
        eligibility.asked_s = now
        return AdviceRequest(
            step=step,
            runners=tuple(runners),
            urgent=step.job.queue.priority == 0,
            expected_s=policy.base_s + policy.per_runner_s * len(runners),
        )

    def _to_name(self, step, now, *, keep):
        """Return the runners to name: known good ones with room, else unknown ones.

        With `keep`, tickets are renewed before they expire, so that the step can use
        room as soon as there is some; an answer takes longer than room lasts.
        """
        eligibility = step.eligibility
        good = self.placement.eligible(step, now)
        usable = [r for r in good if r.fits(step.spec) and room_in_step(step, r)]
        needed = step.spec.count if step.spec.gang else 1
        enough = sum(slots_on(step, runner) for runner in usable) >= needed
        fresh = any(eligibility.ticket(r, now) is not None for r in usable)
        unknown = [] if enough else self._unknown(step, now)
        if unknown:
            unknown.sort(key=lambda r: -r.free_share)
            # Most of the cost is that of the call, so it renews tickets as well.
            return [*unknown, *good][:MAX_NAMED]
        if fresh and not keep:
            return []
        if keep and good:
            return self._to_renew(step, good, usable, now)
        return usable[:MAX_NAMED]

    def _unknown(self, step, now):
        """Return candidates that could hold a task and were not asked about."""
        eligibility = step.eligibility
        return [
            runner
            for runner in self.placement.candidates(step, now)
            if runner.could_fit(step.spec)
            and not eligibility.known_good(runner)
            and not eligibility.known_refused(runner)
        ]

    def _to_renew(self, step, good, usable, now):
        """Return the eligible runners, unless a ticket outlasts the next answer."""
        policy = step.job.queue.advice
        horizon = now + policy.base_s + policy.per_runner_s * len(good)
        if any(step.eligibility.ticket(r, horizon) for r in usable or good):
            return []
        good.sort(key=lambda r: (r not in usable, -r.free_share))
        return good[:MAX_NAMED]

    def _soon_ready(self, now):
        """Yield steps whose predecessors end while a request would be answered."""
        for entry in self.state.unfinished.values():
            if len(entry.steps) < 2:
                continue
            if entry.queue.advice is None:
                continue
            for step in entry.steps.values():
                unknown = not step.opened and not step.eligibility.tickets
                if unknown and self._opens_soon(entry, step, now):
                    yield step

    def _opens_soon(self, entry, step, now):
        policy = entry.queue.advice
        answer_s = policy.base_s + policy.per_runner_s * MAX_NAMED
        limit_s = min(answer_s, policy.valid_s / 2)
        for position in step.spec.after:
            before = entry.steps[(step.occurrence, position)]
            if not before.remaining:
                continue
            if not before.opened or before.pending:
                return False
            for task in before.tasks:
                if not task.completed and _remaining_s(task, now) > limit_s:
                    return False
        return True

    def answered(self, step, runners, advice, valid_s, now):
        """Take an answer."""
        policy = step.job.queue.advice
        if policy is not None and not valid_s:
            valid_s = policy.valid_s
        step.eligibility.answer(runners, advice, valid_s, now)

    def failed(self, step, now):
        """Note a request without an answer."""
        urgent = step.job.queue.priority == 0
        step.eligibility.failed(now, URGENT_RETRY_S if urgent else RETRY_S)


def _remaining_s(task, now):
    """Return the estimated time until a running task ends."""
    for run in task.runs:
        if run.phase is RunPhase.RUNNING:
            return run.projected_s() - (now - run.started_s)
    return task.spec.estimate_s
