"""Interface to endpoints, which answer requests."""

import abc
import enum
from collections.abc import AsyncIterator

import attrs
from result import Result

from wasabipaddle.exceptions import Failure

__all__ = [
    "AnswerChunks",
    "EndpointAnswer",
    "EndpointClient",
    "EndpointRequest",
    "RequestState",
]


class RequestState(enum.Enum):
    """What an endpoint knows about a request id."""

    NEVER_SEEN = "never_seen"
    RUNNING = "running"
    RAN = "ran"


@attrs.frozen(kw_only=True)
class EndpointRequest:
    """One request for an endpoint.

    Parameters
    ----------
    request : str
        Request id, which the answer repeats.
    shard, epoch
        Fencing token of the slot grant that the request uses.
    deadline_s : float
        Time left until the answer must be complete.
    body : bytes
        Body of the caller's request.
    """

    request: str
    service: str
    shard: str
    epoch: int
    deadline_s: float
    body: bytes


class AnswerChunks:
    """Body of an answer as an iterator of chunks, which releases its connection.

    The reader must either read to the end or call `aclose`. The iteration ends early,
    without an exception, if the connection fails or stalls.

    Parameters
    ----------
    source : async generator
        Chunks; raises `OSError` or `TimeoutError` if the connection fails.
    release : callable
        Called once, with whether the connection can be reused.
    """

    def __init__(self, *, source, release):
        self.source = source
        self.release = release
        self.released = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        try:
            return await anext(self.source)
        except StopAsyncIteration:
            self._release(True)
            raise
        except (OSError, TimeoutError):
            self._release(False)
            raise StopAsyncIteration from None
        except BaseException:
            self._release(False)
            raise

    async def aclose(self):
        """Close the connection unless the body has been read to its end."""
        self._release(False)
        await self.source.aclose()

    def _release(self, reusable):
        if not self.released:
            self.released = True
            self.release(reusable)


@attrs.frozen(kw_only=True)
class EndpointAnswer:
    """Head of an answer and an iterator over its body.

    Parameters
    ----------
    request : str
        Id of the request that is answered.
    length : int
        Announced number of body bytes.
    digest : str
        Announced xxh3 digest of the body, 16 hexadecimal digits.
    chunks : AsyncIterator of bytes
        Body, for example `AnswerChunks`; it may end early or stall.
    """

    request: str
    length: int
    digest: str
    chunks: AsyncIterator[bytes]


class EndpointClient(abc.ABC):
    """Client of one endpoint, which owns its pool of connections."""

    @abc.abstractmethod
    async def send(self, request) -> Result[EndpointAnswer, Failure]:
        """Send a request and return the head of its answer.

        Returns
        -------
        result.Result
            The answer, or an `Err` of kind `unreachable`, `no_capacity`,
            `stale_epoch` or `draining` (the request was certainly not run),
            `endpoint_failed` (it was run and failed) or `timeout` (unknown whether it
            was run, since the connection failed or made no progress).
        """

    @abc.abstractmethod
    async def query(self, request) -> Result[RequestState, Failure]:
        """Ask over another connection what the endpoint knows about a request id."""

    @abc.abstractmethod
    async def probe(self) -> Result[None, Failure]:
        """Check that a new connection to the endpoint works."""

    async def replace_connections(self):
        """Retire the open connections, so that later requests open new ones."""

    async def close(self):
        """Close the connections."""
