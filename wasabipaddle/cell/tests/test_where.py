"""Answers of the processes of a cell to where a job would go."""

import asyncio
from types import SimpleNamespace

import attrs
import msgspec
import pytest
from result import Err

from wasabipaddle.cell import where
from wasabipaddle.cell.after_round import AfterRound
from wasabipaddle.cell.session import TICK_S
from wasabipaddle.cell.tests.conftest import QUEUE
from wasabipaddle.cell.tests.session_parts import with_leading_session
from wasabipaddle.cell.where import DRY_RUN_PAUSE_S, MAX_DRY_RUN_TASKS, WherePlugin
from wasabipaddle.clock import ManualClock, run_virtual
from wasabipaddle.dispatch.dry_run import DryRun
from wasabipaddle.dispatch.tests.conftest import Cell, step
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import Capacity, Job, JobPhase, JobSpec, Workspace
from wasabipaddle.messages import decode, encode
from wasabipaddle.messages.jobs import ExpectedWait, LoadForecast
from wasabipaddle.messages.placement import (
    AskPlacement,
    AskWhere,
    PlacementReply,
    WaitReason,
    WhereReply,
)
from wasabipaddle.platform.client import encode_spec

JOB = "00000000000000aa"
SECRET = "key-of-somebody"


def encode_job(*steps):
    return msgspec.json.encode(encode_spec(JobSpec(payload="p", steps=steps)))


class FakeSession:
    """Session of a leader with the scheduler of a test.

    Attributes
    ----------
    planning : bool
        Whether it plans every `TICK_S` seconds.
    granting : bool
        Whether its proof of leadership lets it start tasks.
    """

    loaded = True
    planning = True
    granting = True

    def __init__(self, scheduled):
        self.scheduled = scheduled
        self.scheduler = scheduled.scheduler
        self.after_round = AfterRound()

    async def run(self):
        """Make planning rounds."""
        while True:
            await asyncio.sleep(TICK_S)
            if self.planning:
                self.scheduled.plan()
                self.after_round.make_calls()

    def now(self):
        return self.scheduled.now

    def may_grant(self):
        return self.granting


class Setup:
    """Process p0, which is asked, and the leader p1 with two runners.

    Attributes
    ----------
    scheduled : Cell
        Scheduler of the leader and its runners.
    failure : Failure or None
        Result of calls to the leader, None if it answers.
    events : list of tuple
        Lines of the structured logs of both processes.
    """

    def __init__(self, cell):
        self.scheduled = Cell(runners=2)
        self.scheduled.set_workspaces(
            Workspace(name="w1"), Workspace(name="w2", quota=Capacity(cpu=500))
        )
        self.process, self.leader = cell["p0"], cell["p1"]
        self.session = FakeSession(self.scheduled)
        self.failure = None
        self.events = []
        self.process.members.leader = "p1"
        self.process.members.ask_leader = self.ask_leader

    async def start(self, configuration):
        """Start the role on both processes."""
        for process in (self.process, self.leader):
            process.context.journal = lambda *kind, **values: self.events.append(
                (kind, values)
            )
            process.entry.configuration.current = configuration
            process.context.plugins.update(
                cell_configuration=process.entry.configuration,
                cell_dispatcher=self,
                cell_entry=process.entry,
                cell_members=process.members,
            )
            await WherePlugin(context=process.context).start()

    async def ask(self, **fields):
        """Ask p0 as a command does."""
        question = AskWhere(**{"body": encode_job(step()), "queue": "batch"} | fields)
        return await serve(self.process, question, WhereReply)

    async def ask_leader(self, message, reply_type, *, timeout_s):
        if self.failure is not None:
            return Err(self.failure)
        return await serve(self.leader, message, reply_type)


async def serve(process, message, reply_type):
    """Pass a message to a process through the codec, and return the decoded reply."""
    transport = process.members.transport
    reply = await transport.serve(type(message).__name__, encode(message))
    return reply.and_then(lambda data: decode(data, reply_type))


@pytest.fixture
def play(make_test_cell):
    """Run a scenario with a `Setup`; with `requires_keys`, calls need a workspace."""

    def run(scenario, *, requires_keys=False):
        async def main():
            cell = make_test_cell(2)
            setup = Setup(cell)
            configuration = setup.scheduled.configuration
            await setup.start(attrs.evolve(configuration, requires_keys=requires_keys))
            planning = asyncio.create_task(setup.session.run())
            await scenario(setup)
            planning.cancel()
            await cell.close()

        run_virtual(main())

    return run


