"""Faults of a soak test that concern the replies and the clocks of runners."""

import asyncio

import attrs

from wasabipaddle.soak.platform import CELL, STORE

__all__ = ["RunnerDisruptions"]

OVERTAKING_S = 0.5
LIST_GAP_S = 0.4
# Longer than the usual faults, so that many orders and inventories meet.
MIN_CONCURRENT_S = 3.0
MAX_CONCURRENT_S = 8.0
# A runner that stands still for longer could be taken for one whose leases are over.
MIN_FROZEN_S = 1.0
MAX_FROZEN_S = 2.0
# Time in which the runner answers again, and length of the cut that follows, during
# which its lease runs out.
REACHABLE_S = 2.0
UNREACHABLE_S = 8.0


class RunnerDisruptions:
    """Injects faults into the concurrent handling of calls by runners.

    Parameters
    ----------
    platform : SoakPlatform
        Runners and link.
    random : random.Random
        Random number generator for all choices.
    """

    def __init__(self, *, platform, random):
        self.platform = platform
        self.random = random

    async def _disturb(self, **changes):
        """Disturb half of the runners for some seconds."""
        names = sorted(self.platform.runners)
        chosen = self.random.sample(names, max(1, len(names) // 2))
        runners = [self.platform.runners[name] for name in chosen]
        for runner in runners:
            runner.faults = attrs.evolve(runner.faults, **changes)
        seconds = self.random.uniform(MIN_CONCURRENT_S, MAX_CONCURRENT_S)
        await asyncio.sleep(seconds)
        for runner in runners:
            restored = dict.fromkeys(changes, 0.0)
            runner.faults = attrs.evolve(runner.faults, **restored)
        return f"{','.join(chosen)} for {seconds:.1f} s,"

    async def replies_overtake(self, seconds):
        """Delay each reply by its own time."""
        return await self._disturb(overtaking_s=OVERTAKING_S)

    async def lists_read_in_parts(self, seconds):
        """Read the lists and the clock of each inventory at different moments."""
        return await self._disturb(list_gap_s=LIST_GAP_S)

    async def runner_restarted(self, seconds):
        """Restart a runner; replies of its earlier life arrive later."""
        name = self.platform.choose_runner(self.random)
        self.platform.clients[name].restart(self.platform.next_incarnation())
        return name

    async def runner_frozen(self, seconds):
        """Let a runner stand still, answer again, and lose its connections then."""
        name = self.platform.choose_runner(self.random)
        client, link = self.platform.clients[name], self.platform.link
        if name in self.platform.reserved_runners:
            return "none"
        seconds = self.random.uniform(MIN_FROZEN_S, MAX_FROZEN_S)
        self.platform.reserved_runners.add(name)
        client.freeze()
        await asyncio.sleep(seconds)
        client.unfreeze()
        await asyncio.sleep(REACHABLE_S)
        for place in (CELL, STORE):
            link.cut(name, place)
        await asyncio.sleep(UNREACHABLE_S)
        for place in (CELL, STORE):
            link.restore(name, place)
        self.platform.reserved_runners.discard(name)
        return f"{name} for {seconds:.1f} s,"
