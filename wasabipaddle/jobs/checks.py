"""Checks of jobs, whose fields have the right types."""

from wasabipaddle.jobs.decoding import MAX_INTEGER

__all__ = ["find_job_problem", "find_quota_problem", "find_spec_problem"]

# Largest number of tasks of a job, over all its occurrences.
MAX_TASKS = 1_000_000
# Fields of a step that must not be negative.
AMOUNTS = (
    "cpu",
    "memory_mb",
    "gpus",
    "estimate_s",
    "max_per_runner",
    "target_latency_ms",
)


def find_spec_problem(spec) -> str:
    """Return why a `JobSpec` cannot be planned, an empty string if it can."""
    if not 0 < spec.occurrences <= MAX_TASKS:
        return f"the job has {spec.occurrences} occurrences"
    tasks = sum(step.count for step in spec.steps) * spec.occurrences
    if not 0 < tasks <= MAX_TASKS:
        return f"the job has {tasks} tasks; allowed are 1 to {MAX_TASKS}"
    if not 0 <= spec.interval_ms <= MAX_INTEGER:
        return f"the interval is {spec.interval_ms} ms; allowed is 0 or more"
    if abs(spec.first_due_ms) > MAX_INTEGER:
        return "the due time is out of range"
    for position, step in enumerate(spec.steps):
        problem = _find_step_problem(step, position)
        if problem:
            return f"step {position} {problem}"
    return ""


def _find_step_problem(step, position):
    if step.count < 1:
        return "has no tasks"
    if any(not 0 <= n < position for n in step.after):
        return "depends on a step that does not precede it"
    amounts = [getattr(step, field) for field in AMOUNTS]
    if any(amount < 0 for amount in amounts):
        return "has a negative amount; allowed is 0 or more"
    if any(not _is_in_range(n) for n in (*amounts, step.disruption_allowance)):
        return "has an amount that is too large"
    return ""


def find_job_problem(job) -> str:
    """Return why a `Job` cannot be planned, an empty string if it can."""
    queue, advice = job.policy, job.policy.advice
    numbers = [job.accepted_ms, queue.priority, queue.max_attempts]
    numbers += [queue.stretch, queue.target_s]
    if advice is not None:
        numbers += [advice.base_s, advice.per_runner_s, advice.valid_s]
    if not all(map(_is_in_range, numbers)):
        return "a number of the job is out of range"
    return find_spec_problem(job.spec)


def find_quota_problem(spec, quota) -> str:
    """Return why a `JobSpec` can never run within a quota, an empty string if it can.

    A step needs room for one task, a gang for all of its tasks at the same time.

    Parameters
    ----------
    quota : Capacity
        Quota of the workspace of the job; 0 for no limit.
    """
    for position, step in enumerate(spec.steps):
        count = step.count if step.gang else 1
        for resource in ("cpu", "memory_mb", "gpus"):
            needed, most = count * getattr(step, resource), getattr(quota, resource)
            if most and needed > most:
                return (
                    f"step {position} needs {needed} of {resource} at the same time; "
                    f"the quota of the workspace is {most}"
                )
    return ""


def _is_in_range(value):
    return abs(value) <= MAX_INTEGER  # false for a value that is not a number
