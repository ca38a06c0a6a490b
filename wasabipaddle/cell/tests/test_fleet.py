"""The stored fleet record: which runners it names, and when they may get work."""

import asyncio

import attrs
import pytest
from result import Err

from wasabipaddle.cell.fleet import FleetRecord
from wasabipaddle.cell.keys import FLEET_KEY
from wasabipaddle.cell.tests.session_parts import (
    make_session,
    runner_entry,
    with_cell,
    with_leading_session,
)
from wasabipaddle.exceptions import ErrorKind, Failure


def test_fleet_record_follows_added_and_removed_runners(make_test_cell):
    """Guards against a fleet record that lacks a runner, or keeps a removed runner.

    The next dispatcher would not wait for the missing runner, or would wait in vain for
    the removed runner.
    """

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        fleet = FleetRecord(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        tasks.append(asyncio.create_task(fleet.run()))
        for name in ("r0", "r1"):
            scheduler.set_runner(runner_entry(name), session.now())
        fleet.changed.set()
        await asyncio.sleep(0.5)
        assert {entry.id for entry in await fleet.load()} == {"r0", "r1"}
        assert all(r.in_fleet_record for r in scheduler.state.runners.values())
        del scheduler.state.runners["r0"]
        fleet.changed.set()
        await asyncio.sleep(0.5)
        assert {entry.id for entry in await fleet.load()} == {"r1"}
        assert FLEET_KEY in cell.memory.items

    with_cell(make_test_cell, scenario)


def test_runner_with_a_recorded_wait_gets_work_only_after_it_is_recorded_again(
    make_test_cell,
):
    """Guards against a successor that waits too briefly for a runner with work.

    The runner does not answer at first, so that the record names the remaining wait.
    """

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        state = scheduler.state
        runner = scheduler.set_runner(runner_entry("r0"), session.now())
        runner.in_fleet_record = True
        state.suspects["r0"] = session.now() + 6.3
        fleet = FleetRecord(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        tasks.append(asyncio.create_task(fleet.run()))
        fleet.changed.set()
        await asyncio.sleep(0.1)
        assert [row.wait_s for row in await fleet.load()] == [None]
        await asyncio.sleep(2.0)
        (row,) = await fleet.load()
        assert 4.0 < row.wait_s < 5.3
        assert row.entry == runner.entry and row.term == session.term
        assert not runner.in_fleet_record
        del state.suspects["r0"]
        await asyncio.sleep(0.6)
        assert [row.wait_s for row in await fleet.load()] == [None]
        assert runner.in_fleet_record

    with_cell(make_test_cell, scenario)


def test_record_is_written_again_after_a_write_in_doubt(make_test_cell):
    """Guards against work on a runner that a write without an answer has left out.

    The write takes effect and its answer is lost; the runner stays after all.
    """

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        fleet = FleetRecord(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        entry = runner_entry("r0")
        runner = scheduler.set_runner(entry, session.now())
        tasks.append(asyncio.create_task(fleet.run()))
        await asyncio.sleep(1.0)
        assert runner.in_fleet_record
        commit = process.store_plugin.store.commit

        async def lose_answer(**request):
            await commit(**request)
            scheduler.set_runner(entry, session.now())
            process.store_plugin.store.commit = commit
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail="answer lost"))

        process.store_plugin.store.commit = lose_answer
        scheduler.set_runner(attrs.evolve(entry, draining=True), session.now())
        await asyncio.sleep(2.0)
        assert runner.in_fleet_record
        assert [row.id for row in await fleet.load()] == ["r0"]

    with_cell(make_test_cell, scenario)


@pytest.mark.parametrize("change", [{"address": "127.0.0.1:10"}, {"pool": "other"}])
def test_record_follows_a_runner_that_starts_again_elsewhere(make_test_cell, change):
    """Guards against a successor that asks at the former address, or for other jobs.

    It takes a runner at another address for one without runs of the predecessor.
    """

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        fleet = FleetRecord(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        entry = runner_entry("r0")
        scheduler.set_runner(entry, session.now())
        tasks.append(asyncio.create_task(fleet.run()))
        await asyncio.sleep(1.0)
        moved = attrs.evolve(entry, **change)
        runner = scheduler.set_runner(moved, session.now())
        await asyncio.sleep(1.0)
        assert runner.in_fleet_record
        assert [row.entry for row in await fleet.load()] == [moved]

    with_cell(make_test_cell, scenario)


def test_runner_that_moves_during_a_write_is_recorded_again(make_test_cell):
    """Guards against work on a runner whose record has its former address."""

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        fleet = FleetRecord(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        entry = runner_entry("r0")
        moved = attrs.evolve(entry, address="127.0.0.1:10")
        scheduler.set_runner(entry, session.now())
        commit = process.store_plugin.store.commit
        admitted = []

        async def move(**request):
            process.store_plugin.store.commit = commit
            runner = scheduler.set_runner(moved, session.now())
            written = await commit(**request)
            asyncio.get_running_loop().call_later(
                0.01, lambda: admitted.append(runner.in_fleet_record)
            )
            return written

        process.store_plugin.store.commit = move
        tasks.append(asyncio.create_task(fleet.run()))
        await asyncio.sleep(2.0)
        assert admitted == [False]
        assert [row.address for row in await fleet.load()] == [moved.address]

    with_cell(make_test_cell, scenario)


def test_runner_in_another_pool_gets_work_once_it_is_recorded_there(make_test_cell):
    """Guards against a successor that waits only for jobs of the former pool."""

    async def scenario(cell, session):
        runner = session.scheduler.state.runners["r0"]
        assert runner.in_fleet_record
        entry = attrs.evolve(runner.entry, pool="other")
        session.registry.set_runner(entry)
        assert not runner.in_fleet_record
        await asyncio.sleep(0.3)
        assert runner.in_fleet_record

    with_leading_session(make_test_cell, scenario)
