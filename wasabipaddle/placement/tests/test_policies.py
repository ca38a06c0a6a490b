"""Tests of index, queue, shares, estimation, preemption and quarantine."""

import collections

import pytest

from wasabipaddle.documents import Placement, Resources, ServiceKind, Urgency
from wasabipaddle.interfaces import TaskOutcome, Usage
from wasabipaddle.placement import (
    Checkpoint,
    FleetIndex,
    LikelihoodRatioQuarantine,
    PendingQueue,
    PendingRun,
    Placer,
    Resize,
    ShareLedger,
    Start,
    Throttle,
    UsageEstimator,
    Work,
)
from wasabipaddle.placement.buckets import BucketIndex

SIZE = Resources(cpu_milli=8000, memory_mb=16_000)
TASK = Resources(cpu_milli=2000, memory_mb=4000)


@pytest.fixture
def fleet():
    fleet = FleetIndex()
    for number in range(40):
        fleet.add_worker(
            f"w{number}", rack=f"r{number // 4}", data_centre="a", size=SIZE
        )
    return fleet


@pytest.fixture
def ledger(fleet):
    return ShareLedger(fleet=fleet)


def work(run, service="s", **changes):
    values = {"team": "t", "kind": ServiceKind.BATCH, "needs": TASK}
    return Work(run=run, service=service, **(values | changes))


def waiting(run, service="s", **changes):
    item = work(run, service, **changes)
    indices = collections.deque(range(item.tasks))
    return PendingRun(work=item, indices=indices, since=0.0)


def started(decisions):
    return [a for d in decisions if isinstance(d, Start) for a in d.assignments]


def test_index_finds_fitting_names_and_no_others(rng):
    """Guards against bucket borders that hide all fitting names or return others."""
    index, amounts = BucketIndex(), {}
    for step in range(2000):
        name = f"w{rng.randrange(40)}"
        amounts[name] = Resources(
            cpu_milli=rng.randrange(5000),
            memory_mb=rng.randrange(9000),
            accelerators=rng.randrange(3),
        )
        index.put(name, amounts[name])
        if step % 7 == 0:
            index.remove(name)
            del amounts[name]
        need = Resources(cpu_milli=rng.randrange(5000), memory_mb=rng.randrange(9000))
        fitting = {n for n, a in amounts.items() if need.fits(a)}
        found = index.candidates(need, 100)
        assert set(found) <= fitting
        assert bool(found) == bool(fitting)


def test_reservation_above_the_size_is_refused(fleet):
    """Guards against reservations above the size of a VM, or twice for a task."""
    assert fleet.reserve("a", "w0", SIZE)
    assert not fleet.reserve("b", "w0", Resources(cpu_milli=1))
    assert not fleet.resize("a", SIZE + Resources(cpu_milli=1))
    assert not fleet.reserve("a", "w1", TASK)


def test_classes_and_shares_order_the_queue(ledger):
    """Guards against a queue that ignores urgency classes or weights of services."""
    queue = PendingQueue(ledger=ledger)
    queue.push(waiting("d", "low", urgency=Urgency.DEFERRABLE))
    queue.push(waiting("a", "one", weight=1))
    queue.push(waiting("b", "two", weight=2))
    ledger.charge(work("x", "one"), TASK)
    ledger.charge(work("y", "two"), TASK)
    queue.share_changed("one")
    queue.share_changed("two")
    order = []
    while (ready := queue.next_ready()) is not None:
        order.append(ready.service)
        queue.take(ready, 1)
        queue.share_changed(ready.service)
    assert order == ["two", "one", "low"]


def test_service_below_its_floor_goes_before_urgent_work(ledger):
    """Guards against urgent work that is tried before a service below its floor."""
    queue = PendingQueue(ledger=ledger)
    ledger.set_floor("kept", 0.1)
    queue.push(waiting("u", "flood", urgency=Urgency.URGENT))
    queue.push(waiting("k", "kept", urgency=Urgency.DEFERRABLE))
    assert queue.next_ready().service == "kept"


def test_released_resources_go_to_services_below_their_floor(ledger):
    """Guards against released resources that go to urgent work and not to a floor."""
    queue = PendingQueue(ledger=ledger)
    ledger.set_floor("kept", 0.1)
    small = Resources(cpu_milli=1000, memory_mb=1000)
    queue.push(waiting("kept", "kept", urgency=Urgency.DEFERRABLE))
    for number in range(100):
        run = f"flood-{number}"
        queue.push(waiting(run, run, needs=TASK, urgency=Urgency.URGENT))
    while (ready := queue.next_ready()) is not None:
        queue.park_space(ready, small if ready.service == "kept" else TASK)
    assert queue.wake_one(SIZE, set())
    assert queue.next_ready().service == "kept"


