"""Tests of the retry budget, the circuit breaker and the limit on refusal events."""

import asyncio
import random

import attrs

from wasabipaddle.clock import HybridClock, ManualClock, run_virtual
from wasabipaddle.documents import RequestPolicy
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import RouteRequest
from wasabipaddle.routing import BreakerState, CircuitBreaker, RetryBudget
from wasabipaddle.routing.tests.fakes import (
    DispatcherHarness,
    FakeEndpoint,
    make_document,
)
from wasabipaddle.routing.trace import RequestTrace
from wasabipaddle.timeline import EventRing


def test_budget_limits_retries_to_its_ratio():
    """Guards against a retry storm when every request fails."""
    budget = RetryBudget(ratio=0.1)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += budget.withdraw()
    assert retries == 100


def test_retries_do_not_amplify_load_when_every_request_fails():
    """Guards against retries that add load while all endpoints fail."""

    async def main():
        policy = RequestPolicy(idempotent=True, retry_budget=0.1)
        failures = [ErrorKind.ENDPOINT_FAILED] * 1000
        harness = DispatcherHarness(
            FakeEndpoint(name="e1", failures=list(failures)),
            FakeEndpoint(name="e2", failures=list(failures)),
            documents=[attrs.evolve(make_document(), request=policy)],
        )
        await asyncio.gather(*(harness.route() for _ in range(200)))
        return harness.metrics.counters["routing.sent"]

    assert run_virtual(main()) <= 220


def test_breaker_opens_on_failures_and_closes_after_a_probe():
    """Guards against a breaker that never opens, or never closes again."""
    breaker = CircuitBreaker(random=random.Random(1))
    for _ in range(3):
        breaker.record_failure(now=0.0)
    assert breaker.limit(now=0.1) == 0
    assert breaker.limit(now=1.0) == 1
    breaker.record_failure(now=1.0)
    assert breaker.limit(now=1.4) == 0
    assert breaker.limit(now=3.0) == 1
    breaker.record_success(now=3.0)
    assert breaker.state is BreakerState.CLOSED


def test_failing_endpoint_gets_few_requests():
    """Guards against a failing endpoint that keeps its full part of the requests."""

    async def main():
        bad = FakeEndpoint(name="e1", failures=[ErrorKind.ENDPOINT_FAILED] * 1000)
        harness = DispatcherHarness(
            bad, FakeEndpoint(name="e2"), FakeEndpoint(name="e3")
        )
        for _ in range(100):
            await harness.route()
        return 1000 - len(bad.failures)

    assert run_virtual(main()) <= 12


def test_requests_that_fail_everywhere_do_not_exclude_the_pool():
    """Guards against open breakers that exclude all endpoints of a pool at once.

    Requests have failed on every endpoint, which is no fault of a single one.
    """

    async def main():
        failures = [ErrorKind.ENDPOINT_FAILED] * 20
        harness = DispatcherHarness(
            FakeEndpoint(name="e1", failures=list(failures)),
            FakeEndpoint(name="e2", failures=list(failures)),
        )
        for _ in range(20):
            await harness.route()
        for endpoint in harness.endpoints.values():
            endpoint.failures.clear()
        return (await harness.route()).is_ok()

    assert run_virtual(main())


def test_flood_of_refusals_leaves_other_events_on_the_timeline():
    """Guards against refusals that evict all other events from the ring buffer."""
    clock = ManualClock()
    ring = EventRing(process="p", hybrid_clock=HybridClock(clock=clock))
    trace = RequestTrace(events=ring, clock=clock)
    message = RouteRequest(request="r", service="s", caller="c", body=b"", deadline=1.0)
    for _ in range(1000):
        trace.record_refusal(message, Failure(kind=ErrorKind.SHED))
    clock.advance(1.0)
    trace.record_refusal(message, Failure(kind=ErrorKind.SHED))
    assert len(ring.events) == 11
