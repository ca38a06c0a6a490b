"""Takeover of a dispatch session: the wait for runners of earlier dispatchers."""

import asyncio

import msgspec
import pytest

from wasabipaddle.cell.keys import FLEET_KEY
from wasabipaddle.cell.session import CONFIRM_S, DispatchSession
from wasabipaddle.cell.takeover import PROOF_LIMIT_S, load_fleet
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.cell.tests.session_parts import (
    FakeElection,
    put_runner,
    with_leading_session,
)
from wasabipaddle.clock import process_context, run_virtual
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import Capacity, Job, JobPhase, RecordedRunner, RunnerEntry

PROCESS = "p0"

ENTRY = RunnerEntry(
    id="r0",
    address="127.0.0.1:9",
    data_centre="a",
    pool="p",
    capacity=Capacity(cpu=1000),
)
# Oldest proof with which a replaced leader may still grant a lease, that lease of 4.5 s
# with 2 percent of drift, and a margin.
FULL_WAIT_S = 3.0 + 4.5 * 1.02 + 0.2


def make_job():
    return Job(id=JOB, policy=QUEUE, accepted_ms=0, spec=SPEC)


@pytest.mark.parametrize(
    ("row", "wait_s", "may_get_work"),
    [
        (RecordedRunner.create(ENTRY, wait_s=2.5, term=2), 2.5, False),
        (RecordedRunner.create(ENTRY, wait_s=99.0, term=2), FULL_WAIT_S, False),
        (RecordedRunner.create(ENTRY, wait_s=2.5, term=1), FULL_WAIT_S, False),
        (RecordedRunner.create(ENTRY), FULL_WAIT_S, True),
        (ENTRY, FULL_WAIT_S, True),
    ],
    ids=["previous term", "too long", "earlier term", "no wait", "earlier build"],
)
def test_recorded_wait_holds_for_the_next_term_only(
    make_test_cell, row, wait_s, may_get_work
):
    """Guards against a second run of a task beside one on a runner without an answer.

    A dispatcher of another build, which ignores recorded waits, may have led in the
    term between and given the runner work. The wait lasts from the begin of the
    leadership: from then on no earlier dispatcher gets a proof or stores a wait.
    """

    async def main():
        cell = make_test_cell(1)
        process = cell["p0"]
        put = Put(key=FLEET_KEY, value=msgspec.json.encode([row]))
        cell.memory.apply((), [put], ())
        session = DispatchSession(
            context=process.context,
            store_plugin=process.store_plugin,
            members=process.members,
            configuration=process.entry.configuration,
            epoch=1,
            term=3,
            election=FakeElection(epoch=1),
        )
        await asyncio.sleep(1.5)
        await load_fleet(session)
        state = session.scheduler.state
        left_s = state.suspects["r0"] - session.now() + 1.5
        assert left_s == pytest.approx(wait_s, abs=0.01)
        runner = state.runners["r0"]
        assert runner.entry == ENTRY and not runner.listed
        assert runner.in_fleet_record is may_get_work
        await session.close()
        await cell.close()

    run_virtual(main())


async def pause(cell, session, fault):
    """Pause the session while a job arrives; return the orders sent after it.

    `fault` is called with the cell at the beginning of the pause.
    """
    session.scheduler.state.runners["r0"].inventoried = True
    orders = []
    session.calls.send = orders.append
    loop = asyncio.get_running_loop()
    loop.pause(PROCESS)
    fault(cell)
    session.add_job(make_job())
    await asyncio.sleep(5.0)
    loop.resume(PROCESS)
    await asyncio.sleep(CONFIRM_S + 0.5)
    return orders


def test_paused_dispatcher_reads_the_registry_before_its_next_order(make_test_cell):
    """Guards against a start on a runner that began to leave during the pause."""

    async def main(cell, session):
        orders = await pause(cell, session, lambda cell: put_runner(cell, b"draining"))
        assert session.scheduler.state.runners["r0"].entry.draining
        assert session.election.confirmations == 1
        assert orders == []

    with_leading_session(make_test_cell, main, context=process_context(PROCESS))


def test_paused_dispatcher_goes_on_if_the_store_does_not_answer(make_test_cell):
    """Guards against a cell that stands still in an outage of the store."""

    async def main(cell, session):
        orders = await pause(
            cell, session, lambda cell: setattr(cell.memory, "down", 1)
        )
        assert len(orders) == 1

    with_leading_session(make_test_cell, main, context=process_context(PROCESS))


def test_leader_without_a_recent_proof_starts_nothing(make_test_cell):
    """Guards against a start by a leader that may have been replaced."""

    async def main(cell, session):
        session.scheduler.state.runners["r0"].inventoried = True
        orders = []
        session.calls.send = orders.append
        session.election.proof.present_s = PROOF_LIMIT_S + 0.1
        session.add_job(make_job())
        await asyncio.sleep(5.0)
        assert orders == []
        session.election.proof.present_s = PROOF_LIMIT_S - 0.1
        await asyncio.sleep(0.5)
        assert len(orders) == 1

    with_leading_session(make_test_cell, main)


def test_job_of_unknown_epoch_waits_for_a_proof(make_test_cell):
    """Guards against a start of a job that was stored after the leader was replaced.

    A cancellation that arrives meanwhile must not be lost.
    """

    async def main(cell, session):
        state = session.scheduler.state
        session.election.proof.readable = False
        session.add_job(make_job(), epoch=session.epoch + 1)
        session.cancel(JOB)
        await asyncio.sleep(2.0)
        assert JOB not in state.jobs
        session.election.proof.readable = True
        await asyncio.sleep(0.5)
        assert state.jobs[JOB].phase is JobPhase.CANCELLED

    with_leading_session(make_test_cell, main)


def test_job_of_a_known_epoch_waits_for_no_proof(make_test_cell):
    """Guards against a read of the store for each job, which delays its first start."""

    async def main(cell, session):
        session.election.proof.readable = False
        session.add_job(make_job(), epoch=session.epoch)
        assert JOB in session.scheduler.state.jobs

    with_leading_session(make_test_cell, main)


def test_planning_without_a_pause_confirms_nothing(make_test_cell):
    """Guards against a read of the store in every planning round."""

    async def main(cell, session):
        before = session.metrics.counters["watch_listings_registry"]
        await asyncio.sleep(20.0)
        assert session.election.confirmations == 0
        assert session.metrics.counters["watch_listings_registry"] == before

    with_leading_session(make_test_cell, main)
