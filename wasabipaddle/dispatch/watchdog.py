"""Detection of stalled and slow runs, and throttling of opportunistic tasks."""

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.orders import PaceTask

__all__ = ["Watchdog"]

# A run is stalled if its progress has not changed for STALL_S plus
# STALL_ESTIMATE_FRACTION of the estimated duration.
STALL_S = 1.6
STALL_ESTIMATE_FRACTION = 0.25
# Time after which an order to stop is sent again.
STOP_RETRY_S = 0.5
# Shortest run time, and shortest usual duration, used in the ratio of projected to
# usual duration.
MIN_OBSERVED_S = 0.6
# A runner is slow if each comparable run on it is projected to take this many times
# the usual duration in its step. A single run may just be a long task, so it needs a
# larger factor.
SLOW_FACTOR = 2.2
SINGLE_RUN_SLOW_FACTOR = 3.5
# A run is restarted if its remaining time exceeds this many usual durations.
RESTART_FACTOR = 1.3
# Estimates may be too low by a factor of several, so they are scaled by this factor
# if a step has too few other runs to compare with.
ESTIMATE_FACTOR = 3.0
# Fraction of the usual duration after which the duration is projected from progress.
MIN_OBSERVED_FRACTION = 0.5
# Ratio of tail latency to its target above which opportunistic tasks are slowed down,
# and below which they are sped up by PACE_UP_STEP_PERCENT.
PACE_DOWN_RATIO = 0.7
PACE_UP_RATIO = 0.4
PACE_UP_STEP_PERCENT = 20


class Watchdog:
    """Stops stalled and slow runs and sets the pace of opportunistic tasks.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    usual : dict of tuple to UsualDuration
        Usual durations of this round, by the key of the step.
    """

    def __init__(self, *, state):
        self.state = state
        self.usual = {}

    def check(self, now):
        """Check all runs and the speed of all runners once."""
        self.usual.clear()
        for runner in self.state.runners.values():
            for run in runner.runs.values():
                self._check_run(runner, run, now)
            self._check_speed(runner, now)

    def _check_run(self, runner, run, now):
        if run.phase in (RunPhase.STOPPING, RunPhase.DOUBTFUL):
            if now - run.stop_sent_s > STOP_RETRY_S:
                self.state.stop_run(run, now)
            return
        if not _makes_progress(run) or runner.last_inventory_s < run.progress_s:
            return
        if run.missing or not runner.lists_all_ends:
            return  # the run may have ended
        unchanged_s = runner.last_inventory_s - run.progress_s
        if unchanged_s > STALL_S + STALL_ESTIMATE_FRACTION * run.task.spec.estimate_s:
            self._give_up(runner, run, "stalled", now)

    def _check_speed(self, runner, now):
        """Stop the runs of a slow runner, so that they restart elsewhere.

        A runner is slow only if all comparable runs on it are slow.
        """
        slowness = {
            run: self._slowness(runner, run)
            for run in runner.runs.values()
            if _makes_progress(run) and not run.excluded_from_timing
        }
        known = {run: value for run, value in slowness.items() if value is not None}
        # A run that ended at the usual speed shows that the runner is not slow, so
        # runs that started before that end are long tasks.
        last_normal_s = runner.health.last_normal_s
        comparable = [
            value for run, value in known.items() if run.started_s >= last_normal_s
        ]
        limit = SLOW_FACTOR if len(comparable) > 1 else SINGLE_RUN_SLOW_FACTOR
        if not comparable or min(comparable) < limit:
            return
        usual_speed = runner.health.usual_speed
        if runner.health.normal_speed is None:
            self.state.journal(
                "runner_slowed",
                runner=runner.id,
                factor=round(min(comparable), 1),
                runs=len(comparable),
            )
        runner.health.slow_down(min(comparable), now)
        for run, value in known.items():
            spec = run.task.spec
            # Speculative tasks get a copy instead of a restart. A task that is slow on
            # a second runner as well is a long task.
            if spec.gang or spec.speculative or run.task.given_up:
                continue
            if value / usual_speed * (1 - run.percent / 100) > RESTART_FACTOR:
                self._give_up(runner, run, "slow", now)

    def _slowness(self, runner, run):
        """Return the ratio of projected to expected duration of a run.

        The expected duration is the usual one at the speed of the runner, so that a
        runner of a slow kind does not count as slowed down. None if unknown.
        """
        elapsed_s = runner.last_inventory_s - run.started_s
        step = run.task.step
        if step.key not in self.usual:
            self.usual[step.key] = step.measure_usual_duration()
        usual_s = self.usual[step.key].seconds(without=run)
        if usual_s is None:
            usual_s = ESTIMATE_FACTOR * run.task.spec.estimate_s
        least_s = MIN_OBSERVED_FRACTION * usual_s / runner.health.usual_speed
        if elapsed_s < max(MIN_OBSERVED_S, least_s):
            return None
        expected_s = max(usual_s, MIN_OBSERVED_S) / runner.health.usual_speed
        return 100 * elapsed_s / max(run.percent, 1) / expected_s

    def _give_up(self, runner, run, reason, now):
        run.task.given_up = True
        run.task.avoided.add(runner.id)
        quarantined = (
            runner.health.record_failure(now) if reason == "stalled" else False
        )
        run.excluded_from_timing = True
        if run.task.step.key in self.usual:
            self.usual[run.task.step.key].exclude(run)
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
        """Adjust the pace of opportunistic tasks to the tail latencies on a runner.

        The worst ratio of latency to target decides: above 1 the tasks are paused,
        above `PACE_DOWN_RATIO` their pace is halved, below `PACE_UP_RATIO` it is
        raised.
        """
        opportunistic = [
            run
            for run in runner.runs.values()
            if run.task.spec.opportunistic
            and not run.task.spec.lasting
            and run.phase is RunPhase.RUNNING
        ]
        if not opportunistic:
            return
        worst = max(
            (
                run.load / run.task.spec.target_latency_ms
                for run in runner.runs.values()
                if run.task.spec.target_latency_ms and run.phase is RunPhase.RUNNING
            ),
            default=0.0,
        )
        for run in opportunistic:
            percent = run.pace
            if worst > 1.0:
                percent = 0
            elif worst > PACE_DOWN_RATIO:
                percent = run.pace // 2
            elif worst < PACE_UP_RATIO:
                percent = min(run.pace + PACE_UP_STEP_PERCENT, 100)
            if percent != run.pace:
                self.state.outbox.append(PaceTask(run=run, percent=percent))


def _makes_progress(run):
    """Return whether the progress of a run is expected to rise."""
    spec = run.task.spec
    return (
        run.phase is RunPhase.RUNNING
        and run.percent < 100
        and not spec.lasting
        and not spec.opportunistic
    )
