"""Views of the store while watches get no answer and all other calls work."""

import asyncio

import pytest
from result import Err

from wasabipaddle.cell.calls import ORDER_TIMEOUT_S
from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.events import LeadershipGained
from wasabipaddle.cell.keys import CANCEL_PREFIX, JOB_PREFIX, LEADER_KEY
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.cell.tests.session_parts import (
    put,
    put_runner,
    with_cell,
    with_leading_session,
)
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import CellConfiguration, Job, JobPhase, encode_job
from wasabipaddle.platform import REGISTRY_PREFIX
from wasabipaddle.platform.client import encode_configuration

# Bounds of the platform on changes that the store has acknowledged: no start on a
# leaving runner, configuration in force, no start of a cancelled job, job visible. The
# last one is also the longest time for which a job may wait beside free runners.
DRAIN_S = 2.5
CONFIGURATION_S = 2.5
CANCEL_S = 3.0
VISIBLE_S = 3.0
LEADER_LEASE_S = 1.6
# Times from the loss of the watches to the change that they do not report.
DELAYS_S = (0.0, 0.4, 0.8, 1.2, 1.6)


@pytest.fixture
def with_session(make_test_cell):
    """Run a scenario with a session that leads, from the loss of the watches on."""

    def run(scenario):
        async def main(cell, session):
            cell.memory.watches_answered = False
            await scenario(cell, session)

        with_leading_session(make_test_cell, main)

    return run


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_runner_that_leaves_is_known_in_time_without_its_watch(with_session, delay_s):
    """Guards against starts on a runner whose departure the watch does not report."""

    async def scenario(cell, session):
        await asyncio.sleep(delay_s)
        put_runner(cell, b"draining")
        await asyncio.sleep(DRAIN_S - ORDER_TIMEOUT_S)
        assert session.scheduler.state.runners["r0"].entry.draining

    with_session(scenario)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_runner_that_is_gone_is_known_in_time_without_its_watch(with_session, delay_s):
    """Guards against starts on a runner whose removal the watch does not report."""

    async def scenario(cell, session):
        await asyncio.sleep(delay_s)
        cell.memory.remove(REGISTRY_PREFIX + "r0")
        await asyncio.sleep(DRAIN_S - ORDER_TIMEOUT_S)
        runner = session.scheduler.state.runners.get("r0")
        assert runner is None or not runner.listed

    with_session(scenario)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_job_and_cancellation_are_known_in_time_without_their_watch(
    with_session, delay_s
):
    """Guards against accepted jobs and cancellations that the watch does not report.

    The notices of the process that stored them have been lost.
    """

    async def scenario(cell, session):
        job = Job(id=JOB, policy=QUEUE, accepted_ms=0, spec=SPEC)
        await asyncio.sleep(delay_s)
        put(cell, JOB_PREFIX + JOB, encode_job(job))
        await asyncio.sleep(VISIBLE_S)
        assert JOB in session.scheduler.state.jobs
        put(cell, CANCEL_PREFIX + JOB, b"1")
        await asyncio.sleep(CANCEL_S - ORDER_TIMEOUT_S)
        assert session.scheduler.state.jobs[JOB].phase is JobPhase.CANCELLED

    with_session(scenario)


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("leads", [True, False])
def test_configuration_is_in_force_in_time_without_its_watch(
    make_test_cell, leads, delay_s
):
    """Guards against a process that acts on a configuration that was replaced."""

    async def scenario(cell, tasks):
        plugin = ConfigurationPlugin(context=cell["p0"].context)
        put(cell, *encode_configuration(CellConfiguration(version=1, queues=(QUEUE,))))
        await plugin.start()
        await asyncio.sleep(0.5)
        if leads:
            event = LeadershipGained(epoch=1, term=1, continued=False)
            plugin.context.bus.publish(event)
            await asyncio.sleep(0.5)
        assert plugin.version == 1
        cell.memory.watches_answered = False
        await asyncio.sleep(delay_s)
        put(cell, *encode_configuration(CellConfiguration(version=2, queues=(QUEUE,))))
        await asyncio.sleep(CONFIGURATION_S)
        assert plugin.version == 2
        await plugin.stop()

    with_cell(make_test_cell, scenario)


def test_leader_wins_its_revoked_key_again_without_its_watch(make_test_cell):
    """Guards against a leader that cannot make progress durable and does not notice."""

    async def scenario(cell, tasks):
        leader = await cell.elect()
        cell.memory.watches_answered = False
        cell.memory.remove(LEADER_KEY)
        await asyncio.sleep(DRAIN_S)
        assert leader.election.epoch == cell.memory.items[LEADER_KEY].revision

    with_cell(make_test_cell, scenario)


def test_new_leader_wins_its_revoked_key_again_without_its_watch(make_test_cell):
    """Guards against a process that leads with the watch of a follower.

    It has replaced the leader while its watch of the key was open.
    """

    async def scenario(cell, tasks):
        first = await cell.elect()
        (leader,) = [p for p in cell.processes.values() if p is not first]
        cell.memory.watches_answered = False
        assert await leader.election.replace_leader()
        await first.close()
        cell.memory.remove(LEADER_KEY)
        await asyncio.sleep(DRAIN_S)
        assert leader.election.epoch == cell.memory.items[LEADER_KEY].revision

    with_cell(make_test_cell, scenario, count=2)


async def no_reply(process, message, reply_type, *, timeout_s):
    """Stand in for `MembersPlugin.ask` while the link carries nothing."""
    await asyncio.sleep(timeout_s)
    return Err(Failure(kind=ErrorKind.TIMEOUT, detail="none"))


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("phase_s", [0.0, 2.0, 4.0, 6.0])
def test_silent_leader_is_followed_by_another_in_time_without_a_watch(
    make_test_cell, phase_s, delay_s
):
    """Guards against a cell without a leader after a leader has lost its power.

    The watch of the leader key does not report that the key is free. It is opened at
    various times before the watches are lost.
    """

    async def scenario(cell, tasks):
        leader = await cell.elect()
        (other,) = [p for p in cell.processes.values() if p is not leader]
        plugins = other.context.plugins
        plugins["cell_configuration"] = other.entry.configuration
        plugins["cell_election"] = other.election
        members = MembersPlugin(context=other.context)
        members.ask = no_reply
        await members.start()
        members.leader = leader.name
        await asyncio.sleep(phase_s)
        cell.memory.watches_answered = False
        await asyncio.sleep(delay_s)
        cell.memory.refused_clients.add(leader.name)
        await asyncio.sleep(LEADER_LEASE_S + VISIBLE_S)
        assert other.election.epoch
        await members.stop()

    with_cell(make_test_cell, scenario, count=2)


def test_watch_of_the_leader_key_recovers_from_a_dropped_history(make_test_cell):
    """Guards against a watch that is refused and opened again without an end."""

    async def scenario(cell, tasks):
        leader = await cell.elect()
        calls = leader.context.metrics.counters
        for revision in range(3):
            put(cell, "other", b"%d" % revision)
        cell.memory.forget_history()
        await asyncio.sleep(5.0)
        lost = calls["watch_lost_leader"]
        assert lost <= 1
        await asyncio.sleep(20.0)
        assert calls["watch_lost_leader"] == lost

    with_cell(make_test_cell, scenario)
