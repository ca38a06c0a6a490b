"""Live state of a shard as the confirmed records give it."""

import attrs

from wasabipaddle.journal.records import (
    HandoverFinished,
    LeaderStarted,
    RunAccepted,
    RunCancelled,
    RunEnded,
    RunStopped,
    TaskEnded,
    TaskPlaced,
)
from wasabipaddle.messages import RunOutcome

__all__ = ["LiveRun", "LiveState"]

MAX_ENDINGS_PER_TASK = 16  # per task, more than attempts and preemptions of one allow


@attrs.define(kw_only=True)
class LiveRun:
    """Records of one run.

    Parameters
    ----------
    placed : dict of int to TaskPlaced
        Latest placement by task index.
    endings : dict of int to list of TaskEnded
        Endings by task index, oldest first.
    """

    accepted: RunAccepted
    placed: dict = attrs.field(factory=dict)
    endings: dict = attrs.field(factory=dict)
    cancelled: RunCancelled | None = None
    stopped: RunStopped | None = None
    ended: RunEnded | None = None

    def records(self):
        """Yield the records that rebuild this run."""
        yield self.accepted
        for index, placed in self.placed.items():
            yield from self.endings.get(index, ())
            yield placed
        for index, endings in self.endings.items():
            if index not in self.placed:
                yield from endings
        if self.cancelled is not None:
            yield self.cancelled
        if self.stopped is not None:
            yield self.stopped
        if self.ended is not None:
            yield self.ended


class LiveState:
    """Runs of a shard that have not been forgotten.

    Attributes
    ----------
    runs : dict of str to LiveRun
        Runs by id, in order of acceptance.
    started : LeaderStarted or None
        Start of the latest leader.
    settled_epoch : int
        Latest epoch for which `HandoverFinished` was recorded.
    """

    def __init__(self):
        self.runs = {}
        self.started = None
        self.handover_epoch = 0

    def apply(self, record):
        """Take over one confirmed record; records of unknown runs are ignored."""
        match record:
            case RunAccepted():
                self.runs.setdefault(record.run, LiveRun(accepted=record))
            case LeaderStarted():
                self.started = record
            case HandoverFinished():
                self.handover_epoch = max(self.handover_epoch, record.epoch)
            case _:
                run = self.runs.get(getattr(record, "run", None))
                if run is not None:
                    _apply_to_run(run, record)

    def drop_expired(self, now_ms):
        """Drop ended runs whose answer is no longer kept."""
        expired = [
            name
            for name, run in self.runs.items()
            if run.ended is not None and run.ended.keep_until_ms <= now_ms
        ]
        for name in expired:
            del self.runs[name]

    def records(self):
        """Yield the records that rebuild this state."""
        if self.started is not None:
            yield self.started
        if self.handover_epoch:
            yield HandoverFinished(epoch=self.handover_epoch)
        for run in self.runs.values():
            yield from run.records()


def _apply_to_run(run, record):
    match record:
        case TaskPlaced():
            placed = run.placed.get(record.index)
            if placed is None or record.attempt >= placed.attempt:
                run.placed[record.index] = record
        case TaskEnded():
            _add_ending(run.endings.setdefault(record.index, []), record)
        case RunCancelled():
            if run.ended is None:
                run.cancelled = run.cancelled or record
        case RunStopped():
            run.stopped = run.stopped or record
        case RunEnded():
            # A cancellation that was confirmed first decides the outcome: its caller
            # may have been told already.
            cancelled_first = run.cancelled is not None
            if not cancelled_first or record.outcome is RunOutcome.CANCELLED:
                run.ended = run.ended or record


def _add_ending(endings, record):
    if any(e.attempt == record.attempt for e in endings):
        return
    endings.append(record)
    del endings[:-MAX_ENDINGS_PER_TASK]
