"""Entry: what a response to a caller may claim about a job."""

import asyncio

from result import Ok

from wasabipaddle.cell.keys import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    PROGRESS_PREFIX,
)
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import JobPhase, JobProgress, encode_progress
from wasabipaddle.messages.jobs import PhaseReply


def run(make_test_cell, scenario, count=2):
    async def main():
        cell = make_test_cell(count)
        await scenario(cell)
        await cell.close()

    run_virtual(main())


def submit(process):
    return process.entry.submit(QUEUE, JOB, SPEC, wait_s=3.0)


def test_job_is_stored_before_it_is_accepted(make_test_cell):
    """Guards against an accepted job that is lost in a crash."""

    async def scenario(cell):
        assert (await submit(cell["p0"])).is_ok()
        assert JOB_PREFIX + JOB in cell.memory.items

    run(make_test_cell, scenario)


def test_job_submitted_again_at_another_process_is_stored_once(make_test_cell):
    """Guards against two jobs with the same identifier."""

    async def scenario(cell):
        await submit(cell["p0"])
        first = cell.memory.items[JOB_PREFIX + JOB]
        assert (await submit(cell["p1"])).is_ok()
        assert cell.memory.items[JOB_PREFIX + JOB] == first

    run(make_test_cell, scenario)


def test_job_is_refused_only_if_nothing_was_stored(make_test_cell):
    """Guards against a refused job that is stored later and runs."""

    async def scenario(cell):
        cell.memory.down = True
        failure = (await submit(cell["p0"])).err()
        assert failure.outcome.value == "not_run"
        assert failure.retry_after_s is not None
        cell.memory.down = False
        await asyncio.sleep(10.0)
        assert JOB_PREFIX + JOB not in cell.memory.items

    run(make_test_cell, scenario)


def test_lost_response_of_the_store_is_not_a_refusal(make_test_cell):
    """Guards against the outcome "not run" for a write that takes effect later."""

    async def scenario(cell):
        cell.memory.lost_share = 1.0
        cell.memory.delay_s = 5.0
        failure = (await submit(cell["p0"])).err()
        assert failure.kind is ErrorKind.ACCEPTANCE_UNKNOWN
        assert failure.outcome.value == "unknown"

    run(make_test_cell, scenario)


def test_job_is_accepted_if_only_the_response_of_the_store_was_lost(make_test_cell):
    """Guards against an error response for a job that has been stored."""

    async def scenario(cell):
        cell.memory.lost_share = 1.0
        task = asyncio.create_task(submit(cell["p0"]))
        await asyncio.sleep(0.5)
        cell.memory.lost_share = 0.0
        assert (await task).is_ok()

    run(make_test_cell, scenario)


def test_process_without_the_store_accepts_through_a_peer(make_test_cell):
    """Guards against refused jobs while other processes reach the store."""

    async def scenario(cell):
        cell.memory.refused_clients.add("p0")
        assert (await submit(cell["p0"])).is_ok()
        assert JOB_PREFIX + JOB in cell.memory.items

    run(make_test_cell, scenario)


def test_next_peer_stores_the_job_if_the_store_refuses_the_leader_too(make_test_cell):
    """Guards against refused jobs when the store refuses the leader as well."""

    async def scenario(cell):
        cell.memory.refused_clients.update(("p0", "p1"))
        cell["p0"].members.leader = "p1"
        cell["p1"].store_plugin.health.failures = 9
        assert (await submit(cell["p0"])).is_ok()
        assert JOB_PREFIX + JOB in cell.memory.items
        cancelled = await cell["p0"].entry.cancel(QUEUE, JOB, wait_s=3.0)
        assert cancelled.is_ok()

    run(make_test_cell, scenario, count=3)


def test_unknown_job_is_gone_only_after_a_read_of_the_store(make_test_cell):
    """Guards against "no such job" for an accepted job.

    While the store is down, the entry cannot tell whether a job exists.
    """

    async def scenario(cell):
        entry = cell["p1"].entry
        cell.memory.down = True
        failure = (await entry.find_phase(QUEUE, JOB, wait_s=3.0)).err()
        assert failure.kind is not ErrorKind.GONE
        cell.memory.down = False
        failure = (await entry.find_phase(QUEUE, JOB, wait_s=3.0)).err()
        assert failure.kind is ErrorKind.GONE
        await submit(cell["p0"])
        phase = await entry.find_phase(QUEUE, JOB, wait_s=3.0)
        assert phase == Ok(JobPhase.QUEUED)

    run(make_test_cell, scenario)


def test_job_unknown_to_the_dispatcher_is_read_from_the_store(make_test_cell):
    """Guards against status 410 for a job that the dispatcher has not seen yet."""

    async def scenario(cell):
        await submit(cell["p0"])
        cell["p1"].members.phase = Ok(PhaseReply())
        phase = await cell["p1"].entry.find_phase(QUEUE, JOB, wait_s=3.0)
        assert phase == Ok(JobPhase.QUEUED)

    run(make_test_cell, scenario)


def test_final_state_is_read_from_the_store_without_a_dispatcher(make_test_cell):
    """Guards against a completed job that is reported as unfinished.

    After a crash of the dispatcher, only the store has the progress of the job.
    """

    async def scenario(cell):
        progress = encode_progress(JobProgress(phase=JobPhase.COMPLETED))
        cell.memory.apply((), [Put(key=PROGRESS_PREFIX + JOB, value=progress)], ())
        phase = await cell["p0"].entry.find_phase(QUEUE, JOB, wait_s=3.0)
        assert phase == Ok(JobPhase.COMPLETED)

    run(make_test_cell, scenario)


