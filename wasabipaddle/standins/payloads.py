"""Payloads that set the behaviour of tasks and requests on the stand-ins.

A payload is a JSON object. Unknown keys are ignored. A payload that cannot be decoded
is replaced by the defaults.
"""

import attrs
import msgspec

__all__ = ["RequestPayload", "TaskPayload", "parse_payload", "task_work_name"]


@attrs.frozen(kw_only=True)
class TaskPayload:
    """Keys of the payload of a task.

    Parameters
    ----------
    work : str
        Name of the work in the ledger, followed there by `/` and the task index. If
        empty, the task id is the name.
    run_s : float or None
        Run time at full speed. If None, the task runs until it is stopped.
    cpu_milli, memory_mb : int or None
        Actual usage; if None, the declared needs.
    answer : str
        Result of the completed task.
    fail : bool
        Whether every attempt fails after its run time.
    fail_attempts : int
        Attempts up to this number fail after their run time.
    stop_s : float
        Time that the task takes to end after a stop.
    checkpointable : bool
        Whether the task can write a checkpoint.
    """

    work: str = ""
    run_s: float | None = 1.0
    cpu_milli: int | None = None
    memory_mb: int | None = None
    answer: str = "{}"
    fail: bool = False
    fail_attempts: int = 0
    stop_s: float = 0.1
    checkpointable: bool = True


@attrs.frozen(kw_only=True)
class RequestPayload:
    """Keys of the JSON body of a request.

    Parameters
    ----------
    work : str
        Name of the work in the ledger. If empty, the request id is the name.
    service_s : float
        Service time.
    answer_bytes : int
        Size of the answer.
    idempotent : bool
        Whether several executions of the request are permitted; `Verdict.doubled`
        then does not count them.
    fail : bool
        Whether the request fails after its service time.
    """

    work: str = ""
    service_s: float = 0.01
    answer_bytes: int = 64
    idempotent: bool = False
    fail: bool = False


def parse_payload(text, payload_type):
    """Return the decoded payload of a task or request, or the defaults."""
    try:
        return msgspec.json.decode(text, type=payload_type)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return payload_type()


def task_work_name(task, payload) -> str:
    """Return the name of the work of a task in the ledger."""
    if not payload.work:
        return task
    return f"{payload.work}/{task.rpartition('/')[2]}"