def test_queue_is_selected_by_name_or_by_the_request(play):
    """Guards against a request that is explained for another queue than it reaches."""

    async def scenario(setup):
        reply = (await setup.ask()).ok()
        assert (reply.process, reply.leader) == ("p0", "p1")
        assert (reply.queue, reply.refusal) == ("batch", None)
        assert reply.placement.steps[0].starts == {"r0": 1}
        await asyncio.sleep(DRY_RUN_PAUSE_S)
        reply = (await setup.ask(queue="", host="h", path=f"/u/{JOB}")).ok()
        assert reply.queue == "urgent"
        assert [kind for (kind,), _ in setup.events] == ["dry_run", "where_asked"] * 2
        counters = setup.process.context.metrics.snapshot()["counters"]
        assert counters["where_answered"] == 2

    play(scenario)


WAITS = (ExpectedWait(pool="pool", priority=2, room=8000.0, points=((-100.0, 500.0),)),)


@pytest.mark.parametrize(
    ("workspace", "waits", "kind"),
    [
        ("w1", (), None),
        ("w2", (), ErrorKind.QUOTA_EXCEEDED),
        ("w1", WAITS, ErrorKind.DEADLINE_UNMEETABLE),
    ],
)
def test_refusal_is_the_one_that_a_submission_gets(play, workspace, waits, kind):
    """Guards against a job that is said to be admitted and then refused."""

    async def scenario(setup):
        members = setup.process.members
        members.forecast = LoadForecast(waits=waits)
        members.waiting_received_s = setup.process.context.clock.now()
        reply = (await setup.ask(workspace=workspace)).ok()
        queue = setup.scheduled.configuration.queue("batch")
        spec = JobSpec(payload="p", steps=(step(),))
        accepted = await setup.process.entry.submit(
            queue, JOB, spec, wait_s=3.0, workspace=workspace
        )
        assert (reply.refusal and reply.refusal.kind) == kind
        assert accepted.is_ok() == (kind is None)
        if kind is not None:
            failure = accepted.err()
            assert (failure.kind, failure.detail) == (kind, reply.refusal.detail)

    play(scenario, requires_keys=True)


@pytest.mark.parametrize(
    ("fields", "detail"),
    [
        ({"queue": SECRET}, "no queue has this name"),
        ({"queue": "", "host": "h", "path": "/x/"}, "no queue for this host and path"),
        ({"queue": "", "host": "h", "path": "/u/x"}, "the path names no job"),
        ({"workspace": ""}, "the queue needs a workspace: name it"),
        ({"workspace": SECRET}, "no workspace has this name"),
        ({"body": b"{"}, "the job cannot be decoded"),
        ({"body": b""}, "the job cannot be decoded"),
        ({"body": encode_job(step(after=(0,)))}, "step 0 depends on a step"),
    ],
)
def test_wrong_question_is_explained(play, fields, detail):
    """Guards against an unclear error, and a key in an error or in the log."""

    async def scenario(setup):
        failure = (await setup.ask(**{"workspace": "w1"} | fields)).err()
        assert failure.kind is ErrorKind.INVALID_REQUEST
        assert failure.detail.startswith(detail)
        assert SECRET not in failure.detail + repr(setup.events)
        assert setup.events[-1][1]["reason"] == "invalid_request"

    play(scenario, requires_keys=True)


@pytest.mark.parametrize(
    ("kind", "detail"),
    [
        (ErrorKind.TIMEOUT, "the leader p1 does not answer"),
        (ErrorKind.UNREACHABLE, "the leader p1 does not answer"),
        (ErrorKind.NOT_FOUND, "the leader p1 runs an earlier version"),
        (ErrorKind.NO_LEADER, "no leader known"),
    ],
)
def test_missing_answer_of_the_leader_is_explained(play, kind, detail):
    """Guards against a cut, a takeover or an upgrade that looks like a wrong file."""

    async def scenario(setup):
        setup.failure = Failure(kind=kind, detail="no leader known")
        failure = (await setup.ask()).err()
        assert failure.kind is ErrorKind.NO_LEADER
        assert failure.detail.startswith(detail)

    play(scenario)


def test_leader_that_takes_over_or_has_lost_its_leadership_answers_so(play):
    """Guards against an answer from a state that is not whole or no longer followed."""

    async def scenario(setup):
        setup.session.loaded = False
        assert (await setup.ask()).err().kind is ErrorKind.NO_LEADER
        setup.session = None
        assert (await setup.ask()).err().kind is ErrorKind.NOT_LEADER

    play(scenario)


