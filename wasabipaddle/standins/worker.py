"""In-memory stand-in of a worker."""

import asyncio
import random as random_module

import attrs
from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import (
    TaskPhase,
    TaskRefusal,
    WorkerClient,
    WorkerReport,
)
from wasabipaddle.standins.exchange import call_later, exchange, fail, reply
from wasabipaddle.standins.faults import change_faults
from wasabipaddle.standins.tasks import TaskTable

__all__ = ["MemoryWorker", "WorkerFaults", "MemoryWorkerClient"]

DEFAULT_TIMEOUT_S = 1.0
FAIL_DELAY_S = 0.05


@attrs.define(kw_only=True)
class WorkerFaults:
    """Faults of a worker, which `MemoryWorker.set_faults` changes.

    Parameters
    ----------
    fails_starts : bool
        Every task that starts fails after a short time.
    unreachable : bool
        Refuse connections; running tasks continue.
    silent : bool
        Drop every call without an answer; running tasks continue.
    paused : bool
        Pause the whole VM; when it resumes, leases that have expired are enforced
        first.
    gone : bool
        Lose every task and refuse connections. Clearing the fault restores the VM
        without any task.
    lost_answer : float
        Probability that an answer is lost after the call took effect.
    extra_latency_s : float
        Additional round-trip time of every call.
    """

    fails_starts: bool = False
    unreachable: bool = False
    silent: bool = False
    paused: bool = False
    gone: bool = False
    lost_answer: float = 0.0
    extra_latency_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class _WaitingCall:
    command: object
    refusals: tuple
    answer: asyncio.Future
    timer: asyncio.TimerHandle | None = None


class MemoryWorkerClient(WorkerClient):
    """Client of a `MemoryWorker` for one process.

    Attributes
    ----------
    partitioned : bool
        Whether calls of the process are lost on the way to the worker; answers to
        earlier calls still arrive.
    """

    def __init__(self, *, worker, timeout_s=DEFAULT_TIMEOUT_S):
        self.worker = worker
        self.timeout_s = timeout_s
        self.partitioned = False

    async def sync(self, command):
        """Send one batch of commands."""

        def arrive(answer):
            if not self.partitioned:
                self.worker.arrive(command, answer)

        if self.worker.refuses_connections() and not self.partitioned:
            await asyncio.sleep(2 * self.worker.one_way_s)
            detail = f"{self.worker.name} refuses connections"
            return fail(ErrorKind.UNREACHABLE, detail)
        return await exchange(
            arrive,
            one_way_s=self.worker.one_way_s,
            timeout_s=command.wait_s + self.timeout_s,
            target=self.worker.name,
        )


