"""Recovery of the live state from snapshot and journal."""

import attrs
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.journal.codec import decode_batch
from wasabipaddle.journal.live import LiveState
from wasabipaddle.journal.log import LogReader
from wasabipaddle.journal.records import LeaderStarted, SnapshotTaken

__all__ = ["Recovered", "Recovery"]

FIRST_SEQUENCE = 1


@attrs.define(kw_only=True)
class Recovered:
    """State of a shard as read from the store.

    Parameters
    ----------
    live : LiveState
        State after all batches that were read.
    next_sequence : int
        Sequence number of the next append.
    stored_sequences : list of int
        Sequence numbers of the batches in the store, in ascending order.
    leader_start_times_ms : dict of int to int
        Wall-clock times of the `LeaderStarted` records by sequence number of their
        batch, in milliseconds since the Unix epoch.
    snapshot : SnapshotTaken or None
        Latest committed snapshot.
    epoch : int
        Highest epoch of the leaders that wrote the batches.
    """

    live: LiveState = attrs.field(factory=LiveState)
    next_sequence: int = FIRST_SEQUENCE
    stored_sequences: list = attrs.field(factory=list)
    leader_start_times_ms: dict = attrs.field(factory=dict)
    snapshot: SnapshotTaken | None = None
    epoch: int = 0

    def add_batch(self, sequence, batch):
        """Register a batch that was read, without applying its records to `live`."""
        self.stored_sequences.append(sequence)
        self.next_sequence = sequence + 1
        self.epoch = max(self.epoch, batch.epoch)
        for record in batch.records:
            if isinstance(record, LeaderStarted):
                self.leader_start_times_ms[sequence] = record.at_ms
            elif isinstance(record, SnapshotTaken):
                self.snapshot = record


class Recovery:
    """Reads snapshot and journal; an earlier leader may still be writing.

    Parameters
    ----------
    store : Store
        The platform's store.
    keys : JournalKeys
        Keys of the shard.
    """

    def __init__(self, *, store, keys):
        self.store = store
        self.keys = keys
        self.reader = LogReader(store=store, keys=keys)
        self.state = Recovered()

    async def read(self):
        """Read the latest snapshot and all batches.

        Returns
        -------
        result.Result
            The `Recovered` state, an `Err` of kind `conflict` if compaction by an
            earlier leader deleted data that was being read, or the failure of the
            store.
        """
        result = await self.reader.read()
        if result.is_err():
            return result
        batches = result.unwrap()
        for sequence, batch in batches:
            self.state.add_batch(sequence, batch)
        loaded = await self._load_snapshot()
        if loaded.is_err():
            return loaded
        return self._apply(batches, loaded.unwrap())

    async def read_tail(self):
        """Read the batches appended since the last read; return the same as `read`."""
        result = await self.reader.read()
        if result.is_err():
            return result
        covered = self.state.next_sequence - 1
        for sequence, batch in result.unwrap():
            self.state.add_batch(sequence, batch)
        return self._apply(result.unwrap(), covered)

    async def has_batches_after(self, sequence):
        """Return whether a batch with a higher sequence number exists, or an `Err`."""
        reader = LogReader(store=self.store, keys=self.keys)
        reader.last_key = self.keys.batch(sequence)
        return (await reader.read()).map(bool)

    async def _load_snapshot(self):
        snapshot = self.state.snapshot
        if snapshot is None:
            return Ok(FIRST_SEQUENCE - 1)
        for index in range(snapshot.parts):
            result = await self.store.get(self.keys.part(snapshot.name, index))
            if result.is_err():
                return result
            entry = result.unwrap()
            if entry is None:
                return _conflict(
                    f"part {index} of snapshot {snapshot.name} was deleted"
                )
            for record in decode_batch(entry.value).records:
                self.state.live.apply(record)
        return Ok(snapshot.sequence)

    def _apply(self, batches, covered):
        """Apply the batches after `covered`, the last sequence number in `live`."""
        expected = covered + 1
        for sequence, batch in batches:
            if sequence <= covered:
                continue
            if sequence != expected:
                return _conflict(f"batch {expected} was deleted during recovery")
            expected += 1
            for record in batch.records:
                self.state.live.apply(record)
        return Ok(self.state)


def _conflict(detail):
    return Err(Failure(kind=ErrorKind.CONFLICT, detail=detail))
