"""Tests of the fair queue."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wasabipaddle.admission import FairQueue, QueueBounds, Ticket, TicketState
from wasabipaddle.documents import (
    Placement,
    Quota,
    RequestPolicy,
    ServiceDocument,
    ServiceKind,
    Share,
    TeamQuota,
    Urgency,
)
from wasabipaddle.exceptions import ErrorKind, Outcome

POOL = "pool"


def make_document(service, *, team="t", urgency=Urgency.NORMAL, slots=0, **share):
    return ServiceDocument(
        service=service,
        team=team,
        kind=ServiceKind.REQUEST,
        urgency=urgency,
        placement=Placement(pool=POOL),
        share=Share(**share),
        quota=Quota(slots=slots),
        request=RequestPolicy(deadline_s=10.0),
    )


def make_ticket(document, *, deadline=10.0, size=1):
    return Ticket(request="r", document=document, size=size, deadline=deadline)


def make_queue(slots, **bounds):
    queue = FairQueue(bounds=QueueBounds(**bounds))
    queue.set_capacity(POOL, slots, now=0.0)
    return queue


def fill(queue, document, count, *, now=0.0, **ticket):
    return [queue.offer(make_ticket(document, **ticket), now=now) for _ in range(count)]


def serve(queue, steps, *, run_s=0.1, now=0.0):
    """Fill all free slots `steps` times; return the number of starts by service."""
    starts, running = {}, []
    for _ in range(steps):
        while (taken := queue.take(POOL, now=now)).ticket is not None:
            name = taken.ticket.document.service
            starts[name] = starts.get(name, 0) + 1
            running.append(taken.ticket)
        now += run_s
        for ticket in running:
            queue.finish(ticket, now=now)
        running.clear()
    return starts


def test_more_urgent_class_goes_first():
    """Guards against urgent requests that wait behind deferrable ones."""
    queue = make_queue(1)
    fill(queue, make_document("d", urgency=Urgency.DEFERRABLE), 5)
    fill(queue, make_document("u", urgency=Urgency.URGENT), 5)
    assert serve(queue, 5) == {"u": 5}


def test_shares_follow_weights():
    """Guards against a service that gets more than its weighted share of its class."""
    queue = make_queue(4)
    fill(queue, make_document("a", weight=3), 100, deadline=1e9)
    fill(queue, make_document("b", weight=1), 100, deadline=1e9)
    starts = serve(queue, 20)
    assert starts["a"] == pytest.approx(60, abs=3)
    assert starts["a"] + starts["b"] == 80


def test_floor_is_kept_under_a_flood_of_urgent_requests():
    """Guards against urgent requests of many teams that use up a guaranteed floor."""
    queue = make_queue(10)
    kept = make_document("kept", urgency=Urgency.DEFERRABLE, guaranteed=0.2)
    fill(queue, kept, 100, deadline=1e9)
    for i in range(20):
        flood = make_document(f"f{i}", team=f"t{i}", urgency=Urgency.URGENT)
        fill(queue, flood, 90, deadline=1e9)
    assert serve(queue, 20)["kept"] == 40


def test_quota_of_team_and_service_limits_slots():
    """Guards against a service or a team that uses more slots than its quota."""
    queue = make_queue(10)
    quota = TeamQuota(team="t", quota=Quota(slots=3))
    queue.set_quotas([quota])
    fill(queue, make_document("a", slots=1), 5)
    fill(queue, make_document("b"), 5)
    fill(queue, make_document("c", team="other", slots=2), 5)
    assert serve(queue, 1) == {"a": 1, "b": 2, "c": 2}


def test_refusal_names_the_quota_that_causes_it():
    """Guards against requests over their quota that another data centre serves.

    Requests are forwarded after other kinds of failure, such as that of a full queue.
    """
    queue = make_queue(10, requests=4, service_fraction=0.5)
    document = make_document("a", slots=1)
    fill(queue, document, 1)
    assert queue.take(POOL, now=0.0).ticket is not None
    results = fill(queue, document, 3)
    assert results[-1].unwrap_err().kind is ErrorKind.QUOTA_EXCEEDED


def test_parts_of_a_quota_add_up_to_the_quota():
    """Guards against processes that together exceed a quota."""
    queue = make_queue(1)
    parts = []
    for rank in range(8):
        queue.set_quotas([], rank=rank, processes=8)
        parts.append(queue.ledger.local_share(13))
    assert sum(parts) == 13


def test_request_that_cannot_meet_its_deadline_is_refused_on_arrival():
    """Guards against requests that wait only to be dropped."""
    queue = make_queue(1)
    document = make_document("s")
    fill(queue, document, 100, deadline=1e9)
    serve(queue, 20, run_s=0.5)
    refused = fill(queue, document, 1, now=10.0, deadline=11.0)[0].unwrap_err()
    assert refused.kind is ErrorKind.DEADLINE_UNMEETABLE
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_s > 1.0


def test_full_queue_makes_room_for_a_service_with_a_shorter_queue():
    """Guards against a flood of one service that leaves no room for others."""
    queue = make_queue(0, requests=8, service_fraction=1.0)
    flood, other = make_document("flood"), make_document("other")
    assert all(r.is_ok() for r in fill(queue, flood, 8))
    assert fill(queue, flood, 1)[0].unwrap_err().kind is ErrorKind.QUEUE_FULL
    dropped = fill(queue, other, 1)[0].unwrap()
    assert [t.document.service for t, _ in dropped] == ["flood"]
    assert dropped[0][0].state is TicketState.ENDED
    assert queue.queued(POOL) == 8


def test_bytes_are_bounded():
    """Guards against a few large bodies that exhaust the memory."""
    queue = make_queue(0, size=100, service_fraction=0.5)
    document = make_document("s")
    results = fill(queue, document, 3, size=30)
    assert [r.is_ok() for r in results] == [True, False, False]


def test_service_with_run_times_above_its_deadline_is_probed():
    """Guards against a run time estimate that blocks a service forever.

    Without a start, no shorter run time could correct the estimate.
    """
    queue = make_queue(1)
    document = make_document("s")
    fill(queue, document, 1, deadline=1e9)
    serve(queue, 1, run_s=50.0)
    assert fill(queue, document, 1, now=100.0, deadline=110.0)[0].is_ok()
    assert queue.take(POOL, now=100.0).ticket is not None


class QueueMachine(RuleBasedStateMachine):
    """Any order of offers, starts, ends, removals, edits and changes of capacity.

    Guards against lost tickets, counts that differ from the tickets, and exceeded
    quotas.
    """

    def __init__(self):
        super().__init__()
        self.queue = make_queue(3, requests=20, service_fraction=0.6)
        self.queue.set_quotas([TeamQuota(team="t1", quota=Quota(slots=2))])
        self.random = random.Random(1)
        self.now = 0.0
        self.waiting = []
        self.running = []
        self.documents = [
            make_document("a", team="t1", urgency=Urgency.URGENT, slots=1),
            make_document("b", team="t1", guaranteed=0.3),
            make_document("c", team="t2", guaranteed=0.3, weight=2),
            make_document("d", team="t3", urgency=Urgency.DEFERRABLE),
        ]

    @rule(
        index=st.integers(0, 3), count=st.integers(1, 8), time_limit_s=st.floats(0.1, 9)
    )
    def offer(self, index, count, time_limit_s):
        """Offer tickets of one service."""
        for _ in range(count):
            ticket = make_ticket(
                self.documents[index], deadline=self.now + time_limit_s
            )
            offered = self.queue.offer(ticket, now=self.now)
            if offered.is_ok():
                self.waiting.append(ticket)
                for dropped, failure in offered.unwrap():
                    assert failure.outcome is Outcome.NOT_RUN
                    self.waiting.remove(dropped)

    @rule()
    def take(self):
        """Start tickets until the queue returns none."""
        while True:
            taken = self.queue.take(POOL, now=self.now)
            for dropped, failure in taken.shed:
                assert failure.outcome is Outcome.NOT_RUN
                self.waiting.remove(dropped)
            if taken.ticket is None:
                return
            self.waiting.remove(taken.ticket)
            self.running.append(taken.ticket)

    @rule(index=st.integers(0, 50))
    def finish(self, index):
        """End a running ticket."""
        if self.running:
            ticket = self.running.pop(index % len(self.running))
            self.queue.finish(ticket, now=self.now)

    @rule(index=st.integers(0, 50))
    def remove(self, index):
        """Remove a waiting ticket; a second removal must have no effect."""
        if self.waiting:
            ticket = self.waiting.pop(index % len(self.waiting))
            assert self.queue.remove(ticket, now=self.now)
            assert not self.queue.remove(ticket, now=self.now)

    @rule(index=st.integers(0, 3), urgency=st.sampled_from(Urgency))
    def edit_document(self, index, urgency):
        """Replace a document by one with another urgency and the default weight."""
        old = self.documents[index]
        self.documents[index] = make_document(
            old.service,
            team=old.team,
            urgency=urgency,
            guaranteed=old.share.guaranteed,
            slots=old.quota.slots,
        )

    @rule(slots=st.integers(0, 5), seconds=st.floats(0.01, 3))
    def change_capacity(self, slots, seconds):
        """Advance the time and change the capacity."""
        self.now += seconds
        self.queue.set_capacity(POOL, slots, now=self.now)

    @invariant()
    def counts_match(self):
        """Compare the counts of the queue with the tickets of the test."""
        state = self.queue.pools[POOL]
        assert self.queue.queued(POOL) == len(self.waiting) <= 20
        assert self.queue.in_use(POOL) == len(self.running)
        assert self.queue.size == sum(t.size for t in self.waiting)
        backlogged = {t.document.service for t in self.waiting}
        assert self.queue.backlogged == len(backlogged)
        assert sum(s.in_use for s in state.services.values()) == len(self.running)

    @invariant()
    def quotas_hold(self):
        """Compare the running tickets with the quotas."""
        names = [t.document.service for t in self.running]
        assert names.count("a") <= 1
        assert names.count("a") + names.count("b") <= 2

    def teardown(self):
        """Serve all remaining tickets; none may stay queued."""
        self.queue.set_capacity(POOL, 5, now=self.now)
        for _ in range(100):
            self.take()
            while self.running:
                self.finish(0)
        assert not self.waiting


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(max_examples=100, stateful_step_count=40)
