"""Leader keys, term keys and messages of peers that cannot be decoded."""

import asyncio
import zlib

import pytest
from absl import logging
from result import Ok

from wasabipaddle.cell.distribution import MAX_VALUE_BYTES, DistributionPlugin
from wasabipaddle.cell.events import LeaderChanged
from wasabipaddle.cell.keys import LEADER_KEY, TERM_KEY
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.tests.session_parts import put, with_cell
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.messages.jobs import ConfigurationCopy, HelloReply, MemberHello

UNREADABLE = {
    "empty": b"",
    "text": b"{",
    "utf8": b"\xff",
    "nested": b"[" * 100_000,
    "nested_field": b'{"process":"p0","address":"x:1","life":1,"x":' + b"[" * 100_000,
    "missing": b"{}",
    "fraction": b'{"process":"p9","address":"x:1","life":1.5,"number":1.5}',
    "types": b'{"process":5,"address":[],"life":"x","number":"1"}',
    "large": b'{"process":"p9","address":"x:1","life":%b}' % (b"9" * 5000),
}
# Time for a replacement of the key.
REPLACED_S = 3.0


@pytest.fixture
def unexpected(monkeypatch):
    """Errors that were logged as unexpected."""
    found = []
    monkeypatch.setattr(logging, "exception", lambda *args: found.append(args))
    return found


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_leader_key_is_held_and_then_replaced(
    make_test_cell, value, unexpected
):
    """Guards against followers that fail, or take the key for a free one.

    The key has no lease, so without a replacement nobody would ever lead again.
    """

    async def scenario(cell, tasks):
        leader = await cell.elect()
        put(cell, LEADER_KEY, value)
        revision = cell.memory.items[LEADER_KEY].revision
        await asyncio.sleep(1.0)
        assert not any(p.election.epoch for p in cell.processes.values())
        assert cell.memory.items[LEADER_KEY].revision == revision
        assert all(
            p.election.leader_revision == revision for p in cell.processes.values()
        )
        await asyncio.sleep(REPLACED_S)
        second = cell.leader()
        assert second.election.epoch == cell.memory.items[LEADER_KEY].revision
        assert second.gained[-1].term > leader.gained[0].term
        counters = second.context.metrics.counters
        assert counters["records_unreadable_leader"] >= 1
        assert not unexpected

    with_cell(make_test_cell, scenario, count=3)


@pytest.mark.parametrize(
    "value",
    [
        *UNREADABLE.values(),
        b'{"number":-1,"process":"p0","life":1}',
        b'{"number":9223372036854775807,"process":"p0","life":1}',
        b'{"number":%b,"process":"p0","life":1}' % (b"9" * 40),
    ],
    ids=[*UNREADABLE, "negative", "64_bits", "beyond_64_bits"],
)
def test_term_after_an_unreadable_term_key_is_higher(make_test_cell, value, unexpected):
    """Guards against a cell without a leader, and against run numbers used twice.

    The numbers of runs follow from the term, and must fit into 64 bits.
    """

    async def scenario(cell, tasks):
        first = await cell.elect()
        put(cell, TERM_KEY, value)
        before = max(p.gained[-1].term for p in cell.processes.values() if p.gained)
        first.election.draining = True
        await first.election.resign("test")
        await asyncio.sleep(REPLACED_S)
        second = cell.leader()
        assert before < second.gained[-1].term <= second.election.epoch
        second.election.draining = True
        first.election.draining = False
        await second.election.resign("test")
        await asyncio.sleep(REPLACED_S)
        assert cell.leader().gained[-1].term == second.gained[-1].term + 1
        assert not unexpected

    with_cell(make_test_cell, scenario, count=2)


BAD_ADDRESSES = ("", "x", "x:0", "x:70000", "x:port", "a..b:1", "h" * 100_000 + ":1")


@pytest.mark.parametrize("address", BAD_ADDRESSES, ids=lambda a: a[:10])
def test_member_with_a_bad_address_hides_no_other(make_test_cell, address):
    """Guards against a process that no longer sends hello messages.

    The bad address is that of a member in a reply, of the leader, and of a sender.
    """

    async def scenario(cell, tasks):
        process = cell["p0"]
        context = process.context
        context.plugins["cell_election"] = process.election
        context.plugins["cell_configuration"] = process.entry.configuration
        process.election.check_leader = lambda: None
        members = MembersPlugin(context=context)
        await members.start()
        sent = []

        async def ask(process, message, reply_type, *, timeout_s):
            sent.append(message)
            known = {"bad": address, "good": "127.0.0.1:5"}
            return Ok(HelloReply(members=known))

        members.ask = ask
        context.bus.publish(LeaderChanged(process="p9", address=address, epoch=5))
        await asyncio.sleep(3.0)
        assert len(sent) >= 4
        assert members.roster.addresses == {"good": "127.0.0.1:5"}
        assert "good" in members.roster.live()
        reply = await members._handle_hello(
            MemberHello(process="late", address=address)
        )
        assert reply.is_ok()
        assert context.metrics.counters["records_unreadable_member"] >= 4
        await members.stop()

    with_cell(make_test_cell, scenario)


@pytest.mark.parametrize(
    "data",
    [b"", b"x", zlib.compress(b"x")[:-2], zlib.compress(b"0" * MAX_VALUE_BYTES * 2)],
    ids=["empty", "malformed", "cut", "large"],
)
def test_copy_that_cannot_be_decompressed_is_refused(make_test_cell, data):
    """Guards against an error in the handler, and against unbounded memory."""

    async def scenario(cell, tasks):
        distribution = DistributionPlugin(context=cell["p0"].context)
        distribution.configuration = cell["p0"].entry.configuration
        copy = ConfigurationCopy(version=9, revision=1, data=data)
        refused = await distribution._handle_copy(copy)
        assert refused.err().kind is ErrorKind.INVALID_REQUEST

    with_cell(make_test_cell, scenario)
