"""Leaders that are cut off from the store while they reach some of the runners."""

import asyncio
import math

import attrs
import pytest

from wasabipaddle.cell import proof
from wasabipaddle.cell.tests.runner_parts import (
    NEAR,
    cut_off,
    heal,
    play_cell,
    submit,
)
from wasabipaddle.interfaces import OrderReply, Refusal
from wasabipaddle.jobs import StepSpec

LASTING = StepSpec(count=6, cpu=1000, lasting=True, max_per_runner=1)
SHORT = StepSpec(count=3, cpu=1000)
# Time within which a task whose runner a successor does not reach runs elsewhere: the
# election, the time for which the cut-off leader may extend leases, and a lease.
RESTART_S = 14.0


@pytest.fixture
def play(make_test_cell, monkeypatch):
    """Return a function that plays a scenario in a cell of two processes."""
    return lambda scenario: play_cell(make_test_cell, monkeypatch, scenario)


def test_cut_off_leader_starts_no_task_whose_lease_a_successor_extends(play):
    """Guards against a second run on the side of a leader that was cut off."""

    async def scenario(cell, partition, leader):
        step = attrs.evolve(LASTING, max_per_runner=3)
        job = submit(cell, partition, "00000000000000a1", step)
        await asyncio.sleep(3.0)
        assert partition.record.count(job) == LASTING.count
        ours = [s for s in partition.record.starts if s[2] in NEAR]
        cut_off(cell, partition, leader)
        await asyncio.sleep(24.0)
        assert ours == [s for s in partition.record.starts if s[2] in NEAR]

    play(scenario)


@pytest.mark.parametrize("cut_s", [4.0, 8.0, 12.0, 24.0])
def test_task_runs_once_beside_a_leader_that_is_cut_off(play, cut_s):
    """Guards against a successor that starts what a cut-off leader keeps running."""

    async def scenario(cell, partition, leader):
        jobs = [
            submit(cell, partition, "00000000000000a1", LASTING),
            submit(cell, partition, "00000000000000a2", SHORT),
        ]
        await asyncio.sleep(3.0)
        cut_off(cell, partition, leader)
        await asyncio.sleep(cut_s)
        heal(cell, partition)
        await asyncio.sleep(RESTART_S)
        assert partition.record.doubled == []
        assert partition.record.count(jobs[0]) == LASTING.count

    play(scenario)


def test_successor_restarts_the_tasks_of_runners_that_it_does_not_reach(play):
    """Guards against tasks that wait without end for a leader that is cut off."""

    async def scenario(cell, partition, leader):
        job = submit(
            cell, partition, "00000000000000a1", attrs.evolve(LASTING, max_per_runner=2)
        )
        await asyncio.sleep(3.0)
        cut_off(cell, partition, leader)
        await asyncio.sleep(RESTART_S)
        far = [s for s in partition.record.starts if s[2] not in NEAR]
        assert partition.record.doubled == []
        assert partition.record.count(job) == LASTING.count
        assert len({task for task, _, _ in far}) == LASTING.count

    play(scenario)


def test_job_stored_after_a_takeover_runs_once(play):
    """Guards against a start by the replaced leader, which the notice still reaches."""

    async def scenario(cell, partition, leader):
        await asyncio.sleep(3.0)
        cut_off(cell, partition, leader)
        (other,) = [p for p in cell.processes.values() if p is not leader]
        while not other.election.epoch:
            await asyncio.sleep(0.05)
        for n in range(6):
            submit(
                cell,
                partition,
                f"00000000000000b{n}",
                SHORT,
                accepted_by=cell.processes.values(),
            )
            await asyncio.sleep(0.2)
        await asyncio.sleep(RESTART_S)
        assert partition.record.doubled == []

    play(scenario)


def test_leader_keeps_the_runs_in_a_short_outage_of_the_store(play):
    """Guards against work that is lost because leases end in an outage for everybody.

    The stores of the deployments are away for 4.5 s at most.
    """

    async def scenario(cell, partition, leader):
        job = submit(cell, partition, "00000000000000a1", LASTING)
        await asyncio.sleep(3.0)
        before = list(partition.record.starts)
        cell.memory.down = True
        await asyncio.sleep(4.5)
        cell.memory.down = False
        await asyncio.sleep(RESTART_S)
        assert partition.record.count(job) == LASTING.count
        assert partition.record.starts == before
        assert partition.record.doubled == []

    play(scenario)


@pytest.mark.parametrize("offset_s", [0.0, 0.4, 0.8, 1.2, 1.6])
def test_expiry_counts_only_with_a_later_proof_of_leadership(play, offset_s):
    """Guards against a start on the strength of a proof from before the expiry.

    The leader loses the runners first and the store 2.2 s later, so that its proof is
    recent when it counts the leases as expired, which a successor has extended.
    """

    async def scenario(cell, partition, leader):
        step = attrs.evolve(LASTING, max_per_runner=3)
        submit(cell, partition, "00000000000000a1", step)
        await asyncio.sleep(3.0 + offset_s)
        partition.epoch = math.inf
        await asyncio.sleep(2.2)
        cut_off(cell, partition, leader)
        await asyncio.sleep(12.0)
        assert partition.record.doubled == []

    play(scenario)


@pytest.mark.parametrize("offset_s", [0.0, 1.0, 2.0])
def test_leader_restarts_the_runs_of_a_lost_runner(play, monkeypatch, offset_s):
    """Guards against a proof of leadership that is not sought once it is missing.

    The reads of the leader key that happen anyway are 2.8 s apart.
    """
    monkeypatch.setattr(proof, "READ_PERIOD_S", 2.8)

    async def scenario(cell, partition, leader):
        step = attrs.evolve(LASTING, max_per_runner=2)
        job = submit(cell, partition, "00000000000000a1", step)
        await asyncio.sleep(3.0 + offset_s)
        partition.near = ("r1", "r2", "r3", "r4", "r5")
        partition.epoch = math.inf
        await asyncio.sleep(6.0)
        assert partition.record.count(job) == LASTING.count
        assert partition.record.doubled == []

    play(scenario)


def test_order_under_an_earlier_own_epoch_does_not_end_the_leadership(play):
    """Guards against a leader that steps down for the epoch that it has just won."""

    async def scenario(cell, partition, leader):
        await asyncio.sleep(3.0)
        session = leader.dispatcher.session
        runner = session.scheduler.state.runners["r0"]
        before = session.epoch
        leader.election.epoch = before + 1
        session.continue_with(before + 1)
        reply = OrderReply(refusal=Refusal.STALE_EPOCH)
        session.calls._check_epoch(runner, reply, before)
        assert leader.election.epoch == before + 1
        session.calls._check_epoch(runner, reply, before + 1)
        assert leader.election.epoch == 0

    play(scenario)
