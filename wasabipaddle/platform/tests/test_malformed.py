"""Malformed messages: each is an error of its own call and of nothing else."""

import asyncio
import json

import pytest
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import Capacity, RunnerEntry, TaskId
from wasabipaddle.platform import PlatformAdvice, PlatformRunner, PlatformStore
from wasabipaddle.platform.jobs import decode_spec
from wasabipaddle.standins.listener import Listener

HOST = "127.0.0.1"
TASK = TaskId("0" * 16, 0, 0, 0)
STORE_CALLS = {
    "get": lambda store: store.get("k"),
    "list": lambda store: store.list_all("k"),
    "follow": lambda store: store.follow("k", after_revision=1, wait_s=0.0),
    "commit": lambda store: store.commit(puts=(Put(key="k", value=b""),)),
    "grant": lambda store: store.grant_lease(1.0),
}
MALFORMED_BODIES = {
    "get": ({}, [], {"key": "k"}, {"key": "k", "revision": "x"}),
    "list": (
        {},
        [],
        {"items": 5, "as_of": 1},
        {"items": [{"key": "k"}], "as_of": 1},
        {"items": [], "as_of": "x"},
    ),
    "follow": (
        {},
        {"events": [{}], "as_of": 1},
        {"events": [7], "as_of": 1},
        {"events": [], "as_of": None},
    ),
    "commit": ({}, [], {"revision": "x"}),
    "grant": ({}, {"lease": "x"}),
}
RUNNER_CALLS = {
    "stop": lambda runner: runner.stop(TASK, 1, epoch=1, timeout_s=1.0),
    "inventory": lambda runner: runner.inventory(
        epoch=1, acknowledged=0, lease_until_ms=0, wait_s=0.0, timeout_s=1.0
    ),
}
INVENTORY_BODIES = (
    {"running": [["x"]]},
    {"running": [5]},
    {"running": 5},
    {"running": [[f"{TASK.job}.0.0.0", "1", "", 0]]},
    {"ended": [[1, f"{TASK.job}.0.0.0", 1]]},
    {"ended": [["1", f"{TASK.job}.0.0.0", 1, "done", ""]]},
    {"clock_ms": "soon"},
    {"born": []},
)


def call_with_response(body, call, *, status=200):
    """Return the result of a call that is answered with `body`."""

    async def respond(request):
        return web.Response(
            body=json.dumps(body).encode(),
            status=status,
            content_type="application/json",
        )

    async def main():
        routes = [web.route("*", "/{path:.*}", respond)]
        listener = Listener(routes=routes, host=HOST)
        await listener.start()
        try:
            return await call(f"{HOST}:{listener.port}")
        finally:
            await listener.close()

    return asyncio.run(main())


def call_store(name, body, *, status=200):
    async def call(address):
        store = PlatformStore(address=address)
        try:
            return await STORE_CALLS[name](store)
        finally:
            await store.close()

    return call_with_response(body, call, status=status)


@pytest.mark.parametrize(
    ("name", "body"),
    [(name, body) for name, bodies in MALFORMED_BODIES.items() for body in bodies],
    ids=json.dumps,
)
def test_malformed_response_of_the_store_is_an_unknown_outcome(name, body):
    """Guards against an exception that ends a watch, so that its view stands still."""
    assert call_store(name, body).err().kind is ErrorKind.TIMEOUT


@pytest.mark.parametrize("body", [{}, [], {"items": 5}, {"items": [7, {"key": "k"}]}])
def test_conflict_without_readable_items_is_a_conflict(body):
    """Guards against a conflict that is taken for a write that may have been done."""
    result = call_store("commit", body, status=412)
    assert result.err().kind is ErrorKind.REVISION_MISMATCH


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (500, ErrorKind.TIMEOUT),
        (502, ErrorKind.TIMEOUT),
        (504, ErrorKind.TIMEOUT),
        (503, ErrorKind.STORE_UNAVAILABLE),
        (403, ErrorKind.STORE_UNAVAILABLE),
        (429, ErrorKind.STORE_THROTTLED),
    ],
)
def test_only_a_refused_write_is_certain_not_to_take_effect(status, kind):
    """Guards against a caller who is told that a stored job never runs."""
    assert call_store("commit", {}, status=status).err().kind is kind


