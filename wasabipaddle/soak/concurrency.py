"""Runner that handles calls concurrently, so that replies may be old when they arrive.

The stand-in of a runner takes each reply at one moment. A real runner reads its lists
while it carries out orders, and its replies travel on several connections.
"""

import asyncio
import random

import attrs
from result import Ok

from wasabipaddle.interfaces import OrderReply, Refusal, RunnerClient

__all__ = ["ConcurrentRunner"]

# Time between the restart of a runner and the replies of its earlier life.
MIN_LATE_REPLY_S = 0.1
MAX_LATE_REPLY_S = 0.8
# Clock reading of a runner that has just started.
MAX_START_CLOCK_S = 3.0


class ConcurrentRunner(RunnerClient):
    """Carries calls to a runner and takes its replies apart in time.

    Parameters
    ----------
    runner : MemoryRunner
        Runner, whose `faults` say how replies are delayed.
    seed : float
        Seed of all random choices.
    admits : callable
        Returns whether a start order has the ticket that it needs on a runner.
    """

    def __init__(self, *, runner, seed, admits=lambda order, runner: True):
        self.runner = runner
        self.admits = admits
        self.random = random.Random(seed)
        self.awake = asyncio.Event()
        self.awake.set()
        self.waiting = set()

    def freeze(self):
        """Make the runner stand still; calls are carried out after `unfreeze`."""
        self.awake.clear()
        self.runner.freeze()

    def unfreeze(self):
        """Let the runner go on."""
        self.runner.unfreeze()
        self.awake.set()

    def restart(self, incarnation):
        """Crash the runner; inventories in progress are answered by its earlier life.

        Their replies arrive after the first ones of the new life, whose clock starts
        anew.
        """
        for reply in self.waiting:
            if not reply.done():
                reply.set_result(self.runner.make_inventory(Refusal.NONE))
        clock_s = self.random.uniform(0.0, MAX_START_CLOCK_S)
        self.runner.crash(incarnation, clock_s=clock_s)

    async def _deliver(self, reply):
        """Return a reply after the delay of a fault."""
        overtaking_s = self.runner.faults.overtaking_s
        if overtaking_s:
            await asyncio.sleep(self.random.uniform(0.0, overtaking_s))
        await self.awake.wait()
        return reply

    async def start(self, order, *, timeout_s):
        """Start a run, unless its ticket is not valid."""
        await self.awake.wait()
        if not self.admits(order, self.runner.entry.id):
            return await self._deliver(Ok(self._refuse(Refusal.TICKET)))
        return await self._deliver(await self.runner.start(order, timeout_s=timeout_s))

    def _refuse(self, refusal):
        return OrderReply(
            clock_ms=self.runner.clock_ms(),
            refusal=refusal,
            incarnation=self.runner.entry.incarnation,
        )

    async def stop(self, task, run, *, epoch, timeout_s):
        """Stop a run."""
        await self.awake.wait()
        stopped = await self.runner.stop(task, run, epoch=epoch, timeout_s=timeout_s)
        return await self._deliver(stopped)

    async def pace(self, task, run, *, percent, epoch, timeout_s):
        """Set the speed of a run."""
        await self.awake.wait()
        paced = await self.runner.pace(
            task, run, percent=percent, epoch=epoch, timeout_s=timeout_s
        )
        return await self._deliver(paced)

    async def inventory(self, **options):
        """Extend the lease and return the runs in progress and the ended runs."""
        await self.awake.wait()
        earlier = asyncio.get_running_loop().create_future()
        present = asyncio.ensure_future(self.runner.inventory(**options))
        self.waiting.add(earlier)
        try:
            await asyncio.wait({earlier, present}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.waiting.discard(earlier)
            if not present.done():
                present.cancel()
        if earlier.done():
            delay_s = self.random.uniform(MIN_LATE_REPLY_S, MAX_LATE_REPLY_S)
            await asyncio.sleep(delay_s)
            return Ok(earlier.result())
        found = present.result()
        if found.is_ok() and found.ok().refusal is Refusal.NONE:
            found = Ok(await self._read_in_parts(found.ok()))
        return await self._deliver(found)

    async def _read_in_parts(self, first):
        """Return an inventory whose parts were read at different moments.

        The clock is read last, and at least one list first.
        """
        gap_s = self.random.uniform(0.0, self.runner.faults.list_gap_s)
        if not gap_s:
            return first
        await asyncio.sleep(gap_s)
        last = self.runner.make_inventory(Refusal.NONE)
        if last.incarnation != first.incarnation:
            return first
        mixed = self.random.choice(
            (
                {"running": first.running, "ended": first.ended},
                {"running": first.running, "ended": last.ended},
                {"running": last.running, "ended": first.ended},
            )
        )
        return attrs.evolve(last, **mixed)
