"""Whether a second run of a speculative task is worth what it costs."""

from wasabipaddle.dispatch.model import COMPARED_PERCENT, RunPhase

__all__ = ["copy_wins", "needs_copy"]

# A run of a speculative task may be late after LATE_ESTIMATE_FACTOR times its expected
# duration plus LATE_MARGIN_S.
LATE_ESTIMATE_FACTOR = 1.3
LATE_MARGIN_S = 0.2
# Part of the expected duration that an inventory must have observed before little
# progress counts as late. An inventory right after the start shows nothing.
OBSERVED_FRACTION = 0.5
# Age from which an inventory says nothing, longer than the wait for one.
STALE_S = 1.8
# Time from the decision until a copy works.
COPY_START_S = 0.1
# Part of the duration of a copy that it has to win, since it occupies a runner. Urgent
# work may pay more for an earlier end.
URGENT_GAIN_FRACTION = 0.1
GAIN_FRACTION = 0.5


def needs_copy(task, expected_s, now) -> bool:
    """Return whether the only run of a task is late and may have a copy.

    Parameters
    ----------
    expected_s : float
        Usual duration of the tasks of the step.
    """
    entry = task.step.job
    return (
        not task.completed
        and not entry.phase.final
        and len(task.runs) == 1
        and _is_late(task.runs[0], expected_s, now)
        and len(task.failed_runs) + 1 < entry.queue.max_attempts
    )


def copy_wins(run, runner, now) -> bool:
    """Return whether a copy on a runner ends so much earlier that it is worth it.

    Answers a load in which a few tasks have far more work than the rest of their step.
    Such a task takes as long on another runner of the same speed, so only the speeds of
    the two runners matter. A runner that slows down counts with its present speed.

    Parameters
    ----------
    runner : RunnerState
        Runner that would get the copy.
    """
    observed_s = run.runner.last_inventory_s - run.started_s
    if now < run.runner.paused_until_s or run.percent < COMPARED_PERCENT:
        return True
    work_s = 100 * observed_s / run.percent * run.runner.health.speed
    copy_s = work_s / runner.health.speed + COPY_START_S
    urgent = run.task.step.job.queue.priority == 0
    fraction = URGENT_GAIN_FRACTION if urgent else GAIN_FRACTION
    return _remaining_s(run, observed_s, now) - copy_s > fraction * copy_s


def _is_late(run, expected_s, now):
    """Return whether a copy that starts now is expected to end before the run.

    A run on a paused runner always counts as late, other runs only once they are far
    over the expected duration.
    """
    if run.phase is not RunPhase.RUNNING:
        return False
    if now < run.runner.paused_until_s:
        return True
    if now - run.started_s <= LATE_ESTIMATE_FACTOR * expected_s + LATE_MARGIN_S:
        return False
    observed_s = run.runner.last_inventory_s - run.started_s
    if run.percent < COMPARED_PERCENT:
        stale = now - run.runner.last_inventory_s > STALE_S
        return stale or observed_s >= OBSERVED_FRACTION * expected_s
    return _remaining_s(run, observed_s, now) > expected_s


def _remaining_s(run, observed_s, now):
    left_s = observed_s * (100 - run.percent) / run.percent
    return left_s - (now - run.runner.last_inventory_s)
