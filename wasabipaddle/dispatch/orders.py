"""Orders that the scheduler asks to be sent."""

import enum

import attrs

from wasabipaddle.dispatch.model import Run, Step

__all__ = ["AdviceRequest", "PaceTask", "StartOutcome", "StartTask", "StopTask"]


class StartOutcome(enum.Enum):
    """What became of a start order without a refusal of the runner."""

    STARTED = "started"
    NOT_DELIVERED = "not_delivered"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class StartTask:
    """Start a run."""

    run: Run
    ticket: str = ""


@attrs.frozen(kw_only=True)
class StopTask:
    """Stop a run, which may be unknown to the scheduler."""

    runner: object
    task: object
    number: int


@attrs.frozen(kw_only=True)
class PaceTask:
    """Change the pace of a run."""

    run: Run
    percent: int


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Ask which runners may run a step.

    Parameters
    ----------
    step : Step
        Step to run.
    runners : tuple of RunnerState
        Runners to name.
    urgent : bool
        Whether the request goes before others.
    expected_s : float
        Time that the service needs.
    """

    step: Step
    runners: tuple
    urgent: bool
    expected_s: float
