"""Watches of the store: what logs and metrics tell of them."""

import asyncio

import pytest

from wasabipaddle.cell.intake import RegistryWatcher
from wasabipaddle.cell.metrics import render
from wasabipaddle.cell.tests.session_parts import with_cell
from wasabipaddle.cell.watch import StoreWatch
from wasabipaddle.clock import process_context
from wasabipaddle.interfaces import Put

PREFIX = "runners/"


@pytest.fixture
def watch_cell(make_test_cell):
    """Run a scenario with a cell, a watch of `PREFIX` and the logged events."""

    def run(scenario):
        async def with_watch(cell, tasks):
            process = cell["p0"]
            events = []
            process.context.journal = lambda kind, **values: events.append(
                (kind, values)
            )
            watch = StoreWatch(
                store_plugin=process.store_plugin,
                name="registry",
                prefix=PREFIX,
                bound_s=2.5,
            )
            await scenario(cell, watch, events)

        with_cell(make_test_cell, with_watch)

    return run


def test_lost_watch_is_logged_with_reason_revision_and_age(watch_cell):
    """Guards against a log that cannot tell a watch without an answer from a loss."""

    async def scenario(cell, watch, events):
        await watch.list()
        await asyncio.sleep(2.0)
        cell.memory.apply((), [Put(key=PREFIX + "r0", value=b"x")], ())
        cell.memory.forget_history()
        assert (await watch.follow()).is_err()
        await watch.list()
        assert [kind for kind, _ in events] == [
            "watch_listed",
            "watch_lost",
            "watch_listed",
        ]
        lost, listed = events[1][1], events[2][1]
        assert (lost["watch"], lost["reason"]) == ("registry", "revision_mismatch")
        assert lost["revision"] < listed["revision"] == cell.memory.revision
        assert lost["waited_ms"] < 1000 <= 2000 <= lost["age_ms"]

    watch_cell(scenario)


def test_age_of_a_watch_is_a_metric_until_the_watch_is_closed(watch_cell):
    """Guards against a view that stands still while all metrics look healthy."""

    async def scenario(cell, watch, events):
        await watch.list()
        await asyncio.sleep(3.0)
        metrics = watch.context.metrics
        assert metrics.snapshot()["gauges"]["watch_age_s_registry"] == pytest.approx(3)
        assert (await watch.follow()).is_ok()
        assert watch.age_s() == 0
        assert "watch_calls_registry 1\n" in render(metrics)
        assert "watch_answers_registry 2\n" in render(metrics)
        watch.close()
        assert "watch_age_s" not in render(metrics)

    watch_cell(scenario)


def test_answer_that_arrived_during_a_pause_is_used(watch_cell):
    """Guards against a paused process that lists all jobs again for no reason."""

    async def scenario(cell, watch, events):
        await watch.list()
        loop = asyncio.get_running_loop()
        call = asyncio.create_task(watch.follow(), context=process_context("p0"))
        await asyncio.sleep(0.5)
        loop.pause("p0")
        cell.memory.apply((), [Put(key=PREFIX + "r0", value=b"x")], ())
        await asyncio.sleep(5.0)
        loop.resume("p0")
        batch = await call
        assert [change.key for change in batch.ok().changes] == [PREFIX + "r0"]

    watch_cell(scenario)


@pytest.mark.parametrize("latency_s", [0.3, 0.8])
def test_slow_store_does_not_lose_a_watch(watch_cell, latency_s):
    """Guards against endless listings while the store answers slowly."""

    async def scenario(cell, watch, events):
        cell.memory.latency_s = latency_s
        await watch.list()
        for _ in range(5):
            assert (await watch.follow()).is_ok()

    watch_cell(scenario)


def test_call_in_progress_ends_with_its_caller(watch_cell):
    """Guards against watches of a former leader that go on in the background."""

    async def scenario(cell, watch, events):
        await watch.list()
        call = asyncio.create_task(watch.follow())
        await asyncio.sleep(0.1)
        before = len(asyncio.all_tasks())
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0)
        assert len(asyncio.all_tasks()) == before - 2

    watch_cell(scenario)


def test_gauge_of_a_later_watch_outlives_an_earlier_one(watch_cell):
    """Guards against a missing age after a process has led twice."""

    async def scenario(cell, watch, events):
        later = StoreWatch(
            store_plugin=watch.store_plugin,
            name="registry",
            prefix=PREFIX,
            bound_s=2.5,
        )
        watch.close()
        gauges = later.context.metrics.snapshot()["gauges"]
        assert gauges["watch_age_s_registry"] == 0
        later.close()
        assert later.context.metrics.snapshot()["gauges"] == {}

    watch_cell(scenario)


def test_prefix_is_listed_at_once_after_its_watch_is_lost(watch_cell):
    """Guards against a view that stays old for a pause after its watch is lost."""

    async def scenario(cell, watch, events):
        clock = watch.context.clock
        at_s = {}
        watch.context.journal = lambda kind, **_: at_s.update({kind: clock.now()})
        watcher = RegistryWatcher(
            store_plugin=cell["p0"].store_plugin,
            set_runner=lambda entry: None,
            mark_unlisted=lambda runner: None,
        )
        await watcher.load()
        cell.memory.watches_answered = False
        call = asyncio.create_task(watcher.follow())
        await asyncio.sleep(watcher.watch.bound_s)
        call.cancel()
        waited_s = at_s["watch_listed"] - at_s["watch_lost"]
        assert waited_s == pytest.approx(cell.memory.latency_s)

    watch_cell(scenario)
