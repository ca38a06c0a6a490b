"""Fixtures: a scheduler with in-memory runners, driven step by step."""

import math

import attrs
import pytest

from wasabipaddle.dispatch import Scheduler, StartOutcome, StartTask, StopTask
from wasabipaddle.dispatch.state import Timing
from wasabipaddle.interfaces import (
    EndCause,
    EndedTask,
    Inventory,
    OrderReply,
    Refusal,
    RunningTask,
)
from wasabipaddle.jobs import (
    AdvicePolicy,
    Capacity,
    CellConfiguration,
    Job,
    JobSpec,
    Queue,
    RunnerEntry,
    StepSpec,
)

URGENT = Queue(name="urgent", host="h", prefix="/u/", pool="pool", max_attempts=2)
BATCH = Queue(
    name="batch", host="h", prefix="/b/", pool="pool", priority=2, max_attempts=4
)
ADVISED = attrs.evolve(
    BATCH,
    name="advised",
    advice=AdvicePolicy(base_s=0.4, per_runner_s=0.01, valid_s=2.5),
)
QUEUES = {queue.name: queue for queue in (URGENT, BATCH, ADVISED)}


# Ended runs that a runner lists at a time.
ENDS_PER_LIST = 500


class FakeRunner:
    """In-memory runner that lists its ended runs until they are acknowledged.

    Attributes
    ----------
    percents : dict
        Progress of running tasks, by task and run; others are at `usual_percent`.
    lag_s : float
        Time for which the clock of the runner has stood still, in seconds.
    """

    def __init__(self, cell, name, *, cpu=4000):
        self.cell = cell
        self.id = name
        self.incarnation = 1
        self.cpu = cpu
        self.running = {}
        self.percents = {}
        self.usual_percent = 50
        self.ended = []
        self.number = 0
        self.acknowledged = 0
        self.lag_s = 0.0

    @property
    def clock_ms(self):
        return int((self.cell.now - self.lag_s) * 1000) + 500

    def end(self, task, run, cause=EndCause.COMPLETED):
        """End a run and list its end."""
        checkpoint = self.running.pop((task, run), "")
        self.number += 1
        self.ended.append(
            EndedTask(
                number=self.number,
                task=task,
                run=run,
                cause=cause,
                checkpoint=checkpoint,
            )
        )

    def inventory(self, acknowledged):
        """Return an inventory.

        Ended runs up to the number `acknowledged` are no longer listed.
        """
        self.acknowledged = max(self.acknowledged, acknowledged)
        rows = tuple(
            RunningTask(
                task=task,
                run=run,
                checkpoint=saved,
                percent=self.percents.get((task, run), self.usual_percent),
                load=1.0,
            )
            for (task, run), saved in self.running.items()
        )
        ended = [e for e in self.ended if e.number > self.acknowledged]
        return Inventory(
            clock_ms=self.clock_ms,
            incarnation=self.incarnation,
            running=rows,
            ended=tuple(ended[:ENDS_PER_LIST]),
            complete=len(ended) < ENDS_PER_LIST,
        )

    def crash(self):
        """Lose all state and restart under the same identifier."""
        self.incarnation += 1
        self.running.clear()
        self.ended.clear()
        self.number = self.acknowledged = 0


