"""Parts of a dispatch session: progress writer, fleet record and watches."""

import asyncio

from wasabipaddle.cell.intake import IntakeWatcher, RegistryWatcher
from wasabipaddle.cell.keys import CANCEL_PREFIX, JOB_PREFIX, LEADER_KEY
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.cell.tests.session_parts import (
    make_session,
    with_cell,
)
from wasabipaddle.cell.writer import ProgressWriter
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import (
    Job,
    JobPhase,
    decode_progress,
    encode_job,
)


def stored_phase(cell):
    entry = cell.memory.items.get(f"wasabipaddle/progress/{JOB}")
    return None if entry is None else decode_progress(entry.value).phase


def job():
    return Job(id=JOB, policy=QUEUE, accepted_ms=0, spec=SPEC)


def test_late_write_does_not_undo_a_newer_one(make_test_cell):
    """Guards against a final state that is overwritten by an older, delayed write.

    The writes of the first 0.5 s get no response and take effect after 3 s.
    """

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        entry = scheduler.lifecycle.add_job(job(), session.now())
        writer = ProgressWriter(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        tasks.append(asyncio.create_task(writer.run()))
        cell.memory.lost_share, cell.memory.delay_s = 1.0, 3.0
        scheduler.state.mark_dirty(entry)
        await asyncio.sleep(0.5)
        cell.memory.lost_share = 0.0
        scheduler.lifecycle.cancel(JOB, session.now())
        await asyncio.sleep(2.0)
        assert stored_phase(cell) is JobPhase.CANCELLED
        await asyncio.sleep(4.0)
        assert stored_phase(cell) is JobPhase.CANCELLED
        assert entry.durable_phase is JobPhase.CANCELLED

    with_cell(make_test_cell, scenario)


def test_writer_continues_after_a_write_without_a_response_took_effect(make_test_cell):
    """Guards against progress that is never written again after a lost response.

    The writer must read the revision that the write without a response produced.
    """

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        entry = scheduler.lifecycle.add_job(job(), session.now())
        writer = ProgressWriter(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        tasks.append(asyncio.create_task(writer.run()))
        cell.memory.lost_share, cell.memory.delay_s = 1.0, 0.01
        scheduler.state.mark_dirty(entry)
        await asyncio.sleep(0.5)
        cell.memory.lost_share = 0.0
        scheduler.lifecycle.cancel(JOB, session.now())
        await asyncio.sleep(3.0)
        assert entry.durable_phase is JobPhase.CANCELLED

    with_cell(make_test_cell, scenario)


def test_replaced_dispatcher_writes_nothing(make_test_cell):
    """Guards against writes of a former leader after a successor was elected."""

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        entry = scheduler.lifecycle.add_job(job(), session.now())
        cell.memory.apply((), [Put(key=LEADER_KEY, value=b"p1")], ())
        writer = ProgressWriter(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        tasks.append(asyncio.create_task(writer.run()))
        scheduler.state.mark_dirty(entry)
        await asyncio.sleep(2.0)
        assert stored_phase(cell) is None

    with_cell(make_test_cell, scenario)


def test_final_jobs_are_removed_after_retention(make_test_cell):
    """Guards against a store that grows without limit as jobs end."""

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        cell.memory.apply((), [Put(key=JOB_PREFIX + JOB, value=b"x")], ())
        scheduler.lifecycle.add_job(job(), session.now())
        await asyncio.sleep(1.0)
        scheduler.lifecycle.cancel(JOB, session.now())
        writer = ProgressWriter(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        tasks.append(asyncio.create_task(writer.run()))
        tasks.append(asyncio.create_task(writer.sweep()))
        await asyncio.sleep(200.0)
        assert JOB_PREFIX + JOB in cell.memory.items
        await asyncio.sleep(60.0)
        assert not [k for k in cell.memory.items if JOB in k]
        assert JOB not in scheduler.state.jobs

    with_cell(make_test_cell, scenario)


def test_interrupted_watch_lists_the_prefix_again(make_test_cell):
    """Guards against jobs and cancellations missed while the watch was interrupted.

    The store has discarded its history, and one of the stored jobs is unreadable.
    """

    async def scenario(cell, tasks):
        process, _, _ = make_session(cell)
        jobs, cancelled = [], []
        intake = IntakeWatcher(
            store_plugin=process.store_plugin,
            add_job=lambda j: jobs.append(j.id),
            cancel=cancelled.append,
        )
        await intake.load()
        tasks.append(asyncio.create_task(intake.follow()))
        await asyncio.sleep(0.5)
        cell.memory.down = True
        await asyncio.sleep(9.0)
        cell.memory.apply(
            (),
            [
                Put(key=JOB_PREFIX + JOB, value=encode_job(job())),
                Put(key=CANCEL_PREFIX + JOB, value=b"1"),
                Put(key=JOB_PREFIX + "bad", value=b"\xff"),
            ],
            (),
        )
        cell.memory.history.clear()
        cell.memory.down = False
        await asyncio.sleep(2.0)
        assert JOB in jobs and JOB in cancelled

    with_cell(make_test_cell, scenario)


def test_runner_missing_from_a_new_listing_is_unlisted(make_test_cell):
    """Guards against work for a runner that left while the watch was interrupted."""

    async def scenario(cell, tasks):
        process, _, _ = make_session(cell)
        seen, unlisted = [], []
        registry = RegistryWatcher(
            store_plugin=process.store_plugin,
            set_runner=seen.append,
            mark_unlisted=unlisted.append,
        )
        registry.listed = {"i-1"}
        await registry.load()
        assert unlisted == ["i-1"]

    with_cell(make_test_cell, scenario)
