"""Names of tasks in the platform's wire format."""

import re

from wasabipaddle.jobs import TaskId

__all__ = ["decode_task", "encode_task"]

TASK_NAME = re.compile(
    r"(.{1,200})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})", re.DOTALL
)


def encode_task(task) -> str:
    """Return the name of a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(name) -> TaskId:
    """Return the task that a name stands for.

    Raises
    ------
    TypeError, ValueError
        If the name is not a string, or has another form.
    """
    found = TASK_NAME.fullmatch(name)
    if found is None:
        raise ValueError("the name is not that of a task")
    job, occurrence, step, index = found.groups()
    return TaskId(job, int(occurrence), int(step), int(index))
