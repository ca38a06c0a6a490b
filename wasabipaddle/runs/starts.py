"""Starts of tasks: journalled first, then sent to the worker.

During a store outage starts are sent before they are journalled.
"""

import math

from wasabipaddle.interfaces import TaskStart
from wasabipaddle.journal import TaskPlaced
from wasabipaddle.runs.model import TaskState, parse_task_id

__all__ = ["TaskStarts"]


class TaskStarts:
    """Starts that were decided by this leader.

    The key of an attempt is the pair of task id and attempt number.

    Parameters
    ----------
    table : RunTable
        Runs of the shard.
    commits : JournalCommits
        Appends to the journal.
    pool : WorkerPool
        Sessions with workers.
    epoch : int
        Epoch of the leader.
    metrics : Metrics
        Counters.
    """

    def __init__(self, *, table, commits, pool, epoch, metrics):
        self.table = table
        self.commits = commits
        self.pool = pool
        self.epoch = epoch
        self.metrics = metrics
        self.unsent = {}
        self.own_attempts = set()
        self.confirmed_at = {}  # time in seconds, by key of a started attempt

    def start(self, entry, assignment) -> int:
        """Journal and then send the next attempt of a task; return its number."""
        run, index = parse_task_id(assignment.task)
        task = entry.tasks[index]
        attempt = task.attempt + 1
        worker = assignment.worker
        self.table.place(run=run, index=index, attempt=attempt, worker=worker)
        key = (assignment.task, attempt)
        start = TaskStart(
            task=assignment.task,
            attempt=attempt,
            service=entry.document.service,
            team=entry.document.team,
            urgency=entry.document.urgency,
            needs=assignment.needs,
            payload=entry.payload,
            checkpoint=task.checkpoint,
        )
        self.unsent[key] = (worker, start)
        self.own_attempts.add(key)
        record = TaskPlaced(
            run=run, index=index, attempt=attempt, worker=worker, epoch=self.epoch
        )
        self.commits.append_with_retry(record, lambda _: self._send(key))
        return attempt

    def send_uncommitted(self):
        """Send the starts that cannot be journalled during a store outage."""
        for key in list(self.unsent):
            self.metrics.count("starts_before_commit")
            self._send(key)

    def withdraw(self, key) -> bool:
        """Drop an unsent start; return False if it was sent or is unknown."""
        return self.unsent.pop(key, None) is not None

    def forget(self, key):
        """Remove an attempt that has ended."""
        self.own_attempts.discard(key)
        self.confirmed_at.pop(key, None)

    def confirm(self, key, now):
        """Record that the worker has reported the attempt as started."""
        if key in self.own_attempts:
            self.confirmed_at[key] = now

    def may_be_in_flight(self, key) -> bool:
        """Return whether the start may still be unsent or on its way to the worker.

        In that case, the attempt may be missing from an inventory without having ended.
        """
        run, index = parse_task_id(key[0])
        state = self.table.get(run).tasks[index].state
        return key in self.own_attempts and state is TaskState.PLACED

    def may_follow(self, key, sent_at) -> bool:
        """Return whether the attempt may have started after an inventory was made.

        Two calls to a worker may be under way at the same time, so that an inventory
        from before the start can arrive after the confirmation of the start.

        Parameters
        ----------
        sent_at : float
            Time at which the inventory was requested, in seconds.
        """
        return sent_at <= self.confirmed_at.get(key, -math.inf)

    def _send(self, key):
        unsent = self.unsent.pop(key, None)
        if unsent is not None:
            worker, start = unsent
            self.pool.command(worker, "starts", start)
