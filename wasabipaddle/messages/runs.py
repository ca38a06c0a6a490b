"""Operations on runs."""

import enum

import attrs

__all__ = [
    "CancelRun",
    "ListRuns",
    "QueryRun",
    "RunOutcome",
    "RunPage",
    "RunState",
    "RunView",
    "StopRun",
    "SubmitRun",
    "TaskView",
    "WaitRun",
]


class RunState(enum.Enum):
    """State of a run."""

    ACCEPTED = "accepted"
    QUEUED = "queued"
    PLACING = "placing"
    RUNNING = "running"
    ENDED = "ended"


class RunOutcome(enum.Enum):
    """How a run ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    STOPPED = "stopped"
    IMPOSSIBLE = "impossible"


@attrs.frozen(kw_only=True)
class SubmitRun:
    """Submission of one run.

    Parameters
    ----------
    key : str
        Idempotency key of the caller, unique per service.
    payload : str
        Input for every task, JSON text.
    key_generated : bool
        Whether the API made the key up, so that no retry can carry it.
    """

    shard: str
    service: str
    key: str
    payload: str
    key_generated: bool = False


@attrs.frozen(kw_only=True)
class QueryRun:
    """Question for the present state of a run."""

    run: str


@attrs.frozen(kw_only=True)
class WaitRun:
    """Question that is answered when the run ends or after `wait_s`."""

    run: str
    wait_s: float


@attrs.frozen(kw_only=True)
class CancelRun:
    """End a run without a result."""

    run: str


@attrs.frozen(kw_only=True)
class StopRun:
    """End a run gracefully, with a checkpoint where the worker can.

    Parameters
    ----------
    grace_s : float
        Time that tasks have to end by themselves.
    """

    run: str
    grace_s: float = 10.0


@attrs.frozen(kw_only=True)
class ListRuns:
    """Question for the runs of a shard, in order of their id.

    Parameters
    ----------
    service : str
        Only this service; empty for all.
    after : str
        Run id after which the page starts.
    """

    shard: str
    service: str = ""
    after: str = ""
    limit: int = 100


@attrs.frozen(kw_only=True)
class TaskView:
    """One task of a run."""

    index: int
    attempt: int
    worker: str | None
    phase: str


@attrs.frozen(kw_only=True)
class RunView:
    """A run as callers and operators see it.

    Parameters
    ----------
    answers : tuple of str
        Results of the tasks in order, JSON text, once the run completed.
    reason : str
        Why the run waits or failed.
    """

    run: str
    service: str
    team: str
    state: RunState
    outcome: RunOutcome | None = None
    tasks: tuple[TaskView, ...] = ()
    answers: tuple[str, ...] = ()
    reason: str = ""
    accepted_ms: int = 0
    ended_ms: int = 0


@attrs.frozen(kw_only=True)
class RunPage:
    """Part of a listing of runs."""

    runs: tuple[RunView, ...]
    next_after: str | None = None
