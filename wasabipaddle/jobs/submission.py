"""Checks of submitted jobs that do not apply to stored ones."""

__all__ = ["find_schedule_problem", "find_size_problem"]


def find_schedule_problem(spec) -> str:
    """Return why the times of a `JobSpec` are no schedule, an empty string if they are.

    A single occurrence needs no times, as it is then due at once. Earlier versions
    stored jobs with several occurrences and no times.
    """
    if spec.occurrences > 1 and spec.first_due_ms <= 0 and spec.interval_ms <= 0:
        return (
            f"the job has {spec.occurrences} occurrences, but neither a start time nor "
            "an interval"
        )
    return ""


def find_size_problem(spec, max_tasks) -> str:
    """Return why a `JobSpec` is too large, an empty string if it is not.

    The dispatcher keeps all tasks of a job in memory until the job is forgotten, so
    the tasks of all occurrences count.

    Parameters
    ----------
    max_tasks : int
        Largest number of tasks.
    """
    tasks = sum(step.count for step in spec.steps) * spec.occurrences
    if tasks > max_tasks:
        return f"the job has {tasks} tasks; allowed are at most {max_tasks}"
    return ""
