"""Workspaces of a soak test with quotas that change."""

import asyncio
import math

from wasabipaddle.jobs import Capacity, Workspace

__all__ = ["SoakWorkspaces"]

# Quotas in thousandths of a core; each holds the largest gang of the callers.
QUOTAS_CPU = (6_000, 9_000, 15_000)
UNLIMITED = "unlimited"
LIMITED = ("first", "second")
CHANGE_INTERVAL_S = 3.0
# Time for which starts may still follow an earlier quota: until the dispatcher knows
# the new one, and until the start orders that it has sent are void.
CHANGE_LIMIT_S = 8.0


class SoakWorkspaces:
    """Gives jobs a workspace, changes the quotas and checks that they hold.

    Work that lasts belongs to the workspace without a quota, since its tasks have to be
    restarted in time.

    Parameters
    ----------
    ledger : SoakLedger
        Runs of all tasks; receives the violations.
    random : random.Random
        Random number generator for all choices.

    Attributes
    ----------
    quotas : dict of str to list of tuple of (float, int)
        Quotas of each workspace, with the times from which they hold.
    """

    def __init__(self, *, ledger, random):
        self.ledger = ledger
        self.random = random
        self.quotas = {name: [(0.0, random.choice(QUOTAS_CPU))] for name in LIMITED}
        self.quotas[UNLIMITED] = [(0.0, 0)]

    def configured(self):
        """Return the workspaces with their present quotas, by name."""
        return {
            name: Workspace(
                name=name,
                weight=5.0,
                quota=Capacity(cpu=quotas[-1][1]),
            )
            for name, quotas in self.quotas.items()
        }

    def choose(self, *, lasting) -> str:
        """Return the workspace of a new job."""
        return UNLIMITED if lasting else self.random.choice(LIMITED)

    async def run(self, platform):
        """Change one quota after the other until cancelled."""
        while True:
            await asyncio.sleep(CHANGE_INTERVAL_S * self.random.uniform(0.5, 1.5))
            name = self.random.choice(LIMITED)
            self._set(name, self.random.choice(QUOTAS_CPU))
            platform.configure(platform.queues)

    def lift(self, platform):
        """Remove all quotas, so that the jobs that are left can end in time."""
        for name in LIMITED:
            self._set(name, 0)
        platform.configure(platform.queues)

    def _set(self, name, cpu):
        self.quotas[name].append((self.ledger.now(), cpu))

    def check_start(self, record, run_label):
        """Check that a start keeps to a quota that may still be known."""
        most = self._highest_cpu(record.workspace)
        held = sum(
            run.spec.cpu
            for task, rows in self.ledger.running.items()
            if self.ledger.jobs[task.job].workspace == record.workspace
            for _, run in rows
        )
        if held > most:
            detail = f"{run_label}: CPU {held} of {most} for {record.workspace}"
            self.ledger.add_violation("quota", record.id, detail)

    def _highest_cpu(self, name) -> float:
        """Return the highest quota of the last seconds."""
        quotas = self.quotas[name]
        since_s = self.ledger.now() - CHANGE_LIMIT_S
        ends_s = [at_s for at_s, _ in quotas[1:]] + [math.inf]
        recent = [
            cpu or math.inf
            for (_, cpu), end_s in zip(quotas, ends_s, strict=True)
            if end_s > since_s
        ]
        return max(recent)
