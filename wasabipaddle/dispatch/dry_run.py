"""Dry run of placement: where a job would go now, without a change of the state."""

import copy

from wasabipaddle.dispatch.forecast import find_wait_s
from wasabipaddle.dispatch.job_placement import JobPlacement
from wasabipaddle.dispatch.lifecycle import Lifecycle
from wasabipaddle.dispatch.preemption_rules import URGENT_DELAY_S
from wasabipaddle.dispatch.preview import copy_state
from wasabipaddle.messages.placement import (
    PlacementReply,
    StepPlacement,
    WaitReason,
    WorkspaceUse,
)

__all__ = ["MAX_STEPS", "DryRun"]

# Largest number of steps in an answer.
MAX_STEPS = 4


class DryRun:
    """Places one job on a copy of the state, with the classes that place all jobs.

    The other waiting steps are taken as not to fit now. That holds directly after a
    planning round, which has left them waiting.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler that a submission of the job would reach; it is not changed.
    now : float
        Time of the decisions.
    may_start : bool
        Whether the dispatcher may start tasks.
    """

    def __init__(self, *, scheduler, now, may_start=True):
        self.scheduler = scheduler
        self.now = now
        self.may_start = may_start

    def place(self, job) -> PlacementReply:
        """Return where a job would go."""
        original = self.scheduler.state
        known = original.jobs.get(job.id)
        if known is not None:
            return PlacementReply(phase=known.visible_phase)
        state = copy_state(original)
        wait_s = self._find_wait_s(job, state)
        entry = Lifecycle(state=state).add_job(job, self.now)
        placement = JobPlacement(
            scheduler=self.scheduler, state=state, entry=entry, now=self.now
        )
        waiting = [step for step in entry.steps.values() if step.pending]
        views = placement.place(waiting[:MAX_STEPS], may_start=self.may_start)
        return PlacementReply(
            objective_s=entry.objective_s,
            workspace=self._measure_workspace(job),
            steps=tuple(self._describe(view, state, wait_s) for view in views),
            later_steps=len(job.spec.steps) * job.spec.occurrences - len(views),
            configuration=original.configuration.version,
        )

    def _find_wait_s(self, job, state):
        """Return the expected wait for room and quota, None if it is not known."""
        forecaster = copy.copy(self.scheduler.forecaster)
        forecaster.state = state
        forecast = forecaster.forecast(self.now)
        if forecast is None:
            return None
        workspace = state.configuration.workspaces.get(job.workspace)
        return find_wait_s(
            job.policy,
            job.workspace,
            job.spec,
            forecast.waits,
            quota=workspace.quota.cpu if workspace is not None else 0,
        )

    def _measure_workspace(self, job):
        if not job.workspace:
            return None
        state = self.scheduler.state
        held, share = state.shares.held_and_share(job)
        return WorkspaceUse(
            name=job.workspace,
            quota_used=state.quotas.used_fraction(job.workspace),
            held=held,
            share=share,
        )

    def _describe(self, view, state, wait_s):
        step = view.step
        rank = view.rank
        start_s = self._expect_start_s(view, wait_s)
        runner, runs = view.victims or (None, ())
        left_s = state.durations.remaining_s(step)
        lasts = step.spec.lasting
        return StepPlacement(
            step=step.position,
            tasks=step.spec.count,
            place=view.place,
            ahead=view.ahead,
            level=rank.level,
            in_excess=rank.in_excess,
            share_level=rank.share_level,
            outlook=rank.outlook.name.lower(),
            starts=view.starts,
            waits_for=view.waits_for,
            asked=tuple(r.id for r in view.request.runners) if view.request else (),
            preempts_on=runner.id if runner else "",
            preempted=len(runs),
            start_s=start_s,
            end_s=None if start_s is None or lasts else start_s + left_s,
            candidates=tuple(view.candidates),
            excluded=view.excluded,
        )

    def _expect_start_s(self, view, wait_s):
        """Return the expected time until the first start, None if it is not known."""
        if view.starts:
            return 0.0
        if view.waits_for is WaitReason.ADVICE and wait_s is not None:
            return max(view.request.expected_s, wait_s)
        if view.waits_for is WaitReason.ROOM:
            if view.victims is not None:
                return URGENT_DELAY_S + self.scheduler.state.timing.stop_s
            known = view.drain_s is not None and wait_s is not None
            return max(view.drain_s, wait_s) if known else None
        if view.waits_for is WaitReason.QUOTA:
            return wait_s or None
        return None
