"""Tests of slot grants: safety by a state machine, and reallocation by demand."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.messages import PoolDemand
from wasabipaddle.routing import EndpointSlots, GrantHolder, GrantTable, divide_slots
from wasabipaddle.routing.tests.fakes import POOL

GRANT_S = 3.0
NAMES = ("p1", "p2")
STATE_MACHINE_SLOTS = {"e1": 4, "e2": 1}
SLOTS = {"e1": 8, "e2": 3, "e3": 1}


def make_table(*, epoch=1, now=0.0, slots=SLOTS, members=()):
    table = GrantTable(
        shard="s", epoch=epoch, grant_s=GRANT_S, now=now, members=members
    )
    table.set_endpoints(
        [
            EndpointSlots(
                endpoint=e, pool=POOL, host="h", port=1, slots=n, connections=64
            )
            for e, n in slots.items()
        ]
    )
    return table


def make_holder(name="p1", incarnation=1):
    return GrantHolder(sender=name, incarnation=incarnation, random=random.Random(1))


def demand(queued):
    return [PoolDemand(pool=POOL, queued=queued)]


def exchange(holder, table, queued, now):
    """Exchange a grant request and its reply; return the slots held."""
    request = holder.request("s", demand(queued), now=now)
    reply = table.request(request, now=now).unwrap()
    assert holder.apply(reply, now=now)
    return holder.capacity(POOL, now=now)


class GrantMachine(RuleBasedStateMachine):
    """Lost, late and reordered messages, drifting clocks and changes of leader.

    Guards against more slots in use than an endpoint has, and against a slot that is
    granted to two holders at the same time.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.table = make_table(slots=STATE_MACHINE_SLOTS)
        self.holders = {n: make_holder(n) for n in NAMES}
        self.rates = dict(zip(NAMES, (0.99, 1.01), strict=True))
        self.requests = []
        self.replies = []
        self.slots = {n: [] for n in NAMES}

    def local_time(self, name):
        """Return the time of a holder's clock, which runs fast or slow."""
        return self.now * self.rates[name]

    @rule(name=st.sampled_from(NAMES), queued=st.sampled_from([0, 1, 9]))
    def ask(self, name, queued):
        """Send a grant request that is delivered later."""
        message = self.holders[name].request(
            "s", demand(queued), now=self.local_time(name)
        )
        self.requests.append(message)

    @rule(index=st.integers(0, 9), again=st.booleans())
    def deliver_request(self, index, again):
        """Deliver any request in transit, possibly as a duplicate."""
        if not self.requests:
            return
        index %= len(self.requests)
        message = self.requests[index] if again else self.requests.pop(index)
        reply = self.table.request(message, now=self.now)
        if reply.is_ok():
            self.replies.append((message.sender, message.incarnation, reply.unwrap()))

    @rule(index=st.integers(0, 9), lost=st.booleans())
    def deliver_reply(self, index, lost):
        """Deliver or lose any reply in transit."""
        if not self.replies:
            return
        name, incarnation, reply = self.replies.pop(index % len(self.replies))
        holder = self.holders[name]
        if not lost and holder.incarnation == incarnation:
            holder.apply(reply, now=self.local_time(name))

    @rule(name=st.sampled_from(NAMES), queued=st.sampled_from([0, 1, 9]))
    def ask_without_loss(self, name, queued):
        """Exchange a request and its reply without delay."""
        self.ask(name, queued)
        message = self.requests.pop()
        reply = self.table.request(message, now=self.now)
        if reply.is_ok():
            self.holders[name].apply(reply.unwrap(), now=self.local_time(name))

    @rule(seconds=st.sampled_from([0.1, 1.0, 1.5, 3.1]))
    def advance(self, seconds):
        """Advance the time."""
        self.now += seconds
        for name in NAMES:
            self.end_requests_after_expiry(name)

    @rule(name=st.sampled_from(NAMES), count=st.sampled_from([1, 4]))
    def start_requests(self, name, count):
        """Take slots under grants that have not expired."""
        holder = self.holders[name]
        for _ in range(count):
            slot = holder.take_slot(POOL, now=self.local_time(name))
            if slot is None:
                return
            if slot.held.expires <= self.local_time(name):
                holder.release(slot)  # the leader does not count use after expiry
                return
            self.slots[name].append(slot)

    @rule(name=st.sampled_from(NAMES))
    def end_request(self, name):
        """Release the slot that was taken first."""
        if self.slots[name]:
            self.holders[name].release(self.slots[name].pop(0))

    @rule()
    def change_leader(self):
        """Replace the leader; the epoch increases."""
        self.table = make_table(
            epoch=self.table.epoch + 1,
            now=self.now,
            slots=STATE_MACHINE_SLOTS,
            members=NAMES,
        )

    @rule(queued=st.permutations([0, 9]), rounds=st.sampled_from([1, 3]))
    def ask_in_turn(self, queued, rounds):
        """Let both holders request grants in turn with unequal demand."""
        for _ in range(rounds):
            for name, count in zip(NAMES, queued, strict=True):
                self.ask_without_loss(name, count)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        """Restart a process under its next incarnation."""
        incarnation = self.holders[name].incarnation + 1
        self.holders[name] = make_holder(name, incarnation)
        self.slots[name] = []

    @rule(endpoint=st.sampled_from(sorted(STATE_MACHINE_SLOTS)), leaves=st.booleans())
    def change_endpoints(self, endpoint, leaves):
        """Mark an endpoint as leaving or withdraw the mark."""
        if leaves:
            self.table.mark_leaving(endpoint)
        else:
            self.table.leaving.discard(endpoint)

    def end_requests_after_expiry(self, name):
        """End the requests of a holder whose latest grants have expired."""
        holder = self.holders[name]
        state = holder.shards.get("s")
        if state is None or self.local_time(name) >= state.applied_at + GRANT_S:
            for slot in self.slots[name]:
                holder.release(slot)
            self.slots[name] = []

    @invariant()
    def no_slot_is_granted_twice(self):
        """Compare the slots of all holders with the limit of each endpoint."""
        for endpoint, slots in STATE_MACHINE_SLOTS.items():
            assert sum(self.occupied_slots(n, endpoint) for n in NAMES) <= slots

    def occupied_slots(self, name, endpoint):
        """Return the slots that a holder has been granted or uses."""
        held = self.holders[name].endpoints.get(endpoint)
        if held is None:
            return 0
        now = self.local_time(name)
        granted = held.usable(now) if now < held.expires else 0
        return max(granted, held.in_use)


