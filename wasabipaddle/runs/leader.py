"""Leader of one shard: manages its runs and communicates with its workers."""

import asyncio
import secrets

import attrs
from absl import logging
from result import Err

from wasabipaddle.clock import cancel_and_wait
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.journal import HandoverFinished
from wasabipaddle.kernel import Mailbox
from wasabipaddle.kernel.bus import Envelope
from wasabipaddle.messages import (
    CancelRun,
    ListRuns,
    QueryRun,
    StopRun,
    SubmitRun,
    WaitRun,
)
from wasabipaddle.placement import FleetIndex, Placer
from wasabipaddle.runs.acceptance import Acceptance
from wasabipaddle.runs.commits import AppendFinished, JournalCommits
from wasabipaddle.runs.lifecycle import RunLifecycle
from wasabipaddle.runs.operations import RunOperations
from wasabipaddle.runs.pool import WorkerPool
from wasabipaddle.runs.quotas import ShardQuotas
from wasabipaddle.runs.recovery import Adoption, rebuild
from wasabipaddle.runs.table import RunTable
from wasabipaddle.runs.waiters import Waiters
from wasabipaddle.runs.workers import (
    LeaderDeposed,
    WorkerReported,
    WorkerSession,
    WorkerUnreachable,
)
from wasabipaddle.timeline import EventKind

__all__ = ["FleetUpdate", "ShardLeader"]

TICK_S = 0.05  # longest wait for a message between two steps
CHECK_PERIOD_S = 0.25  # checks of waiters, the store, workers and recovery
EXPIRY_PERIOD_S = 10.0  # removal of ended runs after their retention
DECISIONS_PER_STEP = 200
MESSAGES_PER_STEP = 500
MAILBOX_CAPACITY = 100_000
ID_BYTES = 8


@attrs.frozen(kw_only=True)
class FleetUpdate:
    """The VM list of the data centre has changed.

    Parameters
    ----------
    entries : tuple of VmEntry
        VMs of the shard.
    read_at : float
        Monotonic time at which the read of the list began, in seconds.
    """

    entries: tuple
    read_at: float


@attrs.frozen(kw_only=True)
class DocumentsChanged:
    """Documents have been applied or deleted."""


def _random_id():
    return secrets.token_hex(ID_BYTES)


