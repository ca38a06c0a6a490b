"""Requests to the eligibility service, spread over the processes of the cell."""

import asyncio

import pytest
from result import Err, Ok

from wasabipaddle.cell.advice import AdviceBalancer
from wasabipaddle.cell.roster import LIVENESS_TIMEOUT_S
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.cell.tests.session_parts import make_session, with_cell
from wasabipaddle.dispatch.orders import AdviceRequest
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import Job
from wasabipaddle.messages.jobs import AdviceReply

# Time in which the service answers a request, and expected duration of each.
ANSWER_S = 0.5


class FakeAdviceMembers:
    """Stand-in for `MembersPlugin` whose processes take 0.5 s for each request.

    Attributes
    ----------
    unresponsive : set of str
        Processes that get no request, though they are heard from.
    refusing : dict of str to ErrorKind
        Processes that refuse each request at once, with the kind of their error.
    last_heard_s : dict of str to float
        Time of the latest sign of life of the processes that are silent since.
    """

    def __init__(self, process, names):
        self.context = process.context
        self.names = names
        self.roster = self
        self.asked = []
        self.unresponsive = set()
        self.refusing = {}
        self.last_heard_s = {}

    def live(self):
        return [p for p in self.names if self.heard_within(p, LIVENESS_TIMEOUT_S)]

    def heard_within(self, process, seconds):
        now = self.context.clock.now()
        return now - self.last_heard_s.get(process, now) <= seconds

    async def ask(self, process, message, reply_type, *, timeout_s):
        self.asked.append((process, message.step))
        if process in self.refusing:
            return Err(Failure(kind=self.refusing[process], detail="refused"))
        if process in self.unresponsive or process in self.last_heard_s:
            await asyncio.sleep(timeout_s)
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail="none"))
        await asyncio.sleep(ANSWER_S)
        return Ok(AdviceReply(tickets={}))

    def count_asked(self, process):
        """Return the number of requests to a process."""
        return sum(1 for asked, _ in self.asked if asked == process)


def job():
    return Job(id=JOB, policy=QUEUE, accepted_ms=0, spec=SPEC)


def advice_request(scheduler, *, urgent):
    entry = scheduler.state.jobs[JOB]
    return AdviceRequest(
        step=entry.steps[(0, 0)], runners=(), urgent=urgent, expected_s=ANSWER_S
    )


@pytest.fixture
def with_balancer(make_test_cell):
    """Run a scenario with a balancer over `count` processes and their stand-in."""

    def run_scenario(scenario, *, count):
        async def main(cell, tasks):
            process, scheduler, session = make_session(cell)
            scheduler.lifecycle.add_job(job(), session.now())
            members = FakeAdviceMembers(process, [f"p{i}" for i in range(count)])
            await scenario(AdviceBalancer(members=members), members, scheduler)

        with_cell(make_test_cell, main)

    return run_scenario


@pytest.mark.parametrize("count", [1, 3, 8])
def test_long_requests_leave_processes_for_urgent_ones(make_test_cell, count):
    """Guards against urgent requests that wait behind long ones."""

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        scheduler.lifecycle.add_job(job(), session.now())
        members = FakeAdviceMembers(process, [f"p{i}" for i in range(count)])
        balancer = AdviceBalancer(members=members)
        long = advice_request(scheduler, urgent=False)
        answers = [asyncio.create_task(balancer.ask(long)) for _ in range(40)]
        await asyncio.sleep(0.01)
        busy = {process for process, _ in members.asked}
        assert len(busy) < count or count == 1
        assert max(relay.outstanding_s for relay in balancer.relays.values()) <= 1.0
        urgent = asyncio.create_task(
            balancer.ask(advice_request(scheduler, urgent=True))
        )
        await asyncio.sleep(0.01)
        assert members.asked[-1][0] not in busy or count == 1
        results = await asyncio.gather(*answers, urgent)
        refused = [r for r in results if r.is_err()]
        assert refused and all(r.err().kind is ErrorKind.QUEUE_FULL for r in refused)

    with_cell(make_test_cell, scenario)


def test_as_many_requests_are_accepted_as_there_are_slots(with_balancer):
    """Guards against refused requests, whose steps ask again in no order."""

    async def scenario(balancer, members, scheduler):
        request = advice_request(scheduler, urgent=False)
        answers, counts = [], []
        while counts[-1:] != [0]:
            counts.append(balancer.count_slots())
            for _ in range(counts[-1]):
                answers.append(asyncio.create_task(balancer.ask(request)))
            await asyncio.sleep(0.01)
        assert counts == [4, 4, 0]
        assert all(reply.is_ok() for reply in await asyncio.gather(*answers))

    with_balancer(scenario, count=8)


def test_process_that_does_not_reply_is_excluded(make_test_cell):
    """Guards against repeated requests to a process that does not reply."""

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        scheduler.lifecycle.add_job(job(), session.now())
        members = FakeAdviceMembers(process, ["p0", "p1"])
        members.unresponsive.add("p0")
        balancer = AdviceBalancer(members=members)
        request = advice_request(scheduler, urgent=True)
        assert (await balancer.ask(request)).is_err()
        assert (await balancer.ask(request)).is_ok()

    with_cell(make_test_cell, scenario)