TestGrantMachine = GrantMachine.TestCase
TestGrantMachine.settings = settings(max_examples=200, stateful_step_count=50)


def test_slots_move_to_demand_within_two_seconds():
    """Guards against slots that stay with an idle process."""
    table = make_table()
    busy, idle = make_holder("p1"), make_holder("p2")
    now = 0.0
    for _ in range(4):
        exchange(busy, table, 0, now)
        exchange(idle, table, 0, now)
        now += 0.5
    for _ in range(4):
        slots = exchange(busy, table, 50, now)
        idle_slots = exchange(idle, table, 0, now)
        now += 0.5
    assert (slots, idle_slots) == (11, 1)


def test_unchanged_grants_are_renewed_in_a_short_reply():
    """Guards against replies that repeat every grant although none has changed."""
    table, holder = make_table(), make_holder()
    exchange(holder, table, 1, 0.0)
    reply = table.request(holder.request("s", demand(1), now=1.0), now=1.0).unwrap()
    assert reply.unchanged
    assert reply.grants == ()
    assert holder.apply(reply, now=1.0)
    assert holder.capacity(POOL, now=3.9) == 12


def test_division_is_max_min_fair_and_gives_idle_processes_a_slot():
    """Guards against a process that is starved by the demand of others."""
    assert divide_slots(12, {"a": 100, "b": 100, "c": 2}) == {"a": 5, "b": 5, "c": 2}
    assert divide_slots(12, {"a": 100, "b": 0}) == {"a": 11, "b": 1}
    assert divide_slots(2, {"a": 9, "b": 9, "c": 9}) == {"a": 0, "b": 1, "c": 1}


def test_take_over_keeps_capacity_and_waits_for_earlier_grants():
    """Guards against lost capacity and double grants after a change of leader."""
    old = make_table()
    first, second = make_holder("p1"), make_holder("p2")
    exchange(first, old, 9, 0.0)
    exchange(second, old, 9, 0.0)
    exchange(first, old, 9, 0.0)
    held = first.capacity(POOL, now=0.0)
    new = make_table(epoch=2, now=1.0)
    exchange(first, new, 50, 1.0)
    assert exchange(first, new, 50, 1.1) == held
    assert exchange(first, new, 50, 4.2) == 12


