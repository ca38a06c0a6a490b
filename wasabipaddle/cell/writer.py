"""Writes of the progress of jobs by the dispatcher."""

import asyncio

from wasabipaddle.cell.keys import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    PROGRESS_PREFIX,
)
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import encode_progress

__all__ = ["ProgressWriter"]

# A commit of the store holds up to 32 entries: one condition on the epoch, and one
# condition and one value for each job.
JOBS_PER_COMMIT = 15
DELETES_PER_COMMIT = 30
BATCH_DELAY_S = 0.015
# Delay of a batch without a final state; no caller waits for such progress.
NON_FINAL_BATCH_DELAY_S = 0.08
RETRY_S = 0.1
SWEEP_S = 5.0


class ProgressWriter:
    """Writes the progress of changed jobs to the store, one batch after the other.

    Each write is conditional on the last known revision of its key: a write without a
    response may take effect late and must not undo a newer write.

    Parameters
    ----------
    store_plugin : CellStorePlugin
        The store.
    scheduler : Scheduler
        Collects the jobs whose progress must be written.
    session : DispatchSession
        Provides the epoch, the time and the settings.
    """

    def __init__(self, *, store_plugin, scheduler, session):
        self.store_plugin = store_plugin
        self.scheduler = scheduler
        self.session = session
        self.revisions = {}

    async def run(self):
        """Write batches until cancelled."""
        state = self.scheduler.state
        waited_s = 0.0
        while True:
            await asyncio.sleep(BATCH_DELAY_S)
            waited_s += BATCH_DELAY_S
            if not state.final_dirty and waited_s < NON_FINAL_BATCH_DELAY_S:
                continue
            waited_s, state.final_dirty = 0.0, False
            jobs, generation = state.take_dirty()
            if not jobs:
                self.scheduler.reports.record_write([], generation)
                continue
            jobs.sort(key=lambda entry: not entry.phase.final)
            rows = [(e, e.phase, self.scheduler.lifecycle.progress(e)) for e in jobs]
            groups = [
                rows[i : i + JOBS_PER_COMMIT]
                for i in range(0, len(rows), JOBS_PER_COMMIT)
            ]
            results = await asyncio.gather(*(self._write(group) for group in groups))
            done = [g for g, ok in zip(groups, results, strict=True) if ok]
            written = [(entry, phase) for group in done for entry, phase, _ in group]
            if all(results):
                self.scheduler.reports.record_write(written, generation)
                self.session.wake()
                continue
            # Ended runs of this generation are not acknowledged to their runners until
            # a later batch has been written completely.
            self.scheduler.reports.record_write(written, 0)
            for entry in jobs:
                state.mark_dirty(entry)
            await asyncio.sleep(RETRY_S)

    async def _write(self, rows):
        puts, conditions = [], [(LEADER_KEY, self.session.epoch)]
        for entry, _, progress in rows:
            key = PROGRESS_PREFIX + entry.id
            puts.append(Put(key=key, value=encode_progress(progress)))
            conditions.append((key, self.revisions.get(entry.id, 0)))
        written = await self.store_plugin.call(
            self.store_plugin.store.commit(conditions=conditions, puts=puts)
        )
        if written.is_ok():
            self.scheduler.state.note_write(written.ok())
            for entry, _, _ in rows:
                self.revisions[entry.id] = written.ok()
            return True
        if written.err().kind is ErrorKind.REVISION_MISMATCH:
            await self._refresh(rows)
        return False

    async def _refresh(self, rows):
        """Read the revisions again after a conflict.

        An earlier write without a response may have taken effect late.
        """
        found = await asyncio.gather(
            *(
                self.store_plugin.call(
                    self.store_plugin.store.get(PROGRESS_PREFIX + entry.id)
                )
                for entry, _, _ in rows
            )
        )
        for (entry, _, _), result in zip(rows, found, strict=True):
            if result.is_ok():
                stored = result.ok()
                self.revisions[entry.id] = stored.revision if stored else 0

    async def sweep(self):
        """Remove jobs with a final state after twice their retention period."""
        state = self.scheduler.state
        keep_s = 2 * self.session.settings.bounds.keep_final_s
        while True:
            await asyncio.sleep(SWEEP_S)
            limit_ms = (self.session.now() + state.wall_offset_s - keep_s) * 1000
            old = [
                e
                for e in state.jobs.values()
                if e.durable_phase.final and 0 < e.ended_ms < limit_ms
            ][: DELETES_PER_COMMIT // 3]
            if not old:
                continue
            keys = [
                prefix + entry.id
                for entry in old
                for prefix in (JOB_PREFIX, CANCEL_PREFIX, PROGRESS_PREFIX)
            ]
            removed = await self.store_plugin.call(
                self.store_plugin.store.commit(
                    conditions=((LEADER_KEY, self.session.epoch),), deletes=keys
                )
            )
            if removed.is_ok():
                for entry in old:
                    state.jobs.pop(entry.id, None)
                    self.revisions.pop(entry.id, None)
