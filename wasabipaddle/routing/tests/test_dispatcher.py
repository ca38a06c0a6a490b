"""Tests of the request path in virtual time."""

import asyncio

import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind, Outcome, WasabipaddleError
from wasabipaddle.routing.tests.fakes import (
    DispatcherHarness,
    FakeEndpoint,
    make_document,
    read,
)

NON_IDEMPOTENT = make_document(idempotent=False)


def test_answer_reaches_its_caller():
    """Guards against answers that reach the wrong caller or lose bytes."""

    async def main():
        harness = DispatcherHarness(FakeEndpoint(name="e1"), FakeEndpoint(name="e2"))
        results = await asyncio.gather(*(harness.route() for _ in range(40)))
        return [(r.unwrap().request, await read(r.unwrap())) for r in results]

    answers = run_virtual(main())
    assert answers == [(f"r{i + 1}", b"answer") for i in range(40)]


def test_request_is_retried_when_one_endpoint_is_unreachable():
    """Guards against a request that fails although another endpoint has a slot."""

    async def main():
        kinds = [ErrorKind.UNREACHABLE, ErrorKind.DRAINING]
        harness = DispatcherHarness(
            FakeEndpoint(name="e1", failures=[kinds[0]] * 9),
            FakeEndpoint(name="e2", failures=[]),
            documents=[NON_IDEMPOTENT],
        )
        results = [await harness.route() for _ in range(9)]
        return results, harness.endpoints["e2"].executed

    results, executed = run_virtual(main())
    assert all(r.is_ok() for r in results)
    assert len(executed) == len(set(executed)) == 9


@pytest.mark.parametrize("answers_queries", [True, False])
def test_non_idempotent_request_with_unknown_outcome_runs_once(answers_queries):
    """Guards against a second execution, and against a false "not run" outcome.

    The endpoint runs the request but its answer is lost.
    """

    async def main():
        harness = DispatcherHarness(
            FakeEndpoint(name="e1", lose_answer=True, answers_queries=answers_queries),
            documents=[NON_IDEMPOTENT],
        )
        result = await harness.route()
        await asyncio.sleep(0.1)  # connections are replaced in a separate task
        return result, harness.endpoints["e1"]

    result, endpoint = run_virtual(main())
    expected = ErrorKind.ANSWER_BROKEN if answers_queries else ErrorKind.OUTCOME_UNKNOWN
    assert result.unwrap_err().kind is expected
    assert endpoint.executed == ["r1"]
    assert endpoint.replacements == 1


def test_stalled_connection_is_replaced_within_three_seconds():
    """Guards against waiting on a stalled connection until the deadline."""

    async def main():
        stalled_endpoint = FakeEndpoint(name="e1", stalled=True)
        harness = DispatcherHarness(stalled_endpoint, FakeEndpoint(name="e2"))
        harness.holder.endpoints["e2"].in_use = 7
        loop = asyncio.get_running_loop()
        result = await harness.route()
        return result, loop.time(), stalled_endpoint, harness.metrics

    result, ended, stalled_endpoint, metrics = run_virtual(main())
    assert result.is_ok()
    assert ended <= 3.0
    assert stalled_endpoint.replacements == stalled_endpoint.probes == 1
    assert metrics.summary("routing.stall_detection").max_s <= 3.0


def test_broken_short_answer_is_never_passed_on():
    """Guards against a truncated answer that is passed on as complete."""

    async def main():
        harness = DispatcherHarness(
            FakeEndpoint(name="e1", announced_length=100), documents=[NON_IDEMPOTENT]
        )
        return await harness.route()

    failure = run_virtual(main()).unwrap_err()
    assert failure.kind is ErrorKind.ANSWER_BROKEN
    assert failure.outcome is Outcome.RAN


def test_long_answer_streams_and_aborts_when_it_is_truncated():
    """Guards against a streamed answer that ends early without an error."""

    async def main():
        body = b"y" * 200_000
        harness = DispatcherHarness(FakeEndpoint(name="e1", body=body))
        whole = await read((await harness.route()).unwrap())
        harness.endpoints["e1"].announced_length = 300_000
        answer = (await harness.route()).unwrap()
        with pytest.raises(WasabipaddleError):
            await read(answer)
        return (
            whole == body,
            harness.holder.endpoints["e1"].in_use,
            harness.dispatcher.pending_requests,
        )

    assert run_virtual(main()) == (True, 0, set())


def test_failure_after_an_uncertain_attempt_is_not_reported_as_not_run():
    """Guards against a false "not run" outcome.

    The first attempt fails after the request ran; the later ones cannot connect.
    """

    async def main():
        kinds = [ErrorKind.ENDPOINT_FAILED] + [ErrorKind.UNREACHABLE] * 9
        harness = DispatcherHarness(FakeEndpoint(name="e1", failures=kinds))
        return await harness.route()

    assert run_virtual(main()).unwrap_err().outcome is Outcome.RAN


def test_cancelled_caller_returns_its_slot():
    """Guards against slots that leak when callers disconnect.

    The slot stays occupied until the endpoint no longer runs the request.
    """

    async def main():
        harness = DispatcherHarness(FakeEndpoint(name="e1", slots=1, service_s=5.0))
        tasks = [asyncio.ensure_future(harness.route()) for _ in range(3)]
        await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        in_use = [harness.holder.endpoints["e1"].in_use]
        await asyncio.sleep(1.0)
        in_use.append(harness.holder.endpoints["e1"].in_use)
        return in_use, harness.dispatcher.policy.waiting

    assert run_virtual(main()) == ([1, 0], 0)


def test_drain_finishes_running_requests_and_refuses_queued_ones():
    """Guards against a planned stop that aborts a running request."""

    async def main():
        harness = DispatcherHarness(FakeEndpoint(name="e1", slots=1, service_s=3.0))
        tasks = [asyncio.ensure_future(harness.route(wait_s=60)) for _ in range(3)]
        await asyncio.sleep(0.01)
        drain = asyncio.ensure_future(harness.dispatcher.drain(timeout_s=4.0))
        await asyncio.sleep(0.01)
        late = await harness.route()
        results = await asyncio.gather(*tasks)
        await drain
        return results, late

    results, late = run_virtual(main())
    assert results[0].is_ok()
    kinds = [r.unwrap_err().kind for r in [*results[1:], late]]
    assert kinds == [ErrorKind.DRAINING] * 3


def test_drain_refuses_queued_requests_before_its_timeout():
    """Guards against requests that time out in the queue of a draining process."""

    async def main():
        harness = DispatcherHarness(FakeEndpoint(name="e1", slots=1, service_s=8.0))
        running = asyncio.ensure_future(harness.route(wait_s=30.0))
        waiting = asyncio.ensure_future(harness.route(wait_s=30.0))
        await asyncio.sleep(0.1)
        drain = asyncio.ensure_future(harness.dispatcher.drain(timeout_s=30.0))
        refused = await waiting
        refused_at = asyncio.get_running_loop().time()
        await drain
        return refused, refused_at, await running

    refused, refused_at, answered = run_virtual(main())
    assert refused.unwrap_err().kind is ErrorKind.DRAINING
    assert refused_at < 4.0
    assert answered.is_ok()
