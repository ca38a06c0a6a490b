"""Tasks on a simulated worker, with their timers and reservations."""

import asyncio
import collections
import json

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.interfaces import (
    TaskOutcome,
    TaskPhase,
    TaskReport,
    TaskStart,
    Usage,
)
from wasabipaddle.standins.exchange import call_later
from wasabipaddle.standins.ledger import Discard, Execution, WorkKind
from wasabipaddle.standins.payloads import TaskPayload, parse_payload, task_work_name

__all__ = ["HeldTask", "TaskTable"]

THROTTLED_SPEED = 0.5
TIMER_MARGIN_S = 0.001  # rounding may let a timer fire slightly early
VM_GONE = "vm_gone"


@attrs.define(kw_only=True, eq=False)
class HeldTask:
    """One attempt of a task on a worker, until its end is acknowledged."""

    start: TaskStart
    shard: str
    payload: TaskPayload
    execution: Execution
    needs: Resources
    lease_until_s: float
    remaining_s: float | None
    ending: bool = False
    version: int = 0
    phase: TaskPhase = TaskPhase.RUNNING
    outcome: TaskOutcome | None = None
    checkpoint: str | None = None
    progress_since_s: float = 0.0
    end_timer: asyncio.TimerHandle | None = None
    lease_timer: asyncio.TimerHandle | None = None

    @property
    def speed(self) -> float:
        """Progress per second of run time."""
        return THROTTLED_SPEED if self.phase is TaskPhase.THROTTLED else 1.0

    @property
    def current_usage(self) -> Usage:
        """Actual usage of CPU and memory at present."""
        if self.phase is TaskPhase.ENDED:
            return Usage()
        needs, payload = self.start.needs, self.payload
        cpu = needs.cpu_milli if payload.cpu_milli is None else payload.cpu_milli
        memory = needs.memory_mb if payload.memory_mb is None else payload.memory_mb
        return Usage(cpu_milli=int(cpu * self.speed), memory_mb=memory)


