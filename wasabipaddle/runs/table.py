"""Table of the runs of one shard."""

import heapq

from sortedcontainers import SortedDict

from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.messages import RunOutcome, RunPage
from wasabipaddle.runs.model import Run, Task, TaskState

__all__ = ["RunTable"]

MS_PER_S = 1000


class RunTable:
    """All runs of a shard, indexed by id, idempotency key and worker.

    Every state change is one method. Recovery calls the same methods for the records
    that it reads from the journal as normal operation does.
    """

    def __init__(self):
        self.runs = SortedDict()
        self.by_key = {}
        self.by_worker = {}
        self.expiries = []

    def accept(self, *, run, document, key, payload, accepted_ms, epoch) -> Run:
        """Add an accepted run; a second call for the same id changes nothing."""
        known = self.runs.get(run)
        if known is not None:
            return known
        entry = Run(
            run=run,
            document=document,
            key=key,
            payload=payload,
            accepted_ms=accepted_ms,
            epoch=epoch,
            tasks=[Task(index=i) for i in range(document.run.tasks)],
        )
        self.runs[run] = entry
        self.by_key[document.service, key] = run
        return entry

    def get(self, run) -> Run | None:
        """Return a run, or None if it is unknown or was removed after its retention."""
        return self.runs.get(run)

    def find(self, service, key) -> Run | None:
        """Return the run that was accepted with an idempotency key, or None."""
        run = self.by_key.get((service, key))
        return None if run is None else self.runs[run]

    def place(self, *, run, index, attempt, worker):
        """Record that an attempt of a task is assigned to a worker."""
        entry = self.runs.get(run)
        if entry is None or entry.ended:
            return
        task = entry.tasks[index]
        if attempt < task.attempt or task.state is TaskState.ENDED:
            return
        self._unassign(entry, task)
        task.attempt = attempt
        task.worker = worker
        task.state = TaskState.PLACED
        self.by_worker.setdefault(worker, set()).add((run, index))

    def mark_running(self, *, run, index, attempt):
        """Record that the worker reports the attempt as running."""
        task = self._task(run, index, attempt)
        if task is not None and task.state is TaskState.PLACED:
            task.state = TaskState.RUNNING

    def end_attempt(self, *, run, index, attempt, outcome, answer="", checkpoint=None):
        """Record the end of an attempt.

        A completed task is final. After any other outcome the task waits again.

        Returns
        -------
        bool
            Whether the attempt was the latest one and had not ended before.
        """
        task = self._task(run, index, attempt)
        if task is None or not task.on_worker:
            return False
        self._unassign(self.runs[run], task)
        if checkpoint is not None:
            task.checkpoint = checkpoint
        if outcome is TaskOutcome.COMPLETED:
            task.state = TaskState.ENDED
            task.outcome = outcome
            task.answer = answer
            return True
        task.state = TaskState.WAITING
        if outcome is TaskOutcome.FAILED:
            task.failures += 1
        if outcome is TaskOutcome.CHECKPOINTED:
            task.preemptions += 1
        return True

    def end_run(self, *, run, outcome, ended_ms, reason=""):
        """Set the outcome of a run; a second call changes nothing.

        Returns
        -------
        bool
            Whether the run had not ended before.
        """
        entry = self.runs.get(run)
        if entry is None or entry.ended:
            return False
        entry.outcome = outcome
        entry.ended_ms = ended_ms
        entry.reason = reason
        retention_ms = int(entry.document.run.answer_retention_s * MS_PER_S)
        heapq.heappush(self.expiries, (ended_ms + retention_ms, run))
        return True

    def clear_worker(self, run, index):
        """Remove a task of a run from the index of its worker."""
        entry = self.runs.get(run)
        if entry is not None:
            self._unassign(entry, entry.tasks[index])

    def tasks_on(self, worker) -> list[tuple[Run, Task]]:
        """Return the runs and tasks that may be on a worker."""
        placed = sorted(self.by_worker.get(worker, ()))
        return [(self.runs[r], self.runs[r].tasks[i]) for r, i in placed]

    def expire(self, now_ms) -> list[str]:
        """Remove ended runs whose retention has passed and return their ids."""
        removed = []
        while self.expiries and self.expiries[0][0] <= now_ms:
            _, run = heapq.heappop(self.expiries)
            entry = self.runs.pop(run, None)
            if entry is not None:
                self.by_key.pop((entry.document.service, entry.key), None)
                removed.append(run)
        return removed

    def page(self, *, service, after, limit) -> RunPage:
        """Return up to `limit` runs after the id `after`, in order of their ids."""
        views = []
        for run in self.runs.irange(minimum=after, inclusive=(False, True)):
            entry = self.runs[run]
            if service and entry.document.service != service:
                continue
            if len(views) == limit:
                return RunPage(runs=tuple(views), next_after=views[-1].run)
            views.append(entry.view())
        return RunPage(runs=tuple(views))

    def unfinished(self) -> list[Run]:
        """Return the runs without an outcome, in order of acceptance."""
        unfinished = [r for r in self.runs.values() if not r.ended]
        return sorted(unfinished, key=lambda r: (r.accepted_ms, r.run))

    def count_outcomes(self):
        """Return the number of ended runs by outcome."""
        counts = dict.fromkeys(RunOutcome, 0)
        for entry in self.runs.values():
            if entry.outcome is not None:
                counts[entry.outcome] += 1
        return counts

    def _task(self, run, index, attempt):
        entry = self.runs.get(run)
        if entry is None:
            return None
        task = entry.tasks[index]
        return task if task.attempt == attempt else None

    def _unassign(self, entry, task):
        placed = self.by_worker.get(task.worker)
        if placed is not None:
            placed.discard((entry.run, task.index))
