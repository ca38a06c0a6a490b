"""Life cycle of runs and their tasks under one shard leader."""

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import (
    TaskOrder,
    TaskOutcome,
    TaskPhase,
    TaskResize,
)
from wasabipaddle.journal import TaskEnded
from wasabipaddle.messages import RunOutcome
from wasabipaddle.placement import (
    Checkpoint,
    GiveUp,
    Impossible,
    Resize,
    Start,
    Throttle,
    Unthrottle,
)
from wasabipaddle.runs.model import TaskState, parse_task_id, task_id
from wasabipaddle.runs.records import ended_record, work_of
from wasabipaddle.runs.recovery import resume
from wasabipaddle.runs.starts import TaskStarts
from wasabipaddle.timeline import EventKind

__all__ = ["RunLifecycle"]

MS_PER_S = 1000


class RunLifecycle:
    """Carries out decisions of the placer and processes the reports of workers.

    Parameters
    ----------
    table : RunTable
        Runs of the shard.
    placer : Placer
        Source of the decisions; notified of each attempt that ends.
    commits : JournalCommits
        Appends to the journal.
    pool : WorkerPool
        Sessions with workers.
    epoch : int
        Epoch of the leader.
    context : Context
        Shared services of the process.
    quota_of : callable
        Function from a service to its current quota, or None.
    on_ended : callable
        Called with every run that has received its outcome.
    """

    def __init__(
        self, *, table, placer, commits, pool, epoch, context, quota_of, on_ended
    ):
        self.table = table
        self.placer = placer
        self.commits = commits
        self.pool = pool
        self.epoch = epoch
        self.clock = context.clock
        self.events = context.events
        self.metrics = context.metrics
        self.quota_of = quota_of
        self.on_ended = on_ended
        self.starts = TaskStarts(
            table=table, commits=commits, pool=pool, epoch=epoch, metrics=self.metrics
        )
        self.ending = set()  # attempts and runs whose end is being journalled

    # Decisions

    def apply_decision(self, decision):
        """Carry out one decision of the placer."""
        match decision:
            case Start():
                for assignment in decision.assignments:
                    self._place(assignment)
            case Checkpoint():
                self._send_order("checkpoints", decision.task)
                self._record(EventKind.TASK_PREEMPTED, decision.task, decision.reason)
                self.metrics.count("tasks_preempted")
            case Resize():
                self._resize(decision)
            case Throttle():
                self._send_order("throttles", decision.task)
            case Unthrottle():
                self._send_order("unthrottles", decision.task)
            case Impossible():
                self._record_impossible(decision)
            case GiveUp():
                self.finish(decision.run, RunOutcome.FAILED, decision.reason)

    def _place(self, assignment):
        run, _ = parse_task_id(assignment.task)
        entry = self.table.get(run)
        if entry is None or entry.ended or entry.stopping:
            self.placer.record_task_end(
                assignment.task, TaskOutcome.STOPPED, self.clock.now()
            )
            return
        attempt = self.starts.start(entry, assignment)
        self._record(EventKind.TASK_PLACED, assignment.task, assignment.worker)
        self._observe_wait(entry, attempt)

    def _observe_wait(self, entry, attempt):
        if attempt != 1:
            return
        waited_s = (self.clock.wall_ms() - entry.accepted_ms) / MS_PER_S
        urgency = entry.document.urgency.value
        self.metrics.observe(f"placement_wait_{urgency}", max(waited_s, 0.0))

    def _send_order(self, name, task, *, grace_s=0.0):
        run, index = parse_task_id(task)
        entry = self.table.get(run)
        if entry is None:
            return
        target = entry.tasks[index]
        if not target.on_worker:
            return
        order = TaskOrder(task=task, attempt=target.attempt, grace_s=grace_s)
        self.pool.command(target.worker, name, order)

    def _resize(self, decision):
        run, index = parse_task_id(decision.task)
        entry = self.table.get(run)
        if entry is None or not entry.tasks[index].on_worker:
            return
        attempt = entry.tasks[index].attempt
        resize = TaskResize(task=decision.task, attempt=attempt, needs=decision.needs)
        self.pool.command(decision.worker, "resizes", resize)

    def _record_impossible(self, decision):
        entry = self.table.get(decision.run)
        if entry is not None and not entry.ended:
            entry.reason = decision.reason
            self.metrics.count("runs_impossible")

    # Reports of workers

    def handle_report(self, message):
        """Process a `WorkerReported`."""
        worker, report = message.worker, message.report
        for task in report.tasks:
            self._handle_task_report(worker, task, message.received_at)
        for refusal in report.refusals:
            self._handle_refusal(refusal)
        if report.whole:
            self._end_missing_attempts(worker, report, message.sent_at)
        usage_by_task = {
            t.task: t.usage for t in report.tasks if t.phase is not TaskPhase.ENDED
        }
        self.placer.observe(worker, report.usage, usage_by_task, self.clock.now())

    def _handle_task_report(self, worker, report, now):
        run, index = parse_task_id(report.task)
        entry = self.table.get(run)
        known = (
            entry is not None
            and entry.tasks[index].attempt == report.attempt
            and entry.tasks[index].on_worker
            and entry.tasks[index].worker == worker
        )
        if report.phase is TaskPhase.ENDED:
            if known:
                self._journal_attempt_end(worker, run, index, report)
            else:
                self._acknowledge(worker, report)
            return
        if not known or entry.ended:
            self._stop_attempt(worker, report.task, report.attempt)
            return
        task = entry.tasks[index]
        if task.state is TaskState.PLACED:
            self.table.mark_running(run=run, index=index, attempt=report.attempt)
            self.starts.confirm((report.task, report.attempt), now)
            self._record(EventKind.TASK_STARTED, report.task, worker)
            if entry.stopping:
                self._stop_attempt(worker, report.task, report.attempt)

    def _journal_attempt_end(self, worker, run, index, report):
        key = (report.task, report.attempt)
        if key in self.ending:
            return
        self.ending.add(key)
        record = TaskEnded(
            run=run,
            index=index,
            attempt=report.attempt,
            outcome=report.outcome,
            result=report.answer,
            checkpoint=report.checkpoint or "",
        )
        self.commits.append_with_retry(
            record, lambda _: self._confirm_end(worker, report, record)
        )

    def _confirm_end(self, worker, report, record):
        self.ending.discard((report.task, report.attempt))
        self._acknowledge(worker, report)
        self._apply_end(report.task, record)

    def _apply_end(self, task, record):
        outcome = record.outcome or TaskOutcome.LEASE_EXPIRED
        entry = self.table.get(record.run)
        applied = self.table.end_attempt(
            run=record.run,
            index=record.index,
            attempt=record.attempt,
            outcome=outcome,
            answer=record.result,
            checkpoint=record.checkpoint or None,
        )
        self.starts.forget((task, record.attempt))
        if not applied:
            return
        self.metrics.count(f"attempts_{outcome.value}")
        self._record(EventKind.TASK_ENDED, task, outcome.value)
        now = self.clock.now()
        final = entry.ended or entry.stopping
        if final and outcome is not TaskOutcome.COMPLETED:
            outcome = TaskOutcome.STOPPED
        elif outcome is TaskOutcome.STOPPED:
            # Only the attempt was stopped, see `WorkerSession`; the task is retried.
            outcome = TaskOutcome.LEASE_EXPIRED
        if self.placer.is_placed(task):
            self.placer.record_task_end(task, outcome, now)
        elif outcome not in (TaskOutcome.COMPLETED, TaskOutcome.STOPPED):
            self._resume(entry, now)
        self.finish_if_done(entry)

    def _resume(self, entry, now):
        """Queue the tasks of a run after the end of an earlier leader's attempt."""
        if not (entry.ended or entry.in_doubt):
            work = work_of(entry, quota=self.quota_of(entry.document.service))
            resume(self.placer, entry, work, now)

    def _acknowledge(self, worker, report):
        order = TaskOrder(task=report.task, attempt=report.attempt)
        self.pool.command(worker, "acknowledgements", order)

    def _stop_attempt(self, worker, task, attempt, grace_s=0.0):
        order = TaskOrder(task=task, attempt=attempt, grace_s=grace_s)
        self.pool.command(worker, "stops", order)

    def _handle_refusal(self, refusal):
        run, index = parse_task_id(refusal.task)
        entry = self.table.get(run)
        if entry is None or entry.tasks[index].attempt != refusal.attempt:
            return
        if entry.tasks[index].state is not TaskState.PLACED:
            return
        self.metrics.count("starts_refused")
        if refusal.kind is ErrorKind.CONFLICT:
            # The worker has seen this or a later attempt, or has another attempt.
            self.end_lost_attempt(run, index, "refused as already seen")
            return
        self.table.end_attempt(
            run=run,
            index=index,
            attempt=refusal.attempt,
            outcome=TaskOutcome.STOPPED,
        )
        if entry.ended or entry.stopping:
            self.placer.record_task_end(
                refusal.task, TaskOutcome.STOPPED, self.clock.now()
            )
            self.finish_if_done(entry)
        else:
            self.placer.record_refused_start(refusal.task, self.clock.now())

    def _end_missing_attempts(self, worker, report, sent_at):
        """End attempts that are missing from a complete inventory.

        An attempt whose start may still be unsent or on its way is not missing. One
        that was confirmed after the request of the inventory is looked for in another.
        """
        shown = {(t.task, t.attempt) for t in report.tasks}
        for entry, task in self.table.tasks_on(worker):
            key = (task_id(entry.run, task.index), task.attempt)
            if key in shown or key in self.ending or self.starts.may_be_in_flight(key):
                continue
            if self.starts.may_follow(key, sent_at):
                self.pool.request_inventory(worker)
                continue
            self.end_lost_attempt(entry.run, task.index, "not on the worker")

    # Lost workers

    def handle_lost_worker(self, worker, reason):
        """End every attempt on a worker on which no task can be running any more."""
        self.metrics.count("workers_lost")
        self.events.record(EventKind.WORKER_LOST, vm=worker, detail=reason)
        for entry, task in self.table.tasks_on(worker):
            self.end_lost_attempt(entry.run, task.index, reason)

    def end_lost_attempt(self, run, index, reason):
        """Journal the end of the latest attempt of a task, without a report of it.

        The caller must know that the attempt no longer runs on its worker.
        """
        entry = self.table.get(run)
        task = entry.tasks[index]
        name = task_id(run, index)
        key = (name, task.attempt)
        if key in self.ending:
            return
        self.ending.add(key)
        self.starts.withdraw(key)
        record = TaskEnded(
            run=run, index=index, attempt=task.attempt, outcome=None, reason=reason
        )

        def confirm(_):
            self.ending.discard(key)
            self._apply_end(name, record)

        self.commits.append_with_retry(record, confirm)
        self._record(EventKind.TASK_RESTARTED, name, reason)

    # End of runs

    def finish_if_done(self, entry):
        """End a run if all its tasks have completed, or if it has been stopped."""
        if entry is None or entry.ended:
            return
        if all(t.outcome is TaskOutcome.COMPLETED for t in entry.tasks):
            self.finish(entry.run, RunOutcome.COMPLETED, "")
        elif entry.stopping and not any(t.on_worker for t in entry.tasks):
            self.finish(entry.run, RunOutcome.STOPPED, "stopped on request")

    def finish(self, run, outcome, reason):
        """Journal the outcome of a run, then stop its remaining tasks."""
        entry = self.table.get(run)
        if entry is None or entry.ended or run in self.ending:
            return
        self.ending.add(run)
        record = ended_record(entry, outcome, self.clock.wall_ms(), reason)

        def confirm(_):
            self.ending.discard(run)
            self.apply_finish(entry, outcome, record.ended_ms, reason)

        self.commits.append_with_retry(record, confirm)

    def record_outcome(self, entry):
        """Journal the outcome of a run that a cancellation record has ended."""
        record = ended_record(entry, entry.outcome, entry.ended_ms, entry.reason)
        self.commits.append_with_retry(record, lambda _: None)

    def apply_finish(self, entry, outcome, ended_ms, reason):
        """Apply the journalled outcome of a run and stop its remaining tasks."""
        if not self.table.end_run(
            run=entry.run, outcome=outcome, ended_ms=ended_ms, reason=reason
        ):
            return
        self.metrics.count(f"runs_{outcome.value}")
        self.events.record(
            EventKind.RUN_ENDED,
            run=entry.run,
            service=entry.document.service,
            detail=outcome.value,
        )
        self.withdraw(entry)
        self.on_ended(entry)

    def withdraw(self, entry, *, grace_s=0.0):
        """Remove a run from the placer and stop its tasks."""
        self.placer.cancel(entry.run)
        now = self.clock.now()
        for task in entry.tasks:
            if not task.on_worker:
                continue
            name = task_id(entry.run, task.index)
            key = (name, task.attempt)
            if self.starts.withdraw(key):
                # The start was never sent, so the attempt cannot have run.
                self.table.end_attempt(
                    run=entry.run,
                    index=task.index,
                    attempt=task.attempt,
                    outcome=TaskOutcome.STOPPED,
                )
                self.placer.record_task_end(name, TaskOutcome.STOPPED, now)
                continue
            self._stop_attempt(task.worker, name, task.attempt, grace_s)

    def _record(self, kind, task, detail):
        run, _ = parse_task_id(task)
        self.events.record(kind, run=run, detail=f"{task} {detail}")
