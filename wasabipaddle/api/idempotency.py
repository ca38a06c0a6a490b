"""Cache of answers for repeated idempotency keys of requests."""

import collections

import attrs
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure, Outcome

__all__ = ["CachedAnswer", "AnswerCache"]

MAX_ANSWERS = 10_000
MAX_BYTES = 16_777_216
MAX_ANSWER_BYTES = 65_536
RETENTION_S = 600.0


@attrs.frozen(kw_only=True)
class CachedAnswer:
    """How an earlier request with the same key ended.

    Parameters
    ----------
    request : str
        Request id.
    body : bytes or None
        Whole answer; None if the request failed or the answer was too large.
    digest : str
        Digest of the answer.
    failure : Failure or None
        The failure that the caller received.
    """

    request: str
    body: bytes | None = None
    digest: str = ""
    failure: Failure | None = None


@attrs.define(kw_only=True)
class _Entry:
    fingerprint: bytes
    answer: CachedAnswer | None = None
    expires_at: float = 0.0

    @property
    def size(self):
        body = self.answer.body if self.answer is not None else None
        return len(body or b"")


class AnswerCache:
    """Cache of answers by idempotency key, bounded in count, bytes and time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_answers, max_bytes : int
        Bounds of the cached answers; the oldest are evicted first.
    retention_s : float
        Time in seconds after which an answer expires.
    """

    def __init__(
        self,
        *,
        clock,
        max_answers=MAX_ANSWERS,
        max_bytes=MAX_BYTES,
        retention_s=RETENTION_S,
    ):
        self.clock = clock
        self.max_answers = max_answers
        self.max_bytes = max_bytes
        self.retention_s = retention_s
        self.in_progress = {}
        self.ended = collections.OrderedDict()
        self.bytes = 0

    def begin(self, key, fingerprint) -> Result[CachedAnswer | None, Failure]:
        """Register a request as in progress, unless its key is already known.

        Parameters
        ----------
        key : str
            Digest of caller, service and idempotency key.
        fingerprint : bytes
            Digest of the request body.

        Returns
        -------
        result.Result
            None if the request should run, the cached answer of an earlier one, or an
            `Err` of kind `conflict`, `in_progress` or `answer_broken`.
        """
        found = self.find(key, fingerprint)
        if found.is_ok() and found.unwrap() is None:
            self.in_progress[key] = _Entry(fingerprint=fingerprint)
        return found

    def find(self, key, fingerprint) -> Result[CachedAnswer | None, Failure]:
        """Look up a key with the results of `begin`, but register no request."""
        self._expire()
        entry = self.in_progress.get(key) or self.ended.get(key)
        if entry is None:
            return Ok(None)
        if entry.fingerprint != fingerprint:
            return _conflict("the idempotency key belongs to a different request")
        if entry.answer is None:
            # The first request may still run, so its outcome is not "not run".
            detail = "a request with this idempotency key is in progress"
            return Err(Failure(kind=ErrorKind.IN_PROGRESS, detail=detail))
        if entry.answer.body is None and entry.answer.failure is None:
            detail = "the request has run, but its answer was too large to cache"
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail))
        return Ok(entry.answer)

    def abandon(self, key):
        """Remove a request that was begun but did not run."""
        del self.in_progress[key]

    def end(self, key, answer):
        """Cache how a request ended.

        A request that did not run is removed instead, so that it can be repeated.
        """
        entry = self.in_progress.pop(key)
        failure = answer.failure
        if failure is not None and failure.outcome is Outcome.NOT_RUN:
            return
        if answer.body is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = attrs.evolve(answer, body=None)
        entry.answer = answer
        entry.expires_at = self.clock.now() + self.retention_s
        self.ended[key] = entry
        self.bytes += entry.size
        while len(self.ended) > self.max_answers or self.bytes > self.max_bytes:
            self._evict_oldest()

    def _expire(self):
        now = self.clock.now()
        while self.ended and next(iter(self.ended.values())).expires_at <= now:
            self._evict_oldest()

    def _evict_oldest(self):
        _, entry = self.ended.popitem(last=False)
        self.bytes -= entry.size


def _conflict(detail):
    return Err(Failure(kind=ErrorKind.CONFLICT, detail=detail))
