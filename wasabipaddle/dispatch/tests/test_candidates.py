"""The index of candidates against a plain scan of all runners."""

import random

import attrs
import pytest

from wasabipaddle.dispatch.candidates import CandidateIndex
from wasabipaddle.dispatch.capacity_tree import CapacityTree
from wasabipaddle.dispatch.choices import RunnerChoice
from wasabipaddle.dispatch.fitting import fits, score
from wasabipaddle.dispatch.placement import Placement
from wasabipaddle.dispatch.tests.conftest import Cell, step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import Capacity

RUNNERS = 23
ROUNDS = 30


class ScanChoice(RunnerChoice):
    """Choice by a plain scan: each runner is scored anew for each task."""

    def __init__(self, *, permitted, admits, **options):
        super().__init__(**options)
        self.permitted = permitted
        self.admits = admits

    def __bool__(self):
        return bool(self.permitted)

    def best(self, task):
        """Return the first runner of highest score."""
        best, best_score = None, None
        for runner, ticket in self.permitted:
            if not self.may_order_start(self.step, runner):
                continue
            if not fits(self.step, runner) or not self.admits(runner):
                continue
            value = score(task, runner)
            if best is None or value > best_score:
                best, best_score = (runner, ticket), value
        return best

    def waits_for_replies(self):
        """Return whether a runner fits that may get no start order now."""
        return any(
            not self.may_order_start(self.step, runner)
            and fits(self.step, runner)
            and self.admits(runner)
            for runner, _ in self.permitted
        )

    def runners(self):
        """Return the permitted runners."""
        return [runner for runner, _ in self.permitted if self.admits(runner)]


class ScanPlacement(Placement):
    """Placement without an index."""

    def admits(self, step, runner, now):
        """Examine one runner."""
        label = step.spec.required_label
        starts_s = [run.started_s for run in runner.runs.values()]
        return (
            runner.entry.pool == step.job.queue.pool
            and step.job.may_run_in(runner.entry.pool)
            and runner.usable(now)
            and (not label or label in runner.entry.labels)
            and runner.health.admits_task(now, starts_s)
        )

    def candidates(self, step, now):
        """Examine all runners."""
        return [r for r in self.state.runners.values() if self.admits(step, r, now)]

    def eligible(self, step, now):
        """Examine all runners."""
        eligibility = step.eligibility
        runners = map(self.state.runners.get, eligibility.tickets)
        return [
            r
            for r in runners
            if r is not None
            and eligibility.is_eligible(r)
            and self.admits(step, r, now)
        ]

    def may_fit(self, step, now):
        """Examine all candidates."""
        return any(r.fits(step.spec) for r in self.candidates(step, now))

    def select_usable(self, step, runners, now):
        """Examine all of the runners."""
        reserved = self.reservations.reserved_for_others(step)
        return [r for r in runners if fits(step, r) and r.id not in reserved]

    def _permitted_by_ticket(self, step, now):
        tickets = (
            (r, step.eligibility.ticket(r, now)) for r in self.eligible(step, now)
        )
        return ((r, ticket) for r, ticket in tickets if ticket is not None)

    def not_asked(self, step, now):
        """Examine all runners."""
        return [
            r
            for r in self.candidates(step, now)
            if r.fits_when_empty(step.spec)
            and not step.eligibility.is_eligible(r)
            and not step.eligibility.is_ineligible(r)
        ]

    def _open_choice(self, step, now):
        return ScanChoice(
            step=step,
            may_order_start=self._may_order_start,
            reserved=frozenset(),
            permitted=self.reservations.exclude_reserved(
                step, self._permitted(step, now)
            ),
            admits=lambda runner: self.admits(step, runner, now),
        )