def test_floor_stays_free_under_a_flood_of_urgent_work(fleet, rng):
    """Guards against urgent work that fills the guaranteed part of the fleet."""
    placer = Placer(fleet=fleet, random=rng)
    placer.set_floor("kept", 0.25)
    placer.submit(work("f", "flood", urgency=Urgency.URGENT, tasks=400), 0.0)
    assert len(started(placer.decide(0.0, 1000))) == 120
    placer.submit(work("k", "kept", tasks=40), 1.0)
    assert len(started(placer.decide(1.0, 1000))) == 40


def test_quota_parks_a_team_and_lets_others_pass(fleet, rng):
    """Guards against a quota that is exceeded or that blocks other teams."""
    placer = Placer(fleet=fleet, random=rng)
    placer.set_quota("t", TASK)
    placer.submit(work("a", tasks=2), 0.0)
    placer.submit(work("b", "other", team="u"), 0.0)
    assert [a.task for a in started(placer.decide(0.0, 9))] == ["a/0", "b/0"]
    placer.record_task_end("a/0", TaskOutcome.COMPLETED, 1.0)
    assert [a.task for a in started(placer.decide(1.0, 9))] == ["a/1"]


def test_services_are_spread_over_racks(fleet, rng):
    """Guards against the loss of a whole service with one rack."""
    placer = Placer(fleet=fleet, random=rng)
    spread = Placement(spread=True)
    placer.submit(work("s", kind=ServiceKind.SERVICE, tasks=10, placement=spread), 0.0)
    placed = started(placer.decide(0.0, 20))
    assert len({fleet.workers[a.worker].rack for a in placed}) == 10


def test_estimate_replaces_a_declaration_that_is_ten_times_too_large(fleet):
    """Guards against reservations of ten times the use, which leave a fleet idle."""
    estimator = UsageEstimator(fleet=fleet)
    item = work("a")
    assert estimator.needs(item, 0.0) == TASK
    for now in range(20):
        used = Usage(cpu_milli=200 + now, memory_mb=400)
        estimator.observe(item, used, float(now), first=True)
    learned = estimator.needs(item, 30.0)
    assert 200 <= learned.cpu_milli <= 260
    assert 400 <= learned.memory_mb <= 500


def test_pressure_leads_to_throttling_then_checkpoint(fleet, rng):
    """Guards against a VM whose true use stays above its size."""
    placer = Placer(fleet=fleet, random=rng, resizes=False)
    placer.submit(work("n", tasks=2), 0.0)
    placer.submit(work("d", "d", urgency=Urgency.DEFERRABLE, tasks=2), 0.0)
    placed = started(placer.decide(0.0, 9))
    worker = placed[0].worker
    assert {a.worker for a in placed} == {worker}
    uses = {a.task: Usage(cpu_milli=2500, memory_mb=100) for a in placed}
    over = Usage(cpu_milli=10_000, memory_mb=400)
    placer.observe(worker, over, uses, 10.0)
    first = placer.decide(10.0, 9)
    assert all(isinstance(d, Throttle) and d.task[0] == "d" for d in first)
    assert len(first) == 2
    placer.observe(worker, over, {}, 20.0)
    assert all(isinstance(d, Throttle) for d in placer.decide(20.0, 9))
    placer.observe(worker, over, {}, 30.0)
    last = placer.decide(30.0, 9)
    assert last and isinstance(last[0], Checkpoint) and last[0].task[0] == "d"


def test_reservation_follows_the_measured_use(fleet, rng):
    """Guards against a service that keeps its declared reservation while it runs."""
    placer = Placer(fleet=fleet, random=rng)
    placer.submit(work("s", kind=ServiceKind.SERVICE), 0.0)
    (placed,) = started(placer.decide(0.0, 9))
    use = Usage(cpu_milli=300, memory_mb=500)
    placer.observe(placed.worker, use, {placed.task: use}, 10.0)
    (decision,) = placer.decide(10.0, 9)
    assert isinstance(decision, Resize) and decision.needs.cpu_milli < 400
    assert fleet.free_of(placed.worker) == SIZE - decision.needs


def test_resize_respects_the_quota(fleet, rng):
    """Guards against a reservation that grows with the use beyond the quota."""
    placer = Placer(fleet=fleet, random=rng)
    placer.set_quota("t", TASK)
    placer.submit(work("s", kind=ServiceKind.SERVICE), 0.0)
    (placed,) = started(placer.decide(0.0, 9))
    use = Usage(cpu_milli=3000, memory_mb=1000)
    placer.observe(placed.worker, use, {placed.task: use}, 10.0)
    assert fleet.reservations[placed.task].amount.fits(TASK)
    assert fleet.reservations[placed.task].amount.memory_mb < 1100


