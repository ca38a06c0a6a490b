"""Snapshots of the live state, and deletion of the batches they replace."""

import asyncio
import collections

from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.journal.codec import encode_batch, encode_record, split
from wasabipaddle.journal.log import snapshot_epoch, snapshot_name
from wasabipaddle.journal.records import SnapshotTaken

__all__ = ["Compactor"]

# Records encoded before other tasks of the event loop may run.
RECORDS_PER_YIELD = 200
FENCE_RETENTION_MS = 86_400_000
# Share of the write allowance that deletions may use.
DELETE_SHARE = 0.5
# Pause of the deletion loop while no key is queued.
IDLE_DELAY_S = 0.5
LIST_PAGE_KEYS = 2  # a listing returns whole snapshot parts, which are large

RETRYABLE_KINDS = (
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.STORE_THROTTLED,
    ErrorKind.TIMEOUT,
)


class Compactor:
    """Replaces old batches of a journal by snapshots.

    A snapshot is committed by a `SnapshotTaken` record in the journal itself, so a
    deposed leader cannot commit one, and a crash at any step leaves either the old
    batches or a committed snapshot. Batches with a `LeaderStarted` record are kept
    as fences for `FENCE_RETENTION_MS`: a deposed leader that resumes within this
    period finds that the sequence number of its next append is taken.

    Parameters
    ----------
    journal : Journal
        The journal to compact.
    """

    def __init__(self, *, journal):
        self.journal = journal
        self.snapshot_attempts = 0
        self.committed_snapshot = None
        self.leader_start_times_ms = {}
        self.stored_sequences = collections.deque()
        self.deletions = collections.deque()
        self.orphans_queued = False

    def restore(self, recovered):
        """Take over the batches and the snapshot that recovery found in the store."""
        self.committed_snapshot = recovered.snapshot
        self.leader_start_times_ms = dict(recovered.leader_start_times_ms)
        self.stored_sequences = collections.deque(recovered.stored_sequences)
        if self.committed_snapshot is not None:
            self._delete_batches_later(self.committed_snapshot.sequence)

    def add_batch(self, sequence):
        """Register a batch that this leader has appended."""
        self.stored_sequences.append(sequence)

    async def compact(self):
        """Write and commit a snapshot, then queue what it replaces for deletion.

        Returns
        -------
        result.Result
            `Ok(None)`, or the failure that stopped the snapshot; the next call starts
            a new one.
        """
        journal = self.journal
        journal.live.drop_expired(journal.clock.wall_ms())
        sequence = journal.next_sequence - 1
        records = list(journal.live.records())
        self.snapshot_attempts += 1
        name = snapshot_name(sequence, journal.epoch, self.snapshot_attempts)
        parts = await self._encode(records)
        for index, part in enumerate(parts):
            written = await self._write_part(name, index, part)
            if written.is_err():
                self._delete_parts_later(name, index + 1)
                return written
        record = SnapshotTaken(name=name, sequence=sequence, parts=len(parts))
        result = await journal.append(record)
        if result.is_err():
            return result
        replaced, self.committed_snapshot = self.committed_snapshot, record
        self._delete_batches_later(sequence)
        if replaced is not None:
            self._delete_parts_later(replaced.name, replaced.parts)
        return Ok(None)

    async def run(self):
        """Delete queued keys at `DELETE_SHARE` of the write allowance."""
        journal = self.journal
        while True:
            if not self.deletions:
                await self._delete_orphaned_parts_later()
                await asyncio.sleep(IDLE_DELAY_S)
                continue
            await asyncio.sleep(1 / (DELETE_SHARE * journal.pacer.writes_per_s))
            journal.pacer.consume()
            result = await journal.store.delete(self.deletions[0])
            if result.is_err() and result.unwrap_err().kind in RETRYABLE_KINDS:
                await asyncio.sleep(journal.backoff.MAX_PAUSE_S)
                continue
            self.deletions.popleft()

    async def _encode(self, records):
        encoded = []
        for start in range(0, len(records), RECORDS_PER_YIELD):
            chunk = records[start : start + RECORDS_PER_YIELD]
            encoded.extend(encode_record(r) for r in chunk)
            await asyncio.sleep(0)
        return list(split(encoded, self.journal.settings.max_batch_bytes))

    async def _write_part(self, name, index, part):
        journal = self.journal
        value = encode_batch(name, journal.epoch, part)
        await asyncio.sleep(journal.pacer.wait_s())
        journal.pacer.consume()
        return await journal.store.put(journal.keys.part(name, index), value)

    def _delete_batches_later(self, sequence):
        oldest_fence_ms = self.journal.clock.wall_ms() - FENCE_RETENTION_MS
        fences = []
        while self.stored_sequences and self.stored_sequences[0] <= sequence:
            old = self.stored_sequences.popleft()
            if (
                old in self.leader_start_times_ms
                and self.leader_start_times_ms[old] > oldest_fence_ms
            ):
                fences.append(old)
            else:
                self.deletions.append(self.journal.keys.batch(old))
                self.leader_start_times_ms.pop(old, None)
        self.stored_sequences.extendleft(reversed(fences))

    def _delete_parts_later(self, name, parts):
        keys = self.journal.keys
        self.deletions.extend(keys.part(name, i) for i in range(parts))

    async def _delete_orphaned_parts_later(self):
        """Queue the snapshot parts of earlier leaders for deletion.

        Has an effect only after this leader has committed a snapshot, and until one
        complete listing has succeeded. Only snapshots of lower epochs are deleted: the
        snapshot of this leader is in use, and a later leader may have written another.
        """
        journal = self.journal
        if self.orphans_queued or self.committed_snapshot is None:
            return
        if snapshot_epoch(self.committed_snapshot.name) != journal.epoch:
            return
        prefix = journal.keys.snapshots
        after = ""
        while after is not None:
            result = await journal.store.list(prefix, after=after, limit=LIST_PAGE_KEYS)
            if result.is_err():
                return
            for entry in result.unwrap().entries:
                name = entry.key.removeprefix(prefix).split("/")[0]
                if snapshot_epoch(name) < journal.epoch:
                    self.deletions.append(entry.key)
            after = result.unwrap().next_after
        self.orphans_queued = True