class Cell:
    """A scheduler, its runners and the starts that it has ordered."""

    def __init__(self, *, runners=2, cpu=4000, term=0, queues=()):
        self.now = 100.0
        self.events = []
        self.runners = {}
        self.started = []
        self.unresponsive = set()
        self.queues = QUEUES | {queue.name: queue for queue in queues}
        self.configuration = CellConfiguration(
            version=1, queues=tuple(self.queues.values())
        )
        self.scheduler = self._make_scheduler(term)
        for i in range(runners):
            self.add_runner(f"r{i}", cpu=cpu)

    def _make_scheduler(self, term):
        scheduler = Scheduler(
            timing=Timing(),
            journal=lambda kind, **values: self.events.append((kind, values)),
            run_number_base=term * 1000,
        )
        scheduler.configure(self.configuration)
        return scheduler

    def set_workspaces(self, *workspaces):
        """Configure the workspaces of the cell."""
        self.configuration = attrs.evolve(
            self.configuration,
            version=self.configuration.version + 1,
            workspaces={workspace.name: workspace for workspace in workspaces},
        )
        self.scheduler.configure(self.configuration)

    @property
    def state(self):
        return self.scheduler.state

    def entry(self, name, **changes):
        """Return the registry entry of a runner."""
        entry = RunnerEntry(
            id=name,
            address=f"{name}:1",
            data_centre="a",
            pool="pool",
            capacity=Capacity(cpu=self.runners[name].cpu, memory_mb=100_000),
            labels=("kind", f"rack-{name}"),
        )
        return attrs.evolve(entry, **changes)

    def add_runner(self, name, *, cpu=4000):
        """Register a runner and read the inventories of all runners."""
        self.runners[name] = FakeRunner(self, name, cpu=cpu)
        self.scheduler.set_runner(self.entry(name), self.now).in_fleet_record = True
        self.read_inventories()

    def submit(
        self,
        job_id,
        *steps,
        queue="batch",
        progress=None,
        recovered=False,
        workspace="",
    ):
        """Add a job and return its entry."""
        job = Job(
            id=job_id,
            policy=self.queues[queue],
            accepted_ms=int(self.now * 1000),
            spec=JobSpec(payload="p", steps=steps),
            workspace=workspace,
        )
        return self.scheduler.lifecycle.add_job(
            job, self.now, progress=progress, recovered=recovered
        )

    def read_inventories(self, *names):
        """Read the inventories of all runners, or of those named."""
        for name in names or self.runners:
            runner = self.state.runners[name]
            if name in self.unresponsive:
                self.scheduler.inventory_failed(runner, self.now)
                continue
            self.scheduler.leases.extend_by_inventory(runner, self.now)
            inventory = self.runners[name].inventory(runner.acknowledged)
            self.scheduler.reports.process_inventory(runner, inventory, self.now)

    def clear_suspects(self):
        """Read the two inventories that a suspect runner needs."""
        self.read_inventories()
        self.read_inventories()

    def write(self):
        """Make all progress durable and return it by job."""
        jobs, generation = self.state.take_dirty()
        records = {e.id: self.scheduler.lifecycle.progress(e) for e in jobs}
        written = [(e, e.phase) for e in jobs]
        self.scheduler.reports.record_write(written, generation)
        return records

    def plan(self, *, answer=True, advice_slots=math.inf):
        """Plan and execute the orders; without `answer`, starts get lost.

        As a session does, this plans again as long as tasks wait for replies to starts.
        """
        requests, orders = [], []
        while True:
            slots = advice_slots - len(requests)
            requests += self.scheduler.plan(self.now, advice_slots=slots)
            taken = self.scheduler.take_orders()
            for order in taken:
                self.execute(order, answer=answer)
            orders += taken
            if not (taken and answer and self.scheduler.placement.deferred):
                return requests, orders

    def execute(self, order, *, answer=True):
        """Execute an order on its runner; without `answer`, a start gets lost."""
        if isinstance(order, StartTask):
            run = order.run
            self.started.append((run.task.id, run.number, run.runner.id))
            run.start_before_ms = self.scheduler.leases.extend_by_start(
                run.runner, self.now
            )
            fake = self.runners[run.runner.id]
            if not answer or run.runner.id in self.unresponsive:
                self.scheduler.replies.start_replied(
                    run, StartOutcome.UNKNOWN, None, self.now
                )
                return
            fake.running[run.key] = run.task.checkpoint
            reply = OrderReply(clock_ms=fake.clock_ms)
            self.scheduler.replies.start_replied(
                run, StartOutcome.REPLIED, reply, self.now
            )
        elif isinstance(order, StopTask) and order.runner.id not in self.unresponsive:
            fake = self.runners[order.runner.id]
            refusal = Refusal.OLD_RUN
            if (order.task, order.number) in fake.running:
                fake.end(order.task, order.number, EndCause.STOPPED)
                refusal = Refusal.NONE
            reply = OrderReply(clock_ms=fake.clock_ms, refusal=refusal)
            self.scheduler.replies.stop_replied(
                order.runner, order.task, order.number, reply, self.now
            )

    def advance_time(self, seconds, *, step=0.5):
        """Advance the time in steps, each with inventories and a plan."""
        end = self.now + seconds
        while self.now < end:
            self.now += step
            self.scheduler.advance(self.now)
            self.read_inventories()
            self.plan()

    def take_over(self, term, records, jobs):
        """Replace the scheduler by one that knows only the stored jobs and progress."""
        self.scheduler = self._make_scheduler(term)
        self.started.clear()
        for name in self.runners:
            runner = self.scheduler.set_runner(self.entry(name), self.now)
            runner.in_fleet_record = True
            self.state.suspects[name] = self.now + 6.3
        for job in jobs:
            self.scheduler.lifecycle.add_job(
                job, self.now, progress=records.get(job.id), recovered=True
            )


@pytest.fixture
def cell():
    return Cell()


@pytest.fixture
def make_cell():
    return Cell


def step(count=1, **changes):
    """Return a step of tasks that need one core and about one second each."""
    return StepSpec(**{"count": count, "cpu": 1000, "estimate_s": 1.0, **changes})
