"""Tests of the input generator and the driver."""

import math

import pytest

from wasabipaddle.documents import ServiceKind
from wasabipaddle.measure.driver import Driver
from wasabipaddle.measure.inputs import InputSpec, generate, offered_use
from wasabipaddle.measure.packing import packed_ratio
from wasabipaddle.measure.sampling import usable_capacity
from wasabipaddle.placement import Placer, Work

SPEC = InputSpec(
    seed=3,
    workers=40,
    accelerators=56,
    teams=16,
    services=40,
    duration_s=120.0,
    load=1.0,
    peak_starts_s=10.0,
    largest_gang=8,
    impossible=0.05,
    bad_workers=0.05,
    cancel_burst_every_s=30.0,
    cancel_burst_jobs=5,
)


@pytest.fixture(scope="module")
def inputs():
    return generate(SPEC)


@pytest.fixture(scope="module")
def driver(inputs):
    driver = Driver(
        inputs=inputs,
        make_placer=Placer,
        sample_s=1.0,
        report_s=5.0,
    )
    driver.run(SPEC.duration_s)
    return driver


def test_input_is_the_same_for_the_same_seed(inputs):
    """Guards against figures that differ between runs with the same seed."""
    assert generate(SPEC) == inputs


def test_input_contains_faults_and_wrong_declarations(inputs):
    """Guards against a generator that omits a kind of job or of fault.

    The input must have impossible jobs, cancellations, faulty workers, wrongly declared
    needs and heavy-tailed run times.
    """
    kinds = {j.work.kind for j in inputs.jobs}
    assert kinds >= {ServiceKind.SERVICE, ServiceKind.BATCH, ServiceKind.GANG}
    assert any(j.impossible for j in inputs.jobs)
    assert any(j.cancel_at is not None for j in inputs.jobs)
    assert sum(w.bad for w in inputs.workers) == 2
    ratios = [p.needs.cpu_milli / p.true.cpu_milli for p in inputs.profiles]
    assert min(ratios) < 0.3 and max(ratios) > 3
    assert all(0.09 < r <= 10 for r in ratios)
    runs = sorted(t.run_s for j in inputs.jobs for t in j.tasks)
    finite = [r for r in runs if not math.isinf(r)]
    assert finite[-1] > 10 * finite[len(finite) // 2]
    assert 0.3 < offered_use(inputs, 40.0, 120.0) < 1.6


def test_placer_keeps_invariants(driver):
    """Guards against a placer that breaks a limit under faults and cancellations.

    It must not overfill workers, start a task twice, start partial gangs, exceed
    quotas, queue impossible runs or quarantine good workers.
    """
    out = driver.outcomes
    assert out.starts > 300
    assert out.overfilled == out.two_places == out.partial_gangs == 0
    assert out.over_quota == 0
    assert out.impossible_blocking_s == 0
    assert not out.quarantined_good


def test_driver_notices_an_overfilled_worker(inputs):
    """Guards against a driver that does not count overfilled workers."""

    class OverfillingPlacer(Placer):
        def decide(self, now, limit):
            for worker in self.fleet.workers.values():
                worker.free = worker.size
                self.fleet.free_index.put(worker.name, worker.size)
            return super().decide(now, limit)

    driver = Driver(inputs=inputs, make_placer=OverfillingPlacer)
    driver.run(20.0)
    assert driver.outcomes.overfilled > 0


def test_packed_ratio_is_one_without_waiting_work(driver):
    """Guards against a ratio that counts capacity for which there is no demand."""
    unconstrained = [s for s in driver.outcomes.samples if s.carried == s.demand]
    assert unconstrained
    assert packed_ratio(unconstrained, usable_capacity(driver)) == 1.0


def test_work_carries_declared_needs(inputs):
    """Guards against a generator that passes true use to the placer."""
    for job in inputs.jobs:
        assert isinstance(job.work, Work)
        if not job.impossible:
            declared = {p.needs for p in inputs.profiles}
            assert job.work.needs in declared
