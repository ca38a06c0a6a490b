"""Stored record of the runners that may run tasks."""

import asyncio
import math

from wasabipaddle.cell.keys import FLEET_KEY, LEADER_KEY
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import RecordedRunner, decode_fleet, encode_fleet
from wasabipaddle.jobs.decoding import DECODING_ERRORS

__all__ = ["FleetRecord"]

# Pause before a write, so that one write covers several changes.
WRITE_DELAY_S = 0.015
# Longest time between two comparisons of the record with the fleet.
CHECK_S = 0.5
# Time after a takeover from which waits for suspect runners are recorded. Runners that
# answer at once are not suspect any more by then.
SETTLE_S = 0.4
RETRY_S = 0.1


class FleetRecord:
    """Stored list of the runners that may run tasks.

    After a takeover, tasks of recovered jobs may still run on these runners. Before the
    new dispatcher starts such a task, it waits until each of the runners has sent its
    inventory or the leases there have expired. A runner therefore gets work only once
    it is in the record, without a wait.

    Parameters
    ----------
    store_plugin : CellStorePlugin
        The store.
    scheduler : Scheduler
        Holds the runners.
    session : DispatchSession
        Provides the epoch and the time.

    Attributes
    ----------
    revision : int
        Revision of the stored record, 0 if there is none.
    recorded : set or None
        Summaries of the stored rows, with waits in full seconds; None if the stored
        record is not known.
    unstorable : set of str
        Identifiers of the runners that the stored record names only in part, because
        their rows could not be read back; they get no work.
    places : dict of str to tuple of (str, str)
        Address and pool of each runner in the last record that is known to be stored.
    changed : asyncio.Event
        Set to have the record compared with the fleet soon.
    """

    def __init__(self, *, store_plugin, scheduler, session):
        self.store_plugin = store_plugin
        self.scheduler = scheduler
        self.session = session
        self.revision = 0
        self.recorded = set()
        self.places = {}
        self.unstorable = set()
        self.report_unreadable = store_plugin.unreadable.reporter("fleet", FLEET_KEY)
        self.changed = asyncio.Event()

    async def load(self):
        """Return the stored `RecordedRunner` list, with retries until there is one.

        A row without an address stands for runners that cannot be called.
        """
        while True:
            found = await self.store_plugin.call(self.store_plugin.store.get(FLEET_KEY))
            if found.is_ok():
                break
            await asyncio.sleep(RETRY_S)
        entry = found.ok()
        if entry is None:
            return []
        self.revision = entry.revision
        runners = decode_fleet(entry.value, report=self.report_unreadable)
        self.recorded = _summarize(runners)
        self.places = {row.id: _place(row) for row in runners}
        return runners

    async def run(self):
        """Keep the record in line with the fleet until cancelled."""
        settled_s = self.session.now() + SETTLE_S
        while True:
            try:
                async with asyncio.timeout(CHECK_S):
                    await self.changed.wait()
                await asyncio.sleep(WRITE_DELAY_S)
            except TimeoutError:
                pass
            self.changed.clear()
            now = self.session.now()
            rows = self._rows_to_record(now, with_waits=now >= settled_s)
            self._exclude_unrecorded(rows)
            if self._is_stored(rows) or await self._write(rows):
                self._admit(rows)
                continue
            self.changed.set()
            await asyncio.sleep(RETRY_S)

    def _is_stored(self, rows):
        """Return whether no write is needed, neither for these rows nor for an epoch.

        The revision of a write is a higher epoch for calls to a runner.
        """
        if self.scheduler.acknowledgements.awaits_revision():
            return False
        return _summarize(rows) == self.recorded

    def _rows_to_record(self, now, *, with_waits):
        """Return the rows of the runners, and those of suspects without a runner.

        The next dispatcher has to wait for the latter too.
        """
        term = self.session.term
        rows = self.scheduler.runners_to_record(now, with_waits=with_waits, term=term)
        state = self.scheduler.state
        for runner_id, until_s in state.suspects.items():
            if runner_id not in state.runners:
                wait_s = max(until_s - now, 0.0) if with_waits else None
                row = RecordedRunner.create_identified(
                    runner_id, wait_s=wait_s, term=term if with_waits else 0
                )
                rows.append(row)
        return rows

    def _exclude_unrecorded(self, rows):
        """Stop new work on runners that the next record does not permit to get any.

        It omits them, or names them with a wait or with the only jobs that may have
        runs there.
        """
        working = {row.id: row for row in rows if row.wait_s is None}
        for runner in self.scheduler.state.runners.values():
            row = working.get(runner.id)
            if row is None:
                runner.in_fleet_record = False
            elif row.jobs is not None:
                runner.recorded_jobs = frozenset(row.jobs)

    def note_entry(self, runner):
        """Have the record compared soon if it does not describe a runner as it is.

        A runner that starts again elsewhere is not in the record any more.
        """
        if self.places.get(runner.id) != _place(runner.entry):
            runner.in_fleet_record = False
        limited = runner.recorded_jobs is not None
        if not runner.in_fleet_record or runner.stays is limited:
            self.changed.set()

    def _admit(self, rows):
        """Permit new work on the runners of the stored record."""
        runners = self.scheduler.state.runners
        self.places = {row.id: _place(row) for row in rows}
        admitted = False
        for row in rows:
            runner = runners.get(row.id)
            usable = row.wait_s is None and row.id not in self.unstorable
            # It may have moved since the rows were computed.
            if usable and runner is not None and _place(row) == _place(runner.entry):
                admitted |= not runner.in_fleet_record
                runner.in_fleet_record = True
                if row.jobs is None and runner.recorded_jobs is not None:
                    runner.recorded_jobs = None
                    admitted = True
        if admitted:
            self.session.wake()

    async def _write(self, rows):
        """Write the record and return whether it is known to be stored."""
        self.recorded = None
        stored = self._check_rows(rows)
        written = await self.store_plugin.call(
            self.store_plugin.store.commit(
                conditions=(
                    (LEADER_KEY, self.session.epoch),
                    (FLEET_KEY, self.revision),
                ),
                puts=(Put(key=FLEET_KEY, value=encode_fleet(stored)),),
            )
        )
        if written.is_ok():
            self.revision = written.ok()
            self.scheduler.state.note_write(self.revision)
            self.recorded = _summarize(rows)
            return True
        if written.err().kind is ErrorKind.REVISION_MISMATCH:
            await self.load()
        return False

    def _check_rows(self, rows):
        """Return the rows in a form that the next dispatcher can read."""
        self.unstorable = set()
        stored = []
        for row in rows:
            try:
                (found,) = decode_fleet(encode_fleet([row]))
            except DECODING_ERRORS:
                found = RecordedRunner.create_identified()
            stored.append(found)
            if found != row:
                self.unstorable.add(row.id)
                self.report_unreadable(f"the row of {row.id!r} is not storable")
        return stored


def _summarize(rows):
    return {
        (
            row.id,
            _place(row),
            row.term,
            None if row.wait_s is None else math.ceil(row.wait_s),
            row.jobs,
        )
        for row in rows
    }


def _place(entry):
    """Return the address and pool by which the next dispatcher finds a runner."""
    return entry.address, entry.pool
