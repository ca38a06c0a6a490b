"""Which interruptions the disruption allowance of a step leaves room for."""

from wasabipaddle.dispatch.model import RunPhase

__all__ = ["count_missing", "is_at_work", "permits_interruption"]

# Progress of a lasting task that is at work.
FULL_PERCENT = 100
# Age from which the last inventory of a runner proves nothing about its runs; longer
# than an inventory is held back and takes.
STALE_INVENTORY_S = 3.0


def is_at_work(run, now) -> bool:
    """Return whether a run is known to be at work."""
    runner = run.runner
    return (
        run.phase is RunPhase.RUNNING
        and run.percent >= FULL_PERCENT
        and not run.missing
        and not runner.exited
        and now - runner.last_inventory_s <= STALE_INVENTORY_S
    )


def count_missing(step, now, *, interrupted=()) -> int:
    """Return the number of tasks of a step that are or would be without work.

    Parameters
    ----------
    interrupted : collection of Task
        Tasks with a run that would be ended. They count even if they have a copy on
        another runner, which may end first.
    """
    return sum(
        task in interrupted or not any(is_at_work(run, now) for run in task.runs)
        for task in step.tasks
        if not task.completed
    )


def permits_interruption(step, tasks, now) -> bool:
    """Return whether runs of some tasks of a step may be ended now.

    The other tasks without work count against the allowance of the step, whatever the
    cause. Only lasting tasks have an allowance, and none if it is negative.
    """
    spec = step.spec
    if not spec.lasting or spec.disruption_allowance < 0:
        return True
    if step.job.phase.final:
        return True
    missing = count_missing(step, now, interrupted=frozenset(tasks))
    return missing <= spec.disruption_allowance