def build_cell(rng, *, scan):
    """Return a cell of unequal runners, with or without the index."""
    cell = Cell(runners=0)
    if scan:
        scheduler = cell.scheduler
        placement = ScanPlacement(
            state=scheduler.state,
            preemption=scheduler.preemption,
            reservations=scheduler.reservations,
        )
        scheduler.placement = scheduler.advisor.placement = placement
    for n in range(RUNNERS):
        add_runner(cell, rng, n)
    return cell


def add_runner(cell, rng, number):
    """Add a runner with a random size, kind, rack and pool."""
    cell.add_runner(f"r{number}")
    capacity = Capacity(
        cpu=rng.choice((1000, 2000, 4000, 8000)),
        memory_mb=rng.choice((1000, 4000)),
        gpus=rng.choice((0, 0, 2)),
    )
    labels = (rng.choice("ab"), f"rack-{rng.randrange(4)}")
    pool = rng.choice(("pool", "pool", "pool", "other"))
    entry = cell.entry(f"r{number}", capacity=capacity, labels=labels, pool=pool)
    cell.scheduler.set_runner(entry, cell.now)


def random_step(rng):
    """Return a step with random requirements."""
    kind = rng.random()
    return step(
        rng.choice((1, 2, 5, 40)),
        cpu=rng.choice((0, 100, 500, 1000, 4000)),
        memory_mb=rng.choice((0, 10, 500)),
        gpus=rng.choice((0, 0, 0, 1)),
        gang=kind < 0.1,
        required_label=rng.choice(("", "", "a", "b", "unknown")),
        preferred_rack=rng.choice(("", "", "rack-1", "rack-3")),
        max_per_runner=rng.choice((0, 0, 1, 2)),
        speculative=rng.random() < 0.3,
        opportunistic=0.1 < kind < 0.25,
        target_latency_ms=50 if 0.25 < kind < 0.4 else 0,
        estimate_s=rng.choice((0.1, 1.0, 4.0)),
    )


def disturb(cell, rng):
    """Change some runners in ways that matter to placement."""
    for name in rng.sample(sorted(cell.runners), 5):
        runner, kind = cell.state.runners[name], rng.randrange(7)
        if kind == 0:
            runner.health.record_failure(cell.now)
        elif kind == 1:
            runner.health.speed = rng.choice((0.3, 0.7, 1.0, 1.7))
            if rng.random() < 0.3:
                runner.health.slow_down(2.0, cell.now)
        elif kind == 2:
            runner.paused_until_s = cell.now + rng.choice((0.2, 1.5))
        elif kind == 3:
            runner.in_fleet_record = not runner.in_fleet_record
        elif kind == 4:
            draining = not runner.entry.draining
            entry = attrs.evolve(runner.entry, draining=draining)
            cell.scheduler.set_runner(entry, cell.now)
        elif kind == 5:
            cell.scheduler.mark_unlisted(name)
        else:
            cell.scheduler.set_runner(runner.entry, cell.now)
    for departed in cell.scheduler.remove_departed_runners(cell.now):
        del cell.runners[departed.id]


def end_some(cell, rng):
    """End about a third of the runs, some with a failure."""
    for fake in cell.runners.values():
        for task, number in list(fake.running):
            draw = rng.random()
            if draw < 0.35:
                cause = EndCause.FAILED if draw < 0.05 else EndCause.COMPLETED
                fake.end(task, number, cause)


def play(seed, *, scan):
    """Return all starts, stops and requests for advice of random rounds."""
    rng = random.Random(seed)
    cell = build_cell(rng, scan=scan)
    decisions = []
    for number in range(ROUNDS):
        for queue in ("urgent", "batch", "advised"):
            cell.submit(f"{queue}{number}", random_step(rng), queue=queue)
        disturb(cell, rng)
        if number % 10 == 5:
            add_runner(cell, rng, RUNNERS + number)
        requests, _ = cell.plan(answer=rng.random() < 0.8)
        for request in requests:
            names = [r.id for r in request.runners]
            tickets = {name: "t" for name in names if rng.random() < 0.6}
            cell.scheduler.advisor.record_answer(
                request.step, request.runners, tickets, 0.0, cell.now
            )
            decisions.append((request.step.key, names))
        end_some(cell, rng)
        cell.now += rng.choice((0.05, 0.3, 1.0))
        cell.scheduler.advance(cell.now)
        cell.read_inventories()
        decisions.append(list(cell.started))
        decisions.append(
            (cell.state.capacity_exhausted, cell.state.urgent_task_waiting)
        )
    assert len(cell.started) > 100
    return decisions


