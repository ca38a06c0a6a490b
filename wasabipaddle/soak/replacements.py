"""Planned operations of a soak test that replace runners and processes in turn."""

import asyncio

__all__ = ["Replacements"]

LEAVES_IN_S = 2.5
MAX_PAUSE_S = 1.0
MAX_REPLACED = 3


class Replacements:
    """Replaces processes and runners one after the other.

    Parameters
    ----------
    platform : SoakPlatform
        Runners and addresses.
    cell : CellProcesses
        Processes.
    random : random.Random
        Random number generator for all choices.
    """

    def __init__(self, *, platform, cell, random):
        self.platform = platform
        self.cell = cell
        self.random = random

    async def processes_replaced(self, seconds):
        """Replace some processes by processes with other names, oldest first."""
        names = [n for n in self.platform.processes if n not in self.cell.stopping]
        replaced = names[: self.random.randint(1, MAX_REPLACED)]
        for name in replaced:
            if name in self.platform.processes:
                await self.cell.replace(name)
            await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))
        return ",".join(replaced)

    async def runners_replaced(self, seconds):
        """Replace some runners by runners with other names, oldest first."""
        free = set(self.platform.runners) - self.platform.reserved_runners
        replaced = sorted(free)[: self.random.randint(1, MAX_REPLACED)]
        for name in replaced:
            runner = self.platform.runners.get(name)
            if runner is None or runner.entry.draining:
                continue
            await self.platform.replace_runner(name, LEAVES_IN_S)
            await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))
        return ",".join(replaced)
