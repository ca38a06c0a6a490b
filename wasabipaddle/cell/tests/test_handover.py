"""Handover: when a leader offers the leadership, and to which process."""

import asyncio

import pytest
from result import Ok

from wasabipaddle.cell.election import FAR_LATENCY_S
from wasabipaddle.cell.events import LeaderChanged
from wasabipaddle.cell.handover import HandoverPlugin
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.store import StoreHealth
from wasabipaddle.cell.tests.members_parts import FakeConfiguration
from wasabipaddle.clock import LoopClock
from wasabipaddle.kernel import Context
from wasabipaddle.messages.jobs import HelloReply, LeaderNotice, MemberHello, Noted
from wasabipaddle.settings import CellSettings, PlatformAddresses

NEAR_S, FAR_S = 0.005, 0.050


class FakeElection:
    """Stand-in for the election of a process that leads."""

    def __init__(self):
        self.epoch = 7
        self.draining = self.weak = False
        self.step_down_reason = ""
        self.record = type("Record", (), {"life": 1})()

    def step_down(self, reason, *, epoch=None):
        if epoch in (None, self.epoch):
            self.epoch, self.step_down_reason = 0, reason


class Leader:
    """Membership and handover of a leader that can receive hello messages."""

    def __init__(self, processor):
        settings = CellSettings(
            process="p0",
            data_centre="a",
            region="r",
            callers="127.0.0.1:1",
            readiness="127.0.0.1:2",
            internal="127.0.0.1:3",
            platform=PlatformAddresses(store="127.0.0.1:4"),
            processor_share=0.5,
            processor_speed=2 * processor,
        )
        context = Context.create(
            settings=settings, clock=LoopClock(), process="p0", seed=1
        )
        self.members = MembersPlugin(context=context)
        self.election = self.members.election = FakeElection()
        self.members.configuration = FakeConfiguration()
        self.handover = HandoverPlugin(context=context)
        self.handover.members = self.members
        self.handover.election = self.election
        health = type("H", (), {"unavailable": False, "latency_s": NEAR_S})()
        self.handover.store_plugin = type("A", (), {"health": health})()
        self.offered = []
        self.members.ask = self._ask

    async def _ask(self, process, message, reply_type, *, timeout_s):
        self.offered.append(process)
        return Ok(Noted())

    async def receive_hello(self, process, processor, *, latency_s=NEAR_S, life=1):
        """Handle the hello message of a peer and return the reply."""
        hello = MemberHello(
            process=process,
            address="127.0.0.1:9",
            store_latency_s=latency_s,
            life=life,
            processor=processor,
        )
        return (await self.members._handle_hello(hello)).ok()

    async def check(self):
        """Run one check of the handover and return the peers it offered to."""
        self.handover._check()
        await asyncio.sleep(0.01)
        return self.offered


@pytest.fixture
def run():
    return asyncio.run


def test_weak_leader_hands_over_to_a_stronger_process(run):
    """Guards against a dispatcher that stays on a VM too small for the load.

    Of the stronger peers, the one near the store is preferred.
    """

    async def scenario():
        leader = Leader(0.5)
        await leader.receive_hello("far", 2.0, latency_s=FAR_S)
        await leader.receive_hello("near", 2.0)
        await leader.receive_hello("weak", 0.5, life=9)
        return await leader.check(), leader.election.epoch

    assert run(scenario()) == (["near"], 0)


def test_leader_among_similar_processes_keeps_leading(run):
    """Guards against a handover between processes of similar processing power."""

    async def scenario():
        leader = Leader(1.0)
        await leader.receive_hello("p1", 1.0)
        await leader.receive_hello("p2", 1.3)
        return await leader.check()

    assert run(scenario()) == []


