"""Tests of the client and the server side of the platform's HTTP interface."""

import asyncio

import msgspec
import pytest

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import EndCause, Put, Refusal, StartOrder
from wasabipaddle.jobs import (
    AdvicePolicy,
    Capacity,
    CellConfiguration,
    JobSpec,
    Pool,
    Queue,
    RunnerEntry,
    StepSpec,
    TaskId,
)
from wasabipaddle.platform import (
    PlatformRunner,
    PlatformStore,
    decode_configuration,
    decode_runner,
)
from wasabipaddle.platform.client import (
    encode_configuration,
    encode_runner,
    encode_spec,
)
from wasabipaddle.platform.jobs import decode_spec
from wasabipaddle.platform.server import runner_routes, store_routes
from wasabipaddle.standins.listener import Listener
from wasabipaddle.standins.runners import MemoryRunner, TaskBehaviour
from wasabipaddle.standins.transactions import MemoryTransactions, TransactionsClient

HOST = "127.0.0.1"
TASK = TaskId("00000000000000aa", 0, 1, 2)


class FakeLedger:
    """Ledger of a runner that knows the payload "p"; its tasks complete after 10 ms."""

    def is_valid_order(self, order):
        return order.payload == "p"

    def behaviour(self, task):
        return StepSpec(count=1, checkpoints=True), TaskBehaviour(work_s=0.01)

    def record_start(self, runner, run, order):
        pass

    def record_end(self, runner, run, cause):
        pass

    def record_acknowledgement(self, runner, end):
        pass


def make_entry(**changes):
    return RunnerEntry(
        **{
            "id": "i-1",
            "address": "10.0.0.1:80",
            "data_centre": "a",
            "pool": "p",
            "capacity": Capacity(cpu=4000, memory_mb=100, gpus=1),
            "labels": ("kind", "r1"),
            "incarnation": 17,
            **changes,
        }
    )


def serve(routes, scenario):
    """Run a scenario against a listener that serves the routes."""

    async def main():
        listener = Listener(routes=routes(), host=HOST)
        await listener.start()
        try:
            return await scenario(f"{HOST}:{listener.port}")
        finally:
            await listener.close()

    return asyncio.run(main())


def test_store_behaves_over_http_as_in_memory():
    """Guards against results that change between client and server."""
    shared = {}

    def routes():
        shared["memory"] = MemoryTransactions()
        client = TransactionsClient(memory=shared["memory"], client="c")
        return store_routes(client)

    async def scenario(address):
        store = PlatformStore(address=address)
        lease = (await store.grant_lease(5.0)).ok()
        put = Put(key="k/1", value=b"\x00v", lease=lease)
        first = (await store.commit(conditions=(("k/1", 0),), puts=(put,))).ok()
        repeated = await store.commit(conditions=(("k/1", 0),), puts=(put,))
        batch = await store.follow("k/", after_revision=first - 1, wait_s=0.1)
        listed = (await store.list_all("k/")).ok()
        assert (await store.renew_lease(lease)).is_ok()
        assert (await store.end_lease(lease)).is_ok()
        deleted = (await store.get("k/1")).ok()
        expired = await store.renew_lease(lease)
        shared["memory"].forget_history()
        old = await store.follow("k/", after_revision=first, wait_s=0.1)
        shared["memory"].down = True
        refused = await store.get("k/1")
        await store.close()
        kinds = [r.err().kind for r in (repeated, expired, old, refused)]
        changes = [(c.key, c.value) for c in batch.ok().changes]
        return changes, [e.value for e in listed.entries], deleted, kinds

    changes, values, deleted, kinds = serve(routes, scenario)
    assert changes == [("k/1", b"\x00v")]
    assert values == [b"\x00v"]
    assert deleted is None
    assert kinds == [
        ErrorKind.REVISION_MISMATCH,
        ErrorKind.NOT_FOUND,
        ErrorKind.REVISION_MISMATCH,
        ErrorKind.STORE_UNAVAILABLE,
    ]


