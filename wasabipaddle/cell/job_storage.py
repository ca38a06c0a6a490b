"""Storage of jobs and cancellations, through a peer if the store is out of reach."""

import asyncio

from result import Err, Ok

from wasabipaddle.cell.stored_jobs import create_job, store_cancellation
from wasabipaddle.cell.submission import JobsInDoubt, Submission
from wasabipaddle.exceptions import ErrorKind, Failure, Outcome
from wasabipaddle.messages.jobs import JobAccepted, Noted, StoreJob

__all__ = ["JobStorage", "fail", "not_configured"]

RETRY_S = 0.05
PEER_TIMEOUT_S = 1.5
# Limit of the peers that are asked in turn to store a job or a cancellation, the leader
# first.
MAX_PEERS = 3
NOTICE_TIMEOUT_S = 0.5
NOTICE_TRIES = 3
RETRY_AFTER_S = 1.0
NO_STORE = "the store does not answer"
# Kinds of failure that another try does not change, nor a commit in doubt, and kinds
# after which it is certain that a commit has not taken effect.
FINAL_KINDS = frozenset({ErrorKind.CONFLICT, ErrorKind.DEADLINE_UNMEETABLE})
NOT_STORED_KINDS = frozenset({ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_THROTTLED})


class JobStorage:
    """Stores jobs and cancellations, and notifies the dispatcher of them.

    Parameters
    ----------
    context : Context
        Provides the clock.
    configuration : ConfigurationPlugin
        Knows the configuration in force.
    members : MembersPlugin
        Knows the leader and the peers.
    store_plugin : CellStorePlugin
        The store.
    marks : RefusalMarks
        Marks of the refused jobs in the store.
    tasks : TaskSet
        Runs the notices to the dispatcher.
    """

    def __init__(self, *, context, configuration, members, store_plugin, marks, tasks):
        self.context = context
        self.configuration = configuration
        self.members = members
        self.store_plugin = store_plugin
        self.marks = marks
        self.tasks = tasks
        self.in_doubt = JobsInDoubt(clock=context.clock)

    def begin(self, job) -> Submission:
        """Return a submission that begins now."""
        return Submission(job=job, known_revision=self.store_plugin.seen_revision)

    async def store(self, submission, *, until_s):
        """Create the key of a job.

        Returns
        -------
        result.Result
            Epoch as returned by `_create_key`, or an `Err` whose outcome is `NOT_RUN`
            only if no commit of this process may still take effect.
        """
        stored = await self._try_to_store(submission, until_s=until_s)
        return self._settle(submission.job.id, stored)

    def _settle(self, job_id, stored):
        """Record whether a commit of a job is in doubt, and return the result for it.

        A failure that says nothing of earlier submissions is no refusal of a job that
        one of them may yet create.
        """
        if stored.is_ok() or stored.err().kind in FINAL_KINDS:
            self.in_doubt.discard(job_id)
        elif stored.err().outcome is not Outcome.NOT_RUN:
            self.in_doubt.add(job_id)
        elif job_id in self.in_doubt:
            return fail(ErrorKind.ACCEPTANCE_UNKNOWN, stored.err().detail)
        return stored

    async def _try_to_store(self, submission, *, until_s):
        """Create the key of a job, through a peer if the store is out of reach."""
        if self.store_plugin.health.unavailable:
            return await self._store_through_peer(submission, until_s=until_s)
        in_doubt = False
        while self.context.clock.now() < until_s:
            stored = await self._create_key(submission)
            submission.is_new = False
            if stored.is_ok() or stored.err().kind in FINAL_KINDS:
                return stored
            failure = stored.err()
            in_doubt |= failure.kind not in NOT_STORED_KINDS
            if self.store_plugin.health.unavailable:
                break
            await asyncio.sleep(RETRY_S)
        if in_doubt:
            return fail(ErrorKind.ACCEPTANCE_UNKNOWN, failure.detail)
        return await self._store_through_peer(submission, until_s=until_s)

    async def _create_key(self, submission):
        """Create the key of a job; see `create_job`."""
        return await create_job(
            self.store_plugin,
            submission,
            epoch=self.members.leader_epoch if self.members.leader else 0,
            marks=self.marks,
            configuration=self.configuration.current,
        )

    def announce(self, job, epoch):
        """Tell the dispatcher about a job that this process or a peer has stored."""
        self.notify(JobAccepted(job=job, epoch=epoch))

    def notify(self, message):
        """Notify the dispatcher, so that it does not depend on its slower watch."""
        self.tasks.spawn(self._deliver_notice(message))

    async def _deliver_notice(self, message):
        """Send a notice to the dispatcher, again after a failure."""
        for _ in range(NOTICE_TRIES):
            noted = await self.members.ask_leader(
                message, Noted, timeout_s=NOTICE_TIMEOUT_S
            )
            if noted.is_ok():
                return
            await asyncio.sleep(RETRY_S)

    async def _store_through_peer(self, submission, *, until_s):
        """Have a peer store a job, since this process does not reach the store.

        Storing a job again changes nothing, so the next peer is asked even if the
        previous one may have stored it.
        """
        in_doubt = None
        message = StoreJob(job=submission.job, known_revision=submission.known_revision)
        async for peer, stored in self._ask_peers(message, until_s=until_s):
            if stored.is_ok():
                return Ok(0)
            if stored.err().kind in FINAL_KINDS:
                return stored
            not_run = stored.err().outcome is Outcome.NOT_RUN
            if stored.err().kind is not ErrorKind.UNREACHABLE and not not_run:
                in_doubt = f"{peer}: {stored.err().detail}"
        if in_doubt is not None:
            return fail(ErrorKind.ACCEPTANCE_UNKNOWN, in_doubt)
        return fail(ErrorKind.STORE_UNAVAILABLE, NO_STORE)

    async def _ask_peers(self, message, *, until_s):
        """Ask up to `MAX_PEERS` peers in turn; yield each with its reply.

        Each call may take half of the time that is left, the last one all of it, so
        that a silent peer leaves time for the next.
        """
        peers = self.members.roster.peers(leader=self.members.leader)[:MAX_PEERS]
        for peer in peers:
            left_s = until_s - self.context.clock.now()
            if left_s <= 0:
                return
            limit_s = left_s if peer == peers[-1] else left_s / 2
            reply = await self.members.ask(
                peer, message, Noted, timeout_s=min(PEER_TIMEOUT_S, limit_s)
            )
            yield peer, reply

    async def store_for_peer(self, message):
        """Store a job for a process that does not reach the store."""
        stored = await self._try_for_peer(message)
        return self._settle(message.job.id, stored)

    async def _try_for_peer(self, message):
        if self.store_plugin.health.unavailable:
            return fail(ErrorKind.STORE_UNAVAILABLE, NO_STORE)
        if self.configuration.current is None:
            return not_configured()
        # The message may have been on its way for long.
        submission = Submission(
            job=message.job, is_new=False, known_revision=message.known_revision
        )
        stored = await self._create_key(submission)
        if stored.is_err():
            return stored
        self.announce(message.job, stored.ok())
        return Ok(Noted())

    async def cancel(self, message, *, until_s):
        """Store the cancellation that a `CancelJob` asks for, in a `Result`.

        Peers are asked as long as this process does not reach the store.
        """
        cancelled = await self._store_cancellation(message)
        while cancelled.is_err() and cancelled.err().kind is not ErrorKind.GONE:
            if self.context.clock.now() >= until_s:
                break
            async for _, cancelled in self._ask_peers(message, until_s=until_s):
                if cancelled.is_ok() or cancelled.err().kind is ErrorKind.GONE:
                    break
            if cancelled.is_err() and cancelled.err().kind is not ErrorKind.GONE:
                await asyncio.sleep(RETRY_S)
                cancelled = await self._store_cancellation(message)
        return cancelled

    async def _store_cancellation(self, message):
        """Store the cancellation that a `CancelJob` of any process asks for."""
        return await store_cancellation(
            self.store_plugin,
            self.configuration.current,
            message.queue,
            message.job,
            workspace=message.workspace,
            wall_ms=self.context.clock.wall_ms(),
            marks=self.marks,
        )

    async def cancel_for_peer(self, message):
        """Store a cancellation for a process that does not reach the store."""
        if self.configuration.current is None:
            return not_configured()
        stored = await self._store_cancellation(message)
        return stored.map(lambda _: Noted())


def not_configured():
    """Return the failure of a call before the first configuration."""
    return fail(ErrorKind.DRAINING, "no configuration has been applied yet")


def fail(kind, detail):
    """Return the failure of a call, as a `Result`."""
    return Err(Failure(kind=kind, detail=detail, retry_after_s=RETRY_AFTER_S))
