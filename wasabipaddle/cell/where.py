"""Role `cell_where`: tells where a job would go now, without a submission."""

import secrets

from result import Err, Ok

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.dispatcher import DispatcherPlugin
from wasabipaddle.cell.entry import EntryPlugin
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.dispatch.dry_run import DryRun
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import Job, requires_key
from wasabipaddle.jobs.submission import find_size_problem
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages.placement import (
    AskPlacement,
    AskWhere,
    PlacementReply,
    WhereReply,
)
from wasabipaddle.platform.jobs import JOB_ID, decode_spec

__all__ = ["WherePlugin"]

LEADER_TIMEOUT_S = 3.0
# Longest wait of the leader for the end of its next planning round.
ROUND_TIMEOUT_S = 2.0
# Shortest pause between two dry runs, and largest part of a leader's time that they
# take; it plans nothing meanwhile.
DRY_RUN_PAUSE_S = 1.0
DRY_RUN_SHARE = 0.05
# Largest number of tasks of a job in a dry run, over all steps and occurrences.
MAX_DRY_RUN_TASKS = 2_000
# Length of the identifier of a job that has none, in bytes.
JOB_ID_BYTES = 8
MS_PER_S = 1000
# Failures of the call to a leader that mean that it gives no answer.
SILENT_KINDS = frozenset({ErrorKind.TIMEOUT, ErrorKind.UNREACHABLE})


