"""Runs that stand still, are slow, or disturb those that serve."""

import statistics

from wasabipaddle.dispatch.model import COMPARED_PERCENT, COMPARED_RUNS, RunPhase
from wasabipaddle.dispatch.orders import PaceTask

__all__ = ["Watchdog"]

STALL_S = 1.6
STALL_SHARE = 0.25
STOP_RETRY_S = 0.5
SHORTEST_SLOW_S = 0.6
LEAST_SPEED = 0.1
# A runner is slow if all its runs will take this many times as long as others of
# their steps; more if there is only one run to tell by, which may be a long task.
SLOW_FACTOR = 2.2
LONE_SLOW_FACTOR = 3.5
# A run is restarted if the rest of it takes longer than this many usual durations.
RESTART_FACTOR = 1.3
# Estimates may be off by a factor of several.
ESTIMATE_FACTOR = 3.0
# Share of the usual duration after which progress tells enough.
COMPARED_SHARE = 0.5
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
            self._check_speed(runner, now)

    def _check_run(self, runner, run, now):
        if run.phase in (RunPhase.STOPPING, RunPhase.DOUBTFUL):
            if now - run.stop_sent_s > STOP_RETRY_S:
                self.state.stop_run(run, now)
            return
        if not _makes_progress(run) or runner.answered_s < run.progress_s:
            return
        still_s = runner.answered_s - run.progress_s
        if still_s > STALL_S + STALL_SHARE * run.task.spec.estimate_s:
            self._give_up(runner, run, "stalled", now)

    def _check_speed(self, runner, now):
        """Restart runs elsewhere if the runner is slow, rather than one long task."""
        slowness = {
            run: _slowness(runner, run)
            for run in runner.runs.values()
            if _makes_progress(run) and not run.preempted
        }
        known = {run: value for run, value in slowness.items() if value is not None}
        # A run that ended at the usual speed shows that those beside it are long.
        last_normal_s = runner.health.last_normal_s
        told = [value for run, value in known.items() if run.started_s >= last_normal_s]
        limit = SLOW_FACTOR if len(told) > 1 else LONE_SLOW_FACTOR
        if not told or min(told) < limit:
            return
        speed = max(1 / min(told), LEAST_SPEED)
        runner.health.speed = min(runner.health.speed, speed)
        for run, value in known.items():
            spec = run.task.spec
            # A copy, not a restart, helps a speculative task, and a task that is slow
            # on a second runner is a long one.
            if spec.gang or spec.speculative or run.task.given_up:
                continue
            if value * (1 - run.percent / 100) > RESTART_FACTOR:
                self._give_up(runner, run, "slow", now)

    def _give_up(self, runner, run, reason, now):
        run.task.given_up = True
        run.task.avoided.add(runner.id)
        quarantined = (
            runner.health.record_failure(now) if reason == "stalled" else False
        )
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


def _makes_progress(run):
    """Return whether progress is expected of a run."""
    spec = run.task.spec
    return (
        run.phase is RunPhase.RUNNING
        and run.percent < 100
        and not spec.lasting
        and not spec.opportunistic
    )


def _slowness(runner, run):
    """Return the probable over the usual duration of a run, None if unknown."""
    held_s = runner.answered_s - run.started_s
    usual_s = _usual_duration_s(run)
    if usual_s is None:
        usual_s = ESTIMATE_FACTOR * run.task.spec.estimate_s
    if held_s < max(SHORTEST_SLOW_S, COMPARED_SHARE * usual_s):
        return None
    return 100 * held_s / max(run.percent, 1) / max(usual_s, SHORTEST_SLOW_S)


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