@pytest.mark.parametrize("seed", range(20))
def test_index_decides_as_a_scan_of_all_runners(seed):
    """Guards against a runner that the index misses, ranks wrongly or knows too late.

    Scores are equal for many runners, so the order among them counts as well.
    """
    assert play(seed, scan=False) == play(seed, scan=True)


@pytest.mark.parametrize("seed", range(20))
def test_tree_finds_the_first_of_the_best_slots_that_fit(seed):
    """Guards against a search that skips a branch with the best or the first slot."""
    rng = random.Random(seed)
    slots = rng.choice((1, 2, 17, 64))
    tree, rows = CapacityTree(slots=slots), {}
    for _ in range(300):
        slot = rng.randrange(slots)
        if rng.random() < 0.2:
            rows.pop(slot, None)
            tree.clear(slot)
        else:
            rows[slot] = tuple(rng.randrange(4) for _ in range(4))
            tree.fill(slot, *rows[slot])
        demand = tuple(rng.randrange(4) for _ in range(3))
        excluded, penalised = rng.randrange(slots), rng.randrange(slots)

        def evaluate(slot, excluded=excluded, penalised=penalised):
            return None if slot == excluded else rows[slot][0] - (slot == penalised)

        fitting = [
            s
            for s, row in sorted(rows.items())
            if s != excluded
            and all(a >= b for a, b in zip(row[1:], demand, strict=True))
        ]
        assert tree.find(demand, evaluate) == max(fitting, key=evaluate, default=-1)


def test_search_visits_few_of_many_runners():
    """Guards against a start, or a step that cannot start, that costs a scan."""
    tree, visits = CapacityTree(slots=1024), []
    for slot in range(1024):
        tree.fill(slot, 1.0, 10, 10, 0)
    assert tree.find((1, 1, 0), lambda slot: visits.append(slot) or 1.0) == 0
    assert tree.find((11, 1, 0), lambda slot: visits.append(slot) or 1.0) == -1
    assert len(visits) == 1


@pytest.mark.parametrize("queue", ["batch", "advised"])
def test_only_one_task_of_a_step_probes_a_runner(make_cell, queue):
    """Guards against several tasks of one step on a runner that is on probation."""
    cell = make_cell(runners=1)
    runner = cell.state.runners["r0"]
    runner.health.record_failure(cell.now)
    runner.health.record_failure(cell.now)
    cell.now = runner.health.quarantined_until_s + 0.1
    cell.submit("j0", step(3), queue=queue)
    for request in cell.plan()[0]:
        cell.scheduler.advisor.record_answer(
            request.step, request.runners, {"r0": "t"}, 0.0, cell.now
        )
    cell.plan()
    assert len(cell.started) == 1


def test_round_searches_once_for_steps_that_ask_for_the_same(make_cell, monkeypatch):
    """Guards against rounds whose cost is a search for each of 2,000 waiting steps."""
    cell = make_cell(runners=4)
    cell.submit("running", step(16))
    cell.plan()
    for number in range(300):
        cell.submit(f"batch{number}", step(4))
        cell.submit(f"advised{number}", step(4), queue="advised")
    cell.plan()
    searched = []
    group = CandidateIndex.group

    def count_search(index, *args):
        searched.append(args)
        return group(index, *args)

    monkeypatch.setattr(CandidateIndex, "group", count_search)
    cell.now += 0.05
    cell.plan()
    assert len(cell.state.ready) == 600
    assert len(searched) <= 30
