"""Completeness checks and delivery of endpoint answers."""

import asyncio

import attrs
import xxhash
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError

__all__ = [
    "AnswerCheck",
    "AnswerReader",
    "StreamedBody",
    "buffered_body",
    "digest_of",
]


class AnswerCheck:
    """Compares the bytes of a body with the announced length and digest.

    Parameters
    ----------
    answer : EndpointAnswer
        Head of the answer, with the announced length and digest.
    """

    def __init__(self, *, answer):
        self.answer = answer
        self.received = 0
        self.hash = xxhash.xxh3_64()

    def update(self, chunk):
        """Add a chunk; return False if the body is longer than announced."""
        self.received += len(chunk)
        self.hash.update(chunk)
        return self.received <= self.answer.length

    def failure(self) -> Failure | None:
        """Return a failure if the body read differs from the head of the answer."""
        if self.received != self.answer.length:
            detail = (
                f"answer body truncated: got {self.received} of "
                f"{self.answer.length} bytes"
            )
            return Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail)
        if self.hash.hexdigest() != self.answer.digest:
            detail = "the digest of the answer body does not match"
            return Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail)
        return None


@attrs.define(kw_only=True)
class AnswerReader:
    """Reads the body of one answer with a time limit for each chunk.

    Parameters
    ----------
    answer : EndpointAnswer
        Answer whose body is read.
    progress_s : float
        Longest time to wait for the next chunk, in seconds.
    stalled : bool
        Whether reading ended because the connection made no progress.
    ended : bool
        Whether the end of the body was reached.
    """

    answer: object
    progress_s: float
    check: AnswerCheck = None
    iterator: object = None
    stalled: bool = False
    ended: bool = False

    def __attrs_post_init__(self):
        self.check = AnswerCheck(answer=self.answer)
        self.iterator = aiter(self.answer.chunks)

    async def next(self):
        """Return an `Ok` with the next chunk, empty at the end, or an `Err`."""
        try:
            async with asyncio.timeout(self.progress_s):
                chunk = await anext(self.iterator)
        except StopAsyncIteration:
            self.ended = True
            failure = self.check.failure()
            return Ok(b"") if failure is None else Err(failure)
        except TimeoutError:
            self.stalled = True
            detail = f"no bytes of the answer body received for {self.progress_s} s"
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail))
        except WasabipaddleError as error:
            self.stalled = error.failure.kind is ErrorKind.TIMEOUT
            detail = error.failure.detail
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail))
        except OSError as error:
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=str(error)))
        if not self.check.update(chunk):
            detail = "the answer body is longer than announced"
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail))
        return Ok(chunk)

    async def read(self, limit):
        """Read until the end or until more than `limit` bytes are buffered.

        Returns
        -------
        result.Result
            The chunks read so far, or the failure.
        """
        chunks = []
        while not self.ended and self.check.received <= limit:
            chunk = await self.next()
            if chunk.is_err():
                return chunk
            if chunk.unwrap():
                chunks.append(chunk.unwrap())
        return Ok(chunks)

    async def close(self):
        """Close the body, and its connection unless it was read to its end."""
        close = getattr(self.iterator, "aclose", None)
        if close is not None:
            await close()


class StreamedBody:
    """Body of a long answer, passed on while it is still being read.

    `on_end` is called when the body ends, fails, is closed, or has not been read to
    its end by the deadline.

    Parameters
    ----------
    buffered : list of bytes
        Chunks read before the first byte is passed on.
    reader : AnswerReader
        Source of the remaining chunks.
    deadline : float
        Time of the event loop by which the body must be read to its end.
    on_end : callable
        Called once with the failure or None.
    """

    def __init__(self, *, buffered, reader, deadline, on_end):
        self.buffered = buffered
        self.reader = reader
        self.on_end = on_end
        self.failure = None
        self.ended = False
        self.reading = False
        self.close_task = None
        loop = asyncio.get_running_loop()
        self.timer = loop.call_at(deadline, self._expire)

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.buffered:
            return self.buffered.pop(0)
        if self.failure is not None:
            raise WasabipaddleError(self.failure)
        if self.reader.ended or self.ended:
            self._end(None)
            raise StopAsyncIteration
        self.reading = True
        chunk = await self.reader.next()
        self.reading = False
        if self.failure is None and chunk.is_err():
            self.failure = chunk.unwrap_err()
        if self.failure is not None:
            self._end(self.failure)
            await self.reader.close()
            raise WasabipaddleError(self.failure)
        if not chunk.unwrap():
            self._end(None)
            raise StopAsyncIteration
        return chunk.unwrap()

    async def aclose(self):
        """Discard the rest of the body and close the reader."""
        self._end(None)
        await self.reader.close()

    def _expire(self):
        detail = "the answer was not read to its end by the deadline"
        self.failure = Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail)
        self._end(self.failure)
        if not self.reading:
            self.close_task = asyncio.ensure_future(self.reader.close())

    def _end(self, failure):
        self.timer.cancel()
        if not self.ended:
            self.ended = True
            self.on_end(failure)


def digest_of(body) -> str:
    """Return the 64-bit XXH3 digest of a body as 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(body)


async def buffered_body(chunks):
    """Iterate over the chunks of a buffered body."""
    for chunk in chunks:
        yield chunk
