"""Check of a soak test that lasting tasks are restarted in time."""

import asyncio

from wasabipaddle.jobs import TaskId
from wasabipaddle.soak.queues import SIZED_QUEUES

__all__ = ["LastingWatch"]

CHECK_INTERVAL_S = 0.25
# A lasting task may be without a run for this long after its last one.
RESTART_LIMIT_S = 6.0
# From then on, there has to be a run within IDLE_LIMIT_S, if there was no fault
# meanwhile and within SETTLE_S before. A large task needs room for itself and another
# one all this time.
IDLE_LIMIT_S = 3.0
SETTLE_S = 4.0
PLACES = 2


class LastingWatch:
    """Finds lasting tasks that stay without a run in calm times.

    Parameters
    ----------
    ledger : SoakLedger
        Runs of all tasks; receives the violations.
    faults : SoakFaults
        Gives the end of the last disturbance.
    room : Room
        Counts the places for a large task.

    Attributes
    ----------
    room_since_s : dict of TaskId to float
        Time since which there has been room for each large task without a run.
    """

    def __init__(self, *, ledger, faults, room):
        self.ledger = ledger
        self.faults = faults
        self.room = room
        self.room_since_s = {}
        self.reported = set()

    async def run(self):
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self):
        """Check all lasting tasks that have to run and do not run now."""
        now = self.ledger.now()
        calm_s = now - self.faults.last_disturbance_end_s
        idle = {
            task: since_s
            for task, since_s in self._idle_since_s().items()
            if self._is_owed(task)
        }
        self._update_room(idle, now)
        if calm_s <= IDLE_LIMIT_S + SETTLE_S:
            return
        for task, since_s in idle.items():
            idle_s = now - since_s
            if idle_s <= RESTART_LIMIT_S + IDLE_LIMIT_S:
                continue
            if self._is_sized(task) and not self._has_had_room(task, now):
                continue
            if (task, since_s) not in self.reported:
                self.reported.add((task, since_s))
                detail = f"task {tuple(task[1:])} without a run for {idle_s:.1f} s"
                self.ledger.add_violation("idle", task.job, detail)

    def _idle_since_s(self):
        """Return since when each lasting task is without a run.

        A large task that has never run counts from the acceptance of its job.
        """
        idle = dict(self.ledger.idle_since_s)
        for record in self.ledger.jobs.values():
            if record.queue.name not in SIZED_QUEUES:
                continue
            for key in record.expected():
                task = TaskId(record.id, *key)
                if not self.ledger.running.get(task):
                    idle.setdefault(task, record.accepted_s)
        return idle

    def _is_owed(self, task):
        record = self.ledger.jobs[task.job]
        return record.accepted_s and not record.cancel_sent

    def _is_sized(self, task):
        return self.ledger.jobs[task.job].queue.name in SIZED_QUEUES

    def _update_room(self, idle, now):
        """Note for which of the large tasks that are idle there is room."""
        before, self.room_since_s = self.room_since_s, {}
        for task in filter(self._is_sized, idle):
            step = self.ledger.jobs[task.job].spec.steps[task.step]
            if self.room.places(task, step) >= PLACES:
                self.room_since_s[task] = before.get(task, now)

    def _has_had_room(self, task, now):
        return now - self.room_since_s.get(task, now) > IDLE_LIMIT_S
