"""Runs that stand still, are slow, or disturb those that serve."""

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.orders import PaceTask

__all__ = ["Watchdog"]

STALL_S = 1.6
STALL_SHARE = 0.25
# Progress below this share of the estimated speed makes a runner slow.
SLOW_RATE = 0.3
SLOW_LATE_PERCENT = 60
STOP_RETRY_S = 0.5
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
        held_s = now - run.started_s
        if spec.gang or spec.speculative or run.preempted:
            return  # a copy, not a restart, helps a speculative task
        if held_s < 1.0 + spec.estimate_s or run.task.given_up:
            return  # slow on a second runner means a long task
        rate = run.percent / 100 * spec.estimate_s / held_s
        if rate < SLOW_RATE and run.percent < SLOW_LATE_PERCENT:
            runner.trust.speed = min(runner.trust.speed, max(rate, 0.1))
            self._give_up(runner, run, "slow", now)

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
