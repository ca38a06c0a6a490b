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
    """A leader has read the journal; later appends of earlier leaders fail.

    Parameters
    ----------
    at_ms : int
        Wall-clock time at the leader, in milliseconds since the Unix epoch.
    """

    tag: ClassVar[str] = "leader_started"
    epoch: int
    leader: str
    incarnation: int
    at_ms: int


@attrs.frozen(kw_only=True)
class RunAccepted(JournalRecord):
    """A run was accepted; holds the fields of its document that the run needs.

    Parameters
    ----------
    key : str
        Idempotency key of the caller, unique per service.
    payload : str
        Input of every task, as JSON text.
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
    """One attempt of a task was assigned to a worker."""

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
        How the attempt ended; None if its worker was lost.
    result : str
        Result of the task, as JSON text.
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
    """A run ended; its caller can query it until `keep_until_ms`."""

    tag: ClassVar[str] = "run_ended"
    run: str
    outcome: RunOutcome
    ended_ms: int
    keep_until_ms: int
    reason: str = ""


@attrs.frozen(kw_only=True)
class RunCancelled(JournalRecord):
    """The caller cancelled a run; its tasks are being terminated."""

    tag: ClassVar[str] = "run_cancelled"
    run: str
    at_ms: int


@attrs.frozen(kw_only=True)
class RunStopped(JournalRecord):
    """The caller asked for a run to stop gracefully within `grace_s` seconds."""

    tag: ClassVar[str] = "run_stopped"
    run: str
    at_ms: int
    grace_s: float


@attrs.frozen(kw_only=True)
class HandoverFinished(JournalRecord):
    """The state of every task that a leader before `epoch` placed is known."""

    tag: ClassVar[str] = "handover_finished"
    epoch: int


@attrs.frozen(kw_only=True)
class SnapshotTaken(JournalRecord):
    """The snapshot `name` replaces all batches up to `sequence`.

    Parameters
    ----------
    parts : int
        Number of store keys that hold the snapshot.
    """

    tag: ClassVar[str] = "snapshot_taken"
    name: str
    sequence: int
    parts: int
