"""Random, overlapping faults of a soak test."""

import asyncio
import math

import attrs

from wasabipaddle.soak.bursts import EndBursts
from wasabipaddle.soak.keys import KeyRemovals
from wasabipaddle.soak.names import (
    ALL_FAULTS,
    BASIC_DISRUPTIONS,
    BASIC_OPERATIONS,
    SINGLE_FAULTS,
    WATCHED_FAULTS,
)
from wasabipaddle.soak.odd_entries import OddEntries
from wasabipaddle.soak.partitions import Partitions
from wasabipaddle.soak.platform import CALLERS, CELL, STORE
from wasabipaddle.soak.queues import QUEUES
from wasabipaddle.soak.refusals import Refusals
from wasabipaddle.soak.replacements import Replacements
from wasabipaddle.soak.runner_faults import RunnerDisruptions

__all__ = ["SoakFaults"]

MIN_GAP_S = 0.3
MAX_GAP_S = 2.5
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0
MAX_CONCURRENT = 3
SERIES_PROBABILITY = 0.25
MAX_SERIES = 3
SLOW_STORE_LATENCY_S = 0.3
LATE_WRITE_S = 2.0
LOSS_PROBABILITY = 0.4
ADDED_LATENCY_S = 0.25
LEAVES_IN_S = 2.5
# Every process has to apply a configuration within CONFIGURATION_TIMEOUT_S after it was
# stored, unless there was a fault after it or within SETTLE_S before it.
CONFIGURATION_TIMEOUT_S = 2.5
SETTLE_S = 4.0