class TaskTable:
    """Reservations and life cycle of the tasks of one worker.

    Parameters
    ----------
    worker : str
        Name of the VM.
    capacity : Resources
        Capacity of the VM.
    ledger : Ledger
        Record of executions.
    usage_lag_s : float
        Age of the reported usage.
    checkpoint_s : float
        Time that it takes to write a checkpoint.
    changed : callable
        Called after each increase of `version`, which makes a new report due.
    """

    def __init__(self, *, worker, capacity, ledger, usage_lag_s, checkpoint_s, changed):
        self.worker = worker
        self.capacity = capacity
        self.ledger = ledger
        self.usage_lag_s = usage_lag_s
        self.checkpoint_s = checkpoint_s
        self.changed = changed
        self.tasks = {}
        self.reserved = Resources()
        self.version = 0
        self.is_paused = False
        self.deferred = []
        self.usage_samples = collections.deque([(-float("inf"), Usage())])
        ledger.record.capacities[worker] = capacity

    def fits(self, needs) -> bool:
        """Return whether an amount fits into the unreserved capacity."""
        return needs.fits(self.capacity - self.reserved)

    def start(self, start, shard, lease_until_s):
        """Reserve capacity and start one attempt."""
        now = _now()
        payload = parse_payload(start.payload, TaskPayload)
        execution = Execution(
            kind=WorkKind.TASK,
            work=task_work_name(start.task, payload),
            identifier=start.task,
            attempt=start.attempt,
            place=self.worker,
            started_s=now,
            needs=start.needs,
        )
        task = HeldTask(
            start=start,
            shard=shard,
            payload=payload,
            execution=execution,
            needs=start.needs,
            lease_until_s=lease_until_s,
            remaining_s=_remaining(payload, start.checkpoint),
            progress_since_s=now,
        )
        self.ledger.start(execution)
        self.tasks[start.task] = task
        self.reserved = self.reserved + start.needs
        self._arm_lease(task)
        self._arm_end(task)
        call_later(self.usage_lag_s + TIMER_MARGIN_S, self._on_usage_known, task)
        self._record_change(task)
        return task

    def resize(self, task, needs):
        """Change the reservation of a task if the new amounts fit."""
        if task.phase is TaskPhase.ENDED:
            return
        reserved = self.reserved - task.needs + needs
        if not reserved.fits(self.capacity):
            return
        self.reserved = reserved
        task.needs = needs
        self.ledger.resize(task.execution, needs=needs, time_s=_now())

    def renew(self, shard, until_s):
        """Extend the lease of every task of a shard."""
        for task in self.tasks.values():
            if task.shard == shard:
                task.lease_until_s = max(task.lease_until_s, until_s)

    def stop(self, task, grace_s):
        """End a task after its stop time, at the latest after the grace time."""
        delay_s = min(grace_s, task.payload.stop_s)
        self._end_after(task, delay_s, TaskOutcome.STOPPED)

    def write_checkpoint(self, task):
        """End a task with a checkpoint if it can write one."""
        if task.payload.checkpointable:
            self._end_after(task, self.checkpoint_s, TaskOutcome.CHECKPOINTED)

    def throttle(self, task, phase):
        """Set the phase, and with it the speed, unless the task is ending or ended."""
        if task.ending or task.phase in (phase, TaskPhase.ENDED):
            return
        self._advance(task)
        task.phase = phase
        self._arm_end(task)
        self._record_change(task)

    def fail_after(self, task, delay_s):
        """Let a task fail after a delay."""
        task.ending = True
        task.end_timer = self._replace_timer(
            task.end_timer, delay_s, self.end, task, TaskOutcome.FAILED
        )

    def acknowledge(self, task):
        """Remove a task that has ended."""
        if task.phase is not TaskPhase.ENDED:
            return
        task.lease_timer.cancel()
        del self.tasks[task.start.task]

    def end(self, task, outcome):
        """End a task and release its reservation."""
        if task.phase is TaskPhase.ENDED or self.tasks.get(task.start.task) is not task:
            return
        if self.is_paused:
            self.deferred.append((task, outcome))
            return
        now = _now()
        # A task whose lease expired while the VM was paused ended at the expiry.
        if now > task.lease_until_s:
            outcome = TaskOutcome.LEASE_EXPIRED
            now = max(task.lease_until_s, task.execution.started_s)
        if outcome is TaskOutcome.CHECKPOINTED:
            self._advance(task)
            task.checkpoint = _write_checkpoint(task)
        task.end_timer = _cancel(task.end_timer)
        self.reserved = self.reserved - task.needs
        task.phase = TaskPhase.ENDED
        task.outcome = outcome
        self.ledger.end(task.execution, outcome=outcome.value, time_s=now)
        self._record_change(task)

    def pause(self):
        """Defer the ends of tasks while the VM is paused."""
        self.is_paused = True

    def resume(self):
        """Enforce leases that expired during a pause, then carry out deferred ends."""
        if not self.is_paused:
            return
        self.is_paused = False
        for task in list(self.tasks.values()):
            if task.lease_until_s <= _now():
                self.end(task, TaskOutcome.LEASE_EXPIRED)
        deferred, self.deferred = self.deferred, []
        for task, outcome in deferred:
            self.end(task, outcome)

    def drop_all(self):
        """Drop every task because the VM is gone."""
        now = _now()
        self.deferred.clear()
        for task in self.tasks.values():
            _cancel(task.end_timer)
            _cancel(task.lease_timer)
            if task.phase is not TaskPhase.ENDED:
                end_s = max(task.execution.started_s, min(now, task.lease_until_s))
                self.ledger.end(task.execution, outcome=VM_GONE, time_s=end_s)
            elif task.execution.completed:
                task.execution.discarded = Discard.VM_GONE
        self.tasks = {}
        self.reserved = Resources()
        self._sample()

    def report(self, task) -> TaskReport:
        """Return the state of a task, without usage until `usage_lag_s` has passed."""
        known = _now() - task.execution.started_s >= self.usage_lag_s
        completed = task.outcome is TaskOutcome.COMPLETED
        return TaskReport(
            task=task.start.task,
            attempt=task.start.attempt,
            phase=task.phase,
            needs=task.needs,
            outcome=task.outcome,
            usage=task.current_usage if known else Usage(),
            answer=task.payload.answer if completed else "",
            checkpoint=task.checkpoint,
        )

    def usage(self) -> Usage:
        """Return the usage of the VM `usage_lag_s` ago and discard older samples."""
        limit = _now() - self.usage_lag_s
        samples = self.usage_samples
        while len(samples) > 1 and samples[1][0] <= limit:
            samples.popleft()
        return samples[0][1]

    def _end_after(self, task, delay_s, outcome):
        if task.phase is TaskPhase.ENDED:
            return
        left = task.end_timer
        if left is not None and left.when() <= _now() + delay_s:
            return  # the task ends earlier anyway
        if delay_s <= 0:
            self.end(task, outcome)
            return
        self._advance(task)
        task.ending = True
        task.end_timer = self._replace_timer(left, delay_s, self.end, task, outcome)

    def _arm_end(self, task):
        if task.remaining_s is None:
            return
        outcome = TaskOutcome.COMPLETED
        payload = task.payload
        if payload.fail or task.start.attempt <= payload.fail_attempts:
            outcome = TaskOutcome.FAILED
        task.end_timer = self._replace_timer(
            task.end_timer, task.remaining_s / task.speed, self.end, task, outcome
        )

    def _arm_lease(self, task):
        delay_s = max(0.0, task.lease_until_s - _now())
        task.lease_timer = call_later(delay_s, self._on_lease_timer, task)

    def _on_lease_timer(self, task):
        if self.tasks.get(task.start.task) is not task:
            return
        if task.lease_until_s > _now():
            self._arm_lease(task)
        elif task.phase is TaskPhase.ENDED:
            if task.execution.completed:
                task.execution.discarded = Discard.LEASE
        else:
            self.end(task, TaskOutcome.LEASE_EXPIRED)

    def _advance(self, task):
        now = _now()
        if task.remaining_s is not None:
            done_s = (now - task.progress_since_s) * task.speed
            task.remaining_s = max(0.0, task.remaining_s - done_s)
        task.progress_since_s = now

    def _on_usage_known(self, task):
        """Make a report due once the usage of a running task is known."""
        held = self.tasks.get(task.start.task) is task
        if held and task.phase is not TaskPhase.ENDED:
            self._record_change(task)

    def _record_change(self, task):
        self.version += 1
        task.version = self.version
        self._sample()
        self.changed()

    def _sample(self):
        """Record the current usage of the VM, and whether its memory is exceeded."""
        usages = [t.current_usage for t in self.tasks.values()]
        cpu = sum(u.cpu_milli for u in usages)
        memory = sum(u.memory_mb for u in usages)
        usage = Usage(
            cpu_milli=min(cpu, self.capacity.cpu_milli),
            memory_mb=min(memory, self.capacity.memory_mb),
        )
        if memory > self.capacity.memory_mb:
            self.ledger.record_memory_pressure(self.worker)
        self.usage_samples.append((_now(), usage))
        self.usage()

    def _replace_timer(self, timer, delay_s, action, *args):
        _cancel(timer)
        return call_later(delay_s, action, *args)


def _now():
    return asyncio.get_running_loop().time()


def _cancel(timer):
    if timer is not None:
        timer.cancel()


def _remaining(payload, checkpoint):
    if payload.run_s is None or checkpoint is None:
        return payload.run_s
    return max(0.0, payload.run_s - json.loads(checkpoint).get("done_s", 0.0))


def _write_checkpoint(task):
    done_s = 0.0
    if task.remaining_s is not None:
        done_s = task.payload.run_s - task.remaining_s
    return json.dumps({"done_s": done_s})
