"""Durable journal of a shard in the platform's key-value store."""

from wasabipaddle.journal.codec import Batch, decode_batch, encode_batch
from wasabipaddle.journal.journal import Journal
from wasabipaddle.journal.live import LiveRun, LiveState
from wasabipaddle.journal.records import (
    HandoverFinished,
    JournalRecord,
    LeaderStarted,
    RunAccepted,
    RunCancelled,
    RunEnded,
    RunStopped,
    SnapshotTaken,
    TaskEnded,
    TaskPlaced,
)

__all__ = [
    "Batch",
    "HandoverFinished",
    "Journal",
    "JournalRecord",
    "LeaderStarted",
    "LiveRun",
    "LiveState",
    "RunAccepted",
    "RunCancelled",
    "RunEnded",
    "RunStopped",
    "SnapshotTaken",
    "TaskEnded",
    "TaskPlaced",
    "decode_batch",
    "encode_batch",
]