class ShardLeader:
    """Manages one shard while this process leads it.

    One task owns all state and reads the mailbox. Calls to workers and the store run
    in other tasks and report their results as messages.

    Parameters
    ----------
    election : object
        Has `shard`, `epoch`, `proved_at`, `may_command`, `note_epoch`,
        `predecessors_stopped` and `forget_predecessors`.
    journal : Journal
        Journal of the shard, not yet recovered.
    connect : callable
        Function from a `VmEntry` to a `WorkerClient`.
    documents : object
        Has `get(service)`, `documents()` and `revision_of(service)`.
    context : Context
        Shared services of the process.
    make_id : callable
        Returns the random part of a new run id.
    recovery : type
        Subclass of `RecoveryPolicy` to use.
    """

    def __init__(
        self,
        *,
        election,
        journal,
        connect,
        documents,
        context,
        make_id=_random_id,
        recovery=Adoption,
    ):
        self.election = election
        self.shard = election.shard
        self.epoch = election.epoch
        self.journal = journal
        self.connect = connect
        self.documents = documents
        self.context = context
        self.clock = context.clock
        self.mailbox = Mailbox(capacity=MAILBOX_CAPACITY)
        self.table = RunTable()
        self.fleet = FleetIndex()
        self.placer = Placer(fleet=self.fleet, random=context.random)
        self.placer.on_quarantine_change = self._record_quarantine
        self.quotas = ShardQuotas(settings=context.settings, documents=documents)
        self.pool = WorkerPool(
            fleet=self.fleet,
            make_session=self._make_session,
            predecessors_stopped=election.predecessors_stopped,
            leadership_settings=context.settings.leadership,
            now=self.clock.now(),
        )
        self.commits = JournalCommits(journal=journal, notify=self.notify)
        self.waiters = Waiters()
        self.lifecycle = self._make_lifecycle()
        self.acceptance = self._make_acceptance(make_id)
        self.operations = RunOperations(
            table=self.table,
            lifecycle=self.lifecycle,
            commits=self.commits,
            waiters=self.waiters,
            clock=self.clock,
        )
        self.handlers = self._handlers()
        self.recovery_class = recovery
        self.store_up = True
        self.recovery_policy = None
        self.pending_update = None
        self.inspected_workers = set()
        self.next_checks = 0.0
        self.next_expiry = 0.0
        self.task = None

    def _make_lifecycle(self):
        return RunLifecycle(
            table=self.table,
            placer=self.placer,
            commits=self.commits,
            pool=self.pool,
            epoch=self.epoch,
            context=self.context,
            quota_of=self.quotas.of_service,
            on_ended=self.waiters.answer_ended,
        )

    def _make_acceptance(self, make_id):
        return Acceptance(
            shard=self.shard,
            epoch=self.epoch,
            table=self.table,
            placer=self.placer,
            commits=self.commits,
            documents=self.documents,
            quota_of=self.quotas.of_service,
            context=self.context,
            make_id=make_id,
        )

    # Life cycle

    def start(self):
        """Start the task of the leader, which begins with the recovery."""
        self.task = asyncio.create_task(self._run())

    async def stop(self):
        """Stop leading and answer the waiting callers.

        Submissions whose append is in progress get `acceptance_unknown`, all others
        `not_leader`. Cancellations and stops whose append is in progress get no answer;
        their `ask` times out.
        """
        if self.task is not None:
            await cancel_and_wait([self.task])
        await self.commits.close()
        await self.pool.close()
        await self.journal.close()
        refusal = Err(Failure(kind=ErrorKind.NOT_LEADER, detail="leadership has moved"))
        self.acceptance.abandon()
        self.waiters.abandon(refusal)
        while not self.mailbox.queue.empty():
            self.mailbox.queue.get_nowait().answer(refusal)

    def notify(self, message):
        """Send a message without a reply to the task of the leader."""
        if not self.mailbox.offer(Envelope(message=message)):
            self.context.metrics.count("leader_messages_dropped")

    async def ask(self, message, *, timeout_s):
        """Send an operation on runs to the task of the leader and return the result."""
        reply = asyncio.get_running_loop().create_future()
        if not self.mailbox.offer(Envelope(message=message, reply=reply)):
            return Err(
                Failure(
                    kind=ErrorKind.QUEUE_FULL, detail="mailbox of the leader is full"
                )
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            kind = ErrorKind.TIMEOUT
            if isinstance(message, SubmitRun):
                kind = ErrorKind.ACCEPTANCE_UNKNOWN
            return Err(Failure(kind=kind, detail="the shard leader did not answer"))

    async def _run(self):
        try:
            await self._lead()
        except Exception:
            # Step down, as the process would otherwise lead without placing any task.
            logging.exception("leader of shard %s failed", self.shard)
            self.context.metrics.count("leader_failures")
            self.election.note_epoch(self.epoch + 1)

    async def _lead(self):
        result = await self.journal.recover(self.epoch)
        if result.is_err():
            self.election.note_epoch(self.epoch + 1)
            return
        recorded_workers = rebuild(self.table, result.unwrap(), self.epoch)
        self.recovery_policy = self.recovery_class(
            table=self.table,
            placer=self.placer,
            pool=self.pool,
            recorded_workers=recorded_workers,
            quota_of=self.quotas.of_service,
        )
        self._update_limits()
        if self.pending_update is not None:
            self._update_fleet(self.pending_update)
        while True:
            await self._read_messages()
            self._step()

    async def _read_messages(self):
        try:
            async with asyncio.timeout(TICK_S):
                envelope = await self.mailbox.receive()
        except TimeoutError:
            return
        self._handle(envelope)
        for _ in range(MESSAGES_PER_STEP):
            if self.mailbox.queue.empty():
                return
            self._handle(self.mailbox.queue.get_nowait())

    # Messages

    def _handle(self, envelope):
        self.handlers[type(envelope.message)](envelope.message, envelope)

    def _handlers(self):
        return {
            AppendFinished: lambda m, _: m.on_result(m.result),
            WorkerReported: lambda m, _: self._handle_report(m),
            WorkerUnreachable: lambda m, _: self._handle_unreachable(m),
            LeaderDeposed: lambda m, _: self.election.note_epoch(self.epoch + 1),
            FleetUpdate: lambda m, _: self._update_fleet(m),
            DocumentsChanged: lambda m, _: self._update_limits(),
            SubmitRun: self.acceptance.submit,
            QueryRun: self.operations.query,
            WaitRun: self.operations.wait,
            ListRuns: self.operations.page,
            CancelRun: self.operations.cancel,
            StopRun: self.operations.stop,
        }

    # Workers

    def update_fleet(self, update):
        """Apply a `FleetUpdate` once the journal is recovered."""
        if self.recovery_policy is None:
            self.pending_update = update
        else:
            self.notify(update)

    def update_limits(self):
        """Apply the guaranteed shares and quotas of changed documents."""
        if self.recovery_policy is not None:
            self.notify(DocumentsChanged())

    def _update_limits(self):
        for team, part in self.quotas.of_teams():
            self.placer.set_quota(team, part)
        for document in self.documents.documents():
            self.placer.set_floor(document.service, document.share.guaranteed)

    def _update_fleet(self, update):
        for worker in self.pool.update(update.entries, update.read_at):
            self._remove_worker(worker)

    def _remove_worker(self, worker):
        self.lifecycle.handle_lost_worker(worker, "the VM is gone")
        self.recovery_policy.recorded_workers.discard(worker)
        self.pool.remove(worker)

    def _make_session(self, entry):
        return WorkerSession(
            worker=entry.vm,
            client=self.connect(entry),
            shard=self.shard,
            epoch=self.epoch,
            leader=self.context.settings.process,
            leadership_settings=self.context.settings.leadership,
            clock=self.clock,
            election=self.election,
            notify=self.notify,
        )

    def _handle_unreachable(self, message):
        self.pool.on_unreachable(message.worker)
        self.context.metrics.count("worker_calls_failed")

    def _handle_report(self, message):
        worker, report = message.worker, message.report
        self.pool.on_answered(worker)
        if report.leaving:
            self.fleet.set_unavailable(worker, True)
        if report.whole and worker not in self.inspected_workers:
            self.inspected_workers.add(worker)
            self.recovery_policy.inspect(worker, report, self.clock.now())
        self.lifecycle.handle_report(message)

    # Periodic work

    def _step(self):
        now = self.clock.now()
        if now >= self.next_checks:
            self.next_checks = now + CHECK_PERIOD_S
            self._run_checks(now)
        if now >= self.next_expiry:
            self.next_expiry = now + EXPIRY_PERIOD_S
            self.table.expire(self.clock.wall_ms())
        if not self.election.may_command():
            return
        for decision in self.placer.decide(now, DECISIONS_PER_STEP):
            self.lifecycle.apply_decision(decision)

    def _run_checks(self, now):
        self.waiters.expire(now)
        self._record_store_state(self.commits.available)
        if not self.commits.available:
            self.lifecycle.starts.send_uncommitted()
        for worker in self.pool.take_expired(now):
            self.pool.reset(worker)
            if self.table.tasks_on(worker):
                self.lifecycle.handle_lost_worker(worker, "its leases have expired")
        if self.recovery_policy.release(now):
            self._finish_recovery()
        for entry in self.table.unfinished():
            if entry.stopping:
                self.lifecycle.finish_if_done(entry)

    def _record_store_state(self, up):
        if up == self.store_up:
            return
        self.store_up = up
        kind = EventKind.STORE_UP if up else EventKind.STORE_DOWN
        self.context.events.record(kind, detail=self.shard)
        word = "available" if up else "unavailable"
        logging.info("store %s for the journal of shard %s", word, self.shard)

    def _record_quarantine(self, worker, excluded):
        kind = EventKind.WORKER_RETURNED
        if excluded:
            kind = EventKind.WORKER_QUARANTINED
        self.context.events.record(kind, vm=worker)
        self.context.metrics.count(kind.value)
        logging.info("%s: %s", kind.value, worker)

    def _finish_recovery(self):
        for entry in self.table.unfinished():
            self.lifecycle.finish_if_done(entry)
        record = HandoverFinished(epoch=self.epoch)
        self.commits.append_with_retry(
            record, lambda _: self.election.forget_predecessors()
        )
        self.context.events.record(EventKind.LEADER_RECOVERED, detail=self.shard)
        logging.info("shard %s recovered under epoch %d", self.shard, self.epoch)
