"""Role `keys`: idempotency keys of requests across all entry processes."""

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
# A claim may still count a vote of the previous process of this name until
# `CLAIM_TIMEOUT_S` after that process ended. Copies start later, so that they contain
# the records that the other members made for the claim.
COPY_DELAY_S = 1.5
COPY_PERIOD_S = 2.0
UNSETTLED_PERIOD_S = 30.0

# Failures of the owner of a key that are passed on to the caller.
_PASSED_ON = frozenset(
    {ErrorKind.CONFLICT, ErrorKind.IN_PROGRESS, ErrorKind.ANSWER_BROKEN}
)


class KeysPlugin(Plugin):
    """Lets at most one process run the request of an idempotency key.

    Every key has a group of three processes. A process may run a keyed request only
    after two of them have recorded its claim and were certain that there was no
    earlier one. Otherwise the result is the answer or failure that the process which
    owns the key has cached, or `outcome_unknown`.

    Attributes
    ----------
    records : KeyRecords
        Claims recorded at this process.
    answer_cache : AnswerCache or None
        Cached answers of this process, set by the HTTP interface.

    Notes
    -----
    For `key_records.RETENTION_S` after the first claim, a key is protected against the
    crash, replacement, pause, drain or isolation of one process and against any
    partition, because two majorities of a group share a member. A restarted process
    gives no certain vote until it has copied the records of the others. Two members
    of a group that are replaced at the same time give no certain vote until their
    uptime exceeds the retention time, unless the third has lost its records too.

    A key is not protected if all three members of its group are replaced before one
    of them has copied the records, if the request is repeated after the retention
    time, or if the monotonic clock stops while a process is suspended.
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
        self.answer_cache = None
        self.tasks = TaskSet()
        self.transport.handle(ClaimKey, self._handle_claim)
        self.transport.handle(ReleaseKey, self._handle_release)
        self.transport.handle(KeyRecordsQuery, self._handle_records_query)
        self.transport.handle(QueryKept, self._handle_answer_query)

    async def start(self):
        """Start copying the records of the other processes."""
        for peer in self.records.peers_to_copy(self.context.clock.now()):
            self.tasks.spawn(self._copy_from(peer))

    async def stop(self):
        """Stop the tasks."""
        await self.tasks.close()

    # Claims

    async def claim(
        self, key, request, fingerprint
    ) -> Result[KeptReply | None, Failure]:
        """Claim the right to run a request.

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
            None if the request may run, the answer or failure of an earlier request
            with the key, or an `Err`. After an `Err` the request must not run.
        """
        message = ClaimKey(sender=self.process, key=key, request=request)
        sent_at = self.context.clock.now()
        granted, owners = await self._vote(message)
        # A process that was suspended may count votes that are no longer valid.
        in_time = self.context.clock.now() - sent_at <= CLAIM_TIMEOUT_S
        if granted and in_time:
            return Ok(None)
        self.context.metrics.count("keys.refused")
        self.release(key, request)
        return await self._earlier_result(key, fingerprint, owners)

    def release(self, key, request):
        """Release the claim of a request that certainly did not run.

        A later attempt with the key may then run.
        """
        message = ReleaseKey(sender=self.process, key=key, request=request)
        for member in self.records.group(key):
            self.tasks.spawn(self._send(member, message, ReleaseKey))

    async def _vote(self, message):
        """Return whether a majority granted the claim, and other owners of the key."""
        group = self.records.group(message.key)
        needed = majority_of(group)
        votes = [self.tasks.spawn(self._send(m, message, ClaimReply)) for m in group]
        granted, owners, outstanding = 0, [], len(group)
        for vote in asyncio.as_completed(votes):
            reply = await vote
            outstanding -= 1
            if reply.is_ok():
                found = reply.unwrap()
                if (found.owner, found.request) == (message.sender, message.request):
                    granted += found.certain
                elif found.owner:
                    owners.append(found.owner)
            if granted >= needed or granted + outstanding < needed:
                break
        return granted >= needed, owners

    async def _earlier_result(self, key, fingerprint, owners):
        """Return the cached answer of the process that owns a key."""
        owner = next((o for o in owners if o != self.process), None)
        if owner is None:
            return _unknown("an earlier request with this key may have run")
        message = QueryKept(sender=self.process, key=key, fingerprint=fingerprint)
        reply = await self._send(owner, message, KeptReply)
        if reply.is_ok():
            return reply
        if reply.unwrap_err().kind in _PASSED_ON:
            return reply
        return _unknown(
            "the process that ran an earlier request did not report how it ended"
        )

    async def _send(self, member, message, reply_type):
        if member != self.process:
            return await self.transport.call(
                member, message, reply_type, timeout_s=CLAIM_TIMEOUT_S
            )
        handler = (
            self._handle_claim if reply_type is ClaimReply else self._handle_release
        )
        return await handler(message)

    # Handlers of messages

    async def _handle_claim(self, message):
        return Ok(self.records.claim(message, self.context.clock.now()))

    async def _handle_release(self, message):
        self.records.release(message)
        return Ok(message)

    async def _handle_records_query(self, message):
        now = self.context.clock.now()
        return Ok(self.records.page(message.sender, message.after, now))

    async def _handle_answer_query(self, message):
        if self.answer_cache is None:
            return _unknown("the owner of the key caches no answers")
        found = self.answer_cache.find(message.key, bytes.fromhex(message.fingerprint))
        if found.is_err():
            return found
        cached = found.unwrap()
        if cached is None:
            return _unknown("the answer is no longer cached")
        return Ok(
            KeptReply(
                request=cached.request,
                body=cached.body,
                digest=cached.digest,
                failure=cached.failure,
            )
        )

    # Copies of records

    async def _copy_from(self, peer):
        """Copy the records of a peer until a copy is known to be complete.

        A peer that has itself just started has all records only after its cold start.
        Asking every peer of a new cell more often than `UNSETTLED_PERIOD_S` would
        exceed the byte limit of control traffic.
        """
        await asyncio.sleep(COPY_DELAY_S)
        pause_s = COPY_PERIOD_S
        while peer in self.records.peers_to_copy(self.context.clock.now()):
            if await self._copy_once(peer):
                pause_s = UNSETTLED_PERIOD_S
            else:
                pause_s = min(2 * pause_s, UNSETTLED_PERIOD_S)
            await asyncio.sleep(pause_s * self.context.random.uniform(0.8, 1.2))

    async def _copy_once(self, peer) -> bool:
        """Copy all pages of a peer; return whether it answered every query."""
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
