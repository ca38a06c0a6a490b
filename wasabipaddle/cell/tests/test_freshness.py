"""Proof that a configuration is young enough, and what a process does without one."""

import asyncio
import math

import attrs
import pytest

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.events import LeadershipGained
from wasabipaddle.cell.freshness import ConfigurationFreshness
from wasabipaddle.cell.tests.conftest import QUEUE
from wasabipaddle.cell.tests.session_parts import put, with_cell
from wasabipaddle.clock import LoopClock
from wasabipaddle.exceptions import ErrorKind, Outcome
from wasabipaddle.jobs import CellConfiguration, Queue, Workspace
from wasabipaddle.messages.codec import decode
from wasabipaddle.messages.jobs import HelloReply, MemberHello
from wasabipaddle.platform.client import encode_configuration

BOUND_S = 5.0
PUBLIC = Queue(name="open", host="h", prefix="/open/", pool="p", public=True)


def write(cell, version, keys=("k1", "k2")):
    """Store a version of the configuration whose workspace has these keys."""
    configuration = CellConfiguration(
        version=version,
        queues=(QUEUE, PUBLIC),
        workspaces={"w": Workspace(name="w")},
    )
    put(cell, *encode_configuration(configuration, keys={"w": keys}))


class ShiftedClock(LoopClock):
    """Clock whose boot time is ahead of its steady time by the suspensions."""

    suspended_s = 0.0

    def boot_s(self):
        """Return the steady time and the time of the suspensions."""
        return self.now() + self.suspended_s


class KeyedProcess:
    """Process with a real configuration, in whose settings removals are bounded."""

    def __init__(self, process, bound_s=BOUND_S):
        context = process.context
        context.settings = attrs.evolve(
            context.settings,
            bounds=attrs.evolve(context.settings.bounds, revocation_s=bound_s),
        )
        context.clock = self.clock = ShiftedClock()
        self.events = []
        context.journal = lambda kind, **values: self.events.append((kind, values))
        self.context = context
        self.entry = process.entry
        self.plugin = self.entry.configuration = ConfigurationPlugin(context=context)

    def identify(self, key="k1", queue=QUEUE):
        """Return the workspace of a key, or the kind of the refusal."""
        identified = self.entry.identify(queue, key)
        return identified.ok() if identified.is_ok() else identified.err().kind

    def kinds(self):
        """Return the kinds of the logged changes of the proof."""
        prefix = "configuration_proof_"
        return [k[len(prefix) :] for k, _ in self.events if k.startswith(prefix)]


@pytest.fixture
def with_keyed(make_test_cell):
    """Run a scenario with processes that have applied the first version."""

    def run(scenario, *, count=1, **options):
        async def main(cell, tasks):
            write(cell, 1)
            processes = [KeyedProcess(p, **options) for p in cell.processes.values()]
            for process in processes:
                await process.plugin.start()
            await asyncio.sleep(0.1)
            await scenario(cell, *processes)
            for process in processes:
                await process.plugin.stop()

        with_cell(make_test_cell, main, count=count)

    return run


def test_proof_counts_from_the_call_and_never_goes_back():
    """Guards against an age that is too low, and a late answer that adds age."""
    freshness = ConfigurationFreshness()
    assert not freshness.holds(0.0, BOUND_S)
    assert freshness.holds(0.0, 0.0)
    freshness.confirm(10.0)
    freshness.confirm(9.0)
    assert freshness.age_s(12.0) == 2.0
    assert freshness.holds(14.8, BOUND_S)
    assert not freshness.holds(15.0, BOUND_S)
    assert freshness.overdue(13.0, BOUND_S)


@pytest.mark.parametrize("age_s", [None, -1.0, math.inf, math.nan])
def test_peer_without_a_usable_age_proves_nothing(age_s):
    """Guards against a proof of a peer that has none, or that is malformed."""
    freshness = ConfigurationFreshness()
    freshness.confirm_by_peer(10.0, age_s, peer_version=1, version=1)
    assert freshness.proved_s == -math.inf


def test_age_of_a_peer_adds_up_and_its_version_must_not_be_newer():
    """Guards against a stale peer, or one that knows of a removal, as a proof."""
    freshness = ConfigurationFreshness()
    freshness.confirm_by_peer(10.0, 3.0, peer_version=1, version=2)
    assert freshness.age_s(12.0) == 5.0
    freshness.confirm_by_peer(10.0, 0.0, peer_version=3, version=2)
    assert freshness.age_s(12.0) == 5.0


def test_reply_of_an_earlier_version_has_no_age():
    """Guards against a proof from a process that cannot give one."""
    assert decode(b'{"configuration":3}', HelloReply).ok().configuration_age_s is None


