"""Recovery of the run table after a change of leadership."""

import abc

from wasabipaddle.interfaces import TaskOutcome, TaskPhase
from wasabipaddle.messages import RunOutcome
from wasabipaddle.runs.model import TaskState, parse_task_id, task_id
from wasabipaddle.runs.records import document_of, work_of

__all__ = ["Adoption", "LeaseExpiry", "RecoveryPolicy", "rebuild", "resume"]


def rebuild(table, live, epoch):
    """Fill an empty table from the live state of the journal.

    Every run is in doubt until all workers are accounted for, because an earlier
    leader may have placed its tasks without a record during a store outage.

    Parameters
    ----------
    table : RunTable
        Empty table.
    live : LiveState
        Live state of the journal.
    epoch : int
        Epoch of the new leader.

    Returns
    -------
    set of str
        Workers on which tasks may still run according to the journal.
    """
    workers = set()
    for run, records in live.runs.items():
        accepted = records.accepted
        entry = table.accept(
            run=run,
            document=document_of(accepted),
            key=accepted.key,
            payload=accepted.payload,
            accepted_ms=accepted.accepted_ms,
            epoch=epoch - 1,
        )
        entry.in_doubt = True
        entry.stopping = records.stopped is not None
        for index in set(records.placed) | set(records.endings):
            _rebuild_task(table, run, index, records, workers)
        _rebuild_end(table, run, records)
    return workers


def _rebuild_task(table, run, index, records, workers):
    placed = records.placed.get(index)
    endings = {e.attempt: e for e in records.endings.get(index, ())}
    last_attempt = max(endings, default=0)
    if placed is not None:
        last_attempt = max(last_attempt, placed.attempt)
    task = table.get(run).tasks[index]
    for attempt, ending in sorted(endings.items()):
        table.place(run=run, index=index, attempt=attempt, worker="")
        table.end_attempt(
            run=run,
            index=index,
            attempt=attempt,
            outcome=ending.outcome or TaskOutcome.LEASE_EXPIRED,
            answer=ending.result,
            checkpoint=ending.checkpoint or None,
        )
    if placed is not None and placed.attempt not in endings:
        table.place(run=run, index=index, attempt=placed.attempt, worker=placed.worker)
        workers.add(placed.worker)
    if task.state is not TaskState.ENDED:
        task.attempt = max(task.attempt, last_attempt)


def _rebuild_end(table, run, records):
    if records.ended is not None:
        table.end_run(
            run=run,
            outcome=records.ended.outcome,
            ended_ms=records.ended.ended_ms,
            reason=records.ended.reason,
        )
    elif records.cancelled is not None:
        table.end_run(
            run=run,
            outcome=RunOutcome.CANCELLED,
            ended_ms=records.cancelled.at_ms,
        )


class RecoveryPolicy(abc.ABC):
    """Decides when runs of an earlier leader may be placed again.

    Parameters
    ----------
    table : RunTable
        Rebuilt table.
    placer : Placer
        Receives adopted tasks and released runs.
    pool : WorkerPool
        Knows whether all workers are accounted for.
    recorded_workers : set of str
        Workers on which tasks may still run according to the journal.
    quota_of : callable
        Function from a service to its current quota, or None.
    """

    def __init__(self, *, table, placer, pool, recorded_workers, quota_of):
        self.table = table
        self.placer = placer
        self.pool = pool
        self.recorded_workers = recorded_workers
        self.quota_of = quota_of
        self.finished = False

    @abc.abstractmethod
    def inspect(self, worker, report, now):
        """Process the first complete inventory of a worker."""

    @abc.abstractmethod
    def is_safe(self, now) -> bool:
        """Return whether no unknown task of an earlier leader can be running."""

    def release(self, now) -> bool:
        """Queue the runs in doubt, once `is_safe` returns true.

        Returns
        -------
        bool
            Whether this call has finished the recovery.
        """
        if self.finished or not self.is_safe(now):
            return False
        self.finished = True
        for entry in self.table.unfinished():
            if entry.in_doubt:
                entry.in_doubt = False
                self._queue(entry, now)
        return True

    def _queue(self, entry, now):
        if not entry.stopping:
            work = work_of(entry, quota=self.quota_of(entry.document.service))
            resume(self.placer, entry, work, now)


def resume(placer, entry, work, now):
    """Queue the tasks of a run that have not completed and are on no worker.

    A gang is queued only after the end of every attempt that an earlier leader placed
    and the placer does not know, since all its tasks start together.
    """
    if entry.is_gang and any(_is_unsettled(placer, entry, t) for t in entry.tasks):
        return
    placer.resume(
        work,
        now,
        completed=[t.index for t in entry.tasks if t.state is TaskState.ENDED],
        waiting=[t.index for t in entry.tasks if t.state is TaskState.WAITING],
    )


def _is_unsettled(placer, entry, task):
    return task.on_worker and not placer.is_placed(task_id(entry.run, task.index))


class LeaseExpiry(RecoveryPolicy):
    """Baseline policy: adopts no task and waits until every lease has expired."""

    def inspect(self, worker, report, now):
        """End the recorded attempts on the worker.

        The tasks that the worker reports are then unknown, and therefore stopped.
        """
        for entry, task in self.table.tasks_on(worker):
            self.table.end_attempt(
                run=entry.run,
                index=task.index,
                attempt=task.attempt,
                outcome=TaskOutcome.LEASE_EXPIRED,
            )

    def is_safe(self, now):
        """Return whether a task lease, with clock drift, has passed since the start."""
        settings = self.pool.leadership_settings
        return now > self.pool.started_at + settings.task_lease_s * (1 + settings.drift)


class Adoption(RecoveryPolicy):
    """Adopts tasks from inventories; waits until all workers are accounted for."""

    def inspect(self, worker, report, now):
        """Adopt the tasks of an inventory that agree with the table."""
        for task in report.tasks:
            self._inspect_task(worker, task, now)

    def is_safe(self, now):
        """Return whether every worker has answered, is gone or has no valid lease."""
        return self.pool.all_workers_accounted_for(now, self.recorded_workers)

    def _inspect_task(self, worker, report, now):
        run, index = parse_task_id(report.task)
        entry = self.table.get(run)
        if entry is None or entry.ended or index >= len(entry.tasks):
            return
        task = entry.tasks[index]
        if task.state is TaskState.ENDED or report.attempt < task.attempt:
            return
        is_recorded = task.attempt == report.attempt and task.on_worker
        if is_recorded and task.worker != worker:
            return
        if task.attempt == report.attempt and not task.on_worker:
            return
        self.table.place(run=run, index=index, attempt=report.attempt, worker=worker)
        if report.phase is not TaskPhase.ENDED:
            work = work_of(entry, quota=self.quota_of(entry.document.service))
            self.placer.adopt(work, report.task, worker, report.needs, now)
            self.table.mark_running(run=run, index=index, attempt=report.attempt)
