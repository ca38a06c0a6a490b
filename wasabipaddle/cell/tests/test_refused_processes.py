"""Configuration of processes that the store refuses while it serves others."""

import asyncio

import attrs
import pytest

from wasabipaddle.cell.events import LeadershipGained
from wasabipaddle.cell.roster import LIVENESS_TIMEOUT_S
from wasabipaddle.cell.tests.connected_cell import BOUND_S, play_connected

# Time in which the leader is replaced after the store has refused it, and in which its
# successor takes no process for live any more that it has not heard from.
TAKEOVER_S = LIVENESS_TIMEOUT_S + 1.0
# Time for which a new leader is too busy to tell others of itself in time.
BUSY_S = 0.7


def refuse(cell, *names):
    """Have the store refuse some processes; the others are busy when they lead."""
    cell.memory.refused_clients = set(names)
    for name in set(cell.processes) - set(names):
        events = cell[name].context.bus.events(LeadershipGained)
        events.subscribe(lambda _, name=name: cell.delay_messages(name, BUSY_S))


@pytest.mark.parametrize("count", [4, 9])
def test_processes_do_not_stay_with_a_former_leader_that_the_store_refuses(count):
    """Guards against an old configuration on the side of a leader that was replaced."""

    async def scenario(cell):
        (leader,) = cell.leaders()
        others = [name for name in cell.processes if name != leader]
        refuse(cell, leader, *others[: count // 3])
        await asyncio.sleep(TAKEOVER_S)
        cell.store_version(2)
        await asyncio.sleep(BOUND_S)
        return cell.versions()

    assert set(play_connected(scenario, count=count).values()) == {2}


def test_leader_that_is_told_of_its_successor_stops_leading():
    """Guards against a former leader that goes on answering from its own state.

    It counts waiting jobs and tells their phases as of the time of its replacement.
    """

    async def scenario(cell):
        (leader,) = cell.leaders()
        cell.memory.refused_clients = {leader}
        members = cell[leader].members
        notice = attrs.evolve(members.build_leader_notice(), process="p9")
        members.accept_leader_notice(notice)
        before = cell.leaders()
        members.accept_leader_notice(attrs.evolve(notice, epoch=notice.epoch + 1))
        return before == [leader], cell.leaders()

    assert play_connected(scenario, count=2) == (True, [])


def test_restarted_process_that_the_store_refuses_gets_later_versions_too():
    """Guards against a process that knows nobody but has got one copy.

    The leader still counts it as live from before its restart, and only then.
    """

    async def scenario(cell):
        name = next(name for name in cell.processes if name not in cell.leaders())
        cell.memory.refused_clients = {name}
        await cell.restart(name)
        cell.store_version(2)
        await asyncio.sleep(BOUND_S)
        first = cell.versions()[name]
        cell.store_version(3)
        await asyncio.sleep(BOUND_S)
        return first, cell.versions()[name]

    assert play_connected(scenario, count=3) == (2, 3)
