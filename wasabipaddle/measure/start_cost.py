"""Measure `start_cost`: cost of a start beside many steps that have to wait."""

import random
import statistics
import time

import attrs

from wasabipaddle.dispatch import Scheduler, StartOutcome, StartTask
from wasabipaddle.dispatch.state import Timing
from wasabipaddle.interfaces import EndCause, EndedTask, Inventory, OrderReply
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
from wasabipaddle.measure.base import Bound, Measure

__all__ = ["StartCostMeasure"]

SIZES = (40, 176, 1_000)
QUICK_SIZES = (40, 176)
WAITING_STEPS = 2_000
# Starts of a round, and rounds of a size.
STARTS = 8
ROUNDS = 40
QUICK_ROUNDS = 10
ROUND_S = 0.05
RUNNER_CPU = 16_000
# Part of each runner that is in use, so that the waiting steps do not fit.
HELD_CPU = 10_000
WAITING_CPU = 8_000
STARTED_CPU = 1_000
# Part of the waiting steps that wait for runners with a ticket, and their tickets.
ADVISED_FRACTION = 0.5
TICKETS = 20
US_PER_S = 1_000_000

PLAIN = Queue(name="plain", host="h", prefix="/p/", pool="pool", priority=1)
ADVISED = attrs.evolve(
    PLAIN,
    name="advised",
    priority=2,
    advice=AdvicePolicy(base_s=0.4, per_runner_s=0.01, valid_s=600.0),
)
SHORT = Queue(name="short", host="h", prefix="/s/", pool="pool", priority=2)


class _Fleet:
    """Scheduler with runners that answer at once, without a network.

    Parameters
    ----------
    size : int
        Number of runners.
    rng : random.Random
        Source of the runners with tickets.
    """

    def __init__(self, *, size, rng):
        self.now = 100.0
        self.rng = rng
        self.ended = {}
        self.numbers = {}
        self.count = 0
        self.scheduler = Scheduler(timing=Timing(), journal=lambda kind, **_: None)
        queues = (PLAIN, ADVISED, SHORT)
        self.scheduler.configure(CellConfiguration(version=1, queues=queues))
        for number in range(size):
            entry = RunnerEntry(
                id=f"r{number}",
                address=f"r{number}:1",
                data_centre="a",
                pool="pool",
                capacity=Capacity(cpu=RUNNER_CPU, memory_mb=100_000),
                labels=("kind", f"rack-{number // 8}"),
            )
            runner = self.scheduler.set_runner(entry, self.now)
            runner.in_fleet_record = True
        self.read_inventories(self.scheduler.state.runners.values())

    def submit(self, queue, step):
        """Submit a job of one step and return the step."""
        self.count += 1
        job = Job(
            id=f"{self.count:016x}",
            policy=queue,
            accepted_ms=int(self.now * 1000),
            spec=JobSpec(payload="p", steps=(step,)),
        )
        entry = self.scheduler.lifecycle.add_job(job, self.now)
        return entry.steps[(0, 0)]

    def read_inventories(self, runners):
        """Read the inventories of runners, with the runs that have ended."""
        for runner in runners:
            inventory = Inventory(
                clock_ms=int(self.now * 1000),
                incarnation=1,
                running=(),
                ended=tuple(self.ended.pop(runner.id, ())),
                complete=False,
            )
            self.scheduler.reports.process_inventory(runner, inventory, self.now)

    def plan(self):
        """Plan once; return the seconds that it took and the runs that it started."""
        began = time.perf_counter()
        requests = self.scheduler.plan(self.now)
        took_s = time.perf_counter() - began
        for request in requests:
            advice = {runner.id: "ticket" for runner in request.runners}
            self.scheduler.advisor.record_answer(
                request.step, request.runners, advice, 0.0, self.now
            )
        orders = self.scheduler.take_orders()
        runs = [order.run for order in orders if isinstance(order, StartTask)]
        for run in runs:
            self.scheduler.replies.start_replied(
                run,
                StartOutcome.REPLIED,
                OrderReply(clock_ms=int(self.now * 1000)),
                self.now,
            )
        return took_s, runs

    def end(self, runs):
        """End runs, and read the inventories of their runners."""
        runners = {run.runner.id: run.runner for run in runs}
        for run in runs:
            number = self.numbers[run.runner.id] = (
                self.numbers.get(run.runner.id, 0) + 1
            )
            end = EndedTask(
                number=number,
                task=run.task.id,
                run=run.number,
                cause=EndCause.COMPLETED,
                checkpoint="",
            )
            self.ended.setdefault(run.runner.id, []).append(end)
        self.read_inventories(runners.values())


def _step(count, cpu):
    return StepSpec(count=count, cpu=cpu, memory_mb=10, estimate_s=1.0)


def _fill(fleet, size):
    """Let part of each runner be in use and steps wait that do not fit."""
    fleet.submit(PLAIN, attrs.evolve(_step(size, HELD_CPU), max_per_runner=1))
    while fleet.plan()[1]:
        fleet.now += ROUND_S
    for number in range(WAITING_STEPS):
        advised = number < WAITING_STEPS * ADVISED_FRACTION
        step = fleet.submit(ADVISED if advised else PLAIN, _step(4, WAITING_CPU))
        if advised:
            runners = list(fleet.scheduler.state.runners.values())
            named = fleet.rng.sample(runners, TICKETS)
            tickets = {runner.id: "ticket" for runner in named}
            fleet.scheduler.advisor.record_answer(
                step, runners, tickets, 0.0, fleet.now
            )
    fleet.plan()


def _measure(size, seed, rounds):
    """Return the microseconds of a start, and those of a round without a start."""
    fleet = _Fleet(size=size, rng=random.Random(seed))
    _fill(fleet, size)
    starting_s, idle_s, previous = [], [], []
    for _ in range(rounds):
        fleet.now += ROUND_S
        fleet.end(previous)
        idle_s.append(fleet.plan()[0])
        for _ in range(STARTS // 4):
            fleet.submit(SHORT, _step(4, STARTED_CPU))
        took_s, previous = fleet.plan()
        if len(previous) != STARTS:
            raise AssertionError(f"{len(previous)} starts in a round")
        starting_s.append(took_s)
    scale = US_PER_S / STARTS
    return statistics.median(starting_s) * scale, statistics.median(idle_s) * US_PER_S


class StartCostMeasure(Measure):
    """Planning rounds of eight starts beside 2,000 steps that do not fit.

    Half of the waiting steps need tickets. A start is charged with its whole round. The
    baseline is the smallest fleet.
    """

    name = "start_cost"
    bounds = (Bound(figure="growth", comparison="<=", value=1.5),)

    def run(self, *, seed, quick):
        """Measure fleets of each size, with the same waiting steps."""
        sizes = QUICK_SIZES if quick else SIZES
        rounds = QUICK_ROUNDS if quick else ROUNDS
        figures = {}
        for size in sizes:
            start_us, idle_us = _measure(size, seed, rounds)
            figures[f"start_us_{size}"] = round(start_us, 1)
            figures[f"idle_round_us_{size}"] = round(idle_us, 1)
        first, last = (figures[f"start_us_{size}"] for size in (sizes[0], sizes[-1]))
        figures["growth"] = round(last / first, 2)
        return self.measurement(
            seed=seed,
            sizes={"runners": sizes[-1], "waiting_steps": WAITING_STEPS},
            figures=figures,
            baseline={f"start_us_{sizes[-1]}": first},
        )
