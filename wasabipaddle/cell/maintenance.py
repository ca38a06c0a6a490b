"""Waves of maintenance in the dispatch session: records, calls and metrics."""

import asyncio

from absl import logging

from wasabipaddle.cell.keys import LEADER_KEY, WAVE_RECORD_PREFIX
from wasabipaddle.cell.takeover import PROOF_LIMIT_S
from wasabipaddle.cell.wave_intake import WaveWatcher
from wasabipaddle.dispatch.operations import MAX_COUNTED_FAILURES, OperationPhase
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Put
from wasabipaddle.interfaces.machines import MaintenanceReply
from wasabipaddle.jobs.maintenance import decode_wave_record, encode_wave_record
from wasabipaddle.platform import (
    WAVE_PREFIX,
    PlatformMachines,
    encode_wave_status,
)

__all__ = ["MaintenanceSession", "open_maintenance"]

MS_PER_S = 1000
# Time between two rounds of the decision.
PERIOD_S = 0.25
# Pause between two lists of the machines, and longest pause after failures.
LIST_PERIOD_S = 1.0
MAX_LIST_PERIOD_S = 8.0
LIST_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 1.5
RETRY_S = 0.2
# Failures after which the service has certainly done nothing.
NOT_EXECUTED_KINDS = frozenset({ErrorKind.UNREACHABLE, ErrorKind.RATE_LIMITED})


def open_maintenance(session):
    """Return what serves the waves, by the settings."""
    platform = session.settings.platform
    if not platform.machines:
        reason = "the settings name no machine service"
    elif not platform.serve_maintenance:
        reason = "the settings switch waves off"
    else:
        service = PlatformMachines(address=platform.machines)
        return MaintenanceSession(session=session, service=service)
    return UnservedMaintenance(session=session, reason=reason)


class UnservedMaintenance:
    """Leaves waves alone where they are not to be served, and logs that once.

    Parameters
    ----------
    session : DispatchSession
        Provides the store and the log.
    reason : str
        Why waves are not served.
    """

    def __init__(self, *, session, reason):
        self.session = session
        self.reason = reason

    async def load(self):
        """Do nothing; there are no records."""

    async def follow(self):
        """Do nothing; no wave takes effect."""

    async def run(self):
        """Log how many waves are not served, if there are any."""
        store_plugin = self.session.store_plugin
        page = await store_plugin.call(store_plugin.store.list_all(WAVE_PREFIX))
        if page.is_ok() and page.ok().entries:
            waves = len(page.ok().entries)
            self.session.journal(
                "maintenance_not_served", waves=waves, reason=self.reason
            )

    async def close(self):
        """Do nothing; there are no connections."""


