"""Watches of the store: what logs and metrics tell of them."""

import asyncio

import pytest

from wasabipaddle.cell.metrics import render
from wasabipaddle.cell.tests.session_parts import with_cell
from wasabipaddle.cell.watch import StoreWatch
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
                store_plugin=process.store_plugin, name="registry", prefix=PREFIX
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
        assert (await watch.follow(1.0)).is_err()
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
        assert (await watch.follow(0.5)).is_ok()
        assert watch.age_s() == 0
        assert "watch_calls_registry 1\n" in render(metrics)
        assert "watch_answers_registry 2\n" in render(metrics)
        watch.close()
        assert "watch_age_s" not in render(metrics)

    watch_cell(scenario)
