"""Evacuation of runs from draining runners."""

from wasabipaddle.dispatch.model import RunPhase

__all__ = ["Evacuation", "evacuate"]

# Time for a stop order to reach the runner and for the checkpoint to be reported.
STOP_MARGIN_S = 0.5


class Evacuation:
    """Stops runs that would not end before their runner exits.

    Their tasks then continue on other runners. Without the stop, the loss of a run at
    the exit of its runner would be noticed only when the lease expires, and the work
    since its last checkpoint would be lost.

    Parameters
    ----------
    state : CellState
        Shared state.
    """

    def __init__(self, *, state):
        self.state = state

    def check(self, now):
        """Stop the runs on draining runners that are due for evacuation."""
        for runner in self.state.runners.values():
            if not runner.entry.draining:
                continue
            for run in runner.runs.values():
                if run.phase is RunPhase.RUNNING and self._is_due(runner, run, now):
                    evacuate(self.state, run, now, leaves_at_s=runner.leaves_at_s)

    def _is_due(self, runner, run, now):
        """Return whether a run should be stopped now.

        Runs of lasting tasks are stopped at once, and other runs only if they would
        not end in time. Runs with checkpoints continue until just before the exit of
        the runner. Members of a gang are never evacuated.
        """
        spec = run.task.spec
        if spec.gang or run.task.completed:
            return False
        if spec.lasting:
            return True
        left_s = runner.leaves_at_s - now
        if run.projected_left_s(now) <= left_s:
            return False
        if not spec.checkpoints:
            return True
        return left_s <= self.state.timing.stop_s + STOP_MARGIN_S


def evacuate(state, run, now, *, leaves_at_s):
    """Stop a run, so that its task continues on another runner.

    Parameters
    ----------
    leaves_at_s : float
        Time at which the runner leaves.
    """
    run.excluded_from_timing = True
    state.journal(
        "run_evacuated",
        job=run.task.id.job,
        task=run.task.id[1:],
        run=run.number,
        runner=run.runner.id,
        percent=run.percent,
        leaves_in_ms=int((leaves_at_s - now) * 1000),
    )
    state.stop_run(run, now)
