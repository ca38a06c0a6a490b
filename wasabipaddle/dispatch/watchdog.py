"""Runs that stand still, are slow, or disturb those that serve."""

import statistics

from wasabipaddle.dispatch.model import COMPARED_PERCENT, COMPARED_RUNS, RunPhase
from wasabipaddle.dispatch.orders import PaceTask

__all__ = ["Watchdog"]

STALL_S = 1.6
STALL_SHARE = 0.25
# A run is slow if it will take this many times as long as others of its step, and
# if a new one would end sooner.
SLOW_FACTOR = 2.2
RESTART_FACTOR = 1.3
# Without others to compare with, progress below this share of the estimated speed
# counts as slow; estimates may be off by a factor of several.
SLOW_RATE = 0.15
SLOW_LATE_PERCENT = 60
STOP_RETRY_S = 0.5
SHORTEST_SLOW_S = 0.6
LEAST_SPEED = 0.1
# Tail latency over its target at which filling tasks are slowed down, and below
# which they may be sped up.
PACE_DOWN_SHARE = 0.7
PACE_UP_SHARE = 0.4
PACE_UP_PERCENT = 20


class Watchdog:
    """Stops runs that make no progress and sets the pace of filling tasks.

    Parameters
    ----------
    state : CellState
        Shared state.
    """

    def __init__(self, *, state):
        self.state = state

    def check(self, now):
        """Look at all runs once."""
        for runner in self.state.runners.values():
            for run in runner.runs.values():
                self._check_run(runner, run, now)

    def _check_run(self, runner, run, now):
        if run.phase in (RunPhase.STOPPING, RunPhase.DOUBTFUL):
            if now - run.stop_sent_s > STOP_RETRY_S:
                self.state.stop_run(run, now)
            return
        spec = run.task.spec
        if run.phase is not RunPhase.RUNNING or spec.lasting or spec.opportunistic:
            return
        if run.percent >= 100 or runner.answered_s < run.progress_s:
            return
        still_s = runner.answered_s - run.progress_s
        if still_s > STALL_S + STALL_SHARE * spec.estimate_s:
            self._give_up(runner, run, "stalled", now)
            return
        if spec.gang or spec.speculative or run.preempted:
            return  # a copy, not a restart, helps a speculative task
        if run.task.given_up:
            return  # slow on a second runner means a long task
        if self._is_slow(runner, run):
            self._give_up(runner, run, "slow", now)

    def _is_slow(self, runner, run):
        """Return whether a run should be restarted on another runner."""
        held_s = runner.answered_s - run.started_s
        if held_s < SHORTEST_SLOW_S:
            return False
        projected_s = 100 * held_s / max(run.percent, 1)
        usual_s = _usual_duration_s(run)
        if usual_s is not None:
            gains = projected_s - held_s > RESTART_FACTOR * usual_s
            slow = gains and projected_s > SLOW_FACTOR * usual_s
        else:
            usual_s = run.task.spec.estimate_s
            late = held_s > 1.0 + usual_s and run.percent < SLOW_LATE_PERCENT
            slow = late and usual_s < SLOW_RATE * projected_s
        if slow:
            speed = max(usual_s / projected_s, LEAST_SPEED)
            runner.trust.speed = min(runner.trust.speed, speed)
        return slow

    def _give_up(self, runner, run, reason, now):
        run.task.given_up = True
        run.task.avoided.add(runner.id)
        quarantined = runner.trust.failed(now) if reason == "stalled" else False
        run.preempted = True
        self.state.journal(
            "run_given_up",
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            runner=runner.id,
            percent=run.percent,
            held_ms=int((now - run.started_s) * 1000),
            reason=reason,
            quarantined=quarantined,
        )
        self.state.stop_run(run, now)

    def set_paces(self, runner):
        """Change the pace of filling tasks by the tails that a runner reported."""
        filling = [
            run
            for run in runner.runs.values()
            if run.task.spec.opportunistic
            and not run.task.spec.lasting
            and run.phase is RunPhase.RUNNING
        ]
        if not filling:
            return
        worst = max(
            (
                run.load / run.task.spec.target_latency_ms
                for run in runner.runs.values()
                if run.task.spec.target_latency_ms and run.phase is RunPhase.RUNNING
            ),
            default=0.0,
        )
        for run in filling:
            percent = run.pace
            if worst > 1.0:
                percent = 0
            elif worst > PACE_DOWN_SHARE:
                percent = run.pace // 2
            elif worst < PACE_UP_SHARE:
                percent = min(run.pace + PACE_UP_PERCENT, 100)
            if percent != run.pace:
                self.state.outbox.append(PaceTask(run=run, percent=percent))


def _usual_duration_s(run):
    """Return the usual duration of the tasks of a step, None if too few tell it."""
    step = run.task.step
    if len(step.durations_s) >= COMPARED_RUNS:
        return statistics.median(step.durations_s)
    others = [
        other
        for task in step.tasks
        for other in task.runs
        if other is not run
        and other.phase is RunPhase.RUNNING
        and not other.preempted
        and other.percent >= COMPARED_PERCENT
    ]
    durations_s = [other.projected_s() for other in others] + step.durations_s
    if len(durations_s) < COMPARED_RUNS:
        return None
    return statistics.median(durations_s)
