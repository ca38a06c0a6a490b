"""Versions in force beside random refusals of the store, restarts and takeovers."""

import asyncio
import math
import random

import pytest

from wasabipaddle.cell.events import LeadershipGained
from wasabipaddle.cell.tests.connected_cell import BOUND_S, SETTLE_S, play_connected

COUNT = 12
LENGTH_S = 36.0
# Time after the last fault of the store, or after its own start, from which a process
# is held to the bound, and what an unsteady store adds to the bound.
CONTACT_S = 5.0
STRETCH_S = 8.0
CHECK_S = 0.05


class RandomFaults:
    """Faults and versions in a cell, and the times from which versions are due.

    Attributes
    ----------
    started_s : dict of str to float
        Time of the last start of each process that has been restarted, by name.
    calm_s : float
        Time since which the store refuses nobody.
    stored_s : dict of int to float
        Time at which each version was stored.
    """

    def __init__(self, cell, seed):
        self.cell = cell
        self.random = random.Random(seed)
        self.started_s = {}
        self.calm_s = 0.0
        self.stored_s = {1: -math.inf}
        for name in cell.processes:
            self._follow_leaderships(name)

    def now(self):
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    def _follow_leaderships(self, name):
        """Let every other new leader be too busy to send its first messages in time."""
        events = self.cell[name].context.bus.events(LeadershipGained)
        events.subscribe(lambda _: self._delay(name))

    def _delay(self, name):
        if self.random.random() < 0.5:
            self.cell.delay_messages(name, self.random.uniform(0.3, 1.2))

    def _choose(self):
        """Return any process, more often the leader."""
        leaders = self.cell.leaders()
        if leaders and self.random.random() < 0.5:
            return self.random.choice(leaders)
        return self.random.choice(list(self.cell.processes))

    async def refuse(self):
        """Have the store refuse some processes for a while, again and again."""
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 6.0))
            count = self.random.choice([1, COUNT // 3, COUNT // 2])
            names = self.random.sample(list(self.cell.processes), count)
            self.cell.memory.refused_clients = {self._choose(), *names}
            await asyncio.sleep(self.random.uniform(7.0, 20.0))
            self.cell.memory.refused_clients = set()
            self.calm_s = self.now()

    async def restart(self):
        """Restart single processes."""
        while True:
            await asyncio.sleep(self.random.uniform(1.0, 6.0))
            name = self._choose()
            await self.cell.restart(name)
            self.started_s[name] = self.now()
            self._follow_leaderships(name)

    async def store(self):
        """Store versions, some of them in quick succession."""
        while True:
            await asyncio.sleep(self.random.choice([0.3, 0.3, 1.0, 3.0]))
            version = max(self.stored_s) + 1
            self.cell.store_version(version)
            self.stored_s[version] = self.now()

    def find_late(self):
        """Return the processes that answer as an older version says for too long."""
        now = self.now()
        refused = self.cell.memory.refused_clients or now < self.calm_s + CONTACT_S
        due_s = now - BOUND_S - (STRETCH_S if refused else 0.0)
        due = max(v for v, stored_s in self.stored_s.items() if stored_s <= due_s)
        return {
            name
            for name, version in self.cell.versions().items()
            if 0 < version < due
            and now - self.started_s.get(name, -CONTACT_S) > CONTACT_S
        }


@pytest.mark.parametrize("seed", [3, 15, 29])
def test_every_version_is_in_force_in_time_beside_refusals_and_restarts(seed):
    """Guards against a process that depends on one other, which may be out of date."""

    async def scenario(cell):
        faults = RandomFaults(cell, seed)
        tasks = [
            asyncio.ensure_future(run())
            for run in (faults.refuse, faults.restart, faults.store)
        ]
        late = set()
        while faults.now() < SETTLE_S + LENGTH_S:
            await asyncio.sleep(CHECK_S)
            late |= faults.find_late()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return late

    assert play_connected(scenario, count=COUNT) == set()
