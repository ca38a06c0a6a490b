"""Claims on the quota of a workspace, for work that its smaller work would starve."""

import math

import attrs

from wasabipaddle.dispatch.fitting import is_permitted, slots_when_empty
from wasabipaddle.dispatch.usage import NOTHING, Usage

__all__ = ["Claim", "QuotaClaims", "needed_together", "waiting_since_s"]

MS_PER_S = 1000
# Time that a step waits before it gets a claim, and time without a claim between two of
# a workspace, in which its other work goes on.
CLAIM_AFTER_S = 5.0
CLAIM_AGAIN_S = 5.0
# Longest time between two claims of a workspace. The time doubles after each claim that
# expires, so that claims of no use do not idle half of a quota.
LONGEST_PAUSE_S = 60.0
# Factor on the expected time until the step fits after which a claim ends, and its
# least duration.
DRAIN_MARGIN = 2.0
LEAST_CLAIM_S = 2.0
# Time that a step has to find room in the cell once its quota has room: longer than an
# answer of the eligibility service and a reservation of runners take.
PLACEMENT_S = 10.0


@attrs.define(kw_only=True)
class Claim:
    """Part of a quota that the other work of a workspace leaves to a step.

    Parameters
    ----------
    step : Step
        Step that waits.
    usage : Usage
        Needs of the tasks that have to start at the same time.
    fits_s : float
        Time at which the step is expected to fit.
    until_s : float
        Time at which the claim ends even if the step has not started.
    has_fitted : bool
        Whether the quota has had room for the step.
    """

    step: object
    usage: Usage
    fits_s: float
    until_s: float
    has_fitted: bool = False


