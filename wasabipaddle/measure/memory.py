"""Measure `memory`: memory of a shard leader's state at the target scale."""

import random
import tracemalloc

import attrs

from wasabipaddle.clock import HybridClock, ManualClock
from wasabipaddle.documents import Resources, RunPolicy, ServiceDocument, ServiceKind
from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.journal import LiveState, RunEnded, TaskEnded, TaskPlaced
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.messages import RunOutcome
from wasabipaddle.placement import FleetIndex, Placer
from wasabipaddle.runs import RunTable
from wasabipaddle.runs.records import accepted_record, work_of
from wasabipaddle.timeline import EventKind, EventRing

__all__ = ["MemoryMeasure"]

BYTES_PER_KB = 1024
BYTES_PER_MB = 1024 * 1024
TARGET_WORKERS = 1_000
TARGET_RUNNING = 7_400
TARGET_RUNS_PER_DAY = 6_200
TARGET_DATA_CENTRES = 5
BASELINE_RETENTION_DAYS = 30
ANSWER = '{"pages": 12, "digest": "0123456789abcdef"}'
NEEDS = Resources(cpu_milli=1000, memory_mb=2000)


@attrs.frozen(kw_only=True)
class BytesPerItem:
    """Bytes per item of each kind."""

    worker: float
    running: float
    ended: float
    event: float


def _document(service):
    return ServiceDocument(
        service=service,
        team="team-1",
        kind=ServiceKind.BATCH,
        needs=NEEDS,
        run=RunPolicy(tasks=1),
    )


class _State:
    """Builds the state that `ShardLeader` keeps."""

    def __init__(self):
        self.table = RunTable()
        self.live = LiveState()
        self.fleet = FleetIndex()
        self.placer = Placer(fleet=self.fleet, random=random.Random(1))
        self.document = _document("pages")

    def add_workers(self, count):
        """Add workers with room for 100 tasks each."""
        size = Resources(cpu_milli=100_000, memory_mb=200_000)
        for i in range(count):
            rack = f"rack-{i // 8}"
            self.fleet.add_worker(f"w{i}", rack=rack, data_centre="dc", size=size)

    def add_running(self, count):
        """Accept and place runs of one task; return how many were placed."""
        for i in range(count):
            entry = self._accept(f"s.running{i:08x}")
            self.placer.submit(work_of(entry), 0.0)
        placed = 0
        while placed < count:
            decisions = self.placer.decide(0.0, 1_000)
            if not decisions:
                break
            for decision in decisions:
                self._place(decision)
            placed += len(decisions)
        return placed

    def add_ended(self, count):
        """Add runs that have ended and whose answers are kept."""
        for i in range(count):
            entry = self._accept(f"s.ended{i:010x}")
            self._record_placement(entry.run, "w0")
            self.table.end_attempt(
                run=entry.run,
                index=0,
                attempt=1,
                outcome=TaskOutcome.COMPLETED,
                answer=f"{ANSWER}{i}",
            )
            ended = TaskEnded(
                run=entry.run,
                index=0,
                attempt=1,
                outcome=TaskOutcome.COMPLETED,
                result=entry.tasks[0].answer,
            )
            self.live.apply(ended)
            outcome = RunOutcome.COMPLETED
            self.table.end_run(run=entry.run, outcome=outcome, ended_ms=1)
            self.live.apply(
                RunEnded(run=entry.run, outcome=outcome, ended_ms=1, keep_until_ms=9)
            )

    def _accept(self, run):
        record = accepted_record(
            run=run,
            document=self.document,
            key=f"key-{run}",
            payload=f'{{"run": "{run}"}}',
            accepted_ms=1,
            revision=1,
        )
        self.live.apply(record)
        return self.table.accept(
            run=run,
            document=self.document,
            key=record.key,
            payload=record.payload,
            accepted_ms=1,
            epoch=1,
        )

    def _place(self, decision):
        for assignment in decision.assignments:
            run = assignment.task.rpartition("/")[0]
            self._record_placement(run, assignment.worker)

    def _record_placement(self, run, worker):
        self.table.place(run=run, index=0, attempt=1, worker=worker)
        placed = TaskPlaced(run=run, index=0, attempt=1, worker=worker, epoch=1)
        self.live.apply(placed)


def _retained_bytes(action, count):
    """Return the bytes that remain allocated after an action, per item."""
    before = tracemalloc.get_traced_memory()[0]
    action(count)
    return (tracemalloc.get_traced_memory()[0] - before) / count


def _measure(count) -> BytesPerItem:
    ring = EventRing(
        process="p", hybrid_clock=HybridClock(clock=ManualClock()), capacity=count
    )

    def record(number):
        for i in range(number):
            ring.record(EventKind.TASK_STARTED, run=f"s.{i}", detail=f"s.{i}/0 w{i}")

    tracemalloc.start()
    state = _State()
    item_bytes = BytesPerItem(
        worker=_retained_bytes(state.add_workers, count // 10),
        running=_retained_bytes(state.add_running, count),
        ended=_retained_bytes(state.add_ended, count),
        event=_retained_bytes(record, count),
    )
    tracemalloc.stop()
    return item_bytes


def _leader_mb(item_bytes, *, retention_days):
    """Return the MB of one data centre's leader state at the target scale."""
    share = 1 / TARGET_DATA_CENTRES
    total = (
        item_bytes.worker * TARGET_WORKERS * share
        + item_bytes.running * TARGET_RUNNING * share
        + item_bytes.ended * TARGET_RUNS_PER_DAY * share * retention_days
    )
    return total / BYTES_PER_MB


class MemoryMeasure(Measure):
    """Memory of a shard leader's state, and its growth with each kind of item.

    The baseline keeps every ended run for 30 days instead of one.
    """

    name = "memory"
    bounds = (Bound(figure="leader_state_mb", comparison="<=", value=32),)

    def run(self, *, seed, quick):
        """Measure at two sizes; only figures named `_small` are of the smaller size."""
        count = 500 if quick else 5_000
        small, large = _measure(count // 5), _measure(count)
        figures = {
            "kb_per_worker": round(large.worker / BYTES_PER_KB, 2),
            "kb_per_running_task": round(large.running / BYTES_PER_KB, 2),
            "kb_per_ended_run": round(large.ended / BYTES_PER_KB, 2),
            "kb_per_event": round(large.event / BYTES_PER_KB, 2),
            "kb_per_running_task_small": round(small.running / BYTES_PER_KB, 2),
            "leader_state_mb": round(_leader_mb(large, retention_days=1), 2),
        }
        baseline_mb = _leader_mb(large, retention_days=BASELINE_RETENTION_DAYS)
        return self.measurement(
            seed=seed,
            sizes={"items": count, "items_small": count // 5},
            figures=figures,
            baseline={"leader_state_mb": round(baseline_mb, 2)},
        )
