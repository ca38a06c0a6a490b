"""In-memory stand-in of a runner, which runs tasks under a lease."""

import asyncio
import math
import random

import attrs
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import (
    EndCause,
    EndedTask,
    Inventory,
    OrderReply,
    Refusal,
    RunnerClient,
    RunningTask,
)
from wasabipaddle.standins.runs import (
    FULL_PERCENT,
    RunnerFaults,
    RunnerRun,
    TaskBehaviour,
)

__all__ = ["MemoryRunner", "RunnerFaults", "RunnerRun", "TaskBehaviour"]

MS_PER_S = 1000
POLL_INTERVAL_S = 0.02
MAX_ORDER_DELAY_S = 4.0
MIN_ORDER_DELAY_S = 0.5


class MemoryRunner(RunnerClient):
    """Runner that carries out every valid order, without a check of its capacity.

    Parameters
    ----------
    entry : RunnerEntry
        Registry entry; its capacity is not enforced.
    ledger : object
        Record of the runs. `is_valid_order(order)` returns whether an order is valid,
        `behaviour(task)` returns the step and the behaviour of a task, and
        `gang_members(run)` returns the runs in progress of the gang of a run.
        `record_start(runner, run, order)`, `record_end(runner, run, cause)` and
        `record_acknowledgement(runner, end)` record the start of a run, its end, and
        the acknowledgement of its end.
    lease_max_s, stop_s, gang_wait_s : float
        Longest lease, time that a stop takes, and time for which a member of a gang
        waits for the others.
    clock_rate, clock_offset_s : float
        Rate and offset of the monotonic clock of the runner.
    seed : float
        Seed of the random choice of late orders and lost answers.
    """

    def __init__(
        self,
        *,
        entry,
        ledger,
        lease_max_s=6.0,
        stop_s=0.2,
        gang_wait_s=3.0,
        clock_rate=1.0,
        clock_offset_s=1000.0,
        seed=0,
    ):
        self.entry = entry
        self.ledger = ledger
        self.lease_max_s = lease_max_s
        self.stop_s = stop_s
        self.gang_wait_s = gang_wait_s
        self.clock_rate = clock_rate
        self.clock_offset_s = clock_offset_s
        self.random = random.Random(seed)
        self.faults = RunnerFaults()
        self.alive = True
        self.changed = asyncio.Event()
        self.frozen_since_s = None
        self.frozen_s = 0.0
        self._reset_state()

    def _reset_state(self):
        self.epoch = 0
        self.lease_until_ms = 0
        self.runs = {}
        self.highest_runs = {}
        self.ends = []
        self.end_number = 0
        self.last_lapsed_end = 0

    def _now(self):
        """Return the time for which the runner has not stood still."""
        now = asyncio.get_running_loop().time()
        return (now if self.frozen_since_s is None else self.frozen_since_s) - (
            self.frozen_s
        )

    def freeze(self):
        """Make the clock, the lease and the work stand still."""
        self.frozen_since_s = asyncio.get_running_loop().time()

    def unfreeze(self):
        """Continue after `freeze`."""
        self.frozen_s += asyncio.get_running_loop().time() - self.frozen_since_s
        self.frozen_since_s = None

    def clock_ms(self) -> int:
        """Return the time of the runner's monotonic clock in milliseconds."""
        return int((self.clock_offset_s + self._now() * self.clock_rate) * MS_PER_S)

    def crash(self, incarnation, *, clock_s=None):
        """Lose all state and continue as another incarnation.

        The clock goes on, or starts anew at `clock_s`.
        """
        if clock_s is not None:
            self.clock_offset_s = clock_s - self._now() * self.clock_rate
        runs = list(self.runs.values())
        self._reset_state()
        for run in runs:
            self.ledger.record_end(self, run, None)
            self._end_gang(run, None)
        self.entry = attrs.evolve(self.entry, incarnation=incarnation)

    def shut_down(self):
        """Stop the runner for good; its runs are lost."""
        self.alive = False
        self.crash(self.entry.incarnation)

    async def advance_periodically(self):
        """Advance the runs periodically until cancelled."""
        while True:
            self.advance()
            await asyncio.sleep(POLL_INTERVAL_S)

    def advance(self):
        """Advance all runs to the present time."""
        now = self._now()
        expired = self.clock_ms() >= self.lease_until_ms
        if expired:
            # An ended run that is not acknowledged before the lease expires never
            # counts as acknowledged, since a dispatcher that waited for the expiry may
            # have repeated the task.
            self.last_lapsed_end = self.end_number
        for run in list(self.runs.values()):
            if (run.task, run.number) not in self.runs:
                continue  # the run has ended with another member of its gang
            if expired:
                self._end(run, EndCause.LEASE_EXPIRED)
                continue
            if now >= run.stop_at_s:
                self._end(run, EndCause.STOPPED)
                continue
            elapsed_s, run.touched_s = now - run.touched_s, now
            if self.faults.stalled or self._waits_for_gang(run, now):
                continue
            if self.faults.failing:
                self._end(run, EndCause.FAILED)
                continue
            run.done_s += elapsed_s * run.pace / FULL_PERCENT / self.faults.slowness
            if run.done_s >= run.life_s:
                self._end(run, EndCause.FAILED)
            elif run.done_s >= run.behaviour.work_s:
                failed = run.behaviour.fails
                self._end(run, EndCause.FAILED if failed else EndCause.COMPLETED)

    def _waits_for_gang(self, run, now):
        """Return whether members of the gang are missing.

        The run ends if it has waited for them longer than `gang_wait_s`.
        """
        if not run.spec.gang or len(self.ledger.gang_members(run)) >= run.spec.count:
            return False
        if now - run.began_s > self.gang_wait_s:
            self._end(run, EndCause.GANG_INCOMPLETE)
        return True

    def _end_gang(self, run, cause):
        """End the other members of the gang of a run that has ended."""
        if not run.spec.gang or cause in (
            EndCause.GANG_BROKEN,
            EndCause.GANG_INCOMPLETE,
        ):
            return
        member_cause = cause if cause is EndCause.COMPLETED else EndCause.GANG_BROKEN
        for member in self.ledger.gang_members(run):
            if (member.task, member.number) in member.owner.runs:
                member.owner._end(member, member_cause)

    def _end(self, run, cause):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self.end_number += 1
        saved = f"{run.done_s:.3f}" if run.spec.checkpoints else ""
        end = EndedTask(
            number=self.end_number,
            task=run.task,
            run=run.number,
            cause=cause,
            checkpoint=saved,
        )
        self.ends.append(end)
        self.ledger.record_end(self, run, cause)
        self.changed.set()
        self._end_gang(run, cause)

    async def _execute_order(self, execute):
        """Carry out an order; a fault may delay it or lose its answer."""
        draw = self.random.random()
        if draw < self.faults.late_share:
            delay_s = self.random.uniform(MIN_ORDER_DELAY_S, MAX_ORDER_DELAY_S)
            asyncio.get_running_loop().call_later(delay_s, execute)
            return _no_answer()
        reply = execute()
        if draw < self.faults.late_share + self.faults.lost_share:
            return _no_answer()
        return Ok(reply)

    async def start(self, order, *, timeout_s):
        """Start a run, or answer with the reason of the refusal."""
        return await self._execute_order(lambda: self._start(order))

    def _start(self, order):
        if not self.alive:
            return self._reply(Refusal.UNHEALTHY)
        if order.epoch < self.epoch:
            return self._reply(Refusal.STALE_EPOCH)
        self.epoch = order.epoch
        if (order.task, order.run) in self.runs:
            return self._reply(Refusal.NONE)
        if self.clock_ms() > order.start_before_ms:
            return self._reply(Refusal.TOO_LATE)
        self._extend(order.start_before_ms)
        if order.run <= self.highest_runs.get(order.task, 0):
            return self._reply(Refusal.OLD_RUN)
        self.highest_runs[order.task] = order.run
        if not self.ledger.is_valid_order(order):
            return self._reply(Refusal.INVALID)
        spec, behaviour = self.ledger.behaviour(order.task)
        run = RunnerRun(
            task=order.task,
            number=order.run,
            spec=spec,
            behaviour=behaviour,
            owner=self,
            began_s=self._now(),
            done_s=float(order.checkpoint or 0.0),
            touched_s=self._now(),
            life_s=self._draw_life(behaviour),
        )
        self.runs[order.task, order.run] = run
        self.ledger.record_start(self, run, order)
        return self._reply(Refusal.NONE)

    def _draw_life(self, behaviour):
        """Return the work after which a run fails by itself, in seconds."""
        if math.isinf(behaviour.mean_life_s):
            return math.inf
        return self.random.expovariate(1 / behaviour.mean_life_s)

    def _extend(self, until_ms):
        longest_ms = self.clock_ms() + int(self.lease_max_s * MS_PER_S)
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest_ms))

    async def stop(self, task, run, *, epoch, timeout_s):
        """Stop a run, or prevent its start if it has not started."""
        return await self._execute_order(lambda: self._stop(task, run, epoch))

    def _stop(self, task, number, epoch):
        if epoch < self.epoch:
            return self._reply(Refusal.STALE_EPOCH)
        self.epoch = epoch
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None:
            run.stop_at_s = min(run.stop_at_s, self._now() + self.stop_s)
        return self._reply(Refusal.NONE)

    async def pace(self, task, run, *, percent, epoch, timeout_s):
        """Set the speed of a run in percent."""
        if epoch < self.epoch:
            return Ok(self._reply(Refusal.STALE_EPOCH))
        self.epoch = epoch
        found = self.runs.get((task, run))
        if found is not None:
            found.pace = percent
        return Ok(self._reply(Refusal.NONE))

    async def inventory(
        self, *, epoch, acknowledged, lease_until_ms, wait_s, timeout_s
    ):
        """Extend the lease and return the runs in progress and the ended runs.

        Without ended runs, the answer is delayed by at most `wait_s`.
        """
        if epoch < self.epoch:
            return Ok(self.make_inventory(Refusal.STALE_EPOCH))
        self.epoch = epoch
        self.advance()
        self._extend(lease_until_ms)
        for end in self.ends:
            if self.last_lapsed_end < end.number <= acknowledged:
                self.ledger.record_acknowledgement(self, end)
        self.ends = [end for end in self.ends if end.number > acknowledged]
        until_s = self._now() + wait_s
        while not self.ends and self._now() < until_s:
            self.changed.clear()
            try:
                async with asyncio.timeout(until_s - self._now()):
                    await self.changed.wait()
            except TimeoutError:
                break
        if epoch < self.epoch:
            return Ok(self.make_inventory(Refusal.STALE_EPOCH))
        return Ok(self.make_inventory(Refusal.NONE))

    def make_inventory(self, refusal):
        """Return the present inventory."""
        shown = refusal is Refusal.NONE
        rows = tuple(
            RunningTask(
                task=run.task,
                run=run.number,
                checkpoint=f"{run.done_s:.3f}" if run.spec.checkpoints else "",
                percent=run.percent,
                load=1.0,
            )
            for run in self.runs.values()
        )
        return Inventory(
            clock_ms=self.clock_ms(),
            incarnation=self.entry.incarnation,
            running=rows if shown else (),
            ended=tuple(self.ends) if shown else (),
            refusal=refusal,
        )

    def _reply(self, refusal):
        return OrderReply(
            clock_ms=self.clock_ms(),
            refusal=refusal,
            incarnation=self.entry.incarnation,
        )


def _no_answer():
    return Err(Failure(kind=ErrorKind.TIMEOUT, detail="no answer from the runner"))