def test_take_over_ends_its_wait_when_every_member_has_reported():
    """Guards against idle slots after a change of leader.

    No earlier grant is unknown once every member has reported its own, so the new
    leader need not wait until they expire.
    """
    old = make_table()
    first, second = make_holder("p1"), make_holder("p2")
    for holder in (first, second, first):
        exchange(holder, old, 9, 0.0)
    new = make_table(epoch=2, now=1.0, members=("p1", "p2"))
    for holder in (first, second, first, second):
        exchange(holder, new, 50 if holder is first else 0, 1.0)
    for now in (1.5, 2.0):
        slots = [exchange(first, new, 50, now), exchange(second, new, 0, now)]
    assert slots == [11, 1]


def test_draining_process_gives_its_slots_back():
    """Guards against slots that a draining process keeps until its grants expire."""
    table = make_table()
    draining, staying = make_holder("p1"), make_holder("p2")
    for now in (0.0, 0.5, 1.0):
        exchange(draining, table, 2, now)
        exchange(staying, table, 50, now)
        request = draining.request("s", [], now=now, draining=True)
        draining.apply(table.request(request, now=now).unwrap(), now=now)
    assert draining.capacity(POOL, now=1.0) == 0


def test_half_of_an_expired_grant_stays_in_use_without_a_leader():
    """Guards against refusing all requests while the shard has no leader."""
    table, holder = make_table(), make_holder()
    exchange(holder, table, 9, 0.0)
    assert holder.capacity(POOL, now=10.0) == 4 + 2 + 1
    slot = holder.take_slot(POOL, now=10.0)
    holder.record_no_capacity(slot, now=10.0)
    holder.release(slot)
    assert holder.capacity(POOL, now=11.0) < 7 or slot.held.expired_limit == 1


def test_leaving_endpoint_is_not_used_again_by_a_late_reply():
    """Guards against new requests to a leaving endpoint after its drain notice.

    The leader sends the reply before it marks the endpoint as leaving.
    """
    table, holder = make_table(), make_holder()
    exchange(holder, table, 9, 0.0)
    late = table.request(holder.request("s", demand(9), now=0.5), now=0.5).unwrap()
    holder.drain(["e1"])
    holder.apply(late, now=0.6)
    assert holder.capacity(POOL, now=0.6) == 4


def test_new_leader_takes_leaving_endpoints_out_of_use_at_once():
    """Guards against requests to a leaving endpoint after a lost drain notice.

    The first reply of a new leader names the endpoint as leaving.
    """
    holder = make_holder()
    exchange(holder, make_table(), 9, 0.0)
    new = make_table(epoch=2, now=1.0)
    new.mark_leaving("e1")
    assert exchange(holder, new, 9, 1.0) == 4


def test_older_request_is_refused():
    """Guards against a delayed request that hides slots reported as in use since."""
    table, holder = make_table(), make_holder()
    first = holder.request("s", demand(1), now=0.0)
    second = holder.request("s", demand(1), now=0.1)
    assert table.request(second, now=0.2).is_ok()
    refused = table.request(first, now=0.3).unwrap_err()
    assert refused.kind is ErrorKind.CONFLICT


def test_late_reply_is_not_applied():
    """Guards against an old grant that replaces a newer one."""
    table, holder = make_table(), make_holder()
    late = table.request(holder.request("s", demand(9), now=0.0), now=0.0).unwrap()
    exchange(holder, table, 9, 0.1)
    assert not holder.apply(late, now=0.2)


def test_grant_counts_until_a_slow_clock_has_expired_it():
    """Guards against granting a slot again while a holder with a slow clock uses it."""
    table, holder = make_table(), make_holder()
    exchange(holder, table, 9, 0.0)
    assert table.outstanding("e1", now=GRANT_S / 0.99 - 0.001) == 8
    assert table.outstanding("e1", now=GRANT_S / 0.99 + 0.001) == 0


def test_first_full_reply_after_a_take_over_names_every_grant():
    """Guards against an `unchanged` reply that renews grants of an earlier leader."""
    old, holder = make_table(), make_holder()
    exchange(holder, old, 9, 0.0)
    new = make_table(epoch=2, now=1.0)
    for now in (1.0, 1.5, 2.0):
        exchange(holder, new, 9, now)
    reply = new.request(holder.request("s", demand(9), now=5.0), now=5.0).unwrap()
    assert not reply.partial
    assert not reply.unchanged
    assert len(reply.grants) == 3
