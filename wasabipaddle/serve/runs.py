"""Role `runs`: forwards operations on runs to the leader of their shard."""

import asyncio

import attrs
import xxhash
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.kernel import Mailbox, Plugin
from wasabipaddle.messages import (
    CancelRun,
    ListRuns,
    QueryRun,
    RunPage,
    RunState,
    RunView,
    StopRun,
    SubmitRun,
    WaitRun,
)
from wasabipaddle.runs import allowed_shards
from wasabipaddle.serve.tasks import TaskSet
from wasabipaddle.timeline import EventKind

__all__ = ["RunsPlugin", "home_shard"]

# Time without a reply after which a leader is taken to be paused. A retry is safe,
# since the leader joins a repeated submission to the pending one.
CALL_TIMEOUT_S = 1.5
# Covers a change of leadership, which takes up to one lease and a recovery.
LEADER_CHANGE_TIMEOUT_S = 8.0
RETRY_S = 0.25
# Longest wait in one call to a leader, see `RunsPlugin._wait`.
WAIT_STEP_S = 3.0

_RETRIED = frozenset(
    {
        ErrorKind.NOT_LEADER,
        ErrorKind.NO_LEADER,
        ErrorKind.UNREACHABLE,
        ErrorKind.TIMEOUT,
        ErrorKind.ACCEPTANCE_UNKNOWN,
        ErrorKind.STALE_EPOCH,
    }
)
# The leader may have accepted a submission that failed with one of these kinds.
_IN_DOUBT = frozenset(
    {ErrorKind.TIMEOUT, ErrorKind.ACCEPTANCE_UNKNOWN, ErrorKind.STALE_EPOCH}
)


def home_shard(shards, service, key) -> str:
    """Return the shard that accepts a key, chosen by rendezvous hashing.

    Every entry process that passes the same shards gets the same result. Submissions
    with the same key then reach the same leader, whichever process they arrive at, so
    a retry does not create a second run.

    References
    ----------
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
    """

    def weight(shard):
        return xxhash.xxh3_64_intdigest(f"{shard}/{service}/{key}".encode())

    return max(shards, key=weight)


