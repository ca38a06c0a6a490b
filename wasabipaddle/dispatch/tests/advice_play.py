"""A cell whose eligibility service answers after its usual time."""

import random

import attrs

from wasabipaddle.dispatch.tests.conftest import Cell, step
from wasabipaddle.dispatch.usage import RESOURCES
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import Capacity

ELIGIBLE_SHARE = 0.35
VALID_S = 2.5
ROUND_S = 0.05
# Estimate of a task that is still at the beginning of its work.
LONG_S = 1000.0
# Needs of the task that lasts, and of the other work on the runners with room and on
# those without, by the resource that other work takes. Runners without room have the
# most free processors.
NEEDS = {
    "memory": ({"memory_mb": 30_000}, {"memory_mb": 1_000}, {"memory_mb": 75_000}),
    "accelerators": ({"gpus": 1}, {}, {"gpus": 4}),
}


class AdvicePlay:
    """Runners of which some have room for a task that lasts, and some are eligible.

    Parameters
    ----------
    size, roomy : int
        Number of runners, and of those with room.
    scarce : str
        Resource that other work takes on the rest.
    seed : int
        Seed of the choice of the runners.
    lasting : bool
        Whether the task lasts; if not, its step has no limit of tasks on a runner.
    """

    def __init__(self, *, size, roomy, scarce, seed, lasting=True):
        self.cell = Cell(runners=0)
        for i in range(size):
            self.cell.add_runner(f"r{i}")
            entry = self.cell.entry(f"r{i}")
            capacity = Capacity(cpu=4000, memory_mb=100_000, gpus=4)
            entry = attrs.evolve(entry, capacity=capacity)
            self.cell.scheduler.set_runner(entry, self.cell.now)
            self.cell.runners[f"r{i}"].usual_percent = 0
        generator = random.Random(seed)
        names = generator.sample(sorted(self.cell.runners), size)
        self.roomy, rest = names[:roomy], names[roomy:]
        self.eligible = {
            name
            for group in (self.roomy, rest)
            for name in generator.sample(group, int(ELIGIBLE_SHARE * len(group)))
        }
        needs, light, heavy = NEEDS[scarce]
        self.needs = {"cpu": 1000, "estimate_s": LONG_S, **needs}
        if lasting:
            self.needs |= {"lasting": True, "max_per_runner": 1}
        self.others = {name: {"cpu": 2000, **light} for name in self.roomy}
        self.others |= {name: {"cpu": 100, **heavy} for name in rest}
        self.answers = []

    def submit(self, count):
        """Submit the step that lasts."""
        self.cell.submit("svc", step(count, **self.needs), queue="advised")

    def submit_others(self):
        """Start the other work, one task on each runner."""
        for name, needs in self.others.items():
            self.submit_on(name, f"other-{name}", **needs)
        self.cell.plan()

    def submit_on(self, runner_id, job_id, **needs):
        """Submit a task that lasts and goes to one runner."""
        spec = step(1, lasting=True, required_label=f"rack-{runner_id}", **needs)
        self.cell.submit(job_id, spec, queue="batch")

    def end_all_but_one(self):
        """End all runs of the step but the first as completed."""
        for task, run, host in self._runs()[1:]:
            self.cell.runners[host].end(task, run, EndCause.COMPLETED)

    def fail_a_task(self):
        """End the first run of the step as failed; other work takes its place."""
        task, run, host = self._runs()[0]
        self.cell.runners[host].end(task, run, EndCause.FAILED)
        needs = {k: v for k, v in self.needs.items() if k in RESOURCES}
        self.submit_on(host, "taker", **needs)

    def _runs(self):
        return [start for start in self.cell.started if start[0].job == "svc"]

    def measure_wait_s(self, limit_s):
        """Return the time until the next start of a task of the step, None if late."""
        since_s, known = self.cell.now, len(self.cell.started)
        while self.cell.now - since_s <= limit_s:
            self._play_round()
            if any(task.job == "svc" for task, _, _ in self.cell.started[known:]):
                return self.cell.now - since_s
            self.cell.now += ROUND_S
        return None

    def play(self, seconds):
        """Let time pass."""
        until_s = self.cell.now + seconds
        while self.cell.now < until_s:
            self._play_round()
            self.cell.now += ROUND_S

    def _play_round(self):
        now = self.cell.now
        due = [request for at_s, request in self.answers if at_s <= now]
        self.answers = [pair for pair in self.answers if pair[0] > now]
        for request in due:
            tickets = {r.id: "t" for r in request.runners if r.id in self.eligible}
            self.cell.scheduler.advisor.record_answer(
                request.step, request.runners, tickets, VALID_S, now
            )
        self.cell.scheduler.advance(now)
        self.cell.read_inventories()
        requests, _ = self.cell.plan()
        self.answers += [(now + r.expected_s, r) for r in requests]