class QuotaClaims:
    """Keeps a part of a quota for a gang or a large task that other work overtakes.

    Meant for a workspace at its quota that has much small work: each small task takes
    the room of the one that has just ended. A workspace has one claim at most, for the
    step that has waited longest, whatever its rank, since wide steps and those of late
    jobs come last in the order. Steps that need no more than an average run of the
    workspace get none: the end of a run is room enough for them, and the order decides.
    Work that is more urgent passes a claim, and so does work that is expected to end
    before the step fits. Room that lasting work holds is never counted on, and a step
    that the runners could not even hold if they were empty gets no claim.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    by_workspace : dict of str to Claim
        Current claims.
    waiting : dict of str to Step
        Step of each workspace that gets the next claim.
    pauses_s : dict
        Time until which there is no claim, by workspace, and by the key of a step whose
        claim has expired or that is not expected to fit.
    expired : dict of tuple to int
        Number of claims of a step that ended without a start, by its key. A step with
        fewer comes first, and each lets the next one last longer.
    again_s : dict of str to float
        Time from a claim to the next one, of workspaces whose last ones have expired.
    searched : set of str
        Workspaces for which a claim was looked for in this round, since that visits all
        of their runs.
    now : float
        Time of the planning round.
    """

    def __init__(self, *, state):
        self.state = state
        self.by_workspace = {}
        self.waiting = {}
        self.pauses_s = {}
        self.expired = {}
        self.again_s = {}
        self.searched = set()
        self.now = 0.0

    def begin_round(self, now):
        """End the claims of steps that wait no more, fit no more or are overdue."""
        self.now = now
        self.searched = set()
        ready = self.state.ready
        self.pauses_s = {k: t for k, t in self.pauses_s.items() if now < t}
        self.expired = {k: n for k, n in self.expired.items() if k in ready}
        self.waiting = {k: s for k, s in self.waiting.items() if s.key in ready}
        limits = self.state.quotas.limits
        self.again_s = {k: s for k, s in self.again_s.items() if k in limits}
        for name, claim in list(self.by_workspace.items()):
            if claim.step.key not in ready:
                self._end(name, "gone")
            elif not self._can_fit(claim.step):
                self._end(name, "quota")
            elif not claim.has_fitted and self._fits(claim.step):
                claim.has_fitted = True
                claim.until_s = now + PLACEMENT_S
            elif now >= claim.until_s:
                self._expire(name, claim.step)

    def _expire(self, name, step):
        """End a claim that was of no use; the next one for its step comes later."""
        expired = self.expired[step.key] = self._expired(step) + 1
        self.pauses_s[step.key] = self.now + CLAIM_AGAIN_S * (1 + expired)
        again_s = 2 * self.again_s.get(name, CLAIM_AGAIN_S)
        self.again_s[name] = min(again_s, LONGEST_PAUSE_S)
        self._end(name, "expired")

    def kept_from(self, step) -> tuple:
        """Return the usage that a step leaves to a claim, an empty tuple if none."""
        claim = self.by_workspace.get(step.job.job.workspace)
        if claim is None or claim.step is step:
            return ()
        if step.job.queue.priority < claim.step.job.queue.priority:
            return ()
        if self.now + self._longest_s(step) <= claim.fits_s:
            return ()
        return (claim.usage,)

    def note_wait(self, step):
        """Record that a step waits for the quota."""
        name = step.job.job.workspace
        if name in self.pauses_s or step.key in self.pauses_s:
            return
        other = self.waiting.get(name)
        first = (
            other is None or not other.pending or self._turn(step) < self._turn(other)
        )
        if first and self._is_large(step) and self._can_fit(step):
            self.waiting[name] = step

    def note_start(self, step, now):
        """End the claim of a step that starts, or make one if it overtakes another."""
        name = step.job.job.workspace
        claim = self.by_workspace.get(name)
        if claim is not None:
            if claim.step is step:
                self.again_s.pop(name, None)
                self._end(name, "started")
            return
        waiting = self.waiting.get(name)
        overtaken = (
            waiting is not None
            and waiting is not step
            and waiting.pending
            and step.job.queue.priority >= waiting.job.queue.priority
        )
        if overtaken and name not in self.pauses_s and name not in self.searched:
            self._claim(waiting, now)

    def _turn(self, step):
        """Return the position of a step among those that wait for one quota."""
        return (self._expired(step), waiting_since_s(step))

    def _expired(self, step):
        return self.expired.get(step.key, 0)

    def _is_large(self, step):
        """Return whether a step needs more than an average run of its workspace."""
        quotas, name = self.state.quotas, step.job.job.workspace
        held, count = quotas.in_use.get(name, NOTHING), needed_together(step)
        runs = len(quotas.runs.get(name, ()))
        return not held.is_enough_for(step.spec, count * runs)

    def _longest_s(self, step) -> float:
        """Return the expected duration of a task, infinite for one that lasts."""
        return math.inf if step.spec.lasting else self.state.durations.task_s(step)

    def _can_fit(self, step):
        """Return whether the whole quota is enough for a step."""
        limit = self.state.quotas.limits.get(step.job.job.workspace)
        count = needed_together(step)
        return limit is not None and Usage().admits(limit, step.spec, count)

    def _has_runners(self, step):
        """Return whether the runners that may run a step would hold it if empty."""
        needed = needed_together(step)
        for runner in self.state.runners.values():
            if (
                runner.stays
                and is_permitted(step, runner)
                and not step.eligibility.is_ineligible(runner)
            ):
                needed -= slots_when_empty(step, runner)
            if needed <= 0:
                return True
        return False

    def _fits(self, step):
        return self.state.quotas.admits(step, count=needed_together(step))

    def _claim(self, step, now):
        """Give a step a claim if it has waited for long and is going to fit."""
        name = step.job.job.workspace
        if now - waiting_since_s(step) < CLAIM_AFTER_S or self._fits(step):
            return
        self.searched.add(name)
        may_start = self._can_fit(step) and self._has_runners(step)
        drain_s = self._drain_s(step, now) if may_start else math.inf
        if drain_s == math.inf:
            # Another step may fit where this one does not.
            self.pauses_s[step.key] = now + CLAIM_AGAIN_S
            del self.waiting[name]
            return
        margin = DRAIN_MARGIN * (1 + self._expired(step))
        usage = Usage()
        usage.add(step.spec, needed_together(step))
        self.by_workspace[name] = Claim(
            step=step,
            usage=usage,
            fits_s=now + drain_s,
            until_s=now + max(margin * drain_s, LEAST_CLAIM_S),
        )
        self.state.journal(
            "quota_claimed",
            job=step.job.id,
            step=step.position,
            workspace=name,
            drain_ms=int(drain_s * MS_PER_S),
            waited_ms=int((now - waiting_since_s(step)) * MS_PER_S),
        )

    def _end(self, name, reason):
        step = self.by_workspace.pop(name).step
        self.waiting.pop(name, None)
        self.pauses_s[name] = self.now + self.again_s.get(name, CLAIM_AGAIN_S)
        self.state.journal(
            "quota_claim_ended",
            job=step.job.id,
            step=step.position,
            workspace=name,
            reason=reason,
        )

    def _drain_s(self, step, now) -> float:
        """Return the time until a step is expected to fit, infinite if never.

        While runs of a previous dispatcher may exist, it is not known.
        """
        quotas, name = self.state.quotas, step.job.job.workspace
        if name in quotas.unknown:
            return math.inf
        stop_s = self.state.timing.stop_s
        left_s = sorted(
            (run.time_left_s(now, stop_s=stop_s), number, run.task.spec)
            for number, run in enumerate(quotas.runs.get(name, ()))
        )
        held = Usage()
        for _, _, spec in left_s:
            held.add(spec, 1)
        limit, count = quotas.limits[name], needed_together(step)
        for seconds, _, spec in left_s:
            held.add(spec, -1)
            if seconds == math.inf or held.admits(limit, step.spec, count):
                return seconds
        return math.inf


def needed_together(step) -> int:
    """Return how many tasks of a step have to start at the same time."""
    return len(step.pending) if step.spec.gang else 1


def waiting_since_s(step) -> float:
    """Return since when the first waiting task of a step has waited."""
    return min(task.waiting_since_s for task in step.pending.values())
