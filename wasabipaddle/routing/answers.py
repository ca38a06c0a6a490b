"""Completeness checks and delivery of answers."""

import asyncio

import attrs
import xxhash
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError

__all__ = [
    "AnswerCheck",
    "AnswerReader",
    "StreamedBody",
    "digest_of",
    "whole_body",
]


class AnswerCheck:
    """Compares the bytes of a body with the announced length and digest.

    Parameters
    ----------
    answer : EndpointAnswer
        Head of the answer.
    """

    def __init__(self, *, answer):
        self.answer = answer
        self.received = 0
        self.hash = xxhash.xxh3_64()

    def update(self, chunk):
        """Count one piece; return False if the body is longer than announced."""
        self.received += len(chunk)
        self.hash.update(chunk)
        return self.received <= self.answer.length

    def failure(self) -> Failure | None:
        """Return what is wrong with the body at its end, or None."""
        if self.received != self.answer.length:
            detail = f"{self.received} of {self.answer.length} bytes"
            return Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail)
        if self.hash.hexdigest() != self.answer.digest:
            detail = "the digest of the body does not match"
            return Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail)
        return None


@attrs.define(kw_only=True)
class AnswerReader:
    """Reads the body of one answer with a progress deadline per piece.

    Parameters
    ----------
    progress_s : float
        Longest silence of the connection.
    stalled : bool
        Whether the reading ended by silence.
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
        """Return an `Ok` with the next piece, empty at the end, or an `Err`."""
        try:
            async with asyncio.timeout(self.progress_s):
                chunk = await anext(self.iterator)
        except StopAsyncIteration:
            self.ended = True
            failure = self.check.failure()
            return Ok(b"") if failure is None else Err(failure)
        except TimeoutError:
            self.stalled = True
            detail = f"no byte of the answer for {self.progress_s} s"
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail))
        except WasabipaddleError as error:
            self.stalled = error.failure.kind is ErrorKind.TIMEOUT
            detail = error.failure.detail
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail))
        except OSError as error:
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=str(error)))
        if not self.check.update(chunk):
            detail = "the body is longer than announced"
            return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail))
        return Ok(chunk)

    async def read(self, limit):
        """Read until the end or until more than `limit` bytes are buffered.

        Returns
        -------
        result.Result
            The pieces read so far, or the failure.
        """
        pieces = []
        while not self.ended and self.check.received <= limit:
            piece = await self.next()
            if piece.is_err():
                return piece
            if piece.unwrap():
                pieces.append(piece.unwrap())
        return Ok(pieces)

    async def close(self):
        """Close the body, which gives its connection up if it is not read."""
        close = getattr(self.iterator, "aclose", None)
        if close is not None:
            await close()


class StreamedBody:
    """Rest of a long answer, read while it is passed on.

    The slot is returned when the body ends, fails, is closed, or has not been read
    to its end by the deadline.

    Parameters
    ----------
    pieces : list of bytes
        Pieces read before the first byte is passed on.
    reader : AnswerReader
        Source of the other pieces.
    deadline : float
        Loop time at which the caller no longer waits.
    on_end : callable
        Called once with the failure or None.
    """

    def __init__(self, *, pieces, reader, deadline, on_end):
        self.pieces = pieces
        self.reader = reader
        self.on_end = on_end
        self.failure = None
        self.ended = False
        self.reading = False
        self.closing = None
        loop = asyncio.get_running_loop()
        self.timer = loop.call_at(deadline, self._expire)

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.pieces:
            return self.pieces.pop(0)
        if self.failure is not None:
            raise WasabipaddleError(self.failure)
        if self.reader.ended or self.ended:
            self._end(None)
            raise StopAsyncIteration
        self.reading = True
        piece = await self.reader.next()
        self.reading = False
        if self.failure is None and piece.is_err():
            self.failure = piece.unwrap_err()
        if self.failure is not None:
            self._end(self.failure)
            await self.reader.close()
            raise WasabipaddleError(self.failure)
        if not piece.unwrap():
            self._end(None)
            raise StopAsyncIteration
        return piece.unwrap()

    async def aclose(self):
        """Give the rest of the body up."""
        self._end(None)
        await self.reader.close()

    def _expire(self):
        detail = "the answer was not read by the deadline"
        self.failure = Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail)
        self._end(self.failure)
        if not self.reading:
            self.closing = asyncio.ensure_future(self.reader.close())

    def _end(self, failure):
        self.timer.cancel()
        if not self.ended:
            self.ended = True
            self.on_end(failure)


def digest_of(body) -> str:
    """Return the xxh3 digest of a body, 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(body)


async def whole_body(pieces):
    """Iterate over the pieces of a buffered body."""
    for piece in pieces:
        yield piece