class RunsPlugin(Plugin):
    """Handles operations on runs from the bus, and from peers for shards led here."""

    name = "runs"
    requires = ("transport", "membership", "shards", "relay")

    def __init__(self, *, context):
        super().__init__(context=context)
        plugins = context.plugins
        self.transport = plugins["transport"].transport
        self.membership = plugins["membership"]
        self.leaders = plugins["shards"].leaders
        self.documents = plugins["relay"]
        self.mailbox = Mailbox()
        self.tasks = TaskSet()
        for message_type in (
            SubmitRun,
            QueryRun,
            WaitRun,
            CancelRun,
            StopRun,
            ListRuns,
        ):
            self.transport.handle(message_type, self.serve_peer)

    async def start(self):
        """Start handling the operations from the bus."""
        self.context.bus.register(
            self.mailbox, SubmitRun, QueryRun, WaitRun, CancelRun, StopRun, ListRuns
        )
        self.tasks.spawn(self._read_mailbox())

    async def stop(self):
        """Stop the tasks."""
        await self.tasks.close()

    async def serve_peer(self, message):
        """Execute an operation if this process leads its shard, else refuse it."""
        shard = _shard_of(message)
        leader = self.leaders.get(shard)
        if leader is None:
            detail = f"this process does not lead shard {shard}"
            return Err(Failure(kind=ErrorKind.NOT_LEADER, detail=detail))
        return await leader.ask(message, timeout_s=_timeout_s(message))

    async def _read_mailbox(self):
        while True:
            envelope = await self.mailbox.receive()
            self.tasks.spawn(self._answer(envelope))

    async def _answer(self, envelope):
        envelope.answer(await self.operate(envelope.message))

    async def operate(self, message):
        """Execute one operation at the leader of its shard."""
        if isinstance(message, SubmitRun):
            return await self._submit(message)
        if isinstance(message, ListRuns) and not message.shard:
            return await self._list_all(message)
        shard = _shard_of(message)
        if shard not in self._shards():
            detail = "there is no such run"
            return Err(Failure(kind=ErrorKind.NOT_FOUND, detail=detail))
        if isinstance(message, WaitRun):
            return await self._wait(shard, message)
        return await self._call(shard, message)

    async def _wait(self, shard, message):
        """Wait for the end of a run by repeated short calls.

        A single long call would not detect that the leader has been replaced.
        """
        clock = self.context.clock
        deadline = clock.now() + message.wait_s
        while True:
            left_s = max(deadline - clock.now(), 0.0)
            step = attrs.evolve(message, wait_s=min(left_s, WAIT_STEP_S))
            result = await self._call(shard, step)
            ended = result.is_ok() and result.unwrap().state is RunState.ENDED
            if ended or result.is_err() or clock.now() >= deadline:
                return result

    # Submission

    async def _submit(self, message):
        document = self.documents.get(message.service)
        if document is None:
            detail = f"there is no service {message.service}"
            return Err(Failure(kind=ErrorKind.NOT_FOUND, detail=detail))
        shards = allowed_shards(self.context.settings, document)
        if not shards:
            detail = "the document allows no data centre of this cell"
            return Err(Failure(kind=ErrorKind.IMPOSSIBLE, detail=detail))
        local = [s for s in shards if s in self._local_shards()]
        if message.key_generated and local:
            shards = local
        shard = home_shard(shards, message.service, message.key)
        addressed = attrs.evolve(message, shard=shard)
        result = await self._call(shard, addressed)
        if result.is_ok():
            run = result.unwrap().run
            self.context.events.record(
                EventKind.RUN_SUBMITTED,
                run=run,
                service=message.service,
                detail="acceptance received",
            )
        return result

    def _shards(self):
        settings = self.context.settings
        centres = settings.deployment.data_centres
        return [s for c in centres for s in settings.shards_of(c.name)]

    def _local_shards(self):
        settings = self.context.settings
        return settings.shards_of(settings.data_centre)

    # Listing

    async def _list_all(self, message):
        shards = sorted(self._shards())
        first_shard = message.after.rpartition(".")[0]
        views = []
        for shard in (s for s in shards if s >= first_shard):
            wanted = message.limit - len(views)
            part = attrs.evolve(message, shard=shard, limit=wanted)
            result = await self._call(shard, part)
            if result.is_err():
                return result
            views.extend(result.unwrap().runs)
            if len(views) >= message.limit:
                return Ok(RunPage(runs=tuple(views), next_after=views[-1].run))
        return Ok(RunPage(runs=tuple(views)))

    # Calls

    async def _call(self, shard, message):
        """Call the leader of a shard, with retries during a change of leadership.

        Retries are safe because every operation is idempotent: a submission by its
        key, the others by the run id. After the known leader, the other processes of
        its data centre are called in turn: another data centre learns of a change
        only from the next summary, and a process that does not lead refuses at once.
        """
        clock = self.context.clock
        retry_until = clock.now() + LEADER_CHANGE_TIMEOUT_S
        in_doubt = False
        tried = set()
        while True:
            result = await self._call_once(shard, message, tried)
            if result.is_ok() or result.unwrap_err().kind not in _RETRIED:
                return result
            in_doubt = in_doubt or result.unwrap_err().kind in _IN_DOUBT
            if clock.now() >= retry_until:
                return _final_result(message, result, in_doubt)
            await asyncio.sleep(RETRY_S)

    async def _call_once(self, shard, message, tried):
        if shard in self.leaders:
            return await self.serve_peer(message)
        targets = self._targets(shard)
        if not targets:
            detail = f"no leader of shard {shard} is known"
            return Err(
                Failure(kind=ErrorKind.NO_LEADER, detail=detail, retry_after_s=1.0)
            )
        if tried.issuperset(targets):
            tried.clear()
        # The order of the targets changes with the leader, so an index into it could
        # select a process twice.
        target = next(t for t in targets if t not in tried)
        tried.add(target)
        reply_type = RunPage if isinstance(message, ListRuns) else RunView
        timeout_s = _timeout_s(message) + RETRY_S
        return await self.transport.call(
            target, message, reply_type, timeout_s=timeout_s
        )

    def _targets(self, shard):
        """Return the other processes that may lead a shard, the known leader first."""
        settings = self.context.settings
        data_centre = shard.rpartition("-")[0]
        leader = self.membership.leader_of(shard)
        names = [
            e.name
            for e in settings.deployment.entries
            if e.data_centre == data_centre and e.name != settings.process
        ]
        return sorted(names, key=lambda n: n != leader)


def _shard_of(message):
    if isinstance(message, SubmitRun | ListRuns):
        return message.shard
    return message.run.rpartition(".")[0]


def _timeout_s(message):
    wait_s = message.wait_s if isinstance(message, WaitRun) else 0.0
    return CALL_TIMEOUT_S + wait_s


def _final_result(message, result, in_doubt):
    failure = result.unwrap_err()
    if isinstance(message, SubmitRun) and in_doubt:
        return Err(attrs.evolve(failure, kind=ErrorKind.ACCEPTANCE_UNKNOWN))
    if failure.kind is ErrorKind.NOT_LEADER:
        return Err(attrs.evolve(failure, kind=ErrorKind.NO_LEADER, retry_after_s=1.0))
    return result
