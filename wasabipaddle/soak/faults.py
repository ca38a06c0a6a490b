"""Random series of overlapping faults, chosen by a seed."""

import asyncio

import attrs

from wasabipaddle.soak.platform import CALLERS, CELL, QUEUES, STORE

__all__ = ["SoakFaults"]

SHORTEST_GAP_S = 0.3
LONGEST_GAP_S = 2.5
SHORTEST_S = 0.3
LONGEST_S = 4.0
MOST_AT_ONCE = 3
SERIES_SHARE = 0.25
LONGEST_SERIES = 3
SLOW_ANSWER_S = 0.3
LATE_WRITE_S = 2.0
LOST_SHARE = 0.4
DELAY_S = 0.25
LEAVES_IN_S = 2.5
# A configuration is in force this long after its acknowledgement, where nothing was
# disturbed for CALM_S before.
CONFIGURED_S = 2.5
CALM_S = 4.0


class SoakFaults:
    """Injects faults into store, link, runners and processes.

    Parameters
    ----------
    platform : SoakPlatform
        Stand-ins and link.
    cell : CellProcesses
        Processes.
    ledger : SoakLedger
        Source of time.
    random : random.Random
        Source of all choices.

    Attributes
    ----------
    log : list of str
        Faults in the order of their time.
    probe : callable
        Asks all processes for a queue that they must know.
    """

    def __init__(self, *, platform, cell, ledger, random):
        self.platform = platform
        self.cell = cell
        self.ledger = ledger
        self.random = random
        self.log = []
        self.probe = None
        self.active = 0
        self.added = 0
        self.last_end_s = -CALM_S
        self.tasks = set()
        self.kinds = {
            "store_down": self._store_down,
            "store_slow": self._store_slow,
            "store_loses_answers": self._store_loses_answers,
            "store_writes_late": self._store_writes_late,
            "store_refuses_one": self._store_refuses_one,
            "store_forgets_history": self._store_forgets_history,
            "leader_key_revoked": self._leader_key_revoked,
            "store_cut": self._store_cut,
            "store_cut_one_way": self._store_cut_one_way,
            "process_cut": self._process_cut,
            "process_silent": self._process_silent,
            "process_reset": self._process_reset,
            "process_delayed": self._process_delayed,
            "process_killed": self._process_killed,
            "process_paused": self._process_paused,
            "process_reloaded": self._process_reloaded,
            "all_killed": self._all_killed,
            "runner_crashed": self._runner_crashed,
            "runner_cut": self._runner_cut,
            "runner_cut_one_way": self._runner_cut_one_way,
            "runner_silent": self._runner_silent,
            "runner_orders_late": self._runner_orders_late,
            "runner_answers_lost": self._runner_answers_lost,
            "runner_failing": self._runner_failing,
            "runner_stalled": self._runner_stalled,
            "runner_slow": self._runner_slow,
        }
        # Planned work, which must not disturb calls in progress.
        self.planned = {
            "process_stopped": self._process_stopped,
            "processes_restarted_in_turn": self._restarted_in_turn,
            "runner_replaced": self._runner_replaced,
            "configured": self._configured,
        }

    @property
    def disturbed_s(self) -> float:
        """Time until which anything but planned work disturbed the cell."""
        return self.ledger.now() if self.active else self.last_end_s

    async def run(self, until_s):
        """Inject faults until a time of the ledger."""
        names = [*self.kinds, *self.planned]
        while self.ledger.now() < until_s:
            await asyncio.sleep(self.random.uniform(SHORTEST_GAP_S, LONGEST_GAP_S))
            name = self.random.choice(names)
            count = 1
            if self.random.random() < SERIES_SHARE:
                count = self.random.randint(2, LONGEST_SERIES)
            if len(self.tasks) < MOST_AT_ONCE:
                task = asyncio.get_running_loop().create_task(self._inject(name, count))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(list(self.tasks))

    async def _inject(self, name, count):
        disturbs = name in self.kinds
        inject = self.kinds.get(name) or self.planned[name]
        for _ in range(count):
            seconds = self.random.uniform(SHORTEST_S, LONGEST_S)
            self.active += disturbs
            try:
                target = await inject(seconds)
            finally:
                self.active -= disturbs
                if disturbs:
                    self.last_end_s = self.ledger.now()
            self.log.append(f"{self.ledger.now():.1f} {name} {target} {seconds:.1f} s")

    def _process(self):
        """Return a process, often the leader."""
        leader = self.platform.leader()
        if leader in self.platform.processes and self.random.random() < 0.5:
            return leader
        return self.random.choice(self.platform.processes)

    def _runner(self):
        return self.random.choice(sorted(self.platform.runners))

    async def _store_down(self, seconds):
        self.platform.memory.down = True
        await asyncio.sleep(seconds)
        self.platform.memory.down = False
        return STORE

    async def _store_slow(self, seconds):
        memory = self.platform.memory
        before, memory.answer_s = memory.answer_s, SLOW_ANSWER_S
        await asyncio.sleep(seconds)
        memory.answer_s = min(before, memory.answer_s)
        return STORE

    async def _store_loses_answers(self, seconds):
        memory = self.platform.memory
        memory.lost_share, memory.delay_s = LOST_SHARE, 0.0
        await asyncio.sleep(seconds)
        memory.lost_share = 0.0
        return STORE

    async def _store_writes_late(self, seconds):
        memory = self.platform.memory
        memory.lost_share, memory.delay_s = LOST_SHARE, LATE_WRITE_S
        await asyncio.sleep(seconds)
        memory.lost_share = 0.0
        return STORE

    async def _store_refuses_one(self, seconds):
        name = self._process()
        self.platform.memory.refused.add(name)
        await asyncio.sleep(seconds)
        self.platform.memory.refused.discard(name)
        return name

    async def _store_forgets_history(self, seconds):
        self.platform.memory.forget_history()
        return STORE

    async def _leader_key_revoked(self, seconds):
        self.platform.revoke_leader()
        return STORE

    async def _store_cut(self, seconds):
        return await self._cut(self._process(), STORE, seconds)

    async def _store_cut_one_way(self, seconds):
        """Let calls reach the store, but no answers come back."""
        return await self._cut(STORE, self._process(), seconds, one_way=True)

    async def _process_cut(self, seconds):
        name = self._process()
        for place in (STORE, CELL, CALLERS):
            self.platform.link.cut(name, place)
        await asyncio.sleep(seconds)
        for place in (STORE, CELL, CALLERS):
            self.platform.link.restore(name, place)
        return name

    async def _process_silent(self, seconds):
        name = self._process()
        for place in (STORE, CELL):
            self.platform.link.silence(name, place)
        return name

    async def _process_reset(self, seconds):
        name = self._process()
        for place in (STORE, CELL, CALLERS):
            self.platform.link.reset(name, place)
        return name

    async def _process_delayed(self, seconds):
        name = self._process()
        for place in (STORE, CELL):
            self.platform.link.delay(name, place, DELAY_S)
        await asyncio.sleep(seconds)
        for place in (STORE, CELL):
            self.platform.link.delay(name, place, 0.0)
        return name

    async def _process_killed(self, seconds):
        name = self._process()
        self.cell.kill(name)
        return name

    async def _process_paused(self, seconds):
        name = self._process()
        await self.cell.pause(name, seconds)
        return name

    async def _process_reloaded(self, seconds):
        name = self._process()
        self.cell.reload(name)
        return name

    async def _all_killed(self, seconds):
        for name in self.platform.processes:
            self.cell.kill(name)
        return "all"

    async def _runner_crashed(self, seconds):
        name = self._runner()
        self.platform.crash(name)
        return name

    async def _runner_cut(self, seconds):
        name = self._runner()
        self.platform.link.cut(name, STORE)
        return await self._cut(name, CELL, seconds)

    async def _runner_cut_one_way(self, seconds):
        """Let orders reach a runner, but no answers come back."""
        return await self._cut(self._runner(), CELL, seconds, one_way=True)

    async def _cut(self, source, target, seconds, *, one_way=False):
        self.platform.link.cut(source, target, one_way=one_way)
        await asyncio.sleep(seconds)
        self.platform.link.restore(source, target)
        self.platform.link.restore(source, STORE)
        return f"{source}>{target}"

    async def _runner_silent(self, seconds):
        name = self._runner()
        self.platform.link.silence(name, CELL)
        return name

    async def _runner_fault(self, seconds, **changes):
        runner = self.platform.runners[self._runner()]
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
        name = self._process()
        if name not in self.cell.leaving:
            self.cell.terminate(name)
        return name

    async def _restarted_in_turn(self, seconds):
        for name in self.platform.processes:
            if name not in self.cell.leaving:
                self.cell.terminate(name)
            await asyncio.sleep(seconds)
        return "all"

    async def _runner_replaced(self, seconds):
        name = self._runner()
        runner = self.platform.runners[name]
        if not runner.entry.draining:
            await self.platform.add_runner()
            await self.platform.remove_runner(name, LEAVES_IN_S)
        return name

    async def _configured(self, seconds):
        """Add a queue, and check that all processes know it."""
        self.added += 1
        queue = attrs.evolve(
            QUEUES[0], name=f"q{self.added}", prefix=f"/q{self.added}/"
        )
        version = self.platform.configure((*QUEUES, queue))
        sent_s = self.ledger.now()
        await asyncio.sleep(CONFIGURED_S)
        newest = version == self.platform.version
        if newest and self.disturbed_s < sent_s - CALM_S:
            await self.probe(queue)
        return f"version {version}"
