"""Stateful test of quotas against a plain count of what runs on the runners."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from wasabipaddle.dispatch import StartOutcome, StartTask, StopTask
from wasabipaddle.dispatch.quotas import Quotas
from wasabipaddle.dispatch.replies import Replies
from wasabipaddle.dispatch.tests.conftest import Cell, step
from wasabipaddle.dispatch.usage import Usage
from wasabipaddle.interfaces import EndCause, OrderReply, Refusal
from wasabipaddle.jobs import Capacity, Workspace

NAMES = ("w0", "w1")
INDEX = st.integers(0, 1000)
DELIVERIES = ("delivered", "delivered", "reply_lost", "late", "lost")
ORDERS = st.lists(st.sampled_from(DELIVERIES), min_size=1, max_size=6)
RUNNERS = 3


class QuotaMachine(RuleBasedStateMachine):
    """Submits jobs and disturbs runners, orders, quotas and dispatchers.

    Attributes
    ----------
    late : list of tuple of (StartTask, int, dict)
        Orders on their way, with the term of their dispatcher and the quotas known to
        it.
    seen : dict of str to int
        Highest term that each runner has seen; it refuses orders of lower ones.
    closed : dict of (str, TaskId) to int
        Highest run that was stopped or has ended on a runner; lower ones cannot begin.
    """

    def __init__(self):
        super().__init__()
        self.cell = Cell(runners=RUNNERS, cpu=6000)
        self.term = 0
        self.count = 0
        self.jobs = []
        self.records = {}
        self.late = []
        self.seen = dict.fromkeys(self.cell.runners, 0)
        self.closed = {}
        self.leases = {}
        self.quotas = dict.fromkeys(NAMES, 4000)
        self.set_quotas()

    def set_quotas(self):
        self.cell.set_workspaces(
            *(Workspace(name=n, quota=Capacity(cpu=q)) for n, q in self.quotas.items())
        )

    @rule(
        count=st.integers(1, 5),
        cpu=st.sampled_from((500, 1000, 1500)),
        kind=st.sampled_from(({}, {"gang": True}, {"speculative": True})),
        workspace=st.sampled_from(NAMES),
        chained=st.booleans(),
        deliveries=ORDERS,
    )
    def submit(self, count, cpu, kind, workspace, chained, deliveries):
        """Submit a job, which is stored from then on, and plan."""
        self.count += 1
        steps = [step(count, cpu=cpu, **kind)]
        if chained:
            steps.append(step(count, cpu=cpu, after=(0,), **kind))
        entry = self.cell.submit(f"j{self.count}", *steps, workspace=workspace)
        self.jobs.append(entry.job)
        self.plan(deliveries)

    @rule(index=INDEX)
    def cancel(self, index):
        """Cancel one of the jobs."""
        if self.jobs:
            job = self.jobs[index % len(self.jobs)]
            self.cell.scheduler.lifecycle.cancel(job.id, self.cell.now)

    @rule(
        workspace=st.sampled_from(NAMES), quota=st.sampled_from((0, 1000, 2000, 6000))
    )
    def change_quota(self, workspace, quota):
        """Change the quota of a workspace."""
        self.quotas[workspace] = quota
        self.set_quotas()

    def plan(self, deliveries):
        """Plan, with orders that arrive, get lost or arrive late."""
        self.cell.scheduler.plan(self.cell.now)
        self.send_orders(deliveries)

    def send_orders(self, deliveries):
        for number, order in enumerate(self.cell.scheduler.take_orders()):
            delivery = deliveries[number % len(deliveries)]
            if isinstance(order, StartTask):
                self.send_start(order, delivery)
            elif isinstance(order, StopTask) and delivery == "delivered":
                self.stop(order)

    def send_start(self, order, delivery):
        run, replies = order.run, self.cell.scheduler.replies
        until_ms = self.cell.scheduler.leases.extend_by_start(run.runner, self.cell.now)
        run.start_before_ms = until_ms
        if run.runner.id in self.cell.unresponsive and delivery != "late":
            delivery = "lost"
        sent = (order, self.term, dict(self.quotas))
        if delivery == "late":
            self.late.append(sent)
        elif delivery != "lost":
            refusal = self.carry_out(*sent)
        if delivery != "delivered":
            replies.start_replied(run, StartOutcome.UNKNOWN, None, self.cell.now)
            return
        reply = OrderReply(
            clock_ms=self.cell.runners[run.runner.id].clock_ms, refusal=refusal
        )
        replies.start_replied(run, StartOutcome.REPLIED, reply, self.cell.now)

    @rule(index=INDEX)
    def deliver_late(self, index):
        """Carry out one of the orders on their way."""
        if self.late:
            self.carry_out(*self.late.pop(index % len(self.late)))

    def carry_out(self, order, term, known):
        """Start a run on its runner as a runner does, and check the quota."""
        run, name = order.run, order.run.runner.id
        runner = self.cell.runners[name]
        if term < self.seen[name]:
            return Refusal.STALE_EPOCH
        if runner.clock_ms >= run.start_before_ms:
            return Refusal.TOO_LATE
        if run.number <= self.closed.get((name, run.task.id), 0):
            return Refusal.OLD_RUN
        self.seen[name] = term
        workspace = run.task.step.job.job.workspace
        limits = (known[workspace], self.quotas[workspace])
        runner.running[run.key] = run.task.checkpoint
        until_ms = max(self.leases.get(name, 0), run.start_before_ms)
        self.leases[name] = until_ms
        held = self.running_cpu(workspace)
        assert 0 in limits or held <= max(limits), "start over the quota"
        return Refusal.NONE

    def running_cpu(self, workspace):
        """Count what really runs on the runners."""
        specs = {job.id: job for job in self.jobs}
        return sum(
            specs[task.job].spec.steps[task.step].cpu
            for runner in self.cell.runners.values()
            for task, _ in runner.running
            if specs[task.job].workspace == workspace
        )

    def stop(self, order):
        name = order.runner.id
        if name in self.cell.unresponsive:
            return
        self.close(name, order.task, order.number)
        self.seen[name] = self.term
        self.cell.execute(order)

    def close(self, name, task, number):
        key = (name, task)
        self.closed[key] = max(self.closed.get(key, 0), number)

    @rule(index=INDEX, cause=st.sampled_from((EndCause.COMPLETED, EndCause.FAILED)))
    def end(self, index, cause):
        """End one of the runs on the runners."""
        runs = [
            (name, key)
            for name, runner in self.cell.runners.items()
            for key in runner.running
        ]
        if runs:
            name, key = runs[index % len(runs)]
            self.close(name, *key)
            self.cell.runners[name].end(*key, cause)

    @rule(index=INDEX)
    def change_link(self, index):
        """Cut a runner off, or reach all runners again."""
        if self.cell.unresponsive:
            self.cell.unresponsive.clear()
        else:
            self.cell.unresponsive.add(f"r{index % RUNNERS}")

    def read_inventories(self):
        """Read the inventories of the runners in reach."""
        for name, fake in self.cell.runners.items():
            if name not in self.cell.unresponsive:
                self.seen[name] = self.term
                runner = self.cell.state.runners[name]
                granted = self.cell.scheduler.leases.extend_by_inventory(
                    runner, self.cell.now
                )
                until_ms = granted or fake.clock_ms + 4000
                self.leases[name] = max(self.leases.get(name, 0), until_ms)
        self.cell.read_inventories()

    @rule(seconds=st.sampled_from((0.2, 1.0, 3.0)), deliveries=ORDERS)
    def run_round(self, seconds, deliveries):
        """Let time pass, read inventories and plan.

        The runs under an expired lease end.
        """
        self.cell.now += seconds
        for name, runner in self.cell.runners.items():
            if runner.clock_ms >= self.leases.get(name, 0):
                for key in list(runner.running):
                    self.close(name, *key)
                    runner.end(*key, EndCause.STOPPED)
        self.read_inventories()
        self.cell.scheduler.advance(self.cell.now)
        self.plan(deliveries)

    @rule()
    def write(self):
        """Store the progress of all jobs."""
        self.records.update(self.cell.write())

    @rule()
    def take_over(self):
        """Replace the dispatcher by one that knows only what is stored.

        The runners in reach are asked once, so that they stay suspect.
        """
        self.term += 1
        self.cell.take_over(self.term, self.records, self.jobs)
        self.read_inventories()

    @invariant()
    def counts_are_exact(self):
        """Compare the counter with a count of all known runs."""
        counted, by_priority = {}, {}
        for runner in self.cell.state.runners.values():
            for run in runner.runs.values():
                usage = counted.setdefault(run.task.step.job.job.workspace, Usage())
                usage.add(run.task.spec, 1)
                job = run.task.step.job.job
                key = (job.workspace, job.policy.priority)
                by_priority.setdefault(key, Usage()).add(run.task.spec, 1)
        in_use = self.cell.state.quotas.in_use
        assert {n: u for n, u in in_use.items() if u != Usage()} == counted
        shares = {
            (name, priority): usage
            for name, rows in self.cell.state.shares.in_use.items()
            for priority, usage in rows.items()
            if usage != Usage()
        }
        assert shares == by_priority

    @invariant()
    def nothing_runs_uncounted(self):
        """Compare the bound of what may be running with what really runs."""
        quotas = self.cell.state.quotas
        for name in NAMES:
            quotas._refresh_unknown()
            known = quotas.in_use.get(name, Usage()).cpu
            unknown = quotas.unknown.get(name, Usage()).cpu
            assert self.running_cpu(name) <= known + unknown, "uncounted run"


def run_machine(max_examples, *, phases=tuple(Phase), machine=QuotaMachine):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=max_examples, stateful_step_count=40, phases=phases
        ),
    )


def test_no_start_exceeds_a_quota():
    """Guards against excess starts in any order of events."""
    run_machine(300)


def release_twice(monkeypatch):
    """Count the end of a run twice."""
    release = Quotas.release
    monkeypatch.setattr(
        Quotas, "release", lambda self, run: [release(self, run), release(self, run)]
    )


def forget_copies(monkeypatch):
    """Count the first run of a task only."""
    add = Quotas._add
    monkeypatch.setattr(
        Quotas,
        "_add",
        lambda self, run, n: len(run.task.runs) > 1 or add(self, run, n),
    )


def forget_unknown_runs(monkeypatch):
    """Count no runs on suspect runners."""
    monkeypatch.setattr(Quotas, "_find_unknown", lambda self: {})


def forget_doubtful_runs(monkeypatch):
    """Take a start without a reply for one that did not happen."""
    monkeypatch.setattr(
        Replies, "_doubt", lambda self, run, now: self.lifecycle.remove_run(run, now)
    )


def start_above_the_quota(monkeypatch):
    """Look at no quota at all."""
    monkeypatch.setattr(Quotas, "admits", lambda self, step, *, count=1: True)


@pytest.mark.parametrize(
    "mutate",
    [
        release_twice,
        forget_copies,
        forget_unknown_runs,
        forget_doubtful_runs,
        start_above_the_quota,
    ],
)
def test_machine_finds_mutations(monkeypatch, mutate):
    """Guards against a machine that would not notice a fault of the counter."""
    mutate(monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_machine(600, phases=(Phase.generate,))
