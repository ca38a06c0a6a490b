"""Outcomes reported to callers under random faults of endpoints."""

import asyncio
import collections

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import Outcome, WasabipaddleError
from wasabipaddle.routing.tests.fakes import DispatcherHarness, make_document, read
from wasabipaddle.standins import Ledger, MemoryEndpoint
from wasabipaddle.standins.answers import make_answer

FAULTS = [
    {"failing": True},
    {"late_s": 1.5},
    {"broken": "short"},
    {"broken": "stall"},
    {"broken": "digest"},
    {"broken": "other"},
    {"lost_answer": 0.5},
    {"silent": True},
    {"unreachable": True},
    {"draining": True},
    {"gone": True},
    None,
]
CLEAR = {
    "failing": False,
    "late_s": 0.0,
    "broken": "",
    "lost_answer": 0.0,
    "silent": False,
    "unreachable": False,
    "draining": False,
    "gone": False,
}
STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 1.0),
        st.integers(0, 2),
        st.sampled_from(FAULTS),
        st.booleans(),
    ),
    min_size=1,
    max_size=6,
)


async def run_scenario(steps, sizes):
    ledger = Ledger()
    endpoints = [MemoryEndpoint(name=f"e{i}", ledger=ledger, slots=2) for i in range(3)]
    documents = [
        make_document("once", idempotent=False, deadline_s=6.0),
        make_document("again", deadline_s=6.0),
    ]
    harness = DispatcherHarness(*endpoints, documents=documents)
    tasks = []
    for i, size in enumerate(sizes):
        payload = {"service_s": 0.2, "answer_bytes": size, "idempotent": i % 2 == 1}
        body = msgspec.json.encode(payload)
        service = documents[i % 2].service
        tasks.append(
            asyncio.ensure_future(send_request(harness, service, body, i * 0.1))
        )
    for pause_s, index, fault, stall in steps:
        await asyncio.sleep(pause_s)
        endpoints[index].set_faults(**CLEAR)
        if stall:
            endpoints[index].silence_connections()
        if fault:
            endpoints[index].set_faults(**fault)
    return ledger.record, await asyncio.gather(*tasks)


async def send_request(harness, service, body, delay_s):
    """Return the request id, the reported outcome, and the answer or None."""
    await asyncio.sleep(delay_s)
    routing = harness.route(service, body=body)
    request = f"r{harness.request_count}"
    result = await routing
    if result.is_err():
        return request, result.unwrap_err().outcome, None
    try:
        return request, Outcome.RAN, await read(result.unwrap())
    except WasabipaddleError as error:
        return request, error.failure.outcome, None


@settings(max_examples=60)
@given(STEPS, st.lists(st.sampled_from([64, 100_000]), min_size=4, max_size=16))
def test_reported_outcomes_match_executions(steps, sizes):
    """Guards against false outcomes, corrupt answers, and repeated executions.

    Only requests that are not idempotent must run at most once.
    """
    record, outcomes = run_virtual(run_scenario(steps, sizes))
    runs = collections.Counter(e.identifier for e in record.executions)
    non_repeatable = {e.identifier for e in record.executions if not e.repeatable}
    assert all(runs[request] == 1 for request in non_repeatable)
    for request, outcome, answer in outcomes:
        if answer is not None:
            assert answer == make_answer(request, len(answer)).body
        if outcome is Outcome.NOT_RUN:
            assert runs[request] == 0
        if outcome is Outcome.RAN:
            assert runs[request] >= 1
