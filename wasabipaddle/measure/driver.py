"""Event loop on a virtual clock that drives a placer with a generated input.

The driver submits and cancels runs, applies decisions, ends tasks at their true times
and reports delayed usage. Its checks use its own records, not those of the placer.

A measure creates a driver, calls `run` with the time at which to stop, and reads
`outcomes`. `schedule` adds further events, such as the loss of a worker.
"""

import heapq
import itertools
import math
import random
import time

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.measure.outcomes import Outcomes
from wasabipaddle.measure.sampling import take_sample
from wasabipaddle.measure.workers import LiveTask, WorkerModel
from wasabipaddle.placement import (
    Checkpoint,
    FleetIndex,
    GiveUp,
    Impossible,
    Resize,
    Start,
    Throttle,
    Unthrottle,
)

__all__ = ["Driver", "RunState"]

# Range of the time that a worker needs to checkpoint a task.
CHECKPOINT_S = (0.3, 1.5)
STOP_S = 0.05
BAD_WORKER_S = (0.5, 3.0)  # range of the time until a task fails on a faulty worker
POISONED_S = 30.0  # longest time until a poisoned task fails on any worker


@attrs.define(kw_only=True, eq=False)
class RunState:
    """One submitted run.

    Parameters
    ----------
    waiting, remaining, started : set of int
        Tasks that wait to be started, that have not completed or stopped, and that
        were started at least once.
    left_s : dict of int to float
        Remaining run time of tasks that were checkpointed.
    closed : bool
        Whether the run was cancelled, refused as impossible or given up.
    """

    job: object
    waiting: set
    remaining: set
    started: set = attrs.field(factory=set)
    left_s: dict = attrs.field(factory=dict)
    closed: bool = False


