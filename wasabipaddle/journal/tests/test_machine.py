"""Stateful test of elections and journals on a store with fault injection."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wasabipaddle.clock import VirtualTimeLoop
from wasabipaddle.exceptions import Outcome
from wasabipaddle.journal import LeaderStarted, RunAccepted, SnapshotTaken
from wasabipaddle.journal.tests.shard import Process, Shard, accepted, make_journal
from wasabipaddle.standins import MemoryStore, StoreFaults

NAMES = ("a", "b", "c")
RECOVERY_S = 30.0

names = st.sampled_from(NAMES)


class ShardMachine(RuleBasedStateMachine):
    """Appends, pauses, resumptions, restarts and store faults in any order.

    Guards against two writers of one epoch, epochs out of order, a key that is reused
    by another operation, a confirmed record that is lost, a record that was reported
    as "not run" and is in the journal anyway, and a record that was written twice.
    """

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.runs = {}
        self.loop.run_until_complete(self._start())

    async def _start(self):
        self.store = MemoryStore()
        self.shard = Shard(self.store, NAMES)
        await asyncio.sleep(1.0)

    def sleep(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.6, 4.0, 9.0]))
    def advance(self, seconds):
        self.sleep(seconds)

    @rule(count=st.sampled_from([1, 3, 10]))
    def append(self, count):
        self.loop.run_until_complete(self._append(count))

    async def _append(self, count):
        """Append on every process that leads or has led."""
        for _ in range(count):
            for process in self.shard.processes.values():
                if process.journal is not None:
                    run = f"r{len(self.runs)}"
                    self.runs[run] = process.journal.submit(accepted(run))
            await asyncio.sleep(0.06)

    @rule(seconds=st.sampled_from([0.0, 1.6, 8.0, 40.0]))
    def pause_leaders(self, seconds):
        for process in self.shard.processes.values():
            if process.election.leading:
                self.pause(process.name)
        self.sleep(seconds)

    def pause(self, name):
        if name not in self.shard.silent_since:
            self.shard.silent_since[name] = self.loop.time()
            self.shard.processes[name].pause()

    @rule(name=names)
    def resume(self, name):
        self.loop.run_until_complete(self._resume(name))

    async def _resume(self, name):
        if self.shard.silent_since.pop(name, None) is not None:
            self.shard.processes[name].resume()

    @rule(name=names)
    def restart(self, name):
        self.loop.run_until_complete(self._restart(name))

    async def _restart(self, name):
        self.shard.silent_since.pop(name, None)
        await self.shard.processes[name].kill()
        self.shard.processes[name] = Process(self.shard, name)

    @rule(
        fault=st.sampled_from(
            [
                {},
                {"down": True},
                {"hang": True},
                {"lost_answer": 0.5},
                {"lost_answer": 1.0},
                {"lost_call": 0.5},
                {"extra_latency_s": 2.5},
            ]
        )
    )
    def set_fault(self, fault):
        self.store.faults = StoreFaults(**fault)

    @invariant()
    def one_writer_per_epoch(self):
        writers = {}
        for _, batch in self.shard.batches:
            process, incarnation, _, _ = batch.operation.rsplit(".", 3)
            writers.setdefault(batch.epoch, set()).add((process, incarnation))
        assert all(len(w) == 1 for w in writers.values())

    @invariant()
    def epochs_never_fall(self):
        batches = sorted(self._batches_in_force(), key=lambda item: item[0])
        epochs = [batch.epoch for _, batch in batches]
        assert epochs == sorted(epochs)
        # A delayed append may recreate its own batch after compaction deleted it, but
        # no other operation may write to the same key.
        operations = {key: batch.operation for key, batch in batches}
        assert all(operations[key] == b.operation for key, b in batches)

    def _batches_in_force(self):
        """Return the stored batches but for late starts that a snapshot had covered.

        The start of a new leader may be delayed until compaction has deleted the batch
        under its sequence number. It then holds no record but the start, and its
        writer starts again after the last batch.
        """
        covered, kept = 0, []
        for key, batch in self.shard.batches:
            starts_only = all(isinstance(r, LeaderStarted) for r in batch.records)
            if starts_only and int(key.rpartition("/")[2]) <= covered:
                continue
            kept.append((key, batch))
            for record in batch.records:
                if isinstance(record, SnapshotTaken):
                    covered = max(covered, record.sequence)
        return kept

    def teardown(self):
        self.loop.run_until_complete(self._check())
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        self.loop.close()

    async def _check(self):
        self.store.faults = StoreFaults()
        for name in NAMES:
            await self._resume(name)
        await asyncio.sleep(RECOVERY_S)
        assert sum(p.election.leading for p in self.shard.processes.values()) == 1
        reader = make_journal(self.store.client("reader"), "reader")
        live = (await reader.recover(10_000)).unwrap()
        batches = {batch.operation: batch for _, batch in self.shard.batches}
        written = [
            record.run
            for batch in batches.values()
            for record in batch.records
            if isinstance(record, RunAccepted)
        ]
        assert len(written) == len(set(written))
        assert set(written) == set(live.runs)
        leader = next(p for p in self.shard.processes.values() if p.election.leading)
        assert set(written) == set(leader.journal.live.runs)
        for run, done in self.runs.items():
            assert done.done()
            result = done.result()
            if result.is_ok():
                assert run in live.runs
            elif result.unwrap_err().outcome is Outcome.NOT_RUN:
                assert run not in live.runs
        assert any(isinstance(r, LeaderStarted) for r in live.records())
        await reader.close()


TestShard = ShardMachine.TestCase
TestShard.settings = settings(max_examples=50, stateful_step_count=40, deadline=None)