def test_runner_behaves_over_http_as_in_memory():
    """Guards against refusals and end causes that change between client and server."""
    shared = {}

    def routes():
        shared["runner"] = MemoryRunner(entry=make_entry(), ledger=FakeLedger())
        return runner_routes(shared["runner"])

    async def scenario(address):
        client = PlatformRunner(runner="i-1", address=address)
        clock_ms = shared["runner"].clock_ms()

        def order(run, *, epoch=5, payload="p", due_ms=clock_ms + 5_000):
            return StartOrder(
                task=TASK, run=run, payload=payload, start_before_ms=due_ms, epoch=epoch
            )

        async def start(*args, **options):
            return (await client.start(order(*args, **options), timeout_s=1.0)).ok()

        refusals = [
            (await start(3)).refusal,
            (await start(3)).refusal,
            (await start(4, epoch=1)).refusal,
            (await start(4, due_ms=clock_ms - 1)).refusal,
            (await start(2)).refusal,
            (await start(4, payload="x")).refusal,
        ]
        await asyncio.sleep(0.05)
        reply = await client.inventory(
            epoch=5, acknowledged=0, lease_until_ms=0, wait_s=0.0, timeout_s=1.0
        )
        (end,) = reply.ok().ended
        stale = await client.inventory(
            epoch=1, acknowledged=0, lease_until_ms=0, wait_s=0.0, timeout_s=1.0
        )
        shared["runner"].faults.lost_share = 1.0
        failed = await client.stop(TASK, 9, epoch=5, timeout_s=0.5)
        await client.close()
        return (
            refusals,
            end,
            reply.ok().incarnation,
            stale.ok().refusal,
            failed.err().kind,
        )

    refusals, end, incarnation, stale, failed = serve(routes, scenario)
    assert refusals == [
        Refusal.NONE,
        Refusal.NONE,
        Refusal.STALE_EPOCH,
        Refusal.TOO_LATE,
        Refusal.OLD_RUN,
        Refusal.INVALID,
    ]
    assert (end.task, end.run, end.cause) == (TASK, 3, EndCause.COMPLETED)
    assert (incarnation, stale, failed) == (17, Refusal.STALE_EPOCH, ErrorKind.TIMEOUT)


@pytest.mark.parametrize("draining", [False, True])
def test_registry_entry_survives_a_round_trip(draining):
    """Guards against fields whose names differ between encoder and decoder."""
    runner = make_entry(draining=draining)
    key, value = encode_runner(runner, 3)
    stored = type("Stored", (), {"key": key, "value": value})()
    assert decode_runner(stored) == runner


def test_configuration_survives_a_round_trip():
    """Guards against fields whose names differ between encoder and decoder."""
    advice = AdvicePolicy(base_s=0.5, per_runner_s=0.25, valid_s=2.5)
    queue = Queue(
        name="q", host="h", prefix="/q/", pool="p", priority=2, max_attempts=4,
        stretch=2.5, target_s=1.5, advice=advice,
    )  # fmt: skip
    configuration = CellConfiguration(
        version=9, queues=(queue,), pools={"p": Pool(name="p", enforces_capacity=True)}
    )
    _, value = encode_configuration(configuration)
    assert decode_configuration(value).ok() == configuration


def test_job_survives_a_round_trip():
    """Guards against fields whose names differ between encoder and decoder."""
    step = StepSpec(
        count=3,
        cpu=500,
        memory_mb=7,
        gpus=1,
        estimate_s=1.5,
        gang=True,
        same_rack=True,
        required_label="l",
        preferred_rack="r",
        max_per_runner=2,
        speculative=True,
        lasting=True,
        checkpoints=True,
        image="i",
        target_latency_ms=9,
        opportunistic=True,
        disruption_allowance=0,
    )
    spec = JobSpec(
        payload="p",
        steps=(step, StepSpec(count=1, after=(0,))),
        occurrences=3,
        first_due_ms=1_000,
        interval_ms=50,
    )

    assert decode_spec(msgspec.json.encode(encode_spec(spec))).ok() == spec