def test_questions_are_bounded_in_rate_and_size(play):
    """Guards against questions that keep the leader from starting tasks."""

    async def scenario(setup):
        assert (await setup.ask()).is_ok()
        failure = (await setup.ask()).err()
        assert failure.kind is ErrorKind.RATE_LIMITED
        assert 0 < failure.retry_after_s <= DRY_RUN_PAUSE_S
        await asyncio.sleep(DRY_RUN_PAUSE_S)
        body = encode_job(step(MAX_DRY_RUN_TASKS + 1))
        assert (await setup.ask(body=body)).err().kind is ErrorKind.BODY_TOO_LARGE
        assert (await setup.ask()).is_ok()
        counters = setup.leader.context.metrics.snapshot()["counters"]
        assert counters["dry_runs_rate_limited"] == 1

    play(scenario)


def test_slow_dry_runs_are_further_apart(play, monkeypatch):
    """Guards against questions that take a large part of the time of a leader."""
    clock = ManualClock()

    class SlowDryRun(DryRun):
        def place(self, job):
            clock.advance(0.5)
            return super().place(job)

    async def scenario(setup):
        monkeypatch.setattr(where, "DryRun", SlowDryRun)
        setup.leader.context.clock = clock
        assert (await setup.ask()).is_ok()
        clock.advance(0.9 * 0.5 / where.DRY_RUN_SHARE)
        assert (await setup.ask()).err().kind is ErrorKind.RATE_LIMITED
        clock.advance(0.2 * 0.5 / where.DRY_RUN_SHARE)
        assert (await setup.ask()).is_ok()

    play(scenario)


def test_job_that_exists_is_not_said_to_be_refused(play):
    """Guards against the refusal of a job that a repeated submission would find."""

    async def scenario(setup):
        setup.scheduled.submit(JOB, step(), queue="batch", workspace="w2")
        fields = {"queue": "", "host": "h", "path": f"/b/{JOB}", "workspace": "w2"}
        reply = (await setup.ask(**fields)).ok()
        assert reply.placement.phase is JobPhase.QUEUED
        assert reply.refusal is None

    play(scenario, requires_keys=True)


def test_room_that_others_get_in_the_next_round_is_not_promised(play):
    """Guards against a start on room that has become free for work that goes before."""

    async def scenario(setup):
        scheduled = setup.scheduled
        scheduled.submit("full", step(8))
        scheduled.plan()
        scheduled.read_inventories()
        for number in range(20):
            scheduled.submit(f"w{number}", step(), queue="urgent")
        scheduled.plan()
        runner = scheduled.runners["r0"]
        runner.end(*next(iter(runner.running)))
        scheduled.read_inventories()
        (answer,) = (await setup.ask()).ok().placement.steps
        assert (answer.starts, answer.place) == ({}, 19)
        assert answer.waits_for is WaitReason.ROOM

    play(scenario)


def test_leader_that_plans_no_rounds_answers_so(play):
    """Guards against an answer from a state that the leader is about to confirm."""

    async def scenario(setup):
        setup.session.planning = False
        failure = (await setup.ask()).err()
        assert failure.kind is ErrorKind.NO_LEADER
        assert failure.detail == "the leader plans no rounds now"
        setup.session.planning = True
        assert (await setup.ask()).is_ok()

    play(scenario)


def test_leader_without_a_proof_promises_no_start(play):
    """Guards against runners that are named by a leader which may be replaced."""

    async def scenario(setup):
        setup.session.granting = False
        (answer,) = (await setup.ask()).ok().placement.steps
        assert (answer.starts, answer.waits_for) == ({}, WaitReason.NOT_GRANTING)

    play(scenario)


def test_error_in_a_dry_run_does_not_end_planning(play):
    """Guards against a question that stops the dispatcher."""

    def fail():
        raise KeyError

    async def scenario(setup):
        with pytest.raises(KeyError):
            await setup.session.after_round.call(fail, timeout_s=1.0)
        assert (await setup.ask()).is_ok()

    play(scenario)


def test_dry_run_follows_a_round_of_a_session_in_one_step(make_test_cell):
    """Guards against an answer between the arrival of a job and the round for it."""

    async def main(cell, session):
        state, process = session.scheduler.state, cell["p0"]
        state.runners["r0"].inventoried = True
        session.calls.send = lambda order: None
        process.context.plugins.update(
            cell_configuration=process.entry.configuration,
            cell_dispatcher=SimpleNamespace(session=session),
            cell_entry=process.entry,
            cell_members=process.members,
        )
        await WherePlugin(context=process.context).start()
        spec = JobSpec(payload="p", steps=(step(),))
        jobs = [
            Job(id=name, policy=QUEUE, accepted_ms=0, spec=spec) for name in ("a", "b")
        ]
        session.add_job(jobs[0], epoch=session.epoch)
        reply = await serve(process, AskPlacement(job=jobs[1]), PlacementReply)
        (answer,) = reply.ok().steps
        assert (answer.starts, answer.place) == ({}, 0)
        assert [key.job for key, _ in state.runners["r0"].runs] == ["a"]

    with_leading_session(make_test_cell, main)