@pytest.mark.parametrize(
    "kind", [ErrorKind.RATE_LIMITED, ErrorKind.ANSWER_BROKEN, ErrorKind.INTERNAL]
)
def test_process_that_refuses_each_request_is_excluded(with_balancer, kind):
    """Guards against steps that never get an answer since one process refuses at once.

    Such a process has no outstanding requests, so it seems to be the least busy one.
    """

    async def scenario(balancer, members, scheduler):
        members.refusing["p4"] = kind
        request = advice_request(scheduler, urgent=False)
        assert (await balancer.ask(request)).is_err()
        # Exclusions of 1, 2, 4 and 8 s in the 10 s that 20 answers take.
        replies = [await balancer.ask(request) for _ in range(20)]
        assert sum(reply.is_err() for reply in replies) <= 4

    with_balancer(scenario, count=8)


def test_silent_processes_get_no_request_however_many_they_are(with_balancer):
    """Guards against requests to removed processes when most of them are gone.

    The processes count as live until `LIVENESS_TIMEOUT_S` has passed.
    """

    async def scenario(balancer, members, scheduler):
        heard_s = members.context.clock.now() - 1.5
        members.last_heard_s = {f"p{i}": heard_s for i in range(1, 9)}
        assert len(members.live()) == 10
        urgent = [balancer.ask(advice_request(scheduler, urgent=True)) for _ in "123"]
        replies = await asyncio.gather(
            *urgent, balancer.ask(advice_request(scheduler, urgent=False))
        )
        assert all(reply.is_ok() for reply in replies)
        assert {process for process, _ in members.asked} == {"p0", "p9"}

    with_balancer(scenario, count=10)


def test_reserved_share_is_one_of_the_processes_that_respond(with_balancer):
    """Guards against urgent requests that wait since the reserved ones are silent."""

    async def scenario(balancer, members, scheduler):
        heard_s = members.context.clock.now() - 1.5
        members.last_heard_s = {f"p{i}": heard_s for i in range(1, 5)}
        long = advice_request(scheduler, urgent=False)
        answers = [asyncio.create_task(balancer.ask(long)) for _ in range(10)]
        await asyncio.sleep(0.01)
        busy = {process for process, _ in members.asked}
        assert busy and busy <= {"p5", "p6"}
        urgent = await balancer.ask(advice_request(scheduler, urgent=True))
        assert urgent.is_ok()
        assert members.asked[-1][0] not in busy
        await asyncio.gather(*answers)

    with_balancer(scenario, count=7)


def test_process_that_never_replies_is_asked_less_and_less(with_balancer):
    """Guards against one failed request every few seconds for ever.

    The process sends hello messages, but requests to it get no reply.
    """

    async def scenario(balancer, members, scheduler):
        members.unresponsive.add("p1")
        request = advice_request(scheduler, urgent=True)
        until_s = members.context.clock.now() + 60.0
        while members.context.clock.now() < until_s:
            await asyncio.gather(balancer.ask(request), balancer.ask(request))
        # After exclusions of 1, 2, 4 and then 8 s.
        assert 2 <= members.count_asked("p1") <= 10
        members.unresponsive.clear()
        until_s = members.context.clock.now() + 20.0
        while members.context.clock.now() < until_s:
            await asyncio.gather(balancer.ask(request), balancer.ask(request))
        assert members.count_asked("p1") > 20

    with_balancer(scenario, count=4)


def test_service_that_was_down_is_asked_through_all_processes_again(with_balancer):
    """Guards against exclusions that outlast an outage of the service itself."""

    async def scenario(balancer, members, scheduler):
        members.unresponsive.update(members.names)
        request = advice_request(scheduler, urgent=True)
        until_s = members.context.clock.now() + 20.0
        while members.context.clock.now() < until_s:
            await asyncio.gather(*(balancer.ask(request) for _ in range(8)))
        members.unresponsive.clear()
        members.asked.clear()
        replies = await asyncio.gather(*(balancer.ask(request) for _ in range(8)))
        assert all(reply.is_ok() for reply in replies)
        assert len({process for process, _ in members.asked}) == 4

    with_balancer(scenario, count=4)


def test_request_is_given_up_when_its_process_falls_silent(with_balancer):
    """Guards against steps that wait for the answer of a removed process.

    The time limit of a request covers the outstanding ones before it, which can be
    much longer than a process counts as live.
    """

    async def scenario(balancer, members, scheduler):
        clock = members.context.clock
        request = advice_request(scheduler, urgent=True)
        members.unresponsive.update(members.names)
        answers = [asyncio.create_task(balancer.ask(request)) for _ in range(40)]
        await asyncio.sleep(0.01)
        members.last_heard_s["p1"] = clock.now()
        began_s = clock.now()
        through_p1 = [
            answer
            for answer, (process, _) in zip(answers, members.asked, strict=True)
            if process == "p1"
        ]
        assert len(through_p1) == 20
        await asyncio.gather(*through_p1)
        assert clock.now() - began_s <= LIVENESS_TIMEOUT_S + 0.5
        for answer in answers:
            answer.cancel()

    with_balancer(scenario, count=2)


def test_what_is_known_of_removed_processes_is_discarded(with_balancer):
    """Guards against counters that are kept for every process that ever was."""

    async def scenario(balancer, members, scheduler):
        request = advice_request(scheduler, urgent=True)
        for i in range(20):
            members.names = ["p0", f"q{i}"]
            members.unresponsive = {f"q{i}"}
            await asyncio.gather(balancer.ask(request), balancer.ask(request))
        assert len(balancer.relays) <= 3

    with_balancer(scenario, count=1)
