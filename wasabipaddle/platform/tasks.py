"""Names of tasks in the platform's wire format."""

from wasabipaddle.jobs import TaskId

__all__ = ["decode_task", "encode_task"]


def encode_task(task) -> str:
    """Return the name of a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(name) -> TaskId:
    """Return the task that a name stands for.

    Raises
    ------
    ValueError
        If the name has another form.
    """
    job, occurrence, step, index = name.rsplit(".", 3)
    return TaskId(job, int(occurrence), int(step), int(index))