class WherePlugin(Plugin):
    """Answers where a job would go.

    The process that is asked decides on the admission, as it would at a submission, and
    asks the leader for the placement.

    Attributes
    ----------
    next_s : float
        Time from which this process, as the leader, makes another dry run.
    """

    name = "cell_where"
    requires = (
        ConfigurationPlugin.name,
        DispatcherPlugin.name,
        EntryPlugin.name,
        MembersPlugin.name,
    )

    def __init__(self, *, context):
        super().__init__(context=context)
        self.next_s = 0.0

    async def start(self):
        """Register the handlers of the questions."""
        plugins = self.context.plugins
        self.configuration = plugins[ConfigurationPlugin.name]
        self.dispatcher = plugins[DispatcherPlugin.name]
        self.entry = plugins[EntryPlugin.name]
        self.members = plugins[MembersPlugin.name]
        transport = self.members.transport
        transport.handle(AskWhere, self._answer)
        transport.handle(AskPlacement, self._place)

    async def stop(self):
        """Do nothing; the transport is closed with its own role."""

    async def _answer(self, question):
        """Answer an operator."""
        began = self.context.clock.now()
        reply = await self._find_place(question)
        kind = reply.err().kind.value if reply.is_err() else None
        self.context.metrics.count(
            "where_answered" if kind is None else f"where_refused_{kind}"
        )
        self.context.journal(
            "where_asked",
            # Names that are not configured may be anything, also a key.
            queue=reply.ok().queue if reply.is_ok() else None,
            workspace=question.workspace if reply.is_ok() else None,
            leader=self.members.leader,
            took_ms=int((self.context.clock.now() - began) * MS_PER_S),
            reason=kind,
        )
        return reply

    async def _find_place(self, question):
        made = self._make_job(question)
        if made.is_err():
            return made
        job, leader = made.ok(), self.members.leader
        placement = await self.members.ask_leader(
            AskPlacement(job=job), PlacementReply, timeout_s=LEADER_TIMEOUT_S
        )
        if placement.is_err():
            return Err(_explain_silence(leader, placement.err()))
        known = placement.ok().phase is not None
        return Ok(
            WhereReply(
                process=self.context.settings.process,
                leader=leader,
                queue=job.policy.name,
                pool=job.policy.pool,
                # A job that exists is never refused.
                refusal=None if known else self.entry.admission.find_refusal(job),
                placement=placement.ok(),
            )
        )

    def _make_job(self, question):
        """Return the job that a submission would create, in a `Result`.

        Errors leave names out, since one may be a key that was taken for a name.
        """
        selected = self._select_queue(question)
        if selected.is_err():
            return selected
        queue = selected.ok()
        job_id = question.path[len(queue.prefix) :] or secrets.token_hex(JOB_ID_BYTES)
        if JOB_ID.fullmatch(job_id) is None:
            return _invalid("the path names no job")
        problem = self._find_workspace_problem(queue, question.workspace)
        if problem:
            return _invalid(problem)
        max_tasks = self.context.settings.max_job_tasks
        spec = decode_spec(question.body, max_tasks=max_tasks)
        return spec.map(
            lambda spec: Job(
                id=job_id,
                policy=queue,
                accepted_ms=self.context.clock.wall_ms(),
                spec=spec,
                workspace=question.workspace,
            )
        )

    def _select_queue(self, question):
        if self.configuration.current is None:
            detail = "no configuration has been applied yet"
            return Err(Failure(kind=ErrorKind.DRAINING, detail=detail))
        if not question.queue:
            selected = self.entry.select_queue(question.host, question.path)
            return selected.or_else(lambda failure: _invalid(failure.detail))
        queue = self.configuration.current.queue(question.queue)
        if queue is None:
            return _invalid("no queue has this name")
        return Ok(queue)

    def _find_workspace_problem(self, queue, workspace) -> str:
        """Return why a workspace cannot submit to a queue, an empty string if it can.

        The name takes the place of the key of a submission.
        """
        current = self.configuration.current
        if not requires_key(current, queue):
            return "the queue needs no workspace" if workspace else ""
        if not workspace:
            return "the queue needs a workspace: name it"
        known = workspace in current.workspaces
        return "" if known else "no workspace has this name"

    async def _place(self, question):
        """Make a dry run after the next planning round, as the leader."""
        session = self.dispatcher.session
        if session is None:
            detail = "process is not the leader"
            return Err(Failure(kind=ErrorKind.NOT_LEADER, detail=detail))
        if not session.loaded:
            detail = "dispatcher is still loading jobs"
            return Err(Failure(kind=ErrorKind.NO_LEADER, detail=detail))
        problem = find_size_problem(question.job.spec, MAX_DRY_RUN_TASKS)
        if problem:
            return Err(Failure(kind=ErrorKind.BODY_TOO_LARGE, detail=problem))
        try:
            return await session.after_round.call(
                lambda: self._make_dry_run(session, question.job),
                timeout_s=ROUND_TIMEOUT_S,
            )
        except TimeoutError:
            detail = "the leader plans no rounds now"
            return Err(Failure(kind=ErrorKind.NO_LEADER, detail=detail))

    def _make_dry_run(self, session, job):
        """Make a dry run, unless the last one was just before.

        It follows a planning round, since room that is free before one goes to other
        steps.
        """
        began = self.context.clock.now()
        if began < self.next_s:
            self.context.metrics.count("dry_runs_rate_limited")
            return Err(
                Failure(
                    kind=ErrorKind.RATE_LIMITED,
                    detail="the leader has just made a dry run; ask again",
                    retry_after_s=self.next_s - began,
                )
            )
        dry_run = DryRun(
            scheduler=session.scheduler,
            now=session.now(),
            may_start=session.may_grant(),
        )
        reply = dry_run.place(job)
        ended = self.context.clock.now()
        took_s = ended - began
        self.next_s = ended + max(DRY_RUN_PAUSE_S, took_s / DRY_RUN_SHARE)
        self.context.metrics.observe("dry_run", took_s)
        self.context.journal(
            "dry_run",
            queue=job.policy.name,
            workspace=job.workspace,
            steps=len(reply.steps),
            starts=sum(sum(step.starts.values()) for step in reply.steps),
            took_ms=int(took_s * MS_PER_S),
        )
        return Ok(reply)


def _invalid(detail):
    return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail))


def _explain_silence(leader, failure):
    """Return the failure to report for a leader that has not answered."""
    if failure.kind in SILENT_KINDS:
        detail = f"the leader {leader} does not answer: {failure.detail}"
    elif failure.kind is ErrorKind.NOT_FOUND:
        detail = f"the leader {leader} runs an earlier version, which makes no dry runs"
    else:
        return failure
    return Failure(kind=ErrorKind.NO_LEADER, detail=detail)
