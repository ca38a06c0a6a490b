"""Simulated eligibility service of a soak test."""

import asyncio

from result import Ok

from wasabipaddle.interfaces import Advice, AdviceClient
from wasabipaddle.soak.queues import ADVICE

__all__ = ["PARTS", "EligibilityService", "SoakEligibility"]

# A step may not run on one in `PARTS` of the runners.
PARTS = 3


class SoakEligibility:
    """Decides which runners may run a step, and knows the valid tickets.

    Parameters
    ----------
    ledger : SoakLedger
        Jobs and clock.

    Attributes
    ----------
    expiry_s : dict of str to float
        Latest expiry of each ticket.
    """

    def __init__(self, *, ledger):
        self.ledger = ledger
        self.expiry_s = {}

    def policy(self, job):
        """Return the policy of the queue of a job, None if it needs no tickets."""
        record = self.ledger.jobs.get(job)
        return record.queue.advice if record else ADVICE

    def is_eligible(self, job, step, runner) -> bool:
        """Return whether a step may run on a runner; always, if it needs no tickets."""
        if self.policy(job) is None:
            return True
        if not _is_own(runner):
            return False
        # Runners are numbered consecutively, so some are always eligible.
        excluded = (int(job, 16) + step) % PARTS
        return int(runner.removeprefix("w")) % PARTS != excluded

    def issue(self, job, step, runners) -> dict[str, str]:
        """Return a ticket for each eligible runner."""
        tickets = {
            runner: f"{job}.{step}.{runner}"
            for runner in runners
            if self.is_eligible(job, step, runner)
        }
        expiry_s = self.ledger.now() + self.policy(job).valid_s
        self.expiry_s.update(dict.fromkeys(tickets.values(), expiry_s))
        return tickets

    def admits(self, order, runner) -> bool:
        """Return whether a start order has a valid ticket or needs none."""
        if order.task.job not in self.ledger.jobs:
            return True  # the ledger reports the order
        if self.policy(order.task.job) is None:
            return True
        own = order.ticket == f"{order.task.job}.{order.task.step}.{runner}"
        return own and self.ledger.now() < self.expiry_s.get(order.ticket, 0.0)


class EligibilityService(AdviceClient):
    """Eligibility service as one process reaches it; serves one call at a time.

    Parameters
    ----------
    eligibility : SoakEligibility
        Issues the tickets.
    """

    def __init__(self, *, eligibility):
        self.eligibility = eligibility
        self.lock = asyncio.Lock()

    async def ask(self, *, job, occurrence, step, runners, timeout_s):
        """Return tickets for the eligible runners."""
        policy = self.eligibility.policy(job)
        async with self.lock:
            await asyncio.sleep(policy.base_s + policy.per_runner_s * len(runners))
        tickets = self.eligibility.issue(job, step, runners)
        return Ok(Advice(tickets=tickets, valid_s=policy.valid_s))


def _is_own(runner):
    """Return whether an id is that of a runner, and not one of an odd entry."""
    return runner.startswith("w") and runner[1:].isdecimal()
