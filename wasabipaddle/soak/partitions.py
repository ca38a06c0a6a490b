"""Faults of a soak test that separate the leader or silence many connections."""

import asyncio

from wasabipaddle.soak.platform import CALLERS, CELL, STORE

__all__ = ["Partitions"]

MIN_PARTITION_S = 4.0
MAX_PARTITION_S = 24.0
# Smallest and largest share of the runners on the side of the leader.
MIN_NEAR_SHARE = 0.1
MAX_NEAR_SHARE = 0.5
NEAR_OFF_STORE_PROBABILITY = 0.5
OFF_CALLERS_PROBABILITY = 0.5
# Share of the runners whose connections to a process fall silent.
MIN_SILENT_SHARE = 0.5
SILENCE_EFFECT_S = 15.0
# Bursts of small tasks make the processes open many connections to the runners.
BURSTS = 2
BURST_JOBS = 6
BURST_WORK_S = 0.5
BURST_INTERVAL_S = 2.0
# Runners beyond those that the tasks of a lasting job need.
SPARE_RUNNERS = 2


class Partitions:
    """Injects partitions of the cell and silent connections.

    Parameters
    ----------
    platform : SoakPlatform
        Stand-ins and link.
    random : random.Random
        Random number generator for all choices.
    faults : SoakFaults
        Learns of the moment at which connections fall silent.
    submit : callable
        Submits a job of 50 small tasks for the runners with a label (any if empty) and
        with a duration.
    submit_spread : callable
        Submits a lasting job with a number of tasks, each on a runner of its own.
    """

    def __init__(self, *, platform, random, faults, submit, submit_spread):
        self.platform = platform
        self.random = random
        self.faults = faults
        self.submit = submit
        self.submit_spread = submit_spread

    async def partition(self, seconds):
        """Cut off the leader with some runners, which only it reaches then.

        The leader reaches neither the store nor the other runners, and no process
        reaches it.
        """
        leader = self.platform.leader()
        if leader not in self.platform.processes:
            return "without a leader"
        seconds = self.random.uniform(MIN_PARTITION_S, MAX_PARTITION_S)
        near = self._choose_near_runners()
        cuts = [(leader, STORE), (leader, CELL)]
        if self.random.random() < OFF_CALLERS_PROBABILITY:
            cuts.append((leader, CALLERS))
        if self.random.random() < NEAR_OFF_STORE_PROBABILITY:
            cuts.extend((runner, STORE) for runner in near)
        for runner in self.platform.runners:
            others = [p for p in self.platform.processes if p != leader]
            separated = others if runner in near else [leader]
            cuts.extend((process, runner) for process in separated)
        for source, target in cuts:
            self.platform.link.cut(source, target)
        await asyncio.sleep(seconds)
        self._restore(cuts)
        return f"{leader} with {','.join(near)} for {seconds:.1f} s,"

    def _choose_near_runners(self):
        runners = sorted(self.platform.runners)
        share = self.random.uniform(MIN_NEAR_SHARE, MAX_NEAR_SHARE)
        return sorted(self.random.sample(runners, max(1, round(share * len(runners)))))

    def _restore(self, cuts):
        """Remove cuts, but not those of runners that have left meanwhile."""
        staying = {STORE, CELL, CALLERS, *self.platform.processes}
        staying.update(self.platform.runners)
        for source, target in cuts:
            if source in staying and target in staying:
                self.platform.link.restore(source, target)

    async def channels_silent(self, seconds):
        """Silence the open connections of several processes to one kind of target.

        The leader is one of the processes. The fault lasts until lasting tasks have to
        be at work again.
        """
        self.submit_spread(max(1, len(self.platform.runners) - SPARE_RUNNERS))
        for _ in range(BURSTS):
            for _ in range(BURST_JOBS):
                self.submit("", BURST_WORK_S)
            await asyncio.sleep(BURST_INTERVAL_S)
        processes = self.platform.processes
        count = self.random.randint(min(2, len(processes)), len(processes))
        chosen = self.random.sample(processes, count)
        leader = self.platform.leader()
        if leader in processes and leader not in chosen:
            chosen[0] = leader
        kind = self.random.choice(("runners", "runners", "store", "peers"))
        for process in chosen:
            for place in self._targets(kind):
                self.platform.link.silence(process, place)
        self.faults.record_disturbance()
        await asyncio.sleep(SILENCE_EFFECT_S)
        return f"{','.join(sorted(chosen))}>{kind}"

    def _targets(self, kind):
        if kind == "store":
            return [STORE]
        if kind == "peers":
            return [CELL]
        runners = sorted(self.platform.runners)
        share = self.random.uniform(MIN_SILENT_SHARE, 1.0)
        return self.random.sample(runners, max(1, round(share * len(runners))))
