"""Tests of the membership table."""

import pytest

from wasabipaddle.clock import HybridTime
from wasabipaddle.membership import MemberTable
from wasabipaddle.membership.ring import Ring
from wasabipaddle.messages import Heartbeat, LedShard, encode
from wasabipaddle.settings import MembershipSettings, Peer

HLC = HybridTime(wall_ms=1)


def make_table(size=4):
    peers = [
        Peer(name=f"e{i:03}", data_centre="d", host="", api_port=0, internal_port=0)
        for i in range(size)
    ]
    return MemberTable(
        process="e000", incarnation=5, peers=peers, settings=MembershipSettings()
    )


def heartbeat(sender, *, incarnation=1, epoch=0, **fields):
    led = (LedShard(shard="d-0", epoch=epoch),) if epoch else ()
    return Heartbeat(
        sender=sender, incarnation=incarnation, hlc=HLC, revision=0, led=led, **fields
    )


@pytest.fixture
def table():
    return make_table()


def test_highest_epoch_wins_whatever_the_order(table):
    """Guards against following a deposed leader whose heartbeat arrives late."""
    table.receive_heartbeat(heartbeat("e001", epoch=3), 0.0)
    table.receive_heartbeat(heartbeat("e002", epoch=2), 0.0)
    assert table.leader_of("d-0", 0.0) == "e001"


def test_ended_claim_is_not_restored_by_other_members(table):
    """Guards against requests to a leader that has stepped down."""
    table.receive_heartbeat(heartbeat("e001", epoch=3), 0.0)
    table.receive_heartbeat(heartbeat("e001"), 1.0)
    table.receive_heartbeat(heartbeat("e002", claims={"d-0": (3, "e001")}), 1.0)
    assert table.leader_of("d-0", 1.0) is None


def test_older_incarnation_is_ignored(table):
    """Guards against claims in a late heartbeat of an earlier incarnation."""
    table.receive_heartbeat(heartbeat("e001", incarnation=9), 0.0)
    table.receive_heartbeat(heartbeat("e001", incarnation=8, epoch=7), 1.0)
    assert table.leader_of("d-0", 1.0) is None
    assert table.has_stopped("e001", 8, "d-0", 7)


def test_proof_needs_a_reply_to_the_higher_epoch(table):
    """Guards against expiring the tasks of a leader that may still renew them."""
    table.receive_heartbeat(heartbeat("e001"), 0.0)
    assert not table.has_stopped("e001", 1, "d-0", 4)
    sent = heartbeat("e000", incarnation=5, epoch=4)
    table.receive_reply(heartbeat("e001"), sent, 1.0)
    assert table.has_stopped("e001", 1, "d-0", 4)
    assert not table.has_stopped("e001", 1, "d-0", 5)


def test_heartbeat_does_not_grow_with_the_number_of_members():
    """Guards against heartbeats whose size grows with the number of members."""
    sizes = []
    for size in (40, 400):
        table = make_table(size)
        for name in table.members:
            table.receive_heartbeat(heartbeat(name), 0.0)
        sizes.append(len(encode(table.heartbeat(HLC, 1.0))))
    assert sizes[0] == sizes[1]


@pytest.mark.parametrize("size", [2, 3, 8, 11])
def test_every_pair_on_the_ring_exchanges_in_one_round(size):
    """Guards against two members that never exchange heartbeats."""
    names = [f"n{i}" for i in range(size)]
    met = set()
    for own in names:
        ring = Ring(names=names, own=own)
        met |= {frozenset((own, ring.next())) for _ in range(ring.offset_count)}
    assert len(met) == size * (size - 1) // 2
