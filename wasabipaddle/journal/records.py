"""Records of the shard journal."""

from typing import ClassVar

import attrs

from wasabipaddle.documents import (
    Placement,
    Resources,
    RunPolicy,
    ServiceKind,
    Share,
    Urgency,
)
from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.messages import RunOutcome

__all__ = [
    "RECORD_TYPES",
    "HandoverFinished",
    "JournalRecord",
    "LeaderStarted",
    "RunAccepted",
    "RunCancelled",
    "RunEnded",
    "RunStopped",
    "SnapshotTaken",
    "TaskEnded",
    "TaskPlaced",
]

RECORD_TYPES = {}


class JournalRecord:
    """Base class of records. Subclasses register themselves under their `tag`."""

    tag: ClassVar[str] = ""

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        RECORD_TYPES[cls.tag] = cls


@attrs.frozen(kw_only=True)
class LeaderStarted(JournalRecord):
    """A leader has read the journal; appends of earlier epochs fail from here on.

    Parameters
    ----------
    at_ms : int
        Wall-clock time of the leader, in milliseconds.
    """

    tag: ClassVar[str] = "leader_started"
    epoch: int
    leader: str
    incarnation: int
    at_ms: int


@attrs.frozen(kw_only=True)
class RunAccepted(JournalRecord):
    """A run was accepted, with the fields of its document that it needs.

    Parameters
    ----------
    key : str
        Idempotency key of the caller, unique per service.
    payload : str
        Input for every task, JSON text.
    revision : int
        Revision of the document under which the run was accepted.
    """

    tag: ClassVar[str] = "run_accepted"
    run: str
    service: str
    team: str
    key: str
    payload: str
    accepted_ms: int
    revision: int
    kind: ServiceKind
    urgency: Urgency = Urgency.NORMAL
    needs: Resources = Resources()
    placement: Placement = Placement()
    share: Share = Share()
    policy: RunPolicy = RunPolicy()


@attrs.frozen(kw_only=True)
class TaskPlaced(JournalRecord):
    """One attempt of a task was given to a worker."""

    tag: ClassVar[str] = "task_placed"
    run: str
    index: int
    attempt: int
    worker: str
    epoch: int


@attrs.frozen(kw_only=True)
class TaskEnded(JournalRecord):
    """One attempt of a task ended.

    Parameters
    ----------
    outcome : TaskOutcome or None
        How it ended; None if the worker was lost with it.
    result : str
        Result of the task, JSON text.
    """

    tag: ClassVar[str] = "task_ended"
    run: str
    index: int
    attempt: int
    outcome: TaskOutcome | None
    result: str = ""
    checkpoint: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class RunEnded(JournalRecord):
    """A run ended; it is kept until `keep_until_ms` for its caller."""

    tag: ClassVar[str] = "run_ended"
    run: str
    outcome: RunOutcome
    ended_ms: int
    keep_until_ms: int
    reason: str = ""


@attrs.frozen(kw_only=True)
class RunCancelled(JournalRecord):
    """The caller cancelled a run; its tasks are being ended."""

    tag: ClassVar[str] = "run_cancelled"
    run: str
    at_ms: int


@attrs.frozen(kw_only=True)
class RunStopped(JournalRecord):
    """The caller asked for a graceful end of a run."""

    tag: ClassVar[str] = "run_stopped"
    run: str
    at_ms: int
    grace_s: float


@attrs.frozen(kw_only=True)
class HandoverFinished(JournalRecord):
    """No task of a leader before `epoch` is in doubt any more."""

    tag: ClassVar[str] = "handover_finished"
    epoch: int


@attrs.frozen(kw_only=True)
class SnapshotTaken(JournalRecord):
    """The snapshot `name` replaces all batches up to `sequence`.

    Parameters
    ----------
    parts : int
        Number of values of the snapshot.
    """

    tag: ClassVar[str] = "snapshot_taken"
    name: str
    sequence: int
    parts: int