def test_leader_without_the_store_prefers_a_strong_far_process(run):
    """Guards against a handover to a VM too small for the load.

    When the store is unavailable, processing power counts more than latency.
    """

    async def scenario():
        leader = Leader(2.0)
        await leader.receive_hello("weak", 0.5)
        await leader.receive_hello("far", 2.0, latency_s=FAR_S)
        leader.handover.store_plugin.health.unavailable = True
        return await leader.check()

    assert run(scenario()) == ["far"]


def test_leadership_is_offered_to_processes_heard_from_lately_first(run):
    """Guards against offers to removed processes, of which only two are made.

    A process that started last would be preferred otherwise.
    """

    async def scenario():
        leader = Leader(2.0)
        await leader.receive_hello("p1", 2.0, life=1)
        for process in ("gone1", "gone2"):
            await leader.receive_hello(process, 2.0, life=9)
            leader.members.roster.last_heard_s[process] -= 1.5
        leader.handover.store_plugin.health.unavailable = True
        return await leader.check()

    assert run(scenario()) == ["p1"]


def test_late_reply_to_an_offer_does_not_end_a_later_leadership(run):
    """Guards against a leader that steps down for an epoch which it has lost before."""

    async def scenario():
        leader = Leader(2.0)
        await leader.receive_hello("p1", 2.0)
        leader.handover.store_plugin.health.unavailable = True

        async def ask(process, message, reply_type, *, timeout_s):
            leader.election.epoch = 9
            return Ok(Noted())

        leader.members.ask = ask
        await leader.check()
        return leader.election.epoch

    assert run(scenario()) == 9


def test_reply_to_a_hello_has_the_largest_processing_power(run):
    """Guards against processes on small VMs that campaign as early as others.

    They compare their processing power with the largest one, given in the reply.
    """

    async def scenario():
        leader = Leader(2.0)
        return await leader.receive_hello("weak", 0.5)

    reply = run(scenario())
    assert isinstance(reply, HelloReply)
    assert reply.strongest == 2.0


def notice(process, epoch):
    return LeaderNotice(process=process, address="127.0.0.1:9", epoch=epoch)


def test_process_without_the_store_learns_of_a_new_leader(run):
    """Guards against a process without the store that follows a former leader.

    A notice counts only if its epoch is higher than the highest known epoch. A record
    from the store with a lower epoch is ignored.
    """

    async def scenario():
        leader = Leader(1.0)
        members = leader.members
        seen = []
        for message in (notice("p1", 9), notice("p2", 8), notice("p3", 12)):
            await members._handle_leader_notice(message)
            seen.append(members.leader)
        members._on_leader_changed(LeaderChanged(process="p1", address="x:1", epoch=9))
        seen.append(members.leader)
        return seen

    assert run(scenario()) == ["p1", "p1", "p3", "p3"]


def test_reply_to_a_hello_names_the_latest_leader(run):
    """Guards against a process that keeps sending hello messages to a former leader."""

    async def scenario():
        leader = Leader(1.0)
        await leader.members._handle_leader_notice(notice("p1", 9))
        return (await leader.receive_hello("p2", 1.0)).leader

    assert run(scenario()) == notice("p1", 9)


def test_new_leader_is_announced_to_all_processes(run):
    """Guards against processes that learn of a new leader only from the store."""

    async def scenario():
        leader = Leader(1.0)
        await leader.receive_hello("p1", 1.0)
        await leader.receive_hello("p2", 1.0)
        leader.members._announce_leadership(type("Event", (), {"epoch": 7})())
        await asyncio.sleep(0.01)
        return sorted(leader.offered)

    assert run(scenario()) == ["p1", "p2"]


def test_process_far_from_the_store_counts_as_far_from_its_first_call():
    """Guards against a hand-over to a distant process that has just been restarted.

    An average that starts at zero needs several calls to show the latency.
    """
    health = StoreHealth(journal=lambda kind, **values: None)
    health.record(Ok(None), 0.052, 1.0)
    assert health.latency_s > FAR_LATENCY_S
    for second in range(2, 40):
        health.record(Ok(None), 0.008, second)
    assert health.latency_s < FAR_LATENCY_S
