"""Which process a leader gives the leadership to, and when."""

import asyncio

import pytest
from result import Ok

from wasabipaddle.cell.facts import LeaderChanged
from wasabipaddle.cell.handover import HandoverPlugin
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.clock import LoopClock
from wasabipaddle.kernel import Context
from wasabipaddle.messages.jobs import HelloReply, LeaderNotice, MemberHello, Noted
from wasabipaddle.settings import CellSettings, PlatformAddresses

NEAR_S, FAR_S = 0.005, 0.050


class FakeElection:
    """Election of a process that leads."""

    def __init__(self):
        self.epoch = 7
        self.draining = self.weak = False
        self.step_down_reason = ""
        self.record = type("Record", (), {"life": 1})()

    def step_down(self, reason):
        self.epoch, self.step_down_reason = 0, reason


class Leader:
    """Members and handover of a leader whose peers have greeted it."""

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
        self.members.configuration = type(
            "C", (), {"version": 1, "observe": lambda self, version: None}
        )()
        self.handover = HandoverPlugin(context=context)
        self.handover.members = self.members
        self.handover.election = self.election
        health = type("H", (), {"unavailable": False, "latency_s": NEAR_S})()
        self.handover.access = type("A", (), {"health": health})()
        self.offered = []
        self.members.ask = self._ask

    async def _ask(self, process, message, reply_type, *, timeout_s):
        self.offered.append(process)
        return Ok(Noted())

    async def hear(self, process, processor, *, latency_s=NEAR_S, life=1):
        """Take the greeting of a peer and return the answer."""
        hello = MemberHello(
            process=process,
            address="127.0.0.1:9",
            store_latency_s=latency_s,
            life=life,
            processor=processor,
        )
        return (await self.members._handle_hello(hello)).ok()

    async def check(self):
        """Let the handover look once, and finish what it starts."""
        self.handover._check()
        await asyncio.sleep(0.01)
        return self.offered


@pytest.fixture
def run():
    return asyncio.run


def test_weak_leader_gives_way_to_a_stronger_process(run):
    """Guards against a dispatcher on a VM that cannot keep up with the load."""

    async def scenario():
        leader = Leader(0.5)
        await leader.hear("far", 2.0, latency_s=FAR_S)
        await leader.hear("near", 2.0)
        await leader.hear("weak", 0.5, life=9)
        return await leader.check(), leader.election.epoch

    assert run(scenario()) == (["near"], 0)


def test_leader_among_equals_stays(run):
    """Guards against a leadership that moves without need."""

    async def scenario():
        leader = Leader(1.0)
        await leader.hear("p1", 1.0)
        await leader.hear("p2", 1.3)
        return await leader.check()

    assert run(scenario()) == []


def test_leader_without_the_store_prefers_a_strong_far_process(run):
    """Guards against a handover to a process that cannot carry the load."""

    async def scenario():
        leader = Leader(2.0)
        await leader.hear("weak", 0.5)
        await leader.hear("far", 2.0, latency_s=FAR_S)
        leader.handover.access.health.unavailable = True
        return await leader.check()

    assert run(scenario()) == ["far"]


def test_processes_learn_whether_they_are_weak(run):
    """Guards against a bid of a small VM ahead of larger ones."""

    async def scenario():
        leader = Leader(2.0)
        return await leader.hear("weak", 0.5)

    reply = run(scenario())
    assert isinstance(reply, HelloReply)
    assert reply.strongest == 2.0


def notice(process, epoch):
    return LeaderNotice(process=process, address="127.0.0.1:9", epoch=epoch)


def test_process_without_the_store_learns_of_a_new_leader(run):
    """Guards against jobs that are sent to a former leader until the store answers."""

    async def scenario():
        leader = Leader(1.0)
        members = leader.members
        seen = []
        for message in (notice("p1", 9), notice("p2", 8), notice("p3", 12)):
            await members._handle_leader_notice(message)
            seen.append(members.leader)
        members._leader_changed(LeaderChanged(process="p1", address="x:1", epoch=9))
        seen.append(members.leader)
        return seen

    assert run(scenario()) == ["p1", "p1", "p3", "p3"]


def test_greeting_is_answered_with_the_latest_leader(run):
    """Guards against a process that goes on greeting a former leader."""

    async def scenario():
        leader = Leader(1.0)
        await leader.members._handle_leader_notice(notice("p1", 9))
        return (await leader.hear("p2", 1.0)).leader

    assert run(scenario()) == notice("p1", 9)


def test_new_leader_is_announced_to_all_processes(run):
    """Guards against processes that learn of a new leader from the store only."""

    async def scenario():
        leader = Leader(1.0)
        await leader.hear("p1", 1.0)
        await leader.hear("p2", 1.0)
        leader.members._announce_leadership(type("Fact", (), {"epoch": 7})())
        await asyncio.sleep(0.01)
        return sorted(leader.offered)

    assert run(scenario()) == ["p1", "p2"]