class SoakFaults:
    """Injects faults into store, link, runners and processes.

    Parameters
    ----------
    platform : SoakPlatform
        Stand-ins and link.
    cell : CellProcesses
        Processes.
    ledger : SoakLedger
        Clock of the soak test.
    random : random.Random
        Random number generator for all choices.
    names : tuple of str
        Faults and planned operations to choose from.

    Attributes
    ----------
    log : list of str
        Faults and planned operations in the order in which they ended.
    probe : callable
        Called with a queue to check that all processes know it.
    submit_burst : callable
        Called with a label and a duration in seconds to submit many small tasks.
    submit_spread : callable
        Called with a number of tasks to submit a lasting job, one task on a runner.
    call : callable
        Called with a process, a queue, a job and a key to ask for the phase of the job.
    """

    def __init__(self, *, platform, cell, ledger, random, names=ALL_FAULTS):
        self.platform = platform
        self.cell = cell
        self.ledger = ledger
        self.random = random
        self.log = []
        self.probe = None
        self.submit_burst = None
        self.submit_spread = None
        self.call = None
        self.names = names
        self.active_names = []
        self.queues_added = 0
        self.last_end_s = -SETTLE_S
        self.last_disturbance_s = -SETTLE_S
        self.tasks = set()

        def submit(label, work_s):
            self.submit_burst(label, work_s)

        partitions = Partitions(
            platform=platform,
            random=random,
            faults=self,
            submit=submit,
            submit_spread=lambda count: self.submit_spread(count),
        )
        concurrency = RunnerDisruptions(platform=platform, random=random)
        replacements = Replacements(platform=platform, cell=cell, random=random)
        odd = OddEntries(platform=platform, ledger=ledger, random=random, faults=self)
        bursts = EndBursts(
            platform=platform,
            ledger=ledger,
            random=random,
            submit=submit,
        )
        removals = KeyRemovals(
            platform=platform,
            cell=cell,
            ledger=ledger,
            random=random,
            call=lambda *arguments, **options: self.call(*arguments, **options),
        )
        refusals = Refusals(platform=platform, cell=cell, faults=self, random=random)
        self.disruptions = {
            **{name: getattr(self, f"_{name}") for name in BASIC_DISRUPTIONS},
            "partition": partitions.partition,
            "channels_silent": partitions.channels_silent,
            "ends_wait": bursts.ends_wait,
            "replies_overtake": concurrency.replies_overtake,
            "lists_read_in_parts": concurrency.lists_read_in_parts,
            "runner_restarted": concurrency.runner_restarted,
            "runner_frozen": concurrency.runner_frozen,
            "odd_entries": odd.odd_entries,
            "keys_removed": removals.keys_removed,
            "versions_refused": refusals.versions_refused,
        }
        # Planned operations, which must not interrupt calls in progress.
        self.planned = {
            **{name: getattr(self, f"_{name}") for name in BASIC_OPERATIONS},
            "processes_replaced": replacements.processes_replaced,
            "runners_replaced": replacements.runners_replaced,
        }

    @property
    def last_fault_end_s(self) -> float:
        """End of the last fault that was not planned, or now if one is active."""
        active = any(name in self.disruptions for name in self.active_names)
        return self.ledger.now() if active else self.last_end_s

    @property
    def last_disturbance_end_s(self) -> float:
        """As `last_fault_end_s`, without the waits for the effect of a fault."""
        calm = WATCHED_FAULTS.union(self.planned)
        active = any(name not in calm for name in self.active_names)
        if active:
            return self.ledger.now()
        last_s = self.ledger.last_fault_end_s
        return max(self.last_disturbance_s, last_s if math.isfinite(last_s) else 0.0)

    def record_disturbance(self):
        """Note that there is a disturbance at this moment."""
        self.last_disturbance_s = self.ledger.now()

    async def run(self, until_s):
        """Inject faults until `until_s` on the clock of the ledger."""
        while self.ledger.now() < until_s:
            await asyncio.sleep(self.random.uniform(MIN_GAP_S, MAX_GAP_S))
            name = self.random.choice(self.names)
            count = 1
            if self.random.random() < SERIES_PROBABILITY and name not in SINGLE_FAULTS:
                count = self.random.randint(2, MAX_SERIES)
            alone = name not in SINGLE_FAULTS or name not in self.active_names
            if len(self.tasks) < MAX_CONCURRENT and alone:
                task = asyncio.get_running_loop().create_task(self._inject(name, count))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(list(self.tasks))

    async def _inject(self, name, count):
        disrupts = name in self.disruptions
        inject = self.disruptions.get(name) or self.planned[name]
        for _ in range(count):
            seconds = self.random.uniform(MIN_DURATION_S, MAX_DURATION_S)
            self.active_names.append(name)
            try:
                target = await inject(seconds)
            finally:
                self.active_names.remove(name)
                if disrupts:
                    self.last_end_s = self.ledger.now()
                if disrupts and name not in WATCHED_FAULTS:
                    self.record_disturbance()
            self.log.append(f"{self.ledger.now():.1f} {name} {target} {seconds:.1f} s")

    def _choose_process(self):
        """Return a process: the leader with probability 0.5, otherwise any."""
        leader = self.platform.leader()
        if leader in self.platform.processes and self.random.random() < 0.5:
            return leader
        return self.random.choice(self.platform.processes)

    def _choose_runner(self):
        return self.platform.choose_runner(self.random)

    async def _store_down(self, seconds):
        self.platform.memory.down = True
        await asyncio.sleep(seconds)
        self.platform.memory.down = False
        return STORE

    async def _store_slow(self, seconds):
        memory = self.platform.memory
        before, memory.latency_s = memory.latency_s, SLOW_STORE_LATENCY_S
        await asyncio.sleep(seconds)
        memory.latency_s = min(before, memory.latency_s)
        return STORE

    async def _store_loses_answers(self, seconds):
        memory = self.platform.memory
        memory.lost_share, memory.delay_s = LOSS_PROBABILITY, 0.0
        await asyncio.sleep(seconds)
        memory.lost_share = 0.0
        return STORE

    async def _store_writes_late(self, seconds):
        memory = self.platform.memory
        memory.lost_share, memory.delay_s = LOSS_PROBABILITY, LATE_WRITE_S
        await asyncio.sleep(seconds)
        memory.lost_share = 0.0
        return STORE

    async def _store_refuses_one(self, seconds):
        name = self._choose_process()
        self.platform.memory.refused_clients.add(name)
        await asyncio.sleep(seconds)
        self.platform.memory.refused_clients.discard(name)
        return name

    async def _store_forgets_history(self, seconds):
        self.platform.memory.forget_history()
        return STORE

    async def _leader_key_revoked(self, seconds):
        self.platform.revoke_leader()
        return STORE

    async def _store_cut(self, seconds):
        return await self._cut(self._choose_process(), STORE, seconds)

    async def _store_cut_one_way(self, seconds):
        """Deliver calls to the store but hold back its answers."""
        return await self._cut(STORE, self._choose_process(), seconds, one_way=True)

    async def _process_cut(self, seconds):
        name = self._choose_process()
        for place in (STORE, CELL, CALLERS):
            self.platform.link.cut(name, place)
        await asyncio.sleep(seconds)
        for place in (STORE, CELL, CALLERS):
            self.platform.link.restore(name, place)
        return name

    async def _process_silent(self, seconds):
        name = self._choose_process()
        for place in (STORE, CELL):
            self.platform.link.silence(name, place)
        return name

    async def _process_reset(self, seconds):
        name = self._choose_process()
        for place in (STORE, CELL, CALLERS):
            self.platform.link.reset(name, place)
        return name

    async def _process_delayed(self, seconds):
        name = self._choose_process()
        for place in (STORE, CELL):
            self.platform.link.set_extra_latency(name, place, ADDED_LATENCY_S)
        await asyncio.sleep(seconds)
        for place in (STORE, CELL):
            self.platform.link.set_extra_latency(name, place, 0.0)
        return name

    async def _process_killed(self, seconds):
        name = self._choose_process()
        self.cell.kill(name)
        return name

    async def _process_paused(self, seconds):
        name = self._choose_process()
        await self.cell.pause(name, seconds)
        return name

    async def _process_reloaded(self, seconds):
        name = self._choose_process()
        self.cell.reload(name)
        return name

    async def _all_killed(self, seconds):
        for name in self.platform.processes:
            self.cell.kill(name)
        return "all"

    async def _runner_crashed(self, seconds):
        name = self._choose_runner()
        self.platform.crash(name)
        return name

    async def _runner_cut(self, seconds):
        name = self._choose_runner()
        self.platform.link.cut(name, STORE)
        return await self._cut(name, CELL, seconds)

    async def _runner_cut_one_way(self, seconds):
        """Deliver orders to a runner but hold back its answers."""
        return await self._cut(self._choose_runner(), CELL, seconds, one_way=True)

    async def _cut(self, source, target, seconds, *, one_way=False):
        """Cut the link between two places for some time.

        The link from `source` to the store, which `_runner_cut` cuts too, is restored
        as well.
        """
        self.platform.link.cut(source, target, one_way=one_way)
        await asyncio.sleep(seconds)
        self.platform.link.restore(source, target)
        self.platform.link.restore(source, STORE)
        return f"{source}>{target}"

    async def _runner_silent(self, seconds):
        name = self._choose_runner()
        self.platform.link.silence(name, CELL)
        return name

    async def _runner_fault(self, seconds, **changes):
        runner = self.platform.runners[self._choose_runner()]
        before = runner.faults
        runner.faults = attrs.evolve(before, **changes)
        await asyncio.sleep(seconds)
        runner.faults = before
        return runner.entry.id

    async def _runner_orders_late(self, seconds):
        return await self._runner_fault(seconds, late_share=0.5)

    async def _runner_answers_lost(self, seconds):
        return await self._runner_fault(seconds, lost_share=0.5)

    async def _runner_failing(self, seconds):
        return await self._runner_fault(seconds, failing=True)

    async def _runner_stalled(self, seconds):
        return await self._runner_fault(seconds, stalled=True)

    async def _runner_slow(self, seconds):
        return await self._runner_fault(seconds, slowness=4.0)

    async def _process_stopped(self, seconds):
        name = self._choose_process()
        if name not in self.cell.stopping:
            self.cell.terminate(name)
        return name

    async def _processes_restarted_in_turn(self, seconds):
        for name in list(self.platform.processes):
            if name not in self.cell.stopping:
                self.cell.terminate(name)
            await asyncio.sleep(seconds)
        return "all"

    async def _runner_replaced(self, seconds):
        name = self._choose_runner()
        runner = self.platform.runners[name]
        if not runner.entry.draining and name not in self.platform.reserved_runners:
            await self.platform.replace_runner(name, LEAVES_IN_S)
        return name

    async def _configured(self, seconds):
        """Add a queue and check later that all processes know it.

        The check is skipped if there was a newer configuration or a recent fault.
        """
        self.queues_added += 1
        queue = attrs.evolve(
            QUEUES[0], name=f"q{self.queues_added}", prefix=f"/q{self.queues_added}/"
        )
        version = self.platform.configure((*QUEUES, queue))
        sent_s = self.ledger.now()
        await asyncio.sleep(CONFIGURATION_TIMEOUT_S)
        newest = version == self.platform.version
        if newest and self.last_fault_end_s < sent_s - SETTLE_S:
            await self.probe(queue)
        return f"version {version}"
