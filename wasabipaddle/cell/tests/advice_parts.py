"""Dispatcher and eligibility service that share the virtual time of a test."""

import asyncio
import random

import attrs
from result import Ok

from wasabipaddle.cell.advice import AdviceBalancer
from wasabipaddle.cell.session import DispatchSession
from wasabipaddle.clock import LoopClock
from wasabipaddle.dispatch.tests.conftest import ADVISED, Cell, step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import AdvicePolicy
from wasabipaddle.messages.jobs import AdviceReply
from wasabipaddle.metrics import Metrics

POLICY = AdvicePolicy(base_s=0.45, per_runner_s=0.0065, valid_s=2.5)
QUEUES = (
    attrs.evolve(ADVISED, name="first", priority=1, advice=POLICY),
    attrs.evolve(ADVISED, advice=POLICY),
    attrs.evolve(ADVISED, name="last", priority=3, advice=POLICY),
)
ELIGIBLE_SHARE = 0.35
ROUND_S = 0.05


class ServiceMembers:
    """Stand-in for `MembersPlugin`; the service answers a process one call at a time.

    Attributes
    ----------
    idle_s : dict of str to float
        Time at which each process has all its answers.
    """

    def __init__(self, *, count, find_tickets):
        self.context = self
        self.roster = self
        self.clock = LoopClock()
        self.find_tickets = find_tickets
        self.idle_s = {f"p{i}": 0.0 for i in range(count)}

    def live(self):
        return list(self.idle_s)

    def heard_within(self, process, seconds):
        return True

    async def ask(self, process, message, reply_type, *, timeout_s):
        now = self.clock.now()
        took_s = POLICY.base_s + POLICY.per_runner_s * len(message.runners)
        self.idle_s[process] = max(self.idle_s[process], now) + took_s
        await asyncio.sleep(self.idle_s[process] - now)
        return Ok(AdviceReply(tickets=self.find_tickets(message)))


class AdvicePlay:
    """Scheduler with in-memory runners whose requests go through a real balancer.

    It has the attributes of a `DispatchSession` that the methods below use.
    """

    _plan_work = DispatchSession._plan_work
    _request_advice = DispatchSession._request_advice
    _ask_for_advice = DispatchSession._ask_for_advice

    def __init__(self, *, runners, processes, seed):
        self.clock = LoopClock()
        self.random = random.Random(seed)
        self.cell = Cell(runners=0, queues=QUEUES)
        self.cell.now = self.clock.now()
        for i in range(runners):
            self.cell.add_runner(f"r{i}", cpu=64_000)
        self.scheduler = self.cell.scheduler
        members = ServiceMembers(count=processes, find_tickets=self.find_tickets)
        self.advice_balancer = AdviceBalancer(members=members)
        self.metrics = Metrics()
        self.requests = set()
        self.ends_s = {}

    def now(self):
        return self.clock.now()

    def wake(self):
        """Do nothing; the play plans at fixed times."""

    def journal(self, kind, **fields):
        """Do nothing; the play keeps no log."""

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.requests.add(task)
        task.add_done_callback(self.requests.discard)

    def find_tickets(self, message):
        """Return tickets for a part of all runners, the same for each call."""
        generator = random.Random(f"{message.job}{message.step}")
        names = sorted(self.cell.runners)
        eligible = generator.sample(names, int(ELIGIBLE_SHARE * len(names)))
        return {name: "t" for name in message.runners if name in eligible}

    async def run(self, seconds, *, jobs_per_s=0.0, until=lambda: False):
        """Plan for some time or until a condition holds, with jobs of small tasks."""
        end_s = self.now() + seconds
        while self.now() < end_s and not until():
            await asyncio.sleep(ROUND_S)
            now = self.cell.now = self.now()
            if self.random.random() < jobs_per_s * ROUND_S:
                spec = step(self.random.randrange(2, 26), cpu=2000, estimate_s=2.0)
                self.cell.submit(f"j{now}", spec, queue="advised")
            self._end_runs(now)
            self.cell.read_inventories()
            self.cell.write()
            self.scheduler.advance(now)
            self._plan_work(now)
            for order in self.scheduler.take_orders():
                self.cell.execute(order)

    def _end_runs(self, now):
        for fake in self.cell.runners.values():
            for task, run in list(fake.running):
                if self.cell.state.jobs[task.job].job.spec.steps[0].lasting:
                    continue
                end_s = self.ends_s.setdefault((task, run), now + 2.0)
                fake.percents[(task, run)] = int(100 - 50 * (end_s - now))
                if now >= end_s:
                    fake.end(task, run)

    def fail_task(self, job):
        """End a run of a job as failed."""
        task, run, host = next(s for s in self.cell.started if s[0].job == job)
        self.cell.runners[host].end(task, run, EndCause.FAILED)

    def count_starts(self, job) -> int:
        """Return the number of starts of a job."""
        return sum(task.job == job for task, _, _ in self.cell.started)
