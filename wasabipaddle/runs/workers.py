"""Synchronisation of a shard leader with one worker."""

import asyncio
import math

import attrs
from result import Err

from wasabipaddle.clock import cancel_and_wait
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import TaskOrder, WorkerReport, WorkerSync

__all__ = [
    "LeaderDeposed",
    "WorkerContact",
    "WorkerReported",
    "WorkerSession",
    "WorkerUnreachable",
]

# Time-out of a call, in addition to the wait of a long poll.
CALL_TIMEOUT_S = 2.0
RETRY_S = 0.5
START_CHECK_S = 0.1  # between checks of whether starts may be sent
POLLS_PER_LEASE = 3  # long polls of a worker per task lease


@attrs.frozen(kw_only=True)
class WorkerReported:
    """A worker answered a synchronisation.

    Parameters
    ----------
    sent_at, received_at : float
        Monotonic times at which the call was sent and its answer arrived, in seconds.
        The worker made the report between them.
    """

    worker: str
    report: WorkerReport
    sent_at: float
    received_at: float


@attrs.frozen(kw_only=True)
class WorkerUnreachable:
    """A synchronisation failed; its commands may still have arrived."""

    worker: str
    failure: Failure


@attrs.frozen(kw_only=True)
class LeaderDeposed:
    """A worker refused a synchronisation, as it has seen a higher epoch."""

    worker: str


@attrs.define(kw_only=True)
class WorkerContact:
    """State of the contact with a worker.

    Parameters
    ----------
    leases_expire_by : float
        Latest monotonic time at which a lease renewed by this leader may expire on
        the worker, in seconds, allowing for the drift of the worker's clock.
    answered : bool
        Whether the worker has answered a call of this leader.
    failures : int
        Failed calls since the last answer.
    unbroken_since : float
        Monotonic time since which no call has failed, in seconds.
    clock_s : float or None
        Latest reading of the worker's monotonic clock, in seconds.
    clock_read_at : float
        Local monotonic time at which that reading arrived, in seconds.
    """

    leases_expire_by: float = 0.0
    answered: bool = False
    failures: int = 0
    unbroken_since: float = math.inf
    clock_s: float | None = None
    clock_read_at: float = 0.0

    @property
    def is_reachable(self) -> bool:
        """Whether leases may be renewed and tasks started.

        Without a reading of the worker's clock, a delayed command could renew a lease
        for longer than the leader assumes. After a failed call no lease is renewed
        until the next answer, so that the leases expire at a known time.
        """
        return self.clock_s is not None and self.failures == 0

    def worker_clock(self, now) -> float | None:
        """Estimate the worker's clock; None before the first answer.

        The estimate is late by the delay of the answer, so it is a lower bound apart
        from clock drift.
        """
        if self.clock_s is None:
            return None
        return self.clock_s + now - self.clock_read_at

    def read_clock(self, clock_s, now):
        """Record a reading of the worker's clock that has just arrived."""
        self.clock_s = clock_s
        self.clock_read_at = now

    def extend_leases(self, until):
        """Record that a lease may expire on the worker as late as `until`."""
        self.leases_expire_by = max(self.leases_expire_by, until)


@attrs.define(kw_only=True)
class _Commands:
    """Commands queued for the next call, by field of `WorkerSync`."""

    resizes: list = attrs.field(factory=list)
    starts: list = attrs.field(factory=list)
    stops: list = attrs.field(factory=list)
    checkpoints: list = attrs.field(factory=list)
    throttles: list = attrs.field(factory=list)
    unthrottles: list = attrs.field(factory=list)
    acknowledgements: list = attrs.field(factory=list)

    def any(self) -> bool:
        return any(attrs.astuple(self, recurse=False))

    def requeue(self, earlier):
        """Queue the commands of a failed call again, ahead of all others.

        Repeating a command is safe, since a worker applies it once per attempt.
        """
        for field in attrs.fields(_Commands):
            getattr(self, field.name)[:0] = getattr(earlier, field.name)


