"""Fault of a soak test that makes many ends of runs wait at one runner."""

import asyncio

__all__ = ["EndBursts"]

JOBS = 13
# Time from the submission of the jobs to the first end, and time in which they end.
LEAD_S = 7.0
ENDS_SPAN_S = 3.0
OUTAGE_S = 4.5
AFTER_S = 6.0


class EndBursts:
    """Lets more tasks end on one runner than one inventory lists.

    Parameters
    ----------
    platform : SoakPlatform
        Store and runners.
    ledger : SoakLedger
        Clock of the soak test.
    random : random.Random
        Random number generator for all choices.
    submit : callable
        Submits a job of 50 tasks for the runners with a label and with a duration.
    """

    def __init__(self, *, platform, ledger, random, submit):
        self.platform = platform
        self.ledger = ledger
        self.random = random
        self.submit = submit

    async def ends_wait(self, seconds):
        """Let the tasks of a runner end while the store is down.

        Their ends can't be acknowledged before the store is back. The runner stays
        reserved, as no other has the label that the tasks require.
        """
        memory = self.platform.memory
        label = f"burst-{self.platform.runners_created}"
        name = await self.platform.add_runner(rack=label)
        self.platform.reserved_runners.add(name)
        runner = self.platform.runners[name]
        for _ in range(JOBS):
            self.submit(label, LEAD_S + self.random.uniform(0.0, ENDS_SPAN_S))
        await asyncio.sleep(LEAD_S)
        memory.down = True
        await asyncio.sleep(OUTAGE_S)
        waiting = len(runner.ends)
        memory.down = False
        await asyncio.sleep(AFTER_S)
        return f"{name}, {waiting} ends waited,"
