"""Snapshots of the live state and deletion of what they replace."""

import asyncio
import collections

from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.journal.codec import encode_batch, encode_record, split
from wasabipaddle.journal.log import snapshot_epoch, snapshot_name
from wasabipaddle.journal.records import SnapshotTaken

__all__ = ["Compactor"]

RECORDS_PER_STEP = 200  # encoded without giving way to other tasks
FENCE_KEPT_MS = 86_400_000
DELETE_SHARE = 0.5  # of the write allowance
IDLE_S = 0.5
LIST_LIMIT = 2  # parts are large

UNANSWERED = (
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.STORE_THROTTLED,
    ErrorKind.TIMEOUT,
)


class Compactor:
    """Replaces old batches of a journal by snapshots.

    A snapshot takes effect by a `SnapshotTaken` record in the journal itself, so a
    deposed leader cannot commit one, and a crash at any step leaves either the old
    batches or a committed snapshot. Batches with a `LeaderStarted` record are kept as
    fences: a deposed leader that resumes later finds its next sequence taken.

    Parameters
    ----------
    journal : Journal
        The journal, for its store, keys, live state and pace.
    """

    def __init__(self, *, journal):
        self.journal = journal
        self.attempt = 0
        self.committed = None
        self.starts = {}
        self.kept = collections.deque()
        self.doomed = collections.deque()
        self.swept = False

    def adopt(self, recovered):
        """Take over what recovery found in the store."""
        self.committed = recovered.snapshot
        self.starts = dict(recovered.starts)
        self.kept = collections.deque(recovered.kept)
        if self.committed is not None:
            self._doom_batches(self.committed.sequence)

    def appended(self, sequence):
        """Take note of a batch of the own leader."""
        self.kept.append(sequence)

    async def compact(self):
        """Write a snapshot, commit it and mark what it replaces for deletion.

        Returns
        -------
        result.Result
            None, or the failure that stopped it; a later call starts afresh.
        """
        journal = self.journal
        journal.live.forget_before(journal.clock.wall_ms())
        sequence = journal.next_sequence - 1
        records = list(journal.live.records())
        self.attempt += 1
        name = snapshot_name(sequence, journal.epoch, self.attempt)
        parts = await self._encode(records)
        for index, part in enumerate(parts):
            written = await self._write_part(name, index, part)
            if written.is_err():
                self._doom_parts(name, index + 1)
                return written
        taken = SnapshotTaken(name=name, sequence=sequence, parts=len(parts))
        answer = await journal.append(taken)
        if answer.is_err():
            return answer
        replaced, self.committed = self.committed, taken
        self._doom_batches(sequence)
        if replaced is not None:
            self._doom_parts(replaced.name, replaced.parts)
        return Ok(None)

    async def run(self):
        """Delete what snapshots have replaced, at a share of the allowance."""
        journal = self.journal
        while True:
            if not self.doomed:
                await self._sweep()
                await asyncio.sleep(IDLE_S)
                continue
            await asyncio.sleep(1 / (DELETE_SHARE * journal.pacer.writes_per_s))
            journal.pacer.spend()
            answer = await journal.store.delete(self.doomed[0])
            if answer.is_err() and answer.unwrap_err().kind in UNANSWERED:
                await asyncio.sleep(journal.backoff.LONGEST_S)
                continue
            self.doomed.popleft()

    async def _encode(self, records):
        encoded = []
        for start in range(0, len(records), RECORDS_PER_STEP):
            chunk = records[start : start + RECORDS_PER_STEP]
            encoded.extend(encode_record(r) for r in chunk)
            await asyncio.sleep(0)
        return list(split(encoded, self.journal.settings.max_batch_bytes))

    async def _write_part(self, name, index, part):
        journal = self.journal
        value = encode_batch(name, journal.epoch, part)
        await asyncio.sleep(journal.pacer.wait_s())
        journal.pacer.spend()
        return await journal.store.put(journal.keys.part(name, index), value)

    def _doom_batches(self, sequence):
        oldest_fence_ms = self.journal.clock.wall_ms() - FENCE_KEPT_MS
        fences = []
        while self.kept and self.kept[0] <= sequence:
            old = self.kept.popleft()
            if old in self.starts and self.starts[old] > oldest_fence_ms:
                fences.append(old)
            else:
                self.doomed.append(self.journal.keys.batch(old))
                self.starts.pop(old, None)
        self.kept.extendleft(reversed(fences))

    def _doom_parts(self, name, parts):
        keys = self.journal.keys
        self.doomed.extend(keys.part(name, i) for i in range(parts))

    async def _sweep(self):
        """Mark snapshots that earlier leaders left behind.

        Only snapshots of lower epochs are marked: a later leader may rely on any
        other one.
        """
        journal = self.journal
        if self.swept or self.committed is None:
            return
        if snapshot_epoch(self.committed.name) != journal.epoch:
            return
        prefix = journal.keys.snapshots
        after = ""
        while after is not None:
            answer = await journal.store.list(prefix, after=after, limit=LIST_LIMIT)
            if answer.is_err():
                return
            for entry in answer.unwrap().entries:
                name = entry.key.removeprefix(prefix).split("/")[0]
                if snapshot_epoch(name) < journal.epoch:
                    self.doomed.append(entry.key)
            after = answer.unwrap().next_after
        self.swept = True
