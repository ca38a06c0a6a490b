"""Messages that submit, control and query runs."""

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
    """Submits one run.

    Parameters
    ----------
    key : str
        Idempotency key of the caller, unique per service.
    payload : str
        Input for every task, JSON text.
    key_generated : bool
        Whether the API generated the key, so that no retry can contain it.
    """

    shard: str
    service: str
    key: str
    payload: str
    key_generated: bool = False


@attrs.frozen(kw_only=True)
class QueryRun:
    """Asks for the current state of a run."""

    run: str


@attrs.frozen(kw_only=True)
class WaitRun:
    """Asks for the state of a run once it has ended, or after `wait_s`."""

    run: str
    wait_s: float


@attrs.frozen(kw_only=True)
class CancelRun:
    """Cancels a run, which then has no result."""

    run: str


@attrs.frozen(kw_only=True)
class StopRun:
    """Stops a run gracefully, with a checkpoint if the worker can write one.

    Parameters
    ----------
    grace_s : float
        Time that the tasks have to end before they are killed.
    """

    run: str
    grace_s: float = 10.0


@attrs.frozen(kw_only=True)
class ListRuns:
    """Asks for the runs of a shard, in the order of their ids.

    Parameters
    ----------
    service : str
        Service whose runs are listed; empty for all services.
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
    """State of a run for callers and operators.

    Parameters
    ----------
    answers : tuple of str
        Results of the tasks in order, JSON text, once the run has completed.
    reason : str
        Why the run waits, or why it failed.
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
    """Page of a listing of runs."""

    runs: tuple[RunView, ...]
    next_after: str | None = None
