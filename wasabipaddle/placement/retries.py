"""Retries of tasks whose attempt did not complete."""

import collections

from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.placement.queue import PendingRun
from wasabipaddle.placement.running import TaskState
from wasabipaddle.placement.work import GiveUp

__all__ = ["TaskRetrier"]

# A task is also given up once all its failures, those on suspected workers and repeated
# ones on the same worker included, reach this multiple of its allowed attempts.
REPEATED_ATTEMPTS_FACTOR = 3


class TaskRetrier:
    """Queues tasks again, or gives up tasks that fail on several workers.

    Parameters
    ----------
    queue : PendingQueue
        Receives the tasks that are retried.
    quarantine : QuarantinePolicy
        Tells which workers are suspected of causing failures.
    starter : TaskStarter
        Orders the checkpoints of the remaining tasks of an incomplete gang.
    outbox : collections.deque
        Receives the decisions.
    """

    def __init__(self, *, queue, quarantine, starter, outbox):
        self.queue = queue
        self.quarantine = quarantine
        self.starter = starter
        self.outbox = outbox

    def retry(self, entry, placed, outcome, now):
        """Queue a task again after an attempt that did not complete it.

        Parameters
        ----------
        outcome : TaskOutcome or None
            None if the worker refused to start the attempt.
        """
        history = placed.history
        if placed.index not in entry.remaining:
            return
        if outcome is TaskOutcome.CHECKPOINTED:
            history.preemptions += 1
        elif outcome is TaskOutcome.FAILED:
            history.failed_on.append(placed.worker)
            reason = self._give_up_reason(placed)
            if reason is not None:
                self._give_up(entry, placed, reason)
                return
        if entry.work.is_gang:
            entry.awaiting_restart.append(placed.index)
        else:
            self._push(entry.work, (placed.index,), now)

    def restart_gang(self, entry, now):
        """End the other tasks of a gang that lost a task, then queue it as a whole."""
        if not entry.awaiting_restart or entry.cancelled:
            return
        for placed in entry.running.values():
            if placed.state is not TaskState.ENDING:
                self.outbox.append(
                    self.starter.order_checkpoint(placed, "another gang task ended")
                )
        if not entry.running:
            indices = [
                i for i in sorted(entry.awaiting_restart) if i in entry.remaining
            ]
            entry.awaiting_restart.clear()
            if indices:
                self._push(entry.work, indices, now)

    def _push(self, work, indices, now):
        pending = PendingRun(work=work, indices=collections.deque(indices), since=now)
        self.queue.push(pending, front=True)

    def _give_up(self, entry, placed, reason):
        """Report that a task is not retried, and end its gang if it belongs to one."""
        self.outbox.append(GiveUp(run=entry.work.run, task=placed.task, reason=reason))
        if not entry.work.is_gang:
            entry.remaining.discard(placed.index)
            return
        entry.remaining.clear()
        entry.awaiting_restart.clear()
        for other in entry.running.values():
            if other.state is not TaskState.ENDING:
                self.outbox.append(
                    self.starter.order_checkpoint(other, "the gang is given up")
                )

    def _give_up_reason(self, placed):
        failed_on = placed.history.failed_on
        limit = placed.work.max_attempts
        counted = {w for w in failed_on if not self.quarantine.is_suspect(w)}
        if len(counted) < limit and len(failed_on) < REPEATED_ATTEMPTS_FACTOR * limit:
            return None
        return f"failed {len(failed_on)} times, on {', '.join(sorted(set(failed_on)))}"
