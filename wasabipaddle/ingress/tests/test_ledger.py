"""Decisions on connections and reservations."""

import pytest

from wasabipaddle.ingress import (
    ConnectionUsage,
    IngressLimits,
    Ledger,
    Phase,
    derive_limits,
)
from wasabipaddle.ingress.ledger import BODY_S, IDLE_S, LINGER_S, STALL_S
from wasabipaddle.ingress.limits import FILE_DESCRIPTORS

CONTENT_BYTES = 1_000
FREE_BYTES = 100
CONNECTIONS = 4


@pytest.fixture
def ledger():
    """Ledger with room for a few connections and small bodies."""
    limits = IngressLimits(
        content_bytes=CONTENT_BYTES,
        free_content_bytes=FREE_BYTES,
        connections={"callers": CONNECTIONS},
    )
    return Ledger(limits=limits)


def connect(ledger, phase=Phase.IDLE, now_s=0.0, listener="callers"):
    usage = ConnectionUsage(connection=None, listener=listener, since_s=now_s)
    usage.enter(phase, now_s)
    ledger.add(usage)
    return usage


def test_small_contents_need_no_reservation(ledger):
    """Guards against ordinary requests that are refused because of a crowd."""
    crowd = connect(ledger, Phase.BODY)
    assert ledger.reserve(crowd, FREE_BYTES + CONTENT_BYTES, 0.0) == []
    usual = connect(ledger, Phase.BODY)
    assert ledger.reserve(usual, FREE_BYTES, 0.0) == []
    assert ledger.reserve(usual, FREE_BYTES + 1, 0.0) is None


def test_stalled_reservation_is_lost_first_and_only_as_far_as_needed(ledger):
    """Guards against clients without progress that keep others out."""
    usages = [connect(ledger, Phase.BODY, now_s) for now_s in (0.0, 0.1, 0.2)]
    for usage in usages:
        assert ledger.reserve(usage, FREE_BYTES + 300, usage.since_s) == []
    serving = connect(ledger, Phase.SERVING)
    assert ledger.reserve(serving, FREE_BYTES + 100, 0.2) == []
    newcomer = connect(ledger, Phase.BODY, 0.3)
    assert ledger.reserve(newcomer, FREE_BYTES + 300, 0.3) is None
    late_s = 0.2 + STALL_S
    assert ledger.reserve(newcomer, FREE_BYTES + 300, late_s) == [usages[0]]
    assert ledger.reserved == CONTENT_BYTES


def test_slow_progress_does_not_protect(ledger):
    """Guards against a client that keeps a reservation with a byte now and then."""
    dribbling, steady = (connect(ledger, Phase.BODY) for _ in range(2))
    for usage in (dribbling, steady):
        ledger.reserve(usage, FREE_BYTES + 500, 0.0)
    for tenth in range(1, 21):
        dribbling.receive(1, tenth / 10)
        steady.receive(10_000, tenth / 10)
    newcomer = connect(ledger, Phase.BODY, 2.0)
    assert ledger.reserve(newcomer, FREE_BYTES + 500, 2.0) == [dribbling]
    assert not steady.may_be_evicted(2.0)


def test_single_request_of_any_size_is_admitted(ledger):
    """Guards against a legal request that is refused although nobody else is there."""
    alone = connect(ledger, Phase.BODY)
    for cost in (5 * CONTENT_BYTES, 20 * CONTENT_BYTES):
        assert ledger.reserve(alone, cost, 0.0) == []
    second = connect(ledger, Phase.BODY)
    assert ledger.reserve(second, FREE_BYTES + 1, 0.0) is None
    ledger.remove(alone)
    assert ledger.reserved == 0
    assert ledger.reserve(second, FREE_BYTES + 1, 1.0) == []


def test_new_connection_replaces_unfinished_requests_before_idle_ones(ledger):
    """Guards against a crowd that takes all connections, or evicts ordinary calls."""
    idle = connect(ledger)
    connect(ledger, Phase.SERVING)
    unread = connect(ledger, Phase.SERVING, 0.1)
    unread.unread_since_s = 0.0
    head = connect(ledger, Phase.HEAD, 0.2)
    assert ledger.admit("callers", 0.3) is None
    assert ledger.admit("metrics", 0.3) == []
    assert ledger.admit("callers", IDLE_S) == [unread, head, idle]
    for usage in (unread, head, idle):
        ledger.remove(usage)
    assert ledger.admit("callers", IDLE_S) == []


def test_time_limits(ledger):
    """Guards against heads, bodies and unread replies that last for ever."""
    usages = {phase: connect(ledger, phase) for phase in Phase}
    header_s, idle_s = 3.0, 15.0
    due = {Phase.HEAD: header_s, Phase.BODY: idle_s, Phase.REFUSED: LINGER_S}
    for phase in (Phase.SERVING, Phase.BODY, Phase.IDLE):
        unread = connect(ledger, phase, idle_s)
        unread.unread_since_s = 0.0
        assert not unread.is_overdue(idle_s)
        assert unread.is_overdue(idle_s + 0.1)
        unread.unread_since_s = None
        assert not unread.is_overdue(idle_s + 0.1)
    for phase, usage in usages.items():
        limit_s = due.get(phase)
        assert not usage.is_overdue(limit_s or BODY_S)
        assert usage.is_overdue((limit_s or BODY_S) + 0.1) == (limit_s is not None)
    body = usages[Phase.BODY]
    for second in range(0, int(BODY_S), 10):
        body.receive(1, float(second))
    assert not body.is_overdue(BODY_S)
    assert body.is_overdue(BODY_S + 0.1)
    assert body in ledger.find_overdue(BODY_S + 0.1)


@pytest.mark.parametrize(("memory_mb", "descriptors"), [(0, 0), (160, 1_638), (1, 1)])
def test_limits_leave_room_for_the_process(memory_mb, descriptors):
    """Guards against limits that leave the process no memory or no sockets."""
    limits = derive_limits(memory_mb=memory_mb, descriptors=descriptors)
    assert min(limits.connections.values()) > 0
    if memory_mb > 1:
        assert limits.content_bytes < memory_mb * 1_000_000 / 4
        sockets = descriptors - FILE_DESCRIPTORS
        assert sum(limits.connections.values()) <= 0.7 * sockets