def test_cancellation_is_stored_and_an_unknown_job_is_gone(make_test_cell):
    """Guards against an acknowledged cancellation that is lost in a crash.

    A job that was never stored cannot be cancelled.
    """

    async def scenario(cell):
        entry = cell["p0"].entry
        failure = (await entry.cancel(QUEUE, JOB, wait_s=3.0)).err()
        assert failure.kind is ErrorKind.GONE
        await submit(cell["p0"])
        assert (await entry.cancel(QUEUE, JOB, wait_s=3.0)).is_ok()
        assert CANCEL_PREFIX + JOB in cell.memory.items

    run(make_test_cell, scenario)


def test_process_without_the_store_cancels_through_a_peer(make_test_cell):
    """Guards against failed cancellations while other processes reach the store."""

    async def scenario(cell):
        await submit(cell["p0"])
        cell.memory.refused_clients.add("p0")
        cancelled = await cell["p0"].entry.cancel(QUEUE, JOB, wait_s=3.0)
        assert cancelled.is_ok()

    run(make_test_cell, scenario)


def test_job_names_the_leader_under_which_it_was_stored(make_test_cell):
    """Guards against a start by a leader that was replaced before the job was stored.

    The process that stores the job may not know the new leader yet.
    """

    async def scenario(cell):
        entry, put = cell["p0"].entry, Put(key=LEADER_KEY, value=b"p1")
        announced = []
        entry.storage.announce = lambda job, epoch: announced.append(epoch)
        first = cell.memory.apply((), (put,), ()).ok()
        entry.members.leader, entry.members.leader_epoch = "p1", first
        assert (await submit(cell["p0"])).is_ok()
        cell.memory.apply((), (put,), ())
        again = entry.submit(QUEUE, "00000000000000ab", SPEC, wait_s=3.0)
        assert (await again).is_ok()
        assert JOB_PREFIX + "00000000000000ab" in cell.memory.items
        assert announced == [first, 0]

    run(make_test_cell, scenario)


def test_next_peer_stores_the_job_after_a_peer_did_not_reply(make_test_cell):
    """Guards against a job of unknown outcome while another peer could store it.

    The first peer is silent. Storing a job twice creates it once, also if the write of
    the first peer takes effect late.
    """

    async def scenario(cell):
        cell.memory.refused_clients.add("p0")
        members = cell["p0"].members
        members.leader = "p1"
        members.unresponsive = {"p1": 2.5}
        members.peers = lambda *, leader: ["p1", "p2"]
        began_s = cell["p0"].context.clock.now()
        assert (await submit(cell["p0"])).is_ok()
        assert cell["p0"].context.clock.now() - began_s <= 3.0
        stored = cell.memory.items[JOB_PREFIX + JOB]
        await asyncio.sleep(5.0)
        assert cell.memory.items[JOB_PREFIX + JOB] == stored

    run(make_test_cell, scenario, count=3)


def test_job_is_in_doubt_if_one_silent_peer_may_have_stored_it(make_test_cell):
    """Guards against the outcome "not run" for a job that a silent peer stores late.

    The next peer refuses it, which says nothing about the first one.
    """

    async def scenario(cell):
        cell.memory.refused_clients.update(("p0", "p2"))
        cell["p2"].store_plugin.health.failures = 9
        members = cell["p0"].members
        members.unresponsive = {"p1": 2.5}
        members.peers = lambda *, leader: ["p1", "p2"]
        failure = (await submit(cell["p0"])).err()
        assert failure.kind is ErrorKind.ACCEPTANCE_UNKNOWN
        assert [peer for peer, _ in members.peers_asked] == ["p1", "p2"]

    run(make_test_cell, scenario, count=3)


def test_peers_are_asked_in_the_order_of_the_roster(make_test_cell):
    """Guards against calls to removed processes while live ones could help."""

    async def scenario(cell):
        cell.memory.refused_clients.add("p0")
        members = cell["p0"].members
        members.unresponsive = dict.fromkeys(("p1", "p2", "p3", "p4", "p5"))
        assert (await submit(cell["p0"])).is_ok()
        assert (await cell["p0"].entry.cancel(QUEUE, JOB, wait_s=3.0)).is_ok()
        assert {peer for peer, _ in members.peers_asked} == {"p6"}

    run(make_test_cell, scenario, count=7)


def test_cancellation_through_silent_peers_ends_in_time(make_test_cell):
    """Guards against a cancellation that waits longer than its caller does.

    Each call to a peer must be limited to the time that is left.
    """

    async def scenario(cell):
        await submit(cell["p1"])
        cell.memory.refused_clients.add("p0")
        members = cell["p0"].members
        members.unresponsive = dict.fromkeys(("p1", "p2", "p3"))
        began_s = cell["p0"].context.clock.now()
        assert (await cell["p0"].entry.cancel(QUEUE, JOB, wait_s=2.0)).is_err()
        assert cell["p0"].context.clock.now() - began_s <= 2.0
        assert len(members.peers_asked) >= 2

    run(make_test_cell, scenario, count=4)