def call_runner(name, body):
    async def call(address):
        entry = RunnerEntry(
            id="i-1", address=address, data_centre="a", pool="p", capacity=Capacity()
        )
        runner = PlatformRunner(runner=entry.id, address=entry.address)
        try:
            return await RUNNER_CALLS[name](runner)
        finally:
            await runner.close()

    return call_with_response(body, call)


@pytest.mark.parametrize("body", INVENTORY_BODIES, ids=json.dumps)
def test_malformed_inventory_is_an_error(body):
    """Guards against an exception that ends the inventories of a runner."""
    assert call_runner("inventory", body).err().kind is ErrorKind.ANSWER_BROKEN


@pytest.mark.parametrize("body", [{"clock_ms": "soon"}, {"born": []}], ids=json.dumps)
def test_malformed_reply_to_an_order_is_an_unknown_outcome(body):
    """Guards against an exception that leaves a run without an outcome."""
    assert call_runner("stop", body).err().kind is ErrorKind.TIMEOUT


@pytest.mark.parametrize(
    "body", [{"good": [["i-1"]]}, {"good": 5}, {"good": [], "valid_ms": "x"}]
)
def test_malformed_advice_is_an_error(body):
    """Guards against a step that is never asked about again."""

    async def call(address):
        advice = PlatformAdvice(address=address)
        try:
            return await advice.ask(
                job=TASK.job, occurrence=0, step=0, runners=["i-1"], timeout_s=1.0
            )
        finally:
            await advice.close()

    assert call_with_response(body, call).err().kind is ErrorKind.ANSWER_BROKEN


@pytest.mark.parametrize(
    "step",
    [
        {"count": 1, "cpu": "many"},
        {"count": 1, "cpu": -5},
        {"count": 1, "mem_mb": -1},
        {"count": "3"},
        {"count": 2.5},
        {"count": 1, "after": "x"},
        {"count": 1, "after": 5},
        {"count": 1, "requires": 5},
        {"count": 1, "estimate_ms": -1},
        {"count": 10**9},
    ],
    ids=json.dumps,
)
def test_step_that_cannot_be_planned_is_refused(step):
    """Guards against a job on which the dispatcher fails in every planning round."""
    body = json.dumps({"spec": "t", "steps": [step]}).encode()
    assert decode_spec(body).err().kind is ErrorKind.INVALID_REQUEST


@pytest.mark.parametrize(
    "changes",
    [
        {"repeat_count": 10**9, "interval_ms": 1},
        {"repeat_count": 3, "interval_ms": -1},
        {"repeat_count": "3"},
        {"repeat_count": 3, "start_at_ms": "now"},
        {"spec": 5},
        {"steps": []},
    ],
    ids=json.dumps,
)
def test_job_that_cannot_be_planned_is_refused(changes):
    """Guards against a schedule that keeps the dispatcher busy for ever."""
    body = {"spec": "t", "steps": [{"count": 1}], **changes}
    refused = decode_spec(json.dumps(body).encode())
    assert refused.err().kind is ErrorKind.INVALID_REQUEST


def test_whole_numbers_may_be_written_with_a_fraction():
    """Guards against the refusal of numbers that JSON writers may choose."""
    body = b'{"spec":"t","steps":[{"count":2.0,"cpu":500.0,"estimate_ms":1.5}]}'
    step = decode_spec(body).ok().steps[0]
    assert (step.count, step.cpu) == (2, 500)
    assert type(step.count) is int


def test_times_may_have_a_fraction():
    """Guards against the refusal of a schedule with fractions of milliseconds."""
    body = {
        "spec": "t",
        "steps": [{"count": 1, "target_ms": 99.6}],
        "repeat_count": 2,
        "start_at_ms": 1788277007526.4,
        "interval_ms": 500.5,
    }
    spec = decode_spec(json.dumps(body).encode()).ok()
    assert (spec.first_due_ms, spec.interval_ms) == (1788277007526, 500)
    assert spec.steps[0].target_latency_ms == 100


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"steps":' * 50_000])
def test_deeply_nested_job_is_refused(body):
    """Guards against a recursion error in place of a refusal."""
    assert decode_spec(body).err().kind is ErrorKind.INVALID_REQUEST
