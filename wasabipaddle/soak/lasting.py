"""Check of a soak test that lasting tasks are restarted in time."""

import asyncio

__all__ = ["LastingWatch"]

CHECK_INTERVAL_S = 0.25
# A lasting task may be without a run for this long after its last one.
RESTART_LIMIT_S = 6.0
# From then on, there has to be a run within IDLE_LIMIT_S, if there was no fault
# meanwhile and within SETTLE_S before.
IDLE_LIMIT_S = 3.0
SETTLE_S = 4.0


class LastingWatch:
    """Finds lasting tasks that stay without a run in calm times.

    Parameters
    ----------
    ledger : SoakLedger
        Runs of all tasks; receives the violations.
    faults : SoakFaults
        Gives the end of the last disturbance.
    """

    def __init__(self, *, ledger, faults):
        self.ledger = ledger
        self.faults = faults
        self.reported = set()

    async def run(self):
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self):
        """Check all lasting tasks that have run before and do not run now."""
        now = self.ledger.now()
        calm_s = now - self.faults.last_disturbance_end_s
        if calm_s <= IDLE_LIMIT_S + SETTLE_S:
            return
        for task, since_s in self.ledger.idle_since_s.items():
            record = self.ledger.jobs[task.job]
            owed = record.accepted_s and not record.cancel_sent
            idle_s = now - since_s
            if not owed or idle_s <= RESTART_LIMIT_S + IDLE_LIMIT_S:
                continue
            if (task, since_s) not in self.reported:
                self.reported.add((task, since_s))
                detail = f"task {tuple(task[1:])} without a run for {idle_s:.1f} s"
                self.ledger.add_violation("idle", record.id, detail)
