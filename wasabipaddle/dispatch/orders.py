"""Orders and requests that the scheduler issues."""

import enum

import attrs

from wasabipaddle.dispatch.model import Run, Step

__all__ = [
    "LATE_CALL_S",
    "AdviceRequest",
    "PaceTask",
    "StartOutcome",
    "StartTask",
    "StopTask",
]

# Longest time after which a call without an answer is expected to be carried out.
LATE_CALL_S = 15.0


class StartOutcome(enum.Enum):
    """Delivery of a start order.

    REPLIED stands for any reply of the runner, a refusal included. NOT_DELIVERED means
    that the order did not reach the runner. UNKNOWN means that no reply arrived, so the
    order may have taken effect or may still do so.
    """

    REPLIED = "started"
    NOT_DELIVERED = "not_delivered"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class StartTask:
    """Order to start a run, with an eligibility ticket where the queue needs one."""

    run: Run
    ticket: str = ""


@attrs.frozen(kw_only=True)
class StopTask:
    """Order to stop a run.

    Parameters
    ----------
    runner : RunnerState
        Runner of the run.
    task : TaskId
        Identity of the task; the scheduler may not know the task.
    number : int
        Number of the run.
    """

    runner: object
    task: object
    number: int


@attrs.frozen(kw_only=True)
class PaceTask:
    """Order to change the pace of a run, in percent of full speed."""

    run: Run
    percent: int


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Request to the eligibility service: which runners may run a step.

    Parameters
    ----------
    step : Step
        Step in question.
    runners : tuple of RunnerState
        Runners to name.
    urgent : bool
        Whether the request may use the capacity reserved for urgent requests.
    expected_s : float
        Expected response time of the service.
    with_room : int
        Number of these runners on which a task of the step fits now.
    """

    step: Step
    runners: tuple
    urgent: bool
    expected_s: float
    with_room: int = 0
