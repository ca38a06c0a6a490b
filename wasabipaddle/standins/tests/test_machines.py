"""Stateful tests of the key space and the worker against simple models."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from wasabipaddle.clock import VirtualTimeLoop
from wasabipaddle.documents import Resources
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import TaskOrder, TaskPhase
from wasabipaddle.standins import Ledger, MemoryWorker, compute_verdict
from wasabipaddle.standins.keyspace import KeySpace
from wasabipaddle.standins.tests.conftest import make_start, make_sync

KEYS = st.sampled_from(["a/1", "a/2", "a/3", "b/1"])
TASKS = st.sampled_from([f"r/{i}" for i in range(6)])
SMALL = hypothesis.settings(max_examples=40, stateful_step_count=30)


class KeySpaceMachine(stateful.RuleBasedStateMachine):
    """Compares the key space with a dictionary of revisions."""

    def __init__(self):
        super().__init__()
        self.keys = KeySpace(history_limit=1000)
        self.revisions = {}
        self.seen = {}

    @stateful.rule(key=KEYS, expected=st.sampled_from(["any", "right", "wrong"]))
    def put(self, key, expected):
        """Write with no, the right or a wrong expected revision."""
        found = self.revisions.get(key, 0)
        wanted = {"any": None, "right": found, "wrong": found + 1}[expected]
        result = self.keys.put(key, b"", wanted, None, 0.0)
        assert result.is_ok() is (expected != "wrong")
        if result.is_ok():
            assert result.unwrap() > max(self.revisions.values(), default=0)
            self.revisions[key] = result.unwrap()

    @stateful.rule(key=KEYS)
    def delete(self, key):
        """Delete a key that may not exist."""
        result = self.keys.delete(key, None)
        assert result.is_ok() is (self.revisions.pop(key, None) is not None)

    @stateful.invariant()
    def listing_and_changes_agree(self):
        """Compare the listed pages and the replayed changes with the model."""
        listed, after = {}, ""
        while after is not None:
            page = self.keys.list("", after, 2).unwrap()
            listed |= {e.key: e.revision for e in page.entries}
            after = page.next_after
        replayed = {}
        for change in self.keys.changes_after("", 0).unwrap():
            replayed[change.key] = change
        live = {k: c.revision for k, c in replayed.items() if c.value is not None}
        assert listed == live == self.revisions


class WorkerMachine(stateful.RuleBasedStateMachine):
    """Exercises a worker with takeovers, lost answers, pauses and lease expiry."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.ledger = Ledger()
        self.worker = MemoryWorker(
            name="w", capacity=Resources(cpu_milli=3000), ledger=self.ledger
        )
        self.epoch = 1
        self.attempts = {}

    def teardown(self):
        """Close the loop."""
        self.runner.close()

    def sync(self, *starts, **fields):
        """Send a batch of commands and return its result."""
        command = make_sync(*starts, **{"epoch": self.epoch, "lease_s": 3.0, **fields})
        return self.runner.run(self.worker.sync(command))

    @stateful.rule(
        task=TASKS, run_s=st.sampled_from([0.5, 2.0, None]), lost=st.booleans()
    )
    def start(self, task, run_s, lost):
        """Start the next attempt of a task; the answer may be lost."""
        attempt = self.attempts[task] = self.attempts.get(task, 0) + 1
        needs = Resources(cpu_milli=1000)
        self.worker.set_faults(lost_answer=float(lost))
        self.sync(make_start(task, attempt=attempt, needs=needs, run_s=run_s))
        self.worker.set_faults(lost_answer=0.0)

    @stateful.rule(task=TASKS)
    def stop(self, task):
        """Stop a task and acknowledge it if it has ended."""
        order = TaskOrder(task=task, attempt=self.attempts.get(task, 0))
        self.sync(stops=(order,), acknowledgements=(order,))

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 4.0]), paused=st.booleans())
    def wait(self, seconds, paused):
        """Let time pass while the VM is running or paused."""
        self.worker.set_faults(paused=paused)
        self.runner.run(asyncio.sleep(seconds))
        self.runner.run(self._continue())

    async def _continue(self):
        self.worker.set_faults(paused=False)

    @stateful.rule()
    def take_over(self):
        """Raise the epoch and check that the old leader is refused."""
        self.epoch += 1
        self.sync()
        old = self.sync(epoch=self.epoch - 1)
        assert old.unwrap_err().kind is ErrorKind.STALE_EPOCH

    @stateful.invariant()
    def reservations_match_running_tasks(self):
        """Compare reservations, reported tasks and the ledger."""
        report = self.sync(lease_s=0.0).unwrap()
        running = [t for t in report.tasks if t.phase is not TaskPhase.ENDED]
        assert self.worker.table.reserved.cpu_milli == 1000 * len(running) <= 3000
        open_executions = [
            e for e in self.ledger.record.executions if e.ended_s is None
        ]
        assert len(open_executions) == len(running)
        verdict = compute_verdict(self.ledger.record)
        assert verdict.two_places == verdict.overfilled == 0


TestKeySpace = KeySpaceMachine.TestCase
TestKeySpace.settings = SMALL
TestWorker = WorkerMachine.TestCase
TestWorker.settings = SMALL
