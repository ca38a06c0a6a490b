"""Stateful test of the placer against independent accounting."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wasabipaddle.documents import Resources, ServiceKind, Urgency
from wasabipaddle.interfaces import TaskOutcome, Usage
from wasabipaddle.placement import (
    Checkpoint,
    FleetIndex,
    GiveUp,
    Impossible,
    Placer,
    Resize,
    Start,
    Work,
)

SIZE = Resources(cpu_milli=4000, memory_mb=8000, accelerators=1)
QUOTA = Resources(cpu_milli=14_000, memory_mb=28_000, accelerators=4)
NEEDS = st.builds(
    Resources,
    cpu_milli=st.sampled_from((500, 1000, 2500, 4000, 5000)),
    memory_mb=st.sampled_from((500, 2000, 6000)),
    accelerators=st.sampled_from((0, 0, 0, 1)),
)
INDEX = st.integers(0, 1000)


class PlacerMachine(RuleBasedStateMachine):
    """Submits, cancels and ends runs and changes the fleet in any order."""

    def __init__(self):
        super().__init__()
        self.fleet = FleetIndex()
        self.placer = Placer(fleet=self.fleet, random=random.Random(1))
        self.placer.set_quota("t0", QUOTA)
        self.now = 0.0
        self.runs = {}
        self.remaining = {}
        self.live = {}
        self.ending = set()
        self.count = 0
        for _ in range(5):
            self.add_worker()

    @rule()
    def add_worker(self):
        """Add a worker."""
        self.count += 1
        name = f"w{self.count}"
        self.fleet.add_worker(
            name, rack=f"r{self.count % 3}", data_centre="a", size=SIZE
        )

    @rule(
        needs=NEEDS,
        tasks=st.integers(1, 6),
        kind=st.sampled_from(
            (ServiceKind.BATCH, ServiceKind.GANG, ServiceKind.SERVICE)
        ),
        urgency=st.sampled_from(list(Urgency)),
        team=st.sampled_from(("t0", "t1")),
    )
    def submit(self, needs, tasks, kind, urgency, team):
        """Submit a run."""
        self.count += 1
        run = f"run{self.count}"
        service = f"{kind.value}-{urgency.value}-{team}"
        work = Work(
            run=run,
            service=service,
            team=team,
            kind=kind,
            urgency=urgency,
            needs=needs,
            tasks=tasks,
            expected_s=20.0,
        )
        self.runs[run] = work
        self.remaining[run] = set(range(tasks))
        self.placer.submit(work, self.now)

    @rule(seconds=st.sampled_from((0.1, 5.0, 400.0)), limit=st.integers(1, 50))
    def decide(self, seconds, limit):
        """Advance the time and apply the decisions."""
        self.now += seconds
        for decision in self.placer.decide(self.now, limit):
            if isinstance(decision, Start):
                self.start(decision)
            elif isinstance(decision, Checkpoint):
                self.ending.add(decision.task)
            elif isinstance(decision, Resize):
                worker, _ = self.live[decision.task]
                self.live[decision.task] = (worker, decision.needs)
            elif isinstance(decision, GiveUp | Impossible):
                self.cancel_run(decision.run)

    def start(self, decision):
        """Apply a start and check it."""
        work = self.runs.get(decision.run)
        if work is None:
            return
        started = {int(a.task.rpartition("/")[2]) for a in decision.assignments}
        assert started <= self.remaining[decision.run]
        if work.is_gang:
            assert started == self.remaining[decision.run], "partial gang"
        for assignment in decision.assignments:
            assert assignment.task not in self.live, "task in two places"
            self.live[assignment.task] = (assignment.worker, assignment.needs)

    @rule(index=INDEX, outcome=st.sampled_from(list(TaskOutcome)))
    def end(self, index, outcome):
        """End one of the running tasks in any way."""
        if self.live:
            self.end_task(sorted(self.live)[index % len(self.live)], outcome)

    @rule(index=INDEX)
    def finish_checkpoint(self, index):
        """End a task that was ordered to checkpoint."""
        ending = sorted(self.ending & set(self.live))
        if ending:
            self.end_task(ending[index % len(ending)], TaskOutcome.CHECKPOINTED)

    @rule(index=INDEX)
    def refuse(self, index):
        """Refuse the start of a task."""
        if self.live:
            task = sorted(self.live)[index % len(self.live)]
            del self.live[task]
            self.ending.discard(task)
            self.placer.record_refused_start(task, self.now)

    def end_task(self, task, outcome):
        """End a task on its worker."""
        del self.live[task]
        self.ending.discard(task)
        run, _, number = task.rpartition("/")
        if run in self.remaining and outcome in (
            TaskOutcome.COMPLETED,
            TaskOutcome.STOPPED,
        ):
            self.remaining[run].discard(int(number))
        self.placer.record_task_end(task, outcome, self.now)

    @rule(index=INDEX)
    def cancel(self, index):
        """Cancel a run."""
        if self.runs:
            self.cancel_run(sorted(self.runs)[index % len(self.runs)])

    def cancel_run(self, run):
        """Cancel a run and stop its tasks."""
        self.runs.pop(run, None)
        for task in self.placer.cancel(run):
            if task in self.live:
                self.end_task(task, TaskOutcome.STOPPED)
            else:
                self.placer.record_task_end(task, TaskOutcome.STOPPED, self.now)

    @rule(index=INDEX)
    def lose_worker(self, index):
        """Remove a worker; its tasks end with it."""
        names = sorted(self.fleet.workers)
        if len(names) > 2:
            name = names[index % len(names)]
            self.fleet.remove_worker(name)
            for task in [t for t, (w, _) in self.live.items() if w == name]:
                self.end_task(task, TaskOutcome.LEASE_EXPIRED)

    @rule(index=INDEX, flag=st.booleans())
    def leave(self, index, flag):
        """Make a worker unavailable for new tasks, or available again."""
        names = sorted(self.fleet.workers)
        self.fleet.set_unavailable(names[index % len(names)], flag)

    @rule(index=INDEX, part=st.sampled_from((0.1, 0.9, 1.2)))
    def report(self, index, part):
        """Report the use of a worker as a multiple of its reservations."""
        names = sorted(self.fleet.workers)
        name = names[index % len(names)]
        uses, cpu, memory = {}, 0, 0
        for task, (worker, needs) in self.live.items():
            if worker == name:
                used = Usage(
                    cpu_milli=int(needs.cpu_milli * part),
                    memory_mb=int(needs.memory_mb * part),
                )
                uses[task] = used
                cpu, memory = cpu + used.cpu_milli, memory + used.memory_mb
        total = Usage(cpu_milli=cpu, memory_mb=memory)
        self.placer.observe(name, total, uses, self.now)

    @invariant()
    def reservations_and_holds_fit(self):
        """Check that free, reserved and held resources add up to the size."""
        for worker in self.fleet.workers.values():
            used = sum(worker.tasks.values(), Resources())
            held = sum((h.amount for h in worker.holds.values()), Resources())
            assert used + held + worker.free == worker.size
            assert Resources().fits(worker.free)

    @invariant()
    def applied_starts_fit(self):
        """Check the reservations that the decisions imply against the size."""
        sums = {}
        for worker, needs in self.live.values():
            sums[worker] = sums.get(worker, Resources()) + needs
        for name, used in sums.items():
            assert used.fits(SIZE), name

    @invariant()
    def quota_holds(self):
        """Check the reservations of the tasks of team t0 against its quota."""
        used = Resources()
        for task, placed in self.placer.registry.running.items():
            if placed.work.team == "t0":
                used += self.fleet.reservations[task].amount
        assert used.fits(QUOTA)

    @invariant()
    def reservations_match_running_tasks(self):
        """Check that the tasks with a reservation are exactly the running ones."""
        assert set(self.fleet.reservations) == set(self.placer.registry.running)


PlacerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=50, deadline=None, derandomize=True
)
TestPlacer = PlacerMachine.TestCase
