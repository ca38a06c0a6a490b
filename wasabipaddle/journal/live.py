"""Live state of a shard, derived from its confirmed records."""

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

# Above the default limits of a document, which are 3 attempts and 3 preemptions. A
# document may set higher limits; the oldest endings beyond this number are dropped.
MAX_ENDINGS_PER_TASK = 16


@attrs.define(kw_only=True)
class LiveRun:
    """Records of one run.

    Parameters
    ----------
    placed : dict of int to TaskPlaced
        Placement of the latest attempt by task index.
    endings : dict of int to list of TaskEnded
        Ended attempts by task index, oldest first, at most `MAX_ENDINGS_PER_TASK`
        of each task.
    """

    accepted: RunAccepted
    placed: dict = attrs.field(factory=dict)
    endings: dict = attrs.field(factory=dict)
    cancelled: RunCancelled | None = None
    stopped: RunStopped | None = None
    ended: RunEnded | None = None

    def records(self):
        """Yield the records from which this run can be rebuilt."""
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
    """Runs of a shard whose retention period has not expired.

    Attributes
    ----------
    runs : dict of str to LiveRun
        Runs by id, in order of acceptance.
    leader_started : LeaderStarted or None
        Record of the latest leader's start.
    handover_epoch : int
        Highest epoch for which `HandoverFinished` was recorded, 0 if none was.
    """

    def __init__(self):
        self.runs = {}
        self.leader_started = None
        self.handover_epoch = 0

    def apply(self, record):
        """Apply one confirmed record; records of unknown runs are ignored."""
        match record:
            case RunAccepted():
                self.runs.setdefault(record.run, LiveRun(accepted=record))
            case LeaderStarted():
                self.leader_started = record
            case HandoverFinished():
                self.handover_epoch = max(self.handover_epoch, record.epoch)
            case _:
                run = self.runs.get(getattr(record, "run", None))
                if run is not None:
                    _apply_to_run(run, record)

    def drop_expired(self, now_ms):
        """Drop ended runs whose retention period is over at `now_ms`."""
        expired = [
            name
            for name, run in self.runs.items()
            if run.ended is not None and run.ended.keep_until_ms <= now_ms
        ]
        for name in expired:
            del self.runs[name]

    def records(self):
        """Yield the records from which this state can be rebuilt."""
        if self.leader_started is not None:
            yield self.leader_started
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
            # A cancellation that was confirmed before the end of the run decides its
            # outcome, because the caller may already have been told of it.
            cancelled_first = run.cancelled is not None
            if not cancelled_first or record.outcome is RunOutcome.CANCELLED:
                run.ended = run.ended or record


def _add_ending(endings, record):
    if any(e.attempt == record.attempt for e in endings):
        return
    endings.append(record)
    del endings[:-MAX_ENDINGS_PER_TASK]
