"""Role `keys`: idempotency keys of requests over all entry processes."""

import asyncio

from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages import (
    ClaimKey,
    ClaimReply,
    KeptReply,
    KeyRecordsPage,
    KeyRecordsQuery,
    QueryKept,
    ReleaseKey,
)
from wasabipaddle.routing.key_records import KeyRecords, majority_of
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["KeysPlugin"]

CLAIM_TIMEOUT_S = 1.0
# A vote of the previous process of this name may still be counted until
# `CLAIM_TIMEOUT_S` after its end. Copies begin later, so that they contain the
# records of the other votes of that claim.
COPY_DELAY_S = 1.5
COPY_PERIOD_S = 2.0
UNSETTLED_PERIOD_S = 30.0

_TOLD = frozenset({ErrorKind.CONFLICT, ErrorKind.IN_PROGRESS, ErrorKind.ANSWER_BROKEN})


class KeysPlugin(Plugin):
    """Lets at most one process run the request of an idempotency key.

    Every key has a group of three processes. A process may run a keyed request only
    after two of them have recorded its claim and were certain that they had none.
    Where that fails, the answer is `outcome_unknown`, or the kept answer of the
    process that holds the key.

    Attributes
    ----------
    records : KeyRecords
        Claims at this process.
    kept : KeptAnswers or None
        Ended requests of this process, set by the HTTP interface.

    Notes
    -----
    Covered for `RETENTION_S` after the first claim: the death, replacement, pause,
    drain or isolation of one process, and any partition, because two majorities of
    a group share a member. A process without memory gives no certain vote until it
    has copied the records of the others. Two members of a group that are replaced at
    once give no certain vote until their uptime exceeds the retention, unless the
    third has lost its memory too. Not covered: all three members of a group are
    replaced before one of them has copied the records, a repeat after the retention
    time, and a monotonic clock that does not advance while a process is suspended.
    """

    name = "keys"
    requires = ("transport",)

    def __init__(self, *, context):
        super().__init__(context=context)
        settings = context.settings
        self.process = settings.process
        self.transport = context.plugins["transport"].transport
        self.records = KeyRecords(
            process=self.process,
            names=[p.name for p in settings.deployment.entries],
            now=context.clock.now(),
        )
        self.kept = None
        self.tasks = TaskSet()
        self.transport.handle(ClaimKey, self._record)
        self.transport.handle(ReleaseKey, self._forget)
        self.transport.handle(KeyRecordsQuery, self._page)
        self.transport.handle(QueryKept, self._answer)

    async def start(self):
        """Start to copy the records of the other members."""
        for peer in self.records.missing(self.context.clock.now()):
            self.tasks.spawn(self._copy_from(peer))

    async def stop(self):
        """Stop the tasks."""
        await self.tasks.close()

    # Claims

    async def claim(
        self, key, request, fingerprint
    ) -> Result[KeptReply | None, Failure]:
        """Ask for the right to run a request.

        Parameters
        ----------
        key : str
            Digest of the key, see `key_digest`.
        request : str
            Request id.
        fingerprint : str
            Digest of the body in hexadecimal digits.

        Returns
        -------
        result.Result
            None if the request may run, the end of an earlier one with the key, or
            an `Err`. After an `Err` the request must not run.
        """
        message = ClaimKey(sender=self.process, key=key, request=request)
        sent_at = self.context.clock.now()
        granted, owners = await self._vote(message)
        # A process that was suspended may count votes too late.
        in_time = self.context.clock.now() - sent_at <= CLAIM_TIMEOUT_S
        if granted and in_time:
            return Ok(None)
        self.context.metrics.count("keys.refused")
        self.release(key, request)
        return await self._earlier(key, fingerprint, owners)

    def release(self, key, request):
        """Let a later attempt run, after this one was surely not run."""
        message = ReleaseKey(sender=self.process, key=key, request=request)
        for member in self.records.group(key):
            self.tasks.spawn(self._send(member, message, ReleaseKey))

    async def _vote(self, message):
        """Return whether a majority granted the claim, and who else holds the key."""
        group = self.records.group(message.key)
        needed = majority_of(group)
        votes = [self.tasks.spawn(self._send(m, message, ClaimReply)) for m in group]
        granted, owners, left = 0, [], len(group)
        for vote in asyncio.as_completed(votes):
            reply = await vote
            left -= 1
            if reply.is_ok():
                found = reply.unwrap()
                if (found.owner, found.request) == (message.sender, message.request):
                    granted += found.certain
                elif found.owner:
                    owners.append(found.owner)
            if granted >= needed or granted + left < needed:
                break
        return granted >= needed, owners

    async def _earlier(self, key, fingerprint, owners):
        """Return how the request of the holder of a key ended."""
        owner = next((o for o in owners if o != self.process), None)
        if owner is None:
            return _unknown("it is not certain whether an earlier request has run")
        message = QueryKept(sender=self.process, key=key, fingerprint=fingerprint)
        reply = await self._send(owner, message, KeptReply)
        if reply.is_ok():
            return reply
        if reply.unwrap_err().kind in _TOLD:
            return reply
        return _unknown("the process of an earlier request does not tell its end")

    async def _send(self, member, message, reply_type):
        if member != self.process:
            return await self.transport.call(
                member, message, reply_type, timeout_s=CLAIM_TIMEOUT_S
            )
        handler = self._record if reply_type is ClaimReply else self._forget
        return await handler(message)

    # Service for other processes

    async def _record(self, message):
        return Ok(self.records.claim(message, self.context.clock.now()))

    async def _forget(self, message):
        self.records.release(message)
        return Ok(message)

    async def _page(self, message):
        now = self.context.clock.now()
        return Ok(self.records.page(message.sender, message.after, now))

    async def _answer(self, message):
        if self.kept is None:
            return _unknown("no answers are kept")
        found = self.kept.find(message.key, bytes.fromhex(message.fingerprint))
        if found.is_err():
            return found
        end = found.unwrap()
        if end is None:
            return _unknown("the answer is no longer kept")
        return Ok(
            KeptReply(
                request=end.request,
                body=end.body,
                digest=end.digest,
                failure=end.failure,
            )
        )

    # Copies

    async def _copy_from(self, peer):
        """Copy the records of a peer, again until it held all that it should hold.

        A peer that is new itself settles only after its cold start, and asking every
        peer of a new cell more often would exceed the byte limit of control.
        """
        await asyncio.sleep(COPY_DELAY_S)
        pause_s = COPY_PERIOD_S
        while peer in self.records.missing(self.context.clock.now()):
            if await self._copy(peer):
                pause_s = UNSETTLED_PERIOD_S
            else:
                pause_s = min(2 * pause_s, UNSETTLED_PERIOD_S)
            await asyncio.sleep(pause_s * self.context.random.uniform(0.8, 1.2))

    async def _copy(self, peer) -> bool:
        """Copy all pages; return whether the peer answered."""
        after = ""
        while True:
            message = KeyRecordsQuery(sender=self.process, after=after)
            reply = await self._send_query(peer, message)
            if reply.is_err():
                return False
            page, now = reply.unwrap(), self.context.clock.now()
            self.records.merge(page.records, now)
            if not page.more:
                self.records.finish_copy(peer, settled=page.settled, now=now)
                return True
            after = page.records[-1].key

    async def _send_query(self, peer, message):
        return await self.transport.call(
            peer, message, KeyRecordsPage, timeout_s=CLAIM_TIMEOUT_S
        )


def _unknown(detail):
    return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail))