class Driver:
    """Drives one placer with one input.

    Parameters
    ----------
    inputs : Inputs
        Fleet, quotas and jobs.
    make_placer : callable
        Called with `fleet` and `random`; returns the placer.
    tick_s : float
        Time between two calls of `decide`.
    limit : int
        Largest number of decisions to request from one call of `decide`.
    report_s, lag_s : float
        Period of the usage reports of a worker, and their delay.
    sample_s : float
        Period of the samples of true use; 0 for none.
    count_from_s : float
        Waits of jobs that arrive before this time are not recorded.
    """

    def __init__(
        self,
        *,
        inputs,
        make_placer,
        tick_s=0.05,
        limit=64,
        report_s=10.0,
        lag_s=2.0,
        sample_s=0.0,
        count_from_s=0.0,
    ):
        self.inputs = inputs
        self.tick_s = tick_s
        self.limit = limit
        self.report_s = report_s
        self.lag_s = lag_s
        self.sample_s = sample_s
        self.count_from_s = count_from_s
        self.random = random.Random(f"driver {inputs.spec.seed}")
        self.fleet = FleetIndex()
        self.workers = {}
        self.outcomes = Outcomes()
        self.runs = {}
        self.live = {}
        self.waiting_use = [0, 0]
        self.team_use = {}
        self.quotas = {q.team: q.quota.resources for q in inputs.quotas}
        self.events = []
        self.sequence = itertools.count()
        self.now = 0.0
        for spec in inputs.workers:
            self.fleet.add_worker(
                spec.name, rack=spec.rack, data_centre=spec.data_centre, size=spec.size
            )
            self.workers[spec.name] = WorkerModel(spec=spec)
        self.placer = make_placer(
            fleet=self.fleet, random=random.Random(f"placer {inputs.spec.seed}")
        )
        for team, quota in self.quotas.items():
            self.placer.set_quota(team, quota)
        self._schedule_first()

    def schedule(self, at, action, *args):
        """Call `action(*args)` at a virtual time."""
        heapq.heappush(self.events, (at, next(self.sequence), action, args))

    def run(self, until):
        """Process events up to a virtual time."""
        while self.events and self.events[0][0] <= until:
            tick = self.events[0][0] + self.tick_s
            while self.events and self.events[0][0] <= min(tick, until):
                self.now, _, action, args = heapq.heappop(self.events)
                action(*args)
            self.now = min(tick, until)
            self._decide()

    def call_placer(self, method, *args):
        """Call a method of the placer and add up the elapsed time."""
        start = time.perf_counter()
        result = method(*args)
        self.outcomes.call_s += time.perf_counter() - start
        return result

    def end_task(self, live, outcome):
        """End an attempt on its worker and report it to the placer."""
        if self.live.get(live.task) is not live:
            return
        live.advance(self.now)
        del self.live[live.task]
        self.workers[live.worker].stop(live)
        index = int(live.task.rpartition("/")[2])
        run = self.runs[live.run]
        self._count_team(run.job.work.team, Resources() - live.needs)
        if outcome in (TaskOutcome.COMPLETED, TaskOutcome.STOPPED):
            run.remaining.discard(index)
            self.outcomes.completed += outcome is TaskOutcome.COMPLETED
        elif not run.closed:
            if outcome is TaskOutcome.CHECKPOINTED:
                run.left_s[index] = live.left_s
            self._count_waiting(run, (index,), 1)
        self.call_placer(self.placer.record_task_end, live.task, outcome, self.now)

    def cancel(self, name):
        """Cancel a run on behalf of its caller."""
        run = self.runs.get(name)
        if run is not None and not run.closed and run.remaining:
            self.outcomes.cancelled += 1
            self._close(run)

    def reset_counts(self):
        """Start new counts, for example once the fleet is full."""
        self.outcomes = Outcomes()

    def unfinished_waits(self, urgency) -> list:
        """Return the waits until now of batch tasks of a class that never started."""
        waits = []
        for run in self.runs.values():
            work = run.job.work
            if run.closed or work.is_gang or work.is_service:
                continue
            if run.job.at < self.count_from_s or not run.job.tasks:
                continue
            if work.urgency is urgency:
                never = run.remaining - run.started
                waits.extend([self.now - run.job.at] * len(never))
        return waits

    def _schedule_first(self):
        self.jobs = iter(self.inputs.jobs)
        self._schedule_job()
        for number, name in enumerate(self.workers):
            first_report = self.report_s * (number + 1) / len(self.workers)
            self.schedule(first_report, self._report, name)
        if self.sample_s:
            self.schedule(self.sample_s, self._sample)
        self.schedule(0.0, self._poll)

    def _schedule_job(self):
        job = next(self.jobs, None)
        if job is not None:
            self.schedule(job.at, self._arrive, job)

    def _arrive(self, job):
        self._schedule_job()
        work = job.work
        run = RunState(job=job, waiting=set(), remaining=set(range(work.tasks)))
        self.runs[work.run] = run
        self._count_waiting(run, range(work.tasks), 1)
        if job.cancel_at is not None:
            self.schedule(job.cancel_at, self.cancel, work.run)
        self.call_placer(self.placer.submit, work, self.now)

    def _close(self, run):
        """End a run for its caller and stop its tasks."""
        run.closed = True
        self._count_waiting(run, tuple(run.waiting), -1)
        for task in self.call_placer(self.placer.cancel, run.job.work.run):
            live = self.live.get(task)
            if live is None:  # its start has not been applied yet
                self.call_placer(
                    self.placer.record_task_end, task, TaskOutcome.STOPPED, self.now
                )
                continue
            live.ending = True
            self.schedule(self.now + STOP_S, self.end_task, live, TaskOutcome.STOPPED)

    def _poll(self):
        """Make `run` call `decide` even if no other event is due."""
        self.schedule(self.now + max(0.25, self.tick_s), self._poll)

    def _decide(self):
        while True:
            start = time.perf_counter()
            decisions = self.placer.decide(self.now, self.limit)
            elapsed = time.perf_counter() - start
            if decisions:  # empty calls are short and would bias the timings
                self.outcomes.decide_s.append(elapsed)
            self.outcomes.call_s += elapsed
            self.outcomes.decisions += len(decisions)
            for decision in decisions:
                self._apply(decision)
            if not decisions:
                return

    def _apply(self, decision):
        match decision:
            case Start():
                self._start(decision)
            case Checkpoint():
                live = self.live.get(decision.task)
                if live is None:
                    return
                live.ending = True
                self.outcomes.evicted += 1
                delay = self.random.uniform(*CHECKPOINT_S)
                end = TaskOutcome.CHECKPOINTED
                self.schedule(self.now + delay, self.end_task, live, end)
            case Throttle() | Unthrottle():
                live = self.live.get(decision.task)
                if live is None:
                    return
                live.advance(self.now)
                live.throttled = isinstance(decision, Throttle)
                self.outcomes.throttled += live.throttled
                self._schedule_end(live)
            case Resize():
                self._resize(decision)
            case Impossible():
                self._apply_impossible(decision)
            case GiveUp():
                self._give_up(decision)

    def _start(self, decision):
        run = self.runs[decision.run]
        work = run.job.work
        if run.closed:  # a cancellation takes precedence over a pending start
            return
        if work.is_gang and len(decision.assignments) != len(run.remaining):
            self.outcomes.partial_gangs += 1
        all_first = True
        for assignment in decision.assignments:
            all_first &= self._start_task(run, assignment)
        if all_first and work.is_gang and run.job.at >= self.count_from_s:
            self.outcomes.gang_waits.append(self.now - run.job.at)

    def _start_task(self, run, assignment) -> bool:
        """Start one attempt; return whether it is the first of its task."""
        task, work = assignment.task, run.job.work
        index = int(task.rpartition("/")[2])
        if task in self.live:
            self.outcomes.two_places += 1
            return False
        truth = run.job.tasks[index] if run.job.tasks else None
        live = LiveTask(
            task=task,
            run=work.run,
            worker=assignment.worker,
            needs=assignment.needs,
            truth=truth,
            started_at=self.now,
            updated_at=self.now,
            left_s=run.left_s.get(index, truth.run_s),
        )
        self.live[task] = live
        self.outcomes.starts += 1
        if not self.workers[assignment.worker].start(live):
            self.outcomes.overfilled += 1
        self._count_waiting(run, (index,), -1)
        self._count_team(work.team, assignment.needs)
        if not self.team_use[work.team].fits(self.quotas[work.team]):
            self.outcomes.over_quota += 1
        self._schedule_end(live)
        if index in run.started:
            return False
        run.started.add(index)
        counts = run.job.at >= self.count_from_s
        if counts and not work.is_gang and not work.is_service:
            self.outcomes.waits[work.urgency].append(self.now - run.job.at)
        return True

    def _schedule_end(self, live):
        live.version += 1
        if self.workers[live.worker].spec.bad:
            after, outcome = self.random.uniform(*BAD_WORKER_S), TaskOutcome.FAILED
        elif live.truth.fails:
            after = min(live.left_s, POISONED_S) * self.random.random()
            outcome = TaskOutcome.FAILED
        else:
            after = live.left_s * (2 if live.throttled else 1)
            outcome = TaskOutcome.COMPLETED
        if not math.isinf(after):
            args = (live, outcome, live.version)
            self.schedule(self.now + after, self._end_if_valid, *args)

    def _end_if_valid(self, live, outcome, version):
        if live.version == version:
            self.end_task(live, outcome)

    def _resize(self, decision):
        live = self.live.get(decision.task)
        if live is None:
            return
        self.outcomes.resized += 1
        team = self.runs[live.run].job.work.team
        self._count_team(team, decision.needs - live.needs)
        if not self.workers[live.worker].resize(live, decision.needs):
            self.outcomes.overfilled += 1

    def _apply_impossible(self, decision):
        run = self.runs[decision.run]
        self.outcomes.impossible_waits.append(self.now - run.job.at)
        if not run.job.impossible:
            self.outcomes.refused_possible += 1
        if not run.closed:
            self._close(run)

    def _give_up(self, decision):
        run = self.runs[decision.run]
        index = int(decision.task.rpartition("/")[2])
        self.outcomes.given_up += 1
        wrong = not run.job.tasks[index].fails
        self.outcomes.given_up_wrong += wrong
        if not run.closed:
            waiting = tuple(self.waiting_use)
            self._close(run)
            if wrong:  # keep its tasks in the demand: they could run
                self.waiting_use[:] = waiting

    def _report(self, name):
        self.schedule(self.now + self.report_s, self._report, name)
        usage, tasks = self.workers[name].report(self.now)
        self.schedule(self.now + self.lag_s, self._deliver, name, usage, tasks)

    def _deliver(self, name, usage, tasks):
        self.call_placer(self.placer.observe, name, usage, tasks, self.now)

    def _sample(self):
        self.schedule(self.now + self.sample_s, self._sample)
        take_sample(self)

    def _count_waiting(self, run, indices, sign):
        for index in indices:
            if sign > 0:
                run.waiting.add(index)
            else:
                run.waiting.discard(index)
            if run.job.tasks:
                use = run.job.tasks[index].use
                self.waiting_use[0] += sign * use.cpu_milli
                self.waiting_use[1] += sign * use.memory_mb

    def _count_team(self, team, change):
        self.team_use[team] = self.team_use.get(team, Resources()) + change