def test_preemptions_of_one_task_are_bounded(fleet, rng):
    """Guards against deferrable tasks that urgent work preempts without end."""
    placer = Placer(fleet=fleet, random=rng)
    item = work("d", needs=SIZE, urgency=Urgency.DEFERRABLE, tasks=40)
    placer.submit(item, 0.0)
    placer.decide(0.0, 100)
    ended = collections.Counter()
    for number in range(300):
        now = 1.0 + number
        placer.submit(work(f"u{number}", "u", urgency=Urgency.URGENT), now)
        decisions = placer.decide(now, 100)
        while decisions:
            for decision in decisions:
                if isinstance(decision, Checkpoint):
                    ended[decision.task] += 1
                    placer.record_task_end(decision.task, TaskOutcome.CHECKPOINTED, now)
            for assignment in started(decisions):
                if assignment.task[0] == "u":
                    placer.record_task_end(assignment.task, TaskOutcome.COMPLETED, now)
            decisions = placer.decide(now, 100)
    assert ended and max(ended.values()) <= item.max_preemptions


@pytest.fixture
def quarantine(fleet):
    return LikelihoodRatioQuarantine(fleet=fleet)


def record_history(quarantine, services, *, failing=()):
    """Record outcomes of services on workers other than the tested ones."""
    for number in range(60):
        for service in services:
            item = work(f"{service}{number}", service)
            failed = service in failing
            quarantine.record(f"w{number % 10}", item, 0.0, failed=failed)


def test_worker_that_fails_everything_is_quarantined_and_probed(quarantine):
    """Guards against a faulty worker that keeps receiving tasks and failing them."""
    record_history(quarantine, ("a", "b", "c"))
    for number, service in enumerate("abcabc"):
        quarantine.record("w20", work(f"x{number}", service), 1.0, failed=True)
    assert quarantine.is_excluded("w20")
    assert quarantine.due_probes(2.0) == []
    assert quarantine.due_probes(100.0) == ["w20"]
    quarantine.probe_started("w20")
    quarantine.record("w20", work("p", "a"), 101.0, failed=True)
    assert quarantine.due_probes(200.0) == []
    assert quarantine.due_probes(300.0) == ["w20"]
    quarantine.record("w20", work("q", "a"), 301.0, failed=False)
    assert not quarantine.is_excluded("w20")


def test_service_that_fails_everywhere_quarantines_no_worker(quarantine):
    """Guards against healthy workers that are excluded because of faulty work."""
    record_history(quarantine, ("a", "bad"), failing=("bad",))
    for number in range(30):
        quarantine.record("w20", work(f"x{number}", "bad"), 1.0, failed=True)
    assert not quarantine.excluded


def test_one_failing_run_of_a_good_service_quarantines_no_worker(quarantine):
    """Guards against a healthy worker that is excluded because of one run."""
    record_history(quarantine, ("a",))
    for _ in range(30):
        quarantine.record("w20", work("x", "a"), 1.0, failed=True)
    assert not quarantine.excluded


def test_quarantine_covers_a_bounded_part_of_the_fleet(quarantine):
    """Guards against a common cause of failures that empties the fleet."""
    record_history(quarantine, ("a", "b", "c"))
    for worker in range(20, 40):
        for number, service in enumerate("abcabc"):
            item = work(f"{worker}-{number}", service)
            quarantine.record(f"w{worker}", item, 1.0, failed=True)
    assert len(quarantine.excluded) <= 4


def test_faulty_workers_do_not_make_the_placer_give_up_good_work(fleet, rng):
    """Guards against work that is given up because of faulty workers."""
    placer = Placer(fleet=fleet, random=rng)
    bad = {"w0", "w1"}
    given_up, completed, pending = 0, 0, []
    for step in range(400):
        now = float(step)
        service = f"s{step % 4}"
        placer.submit(work(f"r{step}", service, needs=TASK), now)
        decisions = placer.decide(now, 20)
        given_up += sum(1 for d in decisions if not isinstance(d, Start | Resize))
        pending += started(decisions)
        while pending:
            placed = pending.pop()
            failed = placed.worker in bad
            outcome = TaskOutcome.FAILED if failed else TaskOutcome.COMPLETED
            placer.record_task_end(placed.task, outcome, now + 0.5)
            completed += not failed
    assert given_up == 0
    assert completed >= 395
    assert placer.quarantine.excluded <= bad