def test_process_that_loses_the_store_refuses_keys_and_serves_public_queues(with_keyed):
    """Guards against removed keys that a process without the store still admits."""

    async def scenario(cell, process):
        assert process.identify() == "w"
        cell.memory.refused_clients.add("p0")
        write(cell, 2, keys=("k2",))
        await asyncio.sleep(BOUND_S + 1.0)
        refusal = process.entry.identify(QUEUE, "k1").err()
        assert refusal.kind is ErrorKind.STALE_CONFIGURATION
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.retry_after_s is not None
        # It is not known whether an unknown key has been added in the meantime.
        assert process.identify("k9") is ErrorKind.STALE_CONFIGURATION
        assert process.identify(None, PUBLIC) == ""
        assert not process.entry.ready
        cell.memory.refused_clients.clear()
        await asyncio.sleep(0.5)
        assert process.identify("k1") is ErrorKind.UNAUTHENTICATED
        assert process.identify("k2") == "w"
        assert process.entry.ready
        assert process.kinds() == ["lost", "regained"]

    with_keyed(scenario)


def test_suspension_counts_and_the_store_is_polled_at_once_after_it(with_keyed):
    """Guards against a process that wakes with a key that was removed meanwhile.

    Without a poll at once, it would refuse all calls for up to another second.
    """

    async def scenario(cell, process):
        await asyncio.sleep(1.95)
        process.clock.suspended_s = 9.0
        assert process.identify() is ErrorKind.STALE_CONFIGURATION
        await asyncio.sleep(0.03)
        assert process.identify() == "w"

    with_keyed(scenario)


def test_answer_proves_the_time_of_its_call(with_keyed):
    """Guards against a proof as young as an answer that was long on its way.

    A suspended process receives the answer when it goes on.
    """

    async def scenario(cell, process):
        cell.memory.latency_s = 0.5
        while process.plugin.proof_age_s() < 1.2:
            await asyncio.sleep(0.01)
        process.clock.suspended_s = 9.0
        await asyncio.sleep(0.45)
        assert process.plugin.proof_age_s() > BOUND_S

    with_keyed(scenario)


def test_copy_of_a_configuration_is_no_proof(with_keyed):
    """Guards against a restarted process that trusts the copy of a stale leader."""

    async def scenario(cell, first, second):
        cell.memory.refused_clients.add("p1")
        await second.plugin.stop()
        restarted = ConfigurationPlugin(context=second.context)
        second.plugin = second.entry.configuration = restarted
        await restarted.start()
        restarted.apply_copy(first.plugin.value, 1)
        assert second.identify() is ErrorKind.STALE_CONFIGURATION
        assert not second.entry.ready
        reply = HelloReply(configuration=1, configuration_age_s=4.0)
        restarted.confirm_by_peer(second.clock.boot_s() - 0.5, reply)
        assert second.identify() == "w"
        await asyncio.sleep(0.5)
        assert second.identify() is ErrorKind.STALE_CONFIGURATION

    with_keyed(scenario, count=2)


@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize("bound_s", [2.0, 5.0, 60.0])
def test_proof_never_becomes_overdue_on_a_calm_day(with_keyed, bound_s, leads):
    """Guards against refusals and failed probes while the store answers."""

    async def scenario(cell, process):
        if leads:
            event = LeadershipGained(epoch=1, term=1, continued=False)
            process.context.bus.publish(event)
        for _ in range(400):
            await asyncio.sleep(0.05)
            assert not process.plugin.proof_overdue
        assert process.kinds() == []

    with_keyed(scenario, bound_s=bound_s)


def test_calls_are_admitted_without_a_bound_and_without_the_store(with_keyed):
    """Guards against refusals in a deployment whose removed keys have no time limit."""

    async def scenario(cell, process):
        cell.memory.down = True
        await asyncio.sleep(30.0)
        assert process.identify() == "w"
        assert process.entry.ready

    with_keyed(scenario, bound_s=0.0)


def test_leader_proves_the_configurations_of_others(run_members):
    """Guards against a process without the store that gets no proof from the leader."""

    async def scenario(cell):
        await asyncio.sleep(1.0)
        assert cell["p1"].configuration.proofs
        assert not cell["p0"].configuration.proofs

    run_members(scenario)


def test_any_peer_is_asked_if_the_leader_gives_no_proof(run_members):
    """Guards against refusals by the leader and its followers if only it is cut off."""

    async def scenario(cell):
        await asyncio.sleep(1.0)
        cell["p0"].configuration.proof_overdue = True
        await asyncio.sleep(1.0)
        assert cell["p0"].configuration.proofs

    run_members(scenario)


def test_hello_reply_states_the_age_of_the_proof(run_members):
    """Guards against a stale process whose reply looks like a proof of now."""

    async def scenario(cell):
        cell["p0"].configuration.state_proof_age = lambda: None
        hello = MemberHello(process="p1", address="127.0.0.1:3")
        reply = await cell["p0"]._handle_hello(hello)
        assert reply.ok().configuration_age_s is None
        cell["p0"].configuration.state_proof_age = lambda: 4.5
        reply = await cell["p0"]._handle_hello(hello)
        assert reply.ok().configuration_age_s == 4.5

    run_members(scenario)
