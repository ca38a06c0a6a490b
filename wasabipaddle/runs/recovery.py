"""Rebuilding of the run table after a change of leadership."""

from wasabipaddle.messages import RunOutcome
from wasabipaddle.platform import TaskOutcome, TaskPhase
from wasabipaddle.runs.model import TaskState, parse_task_id
from wasabipaddle.runs.records import document_of, work_of

__all__ = ["Adoption", "rebuild"]


def rebuild(table, live, epoch):
    """Fill an empty table from the live state of the journal.

    Every run is in doubt until all workers are accounted for: an earlier leader may
    have placed its tasks during a store outage without a record.

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
        Workers that the journal names for tasks that may still run.
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
    last = max(endings, default=0)
    if placed is not None:
        last = max(last, placed.attempt)
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
        task.attempt = max(task.attempt, last)


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


class Adoption:
    """Adopts running tasks from inventories and releases runs once it is safe.

    Parameters
    ----------
    table : RunTable
        Rebuilt table.
    placer : Placer
        Receives adopted tasks and released runs.
    pool : WorkerPool
        Tells which workers are accounted for.
    recorded : set of str
        Workers that the journal names.
    quota_of : callable
        Function from a service to its present quota, or None.
    """

    def __init__(self, *, table, placer, pool, recorded, quota_of):
        self.table = table
        self.placer = placer
        self.pool = pool
        self.recorded = recorded
        self.quota_of = quota_of
        self.finished = False

    def inspect(self, worker, report, now):
        """Take over the tasks of an inventory that the table allows to run."""
        for task in report.tasks:
            self._inspect_task(worker, task, now)

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
            self.table.running(run=run, index=index, attempt=report.attempt)

    def release(self, now) -> bool:
        """Queue every run that is no longer in doubt.

        Returns
        -------
        bool
            Whether the recovery has finished with this call.
        """
        if self.finished or not self.pool.accounted(now, self.recorded):
            return False
        self.finished = True
        for entry in self.table.unended():
            if entry.in_doubt:
                entry.in_doubt = False
                self._queue(entry, now)
        return True

    def _queue(self, entry, now):
        if entry.stopping:
            return
        waiting = [t.index for t in entry.tasks if t.state is TaskState.WAITING]
        if waiting:
            work = work_of(entry, quota=self.quota_of(entry.document.service))
            self.placer.submit(work, now, indices=waiting)
