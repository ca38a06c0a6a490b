"""Records what runners and callers observe and checks the guarantees of a cell."""

import asyncio
import math

import attrs

from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import JobPhase
from wasabipaddle.soak.queues import SIZED_QUEUES

__all__ = ["JobRecord", "SoakLedger", "Violation"]

# No task of a job may start later than this after its cancellation was acknowledged.
CANCELLATION_LIMIT_S = 3.0
# No task may start on a runner later than this after it has said that it leaves, unless
# there was a fault within SETTLE_S before the start.
DRAIN_LIMIT_S = 2.5
SETTLE_S = 4.0


@attrs.frozen(kw_only=True)
class Violation:
    """One violated guarantee; `promise` is the short name of the guarantee."""

    promise: str
    job: str
    detail: str
    at_s: float

    def line(self) -> str:
        """Return the violation as one line."""
        return f"{self.at_s:.3f} {self.promise}: {self.job} {self.detail}"


@attrs.define(kw_only=True, eq=False)
class JobRecord:
    """One job as its caller knows it, and the outcomes of its tasks.

    Tasks are identified by (occurrence, step, index), and ends of runs by
    (runner, run number).

    Parameters
    ----------
    id : str
        Identifier.
    queue : Queue
        Queue to which the caller submitted the job.
    spec : JobSpec
        Specification that the caller sent.
    behaviours : tuple of TaskBehaviour
        Behaviour of the tasks of each step.
    workspace : str
        Workspace of the caller, empty if the cell has none.
    accepted_s : float
        Time of the first response that confirms the acceptance; 0 before it.
    in_doubt : bool
        Whether a submission may have reached a process without a conclusive response.
    refused : bool
        Whether the caller has given up with no submission accepted or in doubt.
    cancel_sent : bool
        Whether a cancellation was sent.
    cancelled_s : float
        Time at which a cancellation was acknowledged; 0 before it.
    shown : JobPhase or None
        Last phase that a process reported to the caller.
    ended_s : float
        Time at which the caller was first told of the final phase; 0 before it.
    completed : dict
        For each task, the ends of its completed runs and whether each was
        acknowledged.
    restarted : dict
        For each task, the unacknowledged ends that existed when it was started again.
    failed : dict
        Number of failed runs of each task.
    failures : dict
        For each task, the ends of its failed runs that were acknowledged.
    """

    id: str
    queue: object
    spec: object
    behaviours: tuple
    workspace: str = ""
    accepted_s: float = 0.0
    in_doubt: bool = False
    refused: bool = False
    cancel_sent: bool = False
    cancelled_s: float = 0.0
    shown: JobPhase | None = None
    ended_s: float = 0.0
    completed: dict = attrs.field(factory=dict)
    restarted: dict = attrs.field(factory=dict)
    failed: dict = attrs.field(factory=dict)
    failures: dict = attrs.field(factory=dict)

    def expected(self):
        """Yield the tasks that must complete, as (occurrence, step, index)."""
        for occurrence in range(self.spec.occurrences):
            for position, step in enumerate(self.spec.steps):
                for index in range(step.count):
                    yield occurrence, position, index

    def missing(self) -> int:
        """Return how many tasks have not completed."""
        return sum(1 for task in self.expected() if task not in self.completed)