class WorkerSession:
    """Sends commands to one worker, renews its leases and reports its state.

    One task polls the worker, and a second one sends commands as soon as there are
    any. Calls of both renew the leases and report their results to `notify`.

    Parameters
    ----------
    worker : str
        Name of the worker.
    client : WorkerClient
        Client of the worker.
    shard, epoch, leader
        Fencing token and name of the shard leader.
    leadership_settings : LeadershipSettings
        Duration of a task lease and clock drift.
    clock : Clock
        Source of time.
    election : object
        Has `may_command` and `proved_at`, see `ShardElection`.
    notify : callable
        Receives `WorkerReported`, `WorkerUnreachable` and `LeaderDeposed`.
    """

    def __init__(
        self,
        *,
        worker,
        client,
        shard,
        epoch,
        leader,
        leadership_settings,
        clock,
        election,
        notify,
    ):
        self.worker = worker
        self.client = client
        self.shard = shard
        self.epoch = epoch
        self.leader = leader
        self.leadership_settings = leadership_settings
        self.clock = clock
        self.election = election
        self.notify = notify
        self.contact = WorkerContact()
        self.commands = _Commands()
        self.wake = asyncio.Event()
        self.seen_version = -1
        self.inventory_due = False
        self.repeated_starts = set()  # (task, attempt) of starts that may have arrived
        self.tasks = []

    def start(self):
        """Start the two tasks of the session."""
        self.tasks = [
            asyncio.create_task(self._poll()),
            asyncio.create_task(self._send()),
        ]

    def reset(self):
        """Drop all queued commands and request the complete inventory again.

        Called when the leases of the worker have expired, so that no command for an
        abandoned attempt is sent later. A command that is already on its way carries
        an expired lease, which the worker refuses.
        """
        self.abandon()
        self.seen_version = -1
        self.start()

    def abandon(self):
        """Cancel the calls in progress and drop the queued commands."""
        for task in self.tasks:
            task.cancel()
        self.commands = _Commands()
        self.repeated_starts.clear()

    async def stop(self):
        """Stop the session and drop all unsent commands."""
        self.abandon()
        await cancel_and_wait(self.tasks)
        await self.client.close()

    def request_inventory(self):
        """Request the complete inventory with the next call."""
        self.inventory_due = True

    def command(self, name, order):
        """Queue a command for the field `name` of `WorkerSync`."""
        getattr(self.commands, name).append(order)
        self.wake.set()

    async def _poll(self):
        wait_s = 0.0
        while True:
            result = await self._call(_Commands(), wait_s=wait_s)
            if result.is_err():
                await asyncio.sleep(RETRY_S)
            wait_s = (
                self.leadership_settings.task_lease_s / POLLS_PER_LEASE
                if result.is_ok()
                else 0.0
            )

    async def _send(self):
        while True:
            await self.wake.wait()
            if not self.election.may_command():
                await asyncio.sleep(RETRY_S)
                continue
            self.wake.clear()
            if not self.contact.is_reachable:
                await asyncio.sleep(RETRY_S)
                self.wake.set()
                continue
            commands = self._take_commands()
            if commands.any():
                result = await self._call(commands, wait_s=0.0)
                if result.is_err():
                    self.commands.requeue(commands)
                    self.repeated_starts |= {_key(s) for s in commands.starts}
                    await asyncio.sleep(RETRY_S)
                    self.wake.set()
            if self.commands.starts:
                await asyncio.sleep(START_CHECK_S)
                self.wake.set()

    def _take_commands(self):
        """Return the queued commands, without starts that must wait.

        A later leader calls every worker before it starts a task again, and the worker
        then refuses the starts of this leader. This holds only for a worker that has
        kept its state since a time at which no later leader existed. One that was new
        or has restarted since may not know of the later leader, nor it of the worker.
        """
        commands, self.commands = self.commands, _Commands()
        if self.contact.unbroken_since >= self.election.proved_at:
            self.commands.starts, commands.starts = commands.starts, []
        return commands

    async def _call(self, commands, *, wait_s):
        sent_at = self.clock.now()
        sync = self._make_sync(commands, wait_s, sent_at)
        timeout_s = CALL_TIMEOUT_S + wait_s
        try:
            async with asyncio.timeout(timeout_s):
                result = await self.client.sync(sync)
        except TimeoutError:
            detail = f"no answer from {self.worker}"
            result = Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
        self._handle_result(result, sync, sent_at)
        return result

    def _make_sync(self, commands, wait_s, now):
        base = self.contact.worker_clock(now)
        lease_s = (
            self.leadership_settings.task_lease_s if self.contact.is_reachable else 0.0
        )
        if lease_s > 0:
            until = now + lease_s * (1 + self.leadership_settings.drift)
            self.contact.extend_leases(until)
        return WorkerSync(
            shard=self.shard,
            epoch=self.epoch,
            leader=self.leader,
            lease_s=lease_s,
            lease_base_s=base,
            seen_version=-1 if self.inventory_due else self.seen_version,
            wait_s=wait_s,
            **{k: tuple(v) for k, v in attrs.asdict(commands, recurse=False).items()},
        )

    def _handle_result(self, result, sync, sent_at):
        if result.is_ok():
            self._handle_answer(result.unwrap(), sync, sent_at)
            return
        failure = result.unwrap_err()
        self.contact.failures += 1
        self.contact.unbroken_since = math.inf
        # A restart ends the call in progress, and the versions need not show it.
        self.request_inventory()
        if failure.kind is ErrorKind.STALE_EPOCH:
            self.notify(LeaderDeposed(worker=self.worker))
            return
        self.notify(WorkerUnreachable(worker=self.worker, failure=failure))

    def _handle_answer(self, report, sync, sent_at):
        now = self.clock.now()
        self.contact.answered = True
        self.contact.failures = 0
        self.contact.unbroken_since = min(self.contact.unbroken_since, now)
        self._check_lease(sync, report, now)
        self.contact.read_clock(report.clock_s, now)
        # A worker that has restarted counts its versions from 0 again.
        seen_version = -1 if report.whole else self.seen_version
        self.seen_version = max(seen_version, report.version)
        if sync.seen_version < 0:
            self.inventory_due = False
        report = attrs.evolve(report, refusals=self._final_refusals(sync, report))
        self.notify(
            WorkerReported(
                worker=self.worker, report=report, sent_at=sent_at, received_at=now
            )
        )

    def _final_refusals(self, sync, report):
        """Return the refusals after which no copy of the start can be accepted.

        A copy of a repeated start may still be under way. After a stop of the attempt
        the worker refuses every copy, so the start is sent once more behind a stop.
        """
        refusals = {_key(r): r for r in report.refusals}
        for start in sync.starts:
            key = _key(start)
            if key not in self.repeated_starts:
                continue
            self.repeated_starts.discard(key)
            if refusals.pop(key, None) is not None:
                order = TaskOrder(task=start.task, attempt=start.attempt)
                self.command("stops", order)
                self.command("starts", start)
        return tuple(refusals.values())

    def _check_lease(self, sync, report, now):
        """Wait longer for a lease that counts from a later reading than the report's.

        The clock of the worker has restarted or stood still since its last reading, so
        that the lease ends later than `_make_sync` assumed.
        """
        if sync.lease_s > 0 and sync.lease_base_s > report.clock_s:
            left_s = sync.lease_base_s + sync.lease_s - report.clock_s
            drift = self.leadership_settings.drift
            self.contact.extend_leases(now + left_s * (1 + drift))


def _key(start):
    return start.task, start.attempt
