"""Election: single leader, increasing epochs, revoked keys and lost responses."""

import asyncio

from wasabipaddle.cell.keys import LEADER_KEY
from wasabipaddle.cell.tests.conftest import Process
from wasabipaddle.clock import run_virtual


def test_one_process_leads(make_test_cell):
    """Guards against two leaders when all processes start at the same time."""

    async def main():
        cell = make_test_cell(3)
        leader = await cell.elect()
        assert cell.memory.items[LEADER_KEY].revision == leader.election.epoch
        await cell.close()

    run_virtual(main())


def test_leader_that_loses_its_key_continues_if_nobody_else_led(make_test_cell):
    """Guards against a full takeover by a leader that wins its revoked key again."""

    async def main():
        cell = make_test_cell(1)
        leader = await cell.elect()
        before = leader.election.epoch
        cell.memory.remove(LEADER_KEY)
        await asyncio.sleep(1.0)
        assert leader.election.epoch > before
        assert [r.continued for r in leader.gained] == [False, True]
        assert leader.lost == []
        await cell.close()

    run_virtual(main())


def test_successor_has_a_higher_epoch_and_term(make_test_cell):
    """Guards against a successor whose orders the runners refuse as outdated."""

    async def main():
        cell = make_test_cell(2)
        first = await cell.elect()
        first.election.draining = True
        await first.election.resign("test")
        await asyncio.sleep(1.5)
        second = cell.leader()
        assert second is not first
        assert second.gained[0].epoch > first.gained[0].epoch
        assert second.gained[0].term > first.gained[0].term
        await cell.close()

    run_virtual(main())


def test_leader_steps_down_when_it_sees_another(make_test_cell):
    """Guards against a leader that keeps leading beside its successor.

    The store refuses the calls of the first leader, and the key is revoked.
    """

    async def main():
        cell = make_test_cell(2)
        first = await cell.elect()
        cell.memory.refused_clients.add(first.name)
        cell.memory.remove(LEADER_KEY)
        await asyncio.sleep(2.0)
        cell.memory.refused_clients.clear()
        await asyncio.sleep(2.0)
        assert cell.leader() is not first
        assert first.lost
        await cell.close()

    run_virtual(main())


def test_campaign_replaces_a_leader_only_at_its_revision(make_test_cell):
    """Guards against a peer that cannot take the key from a live leader.

    A leader that cannot reach the store asks a peer to do so. The campaign succeeds
    only if it names the current revision of the key.
    """

    async def main():
        cell = make_test_cell(2)
        first = await cell.elect()
        (second,) = [p for p in cell.processes.values() if p is not first]
        assert await second.election.campaign(replaces=first.election.epoch)
        assert not await second.election.campaign(replaces=12345)
        await asyncio.sleep(7.0)
        assert cell.leader() is second
        await cell.close()

    run_virtual(main())


def test_campaign_without_a_response_is_resolved_by_reading_the_key(make_test_cell):
    """Guards against a process that holds the key without knowing it.

    The responses to its commits are lost, but the commits take effect.
    """

    async def main():
        cell = make_test_cell(1)
        cell.memory.lost_share = 1.0
        await cell["p0"].election.start()
        await asyncio.sleep(3.0)
        cell.memory.lost_share = 0.0
        await asyncio.sleep(3.0)
        assert cell["p0"].election.epoch == cell.memory.items[LEADER_KEY].revision
        await cell.close()

    run_virtual(main())


def test_process_takes_the_key_of_its_earlier_incarnation(make_test_cell):
    """Guards against a restarted leader that waits until its earlier lease expires."""

    async def main():
        cell = make_test_cell(2)
        first = await cell.elect()
        await first.close()
        process = Process(first.name, cell.memory, cell.processes)
        cell.processes[first.name] = process
        await process.election.start()
        await asyncio.sleep(0.5)
        assert process.election.epoch > first.election.epoch
        await cell.close()

    run_virtual(main())


def test_replacement_of_a_leader_is_rate_limited(make_test_cell):
    """Guards against a process that replaces a live leader over and over.

    A process that is cut off from the leader presumes that the leader is dead.
    """

    async def main():
        cell = make_test_cell(2)
        first = await cell.elect()
        (second,) = [p for p in cell.processes.values() if p is not first]
        assert await second.election.replace_leader()
        await asyncio.sleep(1.0)
        assert await first.election.replace_leader()
        await asyncio.sleep(1.0)
        assert not await second.election.replace_leader()
        await cell.close()

    run_virtual(main())


def test_process_that_confirms_its_leadership_learns_of_its_successor(make_test_cell):
    """Guards against a paused leader that sends orders beside its successor."""

    async def main():
        cell = make_test_cell(2)
        first = await cell.elect()
        (second,) = [p for p in cell.processes.values() if p is not first]
        cell.memory.watches_answered = False
        assert await second.election.replace_leader()
        assert first.election.epoch
        await first.election.confirm()
        assert not first.election.epoch
        assert len(first.lost) == 1
        await second.election.confirm()
        assert second.election.epoch
        await cell.close()

    run_virtual(main())


def test_listing_from_before_a_campaign_does_not_end_the_leadership(make_test_cell):
    """Guards against a new leader that steps down, so that nobody leads for a while.

    The answer to its last read of the leader key arrives after it has won the key.
    """

    async def main():
        cell = make_test_cell(2)
        first = await cell.elect()
        (second,) = [p for p in cell.processes.values() if p is not first]
        store = second.store_plugin.store
        list_all = store.list_all

        async def list_slowly(prefix):
            page = await list_all(prefix)
            await asyncio.sleep(0.5)
            return page

        store.list_all = list_slowly
        second.election.watch.expire()
        await asyncio.sleep(0.3)
        assert await second.election.replace_leader()
        await asyncio.sleep(3.0)
        assert second.lost == []
        assert cell.leader() is second
        await cell.close()

    run_virtual(main())
