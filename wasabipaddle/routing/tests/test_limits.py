"""Tests of the retry budget and the circuit breaker."""

import asyncio
import random

import attrs

from wasabipaddle.clock import HybridClock, ManualClock, run_virtual
from wasabipaddle.documents import RequestPolicy
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import RouteRequest
from wasabipaddle.routing import BreakerState, CircuitBreaker, RetryBudget
from wasabipaddle.routing.tests.fakes import Bench, FakeEndpoint, make_document
from wasabipaddle.routing.trace import RequestTrace
from wasabipaddle.timeline import EventRing


def test_budget_allows_a_tenth_of_requests():
    """Guards against a retry storm when every request fails."""
    budget = RetryBudget(ratio=0.1)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += budget.withdraw()
    assert retries == 100


def test_storm_of_failures_is_not_amplified():
    """Guards against load that grows while all endpoints fail."""

    async def main():
        policy = RequestPolicy(idempotent=True, retry_budget=0.1)
        failures = [ErrorKind.ENDPOINT_FAILED] * 1000
        bench = Bench(
            FakeEndpoint(name="e1", failures=list(failures)),
            FakeEndpoint(name="e2", failures=list(failures)),
            documents=[attrs.evolve(make_document(), request=policy)],
        )
        await asyncio.gather(*(bench.route() for _ in range(200)))
        return bench.metrics.counters["routing.sent"]

    assert run_virtual(main()) <= 220


def test_breaker_opens_on_failures_and_closes_after_a_probe():
    """Guards against an endpoint that fails all it gets, or is left out for ever."""
    breaker = CircuitBreaker(random=random.Random(1))
    for _ in range(3):
        breaker.failed(now=0.0)
    assert breaker.limit(now=0.1) == 0
    assert breaker.limit(now=1.0) == 1
    breaker.failed(now=1.0)
    assert breaker.limit(now=1.4) == 0
    assert breaker.limit(now=3.0) == 1
    breaker.succeeded(now=3.0)
    assert breaker.state is BreakerState.CLOSED


def test_failing_endpoint_gets_few_requests():
    """Guards against a fast failure that attracts load as the least loaded."""

    async def main():
        bad = FakeEndpoint(name="e1", failures=[ErrorKind.ENDPOINT_FAILED] * 1000)
        bench = Bench(bad, FakeEndpoint(name="e2"), FakeEndpoint(name="e3"))
        for _ in range(100):
            await bench.route()
        return 1000 - len(bad.failures)

    assert run_virtual(main()) <= 12


def test_requests_that_fail_everywhere_do_not_close_the_pool():
    """Guards against bad requests of one service that stop all others."""

    async def main():
        failures = [ErrorKind.ENDPOINT_FAILED] * 20
        bench = Bench(
            FakeEndpoint(name="e1", failures=list(failures)),
            FakeEndpoint(name="e2", failures=list(failures)),
        )
        for _ in range(20):
            await bench.route()
        for endpoint in bench.endpoints.values():
            endpoint.failures.clear()
        return (await bench.route()).is_ok()

    assert run_virtual(main())


def test_flood_of_refusals_leaves_other_events_on_the_time_line():
    """Guards against a ring that holds nothing but refusals."""
    clock = ManualClock()
    ring = EventRing(process="p", hybrid=HybridClock(clock=clock))
    trace = RequestTrace(events=ring, clock=clock)
    message = RouteRequest(request="r", service="s", caller="c", body=b"", deadline=1.0)
    for _ in range(1000):
        trace.record_refusal(message, Failure(kind=ErrorKind.SHED))
    clock.advance(1.0)
    trace.record_refusal(message, Failure(kind=ErrorKind.SHED))
    assert len(ring.events) == 11
