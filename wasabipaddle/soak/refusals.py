"""Versions of the configuration while the store refuses some processes."""

import asyncio

import attrs

from wasabipaddle.soak.platform import STORE
from wasabipaddle.soak.queues import QUEUES

__all__ = ["Refusals"]

MIN_REFUSAL_S = 11.0
MAX_REFUSAL_S = 16.0
# Largest share of the processes that the store refuses, the leader included.
MAX_SHARE = 0.6
RESTART_PROBABILITY = 0.5
MIN_INTERVAL_S = 0.3
MAX_INTERVAL_S = 1.2
# Time within which a version must be in force, also at processes that the store refuses
# but that run undisturbed for `CONTACT_S`.
VERSION_BOUND_S = 8.5
CONTACT_S = 4.0
# Faults beside which the bound holds, as they do not separate the processes.
HARMLESS_PREFIXES = ("runner", "versions_refused", "process_killed", "store_refuses")


class Refusals:
    """Adds queues in quick succession while the store refuses some processes.

    Parameters
    ----------
    platform : SoakPlatform
        Store, and the configuration.
    cell : CellProcesses
        Processes.
    faults : SoakFaults
        Gives the other faults in progress, and asks all processes for a queue.
    random : random.Random
        Random number generator for all choices.

    Attributes
    ----------
    separated_s : float
        Last time at which a fault that may separate processes was in progress.
    """

    def __init__(self, *, platform, cell, faults, random):
        self.platform = platform
        self.cell = cell
        self.faults = faults
        self.random = random
        self.count = 0
        self.separated_s = 0.0

    async def versions_refused(self, seconds):
        """Refuse the leader and others, restart some of them, and store versions."""
        names = self._choose_processes()
        refused = self.platform.memory.refused_clients
        seconds = self.random.uniform(MIN_REFUSAL_S, MAX_REFUSAL_S)
        clock = self.faults.ledger
        until_s = clock.now() + seconds
        added = []
        refused.update(names)
        try:
            while clock.now() < until_s:
                added.append((clock.now(), self._add_queue()))
                await asyncio.sleep(self.random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S))
                if self.random.random() < RESTART_PROBABILITY / seconds:
                    self._restart(names)
                await self._check(added)
        finally:
            refused.difference_update(names)
        return f"{','.join(sorted(names))}>{STORE} for {seconds:.1f} s,"

    def _choose_processes(self):
        """Return the leader, if there is one, and others."""
        processes = self.platform.processes
        count = self.random.randint(1, max(1, int(MAX_SHARE * len(processes))))
        names = set(self.random.sample(processes, count))
        leader = self.platform.leader()
        if leader in processes and leader not in names:
            names.pop()
            names.add(leader)
        return names

    def _restart(self, names):
        """Kill one of the refused processes, which is then started again."""
        staying = sorted(names.intersection(self.platform.processes))
        if staying:
            self.cell.kill(self.random.choice(staying))

    def _add_queue(self):
        """Store a version with a further queue."""
        self.count += 1
        name = f"r{self.count}"
        queue = attrs.evolve(QUEUES[0], name=name, prefix=f"/{name}/")
        self.platform.configure((*self.platform.queues, queue))
        return queue

    async def _check(self, added):
        """Check that all processes know the latest queue that is due.

        Another operation may have removed it since.
        """
        now = self.faults.ledger.now()
        names = self.faults.active_names
        if any(not name.startswith(HARMLESS_PREFIXES) for name in names):
            self.separated_s = now
        due = [
            queue
            for stored_s, queue in added
            if stored_s < now - VERSION_BOUND_S and queue in self.platform.queues
        ]
        if due and now - max(self.separated_s, self.faults.last_end_s) > CONTACT_S:
            await self.faults.probe(due[-1])