class MemoryWorker(WorkerClient):
    """Worker in memory on the running asyncio loop.

    Parameters
    ----------
    name : str
        Name of the VM.
    capacity : Resources
        Capacity of the VM.
    ledger : Ledger
        Record of executions.
    latency_s : float
        Round-trip time of a call, without the time that it waits for changes.
    usage_lag_s : float
        Age of the reported usage.
    checkpoint_s : float
        Time that it takes to write a checkpoint.
    random : random.Random or None
        Random number generator for lost answers; None uses seed 0.

    Attributes
    ----------
    epochs : dict of str to int
        Highest epoch received from each shard.
    highest_attempts : dict of str to int
        Highest attempt of each task that was started here or named in a stop.
    syncs : int
        Number of calls that were handled, without those dropped by a fault.
    """

    def __init__(
        self,
        *,
        name,
        capacity,
        ledger,
        latency_s=0.001,
        usage_lag_s=5.0,
        checkpoint_s=0.2,
        random=None,
    ):
        self.name = name
        self.latency_s = latency_s
        self.faults = WorkerFaults()
        self.random = random or random_module.Random(0)
        self.epochs = {}
        self.highest_attempts = {}
        self.syncs = 0
        self.leaving = False
        self.waiting_calls = set()
        self.delayed_calls = []
        self.table = TaskTable(
            worker=name,
            capacity=capacity,
            ledger=ledger,
            usage_lag_s=usage_lag_s,
            checkpoint_s=checkpoint_s,
            changed=self._wake,
        )
        self.view = MemoryWorkerClient(worker=self)

    @property
    def one_way_s(self) -> float:
        """One-way latency of calls and answers."""
        return (self.latency_s + self.faults.extra_latency_s) / 2

    def client(self, *, timeout_s=DEFAULT_TIMEOUT_S) -> MemoryWorkerClient:
        """Return a client with its own `partitioned` flag."""
        return MemoryWorkerClient(worker=self, timeout_s=timeout_s)

    async def sync(self, command):
        """Send one batch of commands."""
        return await self.view.sync(command)

    def set_faults(self, **changes):
        """Set faults by name."""
        change_faults(self.faults, changes)
        if self.faults.gone:
            self._reset()
        if self.faults.paused:
            self.table.pause()
        else:
            self._resume()

    def refuses_connections(self) -> bool:
        """Return whether connections are refused."""
        return self.faults.unreachable or self.faults.gone

    def leave(self, leaving=True):
        """Announce that the VM is about to leave, or revoke the announcement.

        While it is announced, new starts are refused.
        """
        self.leaving = leaving
        self.table.version += 1
        self._wake()

    def arrive(self, command, answer):
        """Carry out a batch of commands on its arrival at the worker.

        Parameters
        ----------
        command : WorkerSync
            The batch.
        answer : asyncio.Future
            Receives the result unless a fault prevents it.
        """
        if self.refuses_connections() or self.faults.silent:
            return
        if self.faults.paused:
            self.delayed_calls.append((command, answer))
            return
        self.syncs += 1
        if command.epoch < self.epochs.get(command.shard, 0):
            self._reply_stale(command, answer)
            return
        self._accept_epoch(command)
        refusals = self._apply(command)
        due = self.table.version > command.seen_version or command.seen_version < 0
        if due or refusals or command.wait_s <= 0:
            self._report(command, refusals, answer)
            return
        wait = _WaitingCall(command=command, refusals=refusals, answer=answer)
        wait.timer = call_later(command.wait_s, self._finish_wait, wait)
        self.waiting_calls.add(wait)

    def _accept_epoch(self, command):
        """Store a higher epoch and end the waiting calls of the previous leader."""
        if command.epoch == self.epochs.get(command.shard):
            return
        self.epochs[command.shard] = command.epoch
        for wait in list(self.waiting_calls):
            if wait.command.shard == command.shard:
                self.waiting_calls.discard(wait)
                wait.timer.cancel()
                self._reply_stale(wait.command, wait.answer)

    def _apply(self, command):
        """Carry out a batch; stops come before starts."""
        if command.lease_s > 0:
            self.table.renew(command.shard, _lease_until(command))
        for order in command.acknowledgements:
            self._apply_to_attempt(command, order, self.table.acknowledge)
        for order in command.stops:
            # A start of this attempt that arrives later is refused.
            self._record_attempt(order)
            self._apply_to_attempt(command, order, self.table.stop, order.grace_s)
        for order in command.checkpoints:
            self._apply_to_attempt(command, order, self.table.write_checkpoint)
        for order in command.throttles:
            self._apply_to_attempt(
                command, order, self.table.throttle, TaskPhase.THROTTLED
            )
        for order in command.unthrottles:
            self._apply_to_attempt(
                command, order, self.table.throttle, TaskPhase.RUNNING
            )
        for resize in command.resizes:
            self._apply_to_attempt(command, resize, self.table.resize, resize.needs)
        refusals = [self._start(command, start) for start in command.starts]
        return tuple(r for r in refusals if r is not None)

    def _apply_to_attempt(self, command, order, action, *args):
        """Call an action for an attempt that the worker holds for the shard.

        Orders for other attempts or from other shards are ignored.
        """
        task = self.table.tasks.get(order.task)
        if task is None or task.shard != command.shard:
            return
        if task.start.attempt == order.attempt:
            action(task, *args)

    def _record_attempt(self, order):
        self.highest_attempts[order.task] = max(
            order.attempt, self.highest_attempts.get(order.task, -1)
        )

    def _start(self, command, start):
        held = self.table.tasks.get(start.task)
        if held is not None and held.start.attempt == start.attempt:
            return None  # a repeated command; the report contains the task
        if (
            start.attempt <= self.highest_attempts.get(start.task, -1)
            or held is not None
        ):
            return _refuse(start, ErrorKind.CONFLICT)
        if not self.table.fits(start.needs):
            return _refuse(start, ErrorKind.NO_CAPACITY)
        if self.leaving:
            return _refuse(start, ErrorKind.DRAINING)
        until_s = _lease_until(command)
        if until_s <= _now():
            return _refuse(start, ErrorKind.DEADLINE_UNMEETABLE)
        self._record_attempt(start)
        task = self.table.start(start, command.shard, until_s)
        if self.faults.fails_starts:
            self.table.fail_after(task, FAIL_DELAY_S)
        return None

    def _report(self, command, refusals, answer):
        whole = not 0 <= command.seen_version <= self.table.version
        shown = [
            t
            for t in self.table.tasks.values()
            if t.shard == command.shard and (whole or t.version > command.seen_version)
        ]
        ended = [t.execution for t in shown if t.phase is TaskPhase.ENDED]
        tasks = tuple(self.table.report(t) for t in shown)
        report = WorkerReport(
            worker=self.name,
            version=self.table.version,
            whole=whole,
            tasks=tasks,
            refusals=refusals,
            usage=self.table.usage(),
            leaving=self.leaving,
            clock_s=_now(),
        )
        if self.random.random() >= self.faults.lost_answer:
            reply(
                answer,
                Ok(report),
                one_way_s=self.one_way_s,
                delivered=lambda: _mark_reported(ended),
            )

    def _reply_stale(self, command, answer):
        epoch = self.epochs[command.shard]
        detail = f"epoch {command.epoch} of {command.shard} is below {epoch}"
        result = fail(ErrorKind.STALE_EPOCH, detail)
        reply(answer, result, one_way_s=self.one_way_s)

    def _wake(self):
        for wait in list(self.waiting_calls):
            self._finish_wait(wait)

    def _finish_wait(self, wait):
        self.waiting_calls.discard(wait)
        wait.timer.cancel()
        cut = self.refuses_connections() or self.faults.silent
        if cut or wait.answer.done():
            return
        if self.faults.paused:
            self.delayed_calls.append((wait.command, wait.answer))
            return
        self._report(wait.command, wait.refusals, wait.answer)

    def _reset(self):
        self.table.drop_all()
        self.table.version = 0
        self.epochs.clear()
        self.highest_attempts.clear()
        self.delayed_calls.clear()
        for wait in self.waiting_calls:
            wait.timer.cancel()
        self.waiting_calls.clear()

    def _resume(self):
        """End a pause: enforce expired leases, then carry out the delayed calls."""
        self.table.resume()
        delayed_calls, self.delayed_calls = self.delayed_calls, []
        for command, answer in delayed_calls:
            self.arrive(command, answer)


def _now():
    return asyncio.get_running_loop().time()


def _mark_reported(executions):
    for execution in executions:
        execution.reported = True


def _lease_until(command):
    base_s = _now() if command.lease_base_s is None else command.lease_base_s
    return base_s + command.lease_s


def _refuse(start, kind):
    return TaskRefusal(task=start.task, attempt=start.attempt, kind=kind)