class MaintenanceSession:
    """Serves the waves of maintenance while this process leads.

    Parameters
    ----------
    session : DispatchSession
        Provides the scheduler, the store, the epoch and the background tasks.
    service : MachineService
        Machine service.

    Attributes
    ----------
    refused_epoch : int
        Epoch that the service has refused as stale, 0 if it has refused none. This
        process then makes no more calls under it.
    failed : bool
        Whether an error has ended the service of waves during this session.
    """

    def __init__(self, *, session, service):
        self.session = session
        self.service = service
        self.maintenance = session.scheduler.maintenance
        self.store_plugin = session.store_plugin
        self.watcher = WaveWatcher(
            store_plugin=session.store_plugin,
            set_wave=self._set_wave,
            withdraw=self.maintenance.withdraw,
        )
        self.list_task = None
        self.next_list_s = 0.0
        self.list_failures = 0
        self.refused_epoch = 0
        self.failed = False
        self.gauges = self._register_gauges()

    def _register_gauges(self):
        progress, operations = self.maintenance.progress, self.maintenance.operations

        def count_phase(phase):
            return lambda: sum(o.phase is phase for o in operations.values())

        gauges = {
            "waves_running": lambda: sum(not p.completed for p in progress.values()),
            "waves_late": lambda: sum(p.late for p in progress.values()),
        }
        for phase in OperationPhase:
            gauges[f"maintenance_{phase.value}"] = count_phase(phase)
        for name, function in gauges.items():
            self.session.metrics.gauge(name, function)
        return gauges

    async def load(self):
        """Read the stored records and the requests, with retries.

        The runners of machines that may have been asked get no work from then on. An
        error leaves the waves unserved; the rest of the session does not need them.
        """
        try:
            await self._load()
        except Exception:
            self._fail()

    def _fail(self):
        """Log the error in progress, and serve no waves during this session."""
        logging.exception("waves of maintenance are not served any more")
        self.failed = True
        self.session.metrics.count("maintenance_errors")
        self.session.journal("maintenance_not_served", reason="an error in the process")

    async def _load(self):
        while True:
            page = await self.store_plugin.call(
                self.store_plugin.store.list_all(WAVE_RECORD_PREFIX)
            )
            if page.is_ok():
                break
            await asyncio.sleep(RETRY_S)
        order_pause_s = self.session.settings.bounds.order_pause_s
        calls_from_s = self.session.now() + PROOF_LIMIT_S + order_pause_s
        self.maintenance.calls_from_s = calls_from_s
        for entry in page.ok().entries:
            self._restore(entry)
        await self.watcher.load()
        requested = {key.removeprefix(WAVE_PREFIX) for key in self.watcher.keys}
        for number in list(self.maintenance.progress):
            if str(number) not in requested:
                self.maintenance.withdraw(number)

    def _restore(self, entry):
        number = entry.key.removeprefix(WAVE_RECORD_PREFIX)
        report = self.store_plugin.unreadable.reporter("wave_record", entry.key)
        record = decode_wave_record(entry.value, report=report)
        if record is not None and number.isdecimal():
            self.maintenance.restore(int(number), record, revision=entry.revision)

    def _set_wave(self, wave):
        self.maintenance.set_wave(wave, self.session.now())
        self.session.journal(
            "maintenance_requested",
            wave=wave.number,
            machines=len(wave.machines),
            cap=wave.cap,
            duration_ms=int(wave.duration_s * MS_PER_S),
        )

    async def follow(self):
        """Follow the requests until cancelled."""
        if not self.failed:
            await self.watcher.follow()

    async def run(self):
        """Advance the waves until cancelled; after an error, give the runners back."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if self.failed:
                self._release()
            elif self.maintenance.active or self._withdrawn():
                try:
                    await self._advance()
                except Exception:
                    self._fail()

    def _release(self):
        """Give back the runners that no late call can hit, or all after an error."""
        try:
            self.maintenance.release(self.session.now())
        except Exception:
            self.maintenance.operations.clear()
            self.maintenance.drains.cordon(())
        self.session.wake()

    def _withdrawn(self):
        progress = self.maintenance.progress.values()
        return any(p.withdrawn for p in progress)

    async def _advance(self):
        """Do one round, unless another process may lead."""
        session = self.session
        if not session.may_grant():
            return
        self._list_if_due()
        if session.epoch != self.refused_epoch:
            self.maintenance.plan(session.now())
        else:
            self.maintenance.release(session.now())
        session.wake()
        await self._store()
        if not session.may_grant() or session.epoch == self.refused_epoch:
            return
        for operation in self.maintenance.take_calls(session.now()):
            session.spawn(self._call(operation))

    def _list_if_due(self):
        listing = self.list_task is not None and not self.list_task.done()
        if not listing and self.session.now() >= self.next_list_s:
            self.list_task = self.session.spawn(self._list())

    async def _list(self):
        """Read the list of machines; failures make the next one wait longer."""
        session = self.session
        requested_s = session.now()
        self.next_list_s = requested_s + LIST_PERIOD_S
        machines = await self.service.list_machines(timeout_s=LIST_TIMEOUT_S)
        if machines.is_ok():
            self.list_failures = 0
            self.maintenance.record_list(machines.ok(), requested_s)
            return
        if not self.list_failures:
            detail = machines.err().detail
            session.journal("machines_unlisted", reason=detail)
        session.metrics.count("machine_lists_failed")
        self.list_failures = min(self.list_failures + 1, MAX_COUNTED_FAILURES)
        pause_s = min(LIST_PERIOD_S * 2**self.list_failures, MAX_LIST_PERIOD_S)
        self.next_list_s = session.now() + pause_s

    async def _store(self):
        """Store the progress that has changed, one wave at a time."""
        for progress in list(self.maintenance.progress.values()):
            if self.maintenance.may_forget(progress):
                await self._delete(progress)
            elif not progress.stored and progress.wave is not None:
                await self._write(progress)

    async def _write(self, progress):
        version, completed = progress.version, progress.completed
        record = encode_wave_record(progress.to_record())
        key, status = encode_wave_status(progress.number, completed=completed)
        puts = (
            Put(key=_record_key(progress), value=record),
            Put(key=key, value=status),
        )
        written = await self._commit(progress, puts=puts)
        if written.is_err():
            return
        progress.revision = written.ok()
        progress.stored_version = version
        if completed:
            self.session.journal(
                "maintenance_completed",
                wave=progress.number,
                begun=len(progress.begun),
                absent=len(progress.absent),
            )

    async def _delete(self, progress):
        key, _ = encode_wave_status(progress.number, completed=False)
        deleted = await self._commit(progress, deletes=(_record_key(progress), key))
        if deleted.is_ok() and progress.withdrawn:
            self.maintenance.forget(progress.number)

    async def _commit(self, progress, **changes):
        """Change the record and status of a wave, as long as this process leads."""
        conditions = (
            (LEADER_KEY, self.session.epoch),
            (_record_key(progress), progress.revision),
        )
        store = self.store_plugin.store
        result = await self.store_plugin.call(
            store.commit(conditions=conditions, **changes)
        )
        if result.is_err() and result.err().kind is ErrorKind.REVISION_MISMATCH:
            # An earlier write of this process whose answer was lost.
            found = await self.store_plugin.call(store.get(_record_key(progress)))
            if found.is_ok():
                progress.revision = found.ok().revision if found.ok() else 0
        return result

    async def _call(self, operation):
        """Ask that the maintenance of a machine begins, and record the outcome."""
        session = self.session
        if not session.may_grant():
            self.maintenance.cancel_call(operation)
            return
        began_s, epoch = session.now(), session.epoch
        try:
            result = await self.service.begin_maintenance(
                operation.machine,
                operation.wave,
                holder=session.settings.process,
                epoch=epoch,
                timeout_s=CALL_TIMEOUT_S,
            )
            outcome = self._record(operation, result, epoch)
        except Exception:
            logging.exception("maintenance call for %s failed", operation.machine)
            self.maintenance.record_no_reply(operation, session.now())
            return
        session.metrics.count(f"maintenance_calls_{outcome}")
        session.journal(
            "maintenance_called",
            wave=operation.wave,
            machine=operation.machine,
            runner=operation.runner,
            epoch=epoch,
            outcome=outcome,
            took_ms=int((session.now() - began_s) * MS_PER_S),
        )

    def _record(self, operation, result, epoch):
        """Record the outcome of a call and return its name."""
        now = self.session.now()
        if result.is_ok():
            reply = result.ok()
            if reply is MaintenanceReply.STALE_EPOCH:
                self.refused_epoch = epoch
            self.maintenance.record_reply(operation, reply, now)
            return reply.value
        kind = result.err().kind
        if kind in NOT_EXECUTED_KINDS:
            self.maintenance.record_reply(operation, None, now)
        else:
            self.maintenance.record_no_reply(operation, now)
        return kind.value

    async def close(self):
        """Close the connections, and remove the gauges unless a successor set them."""
        self.watcher.watch.close()
        for name, function in self.gauges.items():
            self.session.metrics.remove_gauge(name, function)
        await self.service.close()


def _record_key(progress):
    return f"{WAVE_RECORD_PREFIX}{progress.number}"
