"""Preemption of less urgent runs by urgent tasks."""

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.placement import within_runner_limit
from wasabipaddle.jobs import Capacity

__all__ = ["Preemption"]

URGENT_PRIORITY = 0
# Time that an urgent task waits for free capacity before it may preempt runs.
PREEMPTION_DELAY_S = 0.1
# A run with at least this progress is not preempted, since it will end soon.
PREEMPTION_LIMIT_PERCENT = 85


class Preemption:
    """Stops less urgent runs for urgent tasks that fit on no runner.

    Parameters
    ----------
    state : CellState
        Shared state.
    """

    def __init__(self, *, state):
        self.state = state
        self.claimed = {}

    def begin_round(self):
        """Clear the capacity that tasks claimed in the previous planning round."""
        self.claimed = {}

    def is_allowed(self, task, now) -> bool:
        """Return whether a task is urgent and has waited long enough to preempt."""
        urgent = task.step.job.queue.priority == URGENT_PRIORITY
        return urgent and now - task.waiting_since_s >= PREEMPTION_DELAY_S

    def free_capacity(self, task, runners, now):
        """Claim capacity on a runner, and stop runs there as far as necessary.

        The runner on which the stops cost least is chosen.
        """
        best = None
        for runner in runners:
            if not runner.fits_when_empty(task.spec):
                continue
            victims = self._victims(task, runner)
            if victims is None:
                continue
            cost = sum(_cost(run, now) for run in victims)
            if best is None or cost < best[0]:
                best = (cost, runner, victims)
        if best is None:
            return
        _, runner, victims = best
        claimed = self.claimed.get(runner.id, Capacity())
        self.claimed[runner.id] = claimed + _reservation(task.spec)
        for run in victims:
            run.excluded_from_timing = True
            self.state.journal(
                "run_preempted",
                job=run.task.id.job,
                task=run.task.id[1:],
                run=run.number,
                runner=runner.id,
                percent=run.percent,
                reason=task.id.job,
            )
            self.state.stop_run(run, now)

    def _victims(self, task, runner):
        """Return the runs to stop so that the task fits, None if that is impossible.

        The list is empty if runs that are already stopping release enough.
        """
        if not within_runner_limit(task.step, runner):
            return None
        needed = _reservation(task.spec) + self.claimed.get(runner.id, Capacity())
        free = runner.free
        for run in runner.runs.values():
            if run.phase is RunPhase.STOPPING:
                free += _reservation(run.task.spec)
        victims = []
        candidates = [r for r in runner.runs.values() if _preemptible(r, task)]
        candidates.sort(key=lambda run: (not run.task.spec.checkpoints, run.percent))
        for run in candidates:
            if _fits(needed, free):
                break
            released = _reservation(run.task.spec)
            if _relieves(needed, free, released):
                victims.append(run)
                free += released
        return victims if _fits(needed, free) else None


def _reservation(spec):
    """Return what a task of a step reserves on its runner."""
    cpu = 0 if spec.opportunistic else spec.cpu
    return Capacity(cpu=cpu, memory_mb=spec.memory_mb, gpus=spec.gpus)


def _fits(needed, free):
    return free.holds(needed.cpu, needed.memory_mb, needed.gpus)


def _relieves(needed, free, released):
    """Return whether released resources are among those that are missing."""
    missing = needed - free
    return (
        (missing.cpu > 0 and released.cpu > 0)
        or (missing.memory_mb > 0 and released.memory_mb > 0)
        or (missing.gpus > 0 and released.gpus > 0)
    )


def _preemptible(run, task):
    spec = run.task.spec
    return (
        run.phase is RunPhase.RUNNING
        and run.task.step.job.queue.priority > task.step.job.queue.priority
        and not spec.lasting
        and not spec.gang
        and run.percent < PREEMPTION_LIMIT_PERCENT
    )


def _cost(run, now):
    """Return the processor time that a stop wastes, in core milliseconds.

    A stop counts for 0.1 s, plus the time since the start if the task saves no
    checkpoints.
    """
    spec = run.task.spec
    elapsed_s = now - run.started_s
    return spec.cpu * (0.1 + (0.0 if spec.checkpoints else elapsed_s))
