"""Runners that leave shortly before a takeover, and the jobs that wait for them."""

import asyncio

import attrs
import pytest

from wasabipaddle.cell.fleet import FleetRecord
from wasabipaddle.cell.keys import FLEET_KEY
from wasabipaddle.cell.takeover import load_fleet
from wasabipaddle.cell.tests.session_parts import (
    make_session,
    put,
    runner_entry,
    with_cell,
)
from wasabipaddle.interfaces import Inventory
from wasabipaddle.jobs import (
    Capacity,
    CellConfiguration,
    Job,
    JobSpec,
    Queue,
    RecordedRunner,
    StepSpec,
    encode_fleet,
)

QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p")
STAYING, LEAVING = (
    attrs.evolve(runner_entry(name), capacity=Capacity(cpu=cpu))
    for name, cpu in (("staying", 2000), ("leaving", 4000))
)
# Longest wait for a runner that does not answer a successor.
LONGEST_WAIT_S = 8.0


def make_leader(cell, *, term):
    """Return a scheduler with its session and fleet record, as in a term."""
    process, scheduler, session = make_session(cell)
    scheduler.configure(CellConfiguration(version=1, queues=(QUEUE,)))
    session.term, session.scheduler = term, scheduler
    session.fleet = FleetRecord(
        store_plugin=process.store_plugin, scheduler=scheduler, session=session
    )
    return scheduler, session


def add_job(scheduler, session, name, *, recovered=False):
    spec = JobSpec(payload="", steps=(StepSpec(count=1, cpu=1000, estimate_s=1.0),))
    job = Job(id=name, policy=QUEUE, accepted_ms=0, spec=spec)
    scheduler.lifecycle.add_job(job, session.now(), recovered=recovered)


def answer(scheduler, session, *entries):
    """Process two inventories without runs of each runner."""
    for entry in entries:
        runner = scheduler.set_runner(entry, session.now())
        for _ in range(2):
            inventory = Inventory(
                clock_ms=int(session.now() * 1000) + 1,
                incarnation=1,
                running=(),
                ended=(),
            )
            scheduler.reports.process_inventory(runner, inventory, session.now())


def plan(scheduler, session):
    """Return the runner that each started job got."""
    scheduler.plan(session.now())
    orders = scheduler.take_orders()
    return {order.run.task.id.job: order.run.runner.id for order in orders}


async def lead_until_runner_leaves(cell, tasks):
    """Start a job on the leaving runner, and record that the runner drains."""
    scheduler, session = make_leader(cell, term=3)
    answer(scheduler, session, LEAVING)
    tasks.append(asyncio.create_task(session.fleet.run()))
    await asyncio.sleep(0.6)
    add_job(scheduler, session, "there")
    assert plan(scheduler, session) == {"there": "leaving"}
    answer(scheduler, session, STAYING)
    scheduler.set_runner(attrs.evolve(LEAVING, draining=True), session.now())
    await asyncio.sleep(0.6)
    return scheduler, session


def test_jobs_without_runs_on_a_runner_that_left_do_not_wait_for_it(make_test_cell):
    """Guards against a wait for all leases after a loss of power while a runner drains.

    The job that has a run there waits.
    """

    async def scenario(cell, tasks):
        await lead_until_runner_leaves(cell, tasks)
        tasks.pop().cancel()
        scheduler, session = make_leader(cell, term=4)
        await load_fleet(session)
        answer(scheduler, session, STAYING)
        for name in ("there", "elsewhere"):
            add_job(scheduler, session, name, recovered=True)
        assert plan(scheduler, session) == {"elsewhere": "staying"}
        await asyncio.sleep(LONGEST_WAIT_S)
        scheduler.advance(session.now())
        assert plan(scheduler, session) == {"there": "staying"}

    with_cell(make_test_cell, scenario)


def test_runner_that_stays_after_all_gets_work_once_it_is_recorded(make_test_cell):
    """Guards against a successor that does not wait for a job with a run."""

    async def scenario(cell, tasks):
        scheduler, session = await lead_until_runner_leaves(cell, tasks)
        scheduler.set_runner(attrs.evolve(STAYING, draining=True), session.now())
        runner = scheduler.set_runner(LEAVING, session.now())
        add_job(scheduler, session, "later")
        assert plan(scheduler, session) == {}
        assert [row.jobs for row in await session.fleet.load()] == [("there",), None]
        await asyncio.sleep(0.6)
        assert plan(scheduler, session) == {"later": "leaving"}
        (row,) = await session.fleet.load()
        assert row.jobs is None and runner.recorded_jobs is None

    with_cell(make_test_cell, scenario)


@pytest.mark.parametrize("term", [2, 3])
def test_recorded_jobs_count_only_if_the_predecessor_recorded_them(
    make_test_cell, term
):
    """Guards against runs that a dispatcher of another build has started since."""

    async def scenario(cell, tasks):
        row = RecordedRunner.create(LEAVING, jobs=("there",), term=term)
        put(cell, FLEET_KEY, encode_fleet([row]))
        scheduler, session = make_leader(cell, term=4)
        await load_fleet(session)
        answer(scheduler, session, STAYING)
        scheduler.state.runners["staying"].in_fleet_record = True
        add_job(scheduler, session, "elsewhere", recovered=True)
        started = {"elsewhere": "staying"} if term == 3 else {}
        assert plan(scheduler, session) == started

    with_cell(make_test_cell, scenario)


@pytest.mark.parametrize("takeovers", [1, 2])
def test_runs_on_a_runner_whose_entry_names_another_pool_are_waited_for(
    make_test_cell, takeovers
):
    """Guards against a second run of a task on another runner of its pool.

    The entry changes between the takeover and the answer of the runner, and a second
    successor knows only what the first has recorded.
    """

    async def main(cell, tasks):
        record = encode_fleet([RecordedRunner.create(LEAVING)])
        put(cell, FLEET_KEY, record)
        for term in range(4, 4 + takeovers):
            scheduler, session = make_leader(cell, term=term)
            await load_fleet(session)
            moved = attrs.evolve(LEAVING, pool="other")
            scheduler.set_runner(moved, session.now())
            rows = scheduler.runners_to_record(
                session.now(), with_waits=True, term=term
            )
            put(cell, FLEET_KEY, encode_fleet(rows))
        add_job(scheduler, session, "recovered", recovered=True)
        answer(scheduler, session, STAYING)
        scheduler.state.runners["staying"].in_fleet_record = True
        assert plan(scheduler, session) == {}
        answer(scheduler, session, moved)
        assert plan(scheduler, session) == {"recovered": "staying"}

    with_cell(make_test_cell, main)