class SoakLedger:
    """Record of the runs on all runners and of the responses to callers.

    Attributes
    ----------
    violations : list of Violation
        Violated guarantees in the order of detection.
    starts : int
        Number of runs that were started.
    running : dict
        Runs in progress by task, as pairs of the runner's id and the run.
    idle_since_s : dict of TaskId to float
        End of the last run of each lasting task that does not run.
    draining_since_s : dict of str to float
        Time at which the store had the notice of each runner that leaves.
    last_fault_end_s : float
        End of the last fault, infinite while faults are injected.
    workspaces : SoakWorkspaces or None
        Checks the quotas, None if the cell has no workspaces.
    deadlines_s : dict of int to float
        Time by which the jobs of each priority have to end; empty before it is known.
    """

    def __init__(self):
        self.jobs = {}
        self.violations = []
        self.starts = 0
        self.running = {}
        self.idle_since_s = {}
        self.draining_since_s = {}
        self.last_fault_end_s = math.inf
        self.workspaces = None
        self.deadlines_s = {}
        self.started_s = asyncio.get_running_loop().time()

    def now(self) -> float:
        """Return the seconds since the ledger was created."""
        return asyncio.get_running_loop().time() - self.started_s

    def add_violation(self, promise, job, detail):
        """Record a violated guarantee."""
        self.violations.append(
            Violation(promise=promise, job=job, detail=detail, at_s=self.now())
        )

    def behaviour(self, task):
        """Return the step and the behaviour of a task."""
        record = self.jobs[task.job]
        return record.spec.steps[task.step], record.behaviours[task.step]

    def is_valid_order(self, order) -> bool:
        """Return whether a caller submitted the task of an order."""
        record = self.jobs.get(order.task.job)
        known = record is not None and order.payload == record.spec.payload
        if not known or tuple(order.task[1:]) not in set(record.expected()):
            self.add_violation("unasked", order.task.job, f"task {order.task[1:]}")
            return False
        return True

    def record_start(self, runner, run, order):
        """Record the start of a run and check that it is allowed."""
        self.starts += 1
        record, spec = self.jobs[run.task.job], run.spec
        key = tuple(run.task[1:])
        others = self.running.setdefault(run.task, [])
        run_label = f"task {key} run {run.number} on {runner.entry.id}"
        if others and not spec.speculative:
            first_runner, first = others[0]
            self.add_violation(
                "twice", record.id, f"{run_label}, run {first.number} on {first_runner}"
            )
        if not spec.speculative:
            self._check_not_ended(record, key, run_label)
        others.append((runner.entry.id, run))
        self.idle_since_s.pop(run.task, None)
        self._check_order(record, key, run_label)
        if len(record.failures.get(key, ())) >= record.queue.max_attempts:
            self.add_violation("attempts", record.id, run_label)
        if record.refused:
            self.add_violation(
                "refused", record.id, f"{run_label} after it was refused"
            )
        if (
            record.cancelled_s
            and self.now() - record.cancelled_s > CANCELLATION_LIMIT_S
        ):
            self.add_violation("cancelled", record.id, run_label)
        self._check_capacity(runner, record, run_label)
        self._check_draining(runner, record, run_label)
        if self.workspaces is not None:
            self.workspaces.check_start(record, run_label)

    def _check_draining(self, runner, record, run_label):
        now = self.now()
        since_s = now - self.draining_since_s.get(runner.entry.id, now)
        disturbed = now - self.last_fault_end_s < SETTLE_S
        if since_s > DRAIN_LIMIT_S and not disturbed:
            detail = f"{run_label}, {since_s:.1f} s after its notice"
            self.add_violation("drain", record.id, detail)

    def _check_not_ended(self, record, key, run_label):
        """Check that a task that is started has no acknowledged completion.

        Completions that are not acknowledged yet are kept in `restarted`, because
        their later acknowledgement is a violation. A completion that is lost with its
        runner before it is acknowledged may be repeated.
        """
        ends = record.completed.get(key, {})
        if any(ends.values()):
            self.add_violation(
                "twice", record.id, f"{run_label} after its end was acknowledged"
            )
        elif ends:
            record.restarted.setdefault(key, set()).update(ends)

    def _check_order(self, record, key, run_label):
        occurrence, position, _ = key
        for before in record.spec.steps[position].after:
            count = record.spec.steps[before].count
            if any(
                (occurrence, before, i) not in record.completed for i in range(count)
            ):
                self.add_violation("order", record.id, run_label)

    def _check_capacity(self, runner, record, run_label):
        specs = [run.spec for run in runner.runs.values()]
        capacity = runner.entry.capacity
        cpu = sum(s.cpu for s in specs if not s.opportunistic)
        memory_mb = sum(s.memory_mb for s in specs)
        if cpu > capacity.cpu or memory_mb > capacity.memory_mb:
            self.add_violation(
                "room", record.id, f"{run_label}: CPU {cpu} of {capacity.cpu}"
            )

    def record_end(self, runner, run, cause):
        """Record the end of a run; the cause is None if its runner was lost."""
        others = self.running.get(run.task, [])
        self.running[run.task] = [row for row in others if row[1] is not run]
        if run.spec.lasting and not self.running[run.task]:
            self.idle_since_s[run.task] = self.now()
        record, key = self.jobs[run.task.job], tuple(run.task[1:])
        if cause is EndCause.COMPLETED:
            ends = record.completed.setdefault(key, {})
            ends[runner.entry.id, run.number] = False
        elif cause is EndCause.FAILED:
            record.failed[key] = record.failed.get(key, 0) + 1

    def record_acknowledgement(self, runner, end):
        """Record that the dispatcher acknowledged the end of a run."""
        record, key = self.jobs[end.task.job], tuple(end.task[1:])
        name = (runner.entry.id, end.run)
        if end.cause is EndCause.COMPLETED:
            record.completed.setdefault(key, {})[name] = True
            if name in record.restarted.get(key, ()):
                run_label = f"task {key} ran again after {name}, acknowledged later"
                self.add_violation("twice", record.id, run_label)
        elif end.cause is EndCause.FAILED and not record.spec.lasting:
            record.failures.setdefault(key, set()).add(name)

    def gang_members(self, run):
        """Return the runs in progress that have the step and run number of `run`."""
        record = self.jobs[run.task.job]
        count = record.spec.steps[run.task.step].count
        tasks = (run.task._replace(index=index) for index in range(count))
        rows = (row for task in tasks for row in self.running.get(task, ()))
        return [other for _, other in rows if other.number == run.number]

    def record_phase(self, record, phase):
        """Record and check a phase that a process reported to a caller."""
        before, record.shown = record.shown, phase
        if phase.final:
            record.ended_s = record.ended_s or self.now()
        if before is not None and before.final and phase is not before:
            self.add_violation(
                "state", record.id, f"{phase.value} after {before.value}"
            )
        if phase is JobPhase.COMPLETED and record.missing():
            self.add_violation(
                "state", record.id, f"completed, {record.missing()} tasks missing"
            )
        if phase is JobPhase.CANCELLED and not record.cancel_sent:
            self.add_violation(
                "state", record.id, "cancelled without a request of the caller"
            )
        if phase is JobPhase.FAILED and not any(b.fails for b in record.behaviours):
            most = max(record.failed.values(), default=0)
            if most < record.queue.max_attempts:
                self.add_violation(
                    "state", record.id, f"failed after {most} failed runs"
                )

    def check_end(self):
        """Check that accepted jobs ended, and that lasting jobs run until cancelled."""
        for record in self.jobs.values():
            if not record.accepted_s:
                continue
            phase = record.shown
            if record.queue.name in SIZED_QUEUES:
                continue  # `LastingWatch` checks them, since they may wait for room
            if record.spec.lasting and not record.cancel_sent:
                self._check_lasting(record)
            elif phase is None or not phase.final:
                shown = phase.value if phase else "nothing"
                self.add_violation(
                    "lost", record.id, f"{shown}, {record.missing()} tasks missing"
                )
            else:
                self._check_deadline(record)
            if phase is JobPhase.CANCELLED and self._count_running(record):
                self.add_violation("cancelled", record.id, "tasks still run at the end")

    def _check_deadline(self, record):
        late_s = record.ended_s - self.deadlines_s.get(record.queue.priority, math.inf)
        if late_s > 0.0:
            detail = f"{record.shown.value} {late_s:.1f} s late"
            self.add_violation("lost", record.id, detail)

    def _check_lasting(self, record):
        expected = sum(1 for _ in record.expected())
        running = self._count_running(record)
        if running < expected:
            self.add_violation("lost", record.id, f"{running} of {expected} tasks run")

    def _count_running(self, record):
        return sum(
            1 for task, rows in self.running.items() if task.job == record.id and rows
        )
