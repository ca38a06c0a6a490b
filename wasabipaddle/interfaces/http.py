"""Calls over HTTP with JSON that the plug-ins of this package share."""

import aiohttp
import attrs
import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import encode_sparse

__all__ = ["Conditional", "HttpCaller", "decode_failure", "is_connect_error"]

CONNECT_TIMEOUT_S = 1.0
DEFAULT_CONNECTIONS = 64
UNUSED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


@attrs.frozen(kw_only=True)
class Conditional:
    """Answer to a conditional read.

    Parameters
    ----------
    value : object or None
        Decoded answer, None if it is the one of the given entity tag.
    etag : str
        Entity tag of the present answer, empty if the peer gives none.
    """

    value: object
    etag: str


class HttpCaller:
    """HTTP session with a bounded number of connections.

    Parameters
    ----------
    connections : int
        Largest number of open connections.
    refused : ErrorKind
        Kind for a call that was surely not delivered.
    """

    def __init__(self, *, connections=DEFAULT_CONNECTIONS, refused):
        self.connections = connections
        self.refused = refused
        self.session = None

    async def call(
        self, method, url, answer_type, *, timeout_s, body=None, headers=None
    ) -> Result[object, Failure]:
        """Make one call and decode its answer.

        Parameters
        ----------
        method, url : str
            HTTP method and address.
        answer_type : type
            Type of the decoded answer.
        timeout_s : float
            Longest time of the whole call.
        body : object or None
            Message that is encoded as JSON.

        Returns
        -------
        result.Result
            The answer, or an `Err`: the failure that the peer answered, the kind
            `refused` if the call was not delivered, or `timeout`.
        """
        data = None if body is None else encode_sparse(body)
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._open().request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as response:
                answered = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = self.refused if is_connect_error(error) else ErrorKind.TIMEOUT
            detail = f"{method} {url}: {type(error).__name__}"
            return Err(Failure(kind=kind, detail=detail))
        if response.status != 200:
            return Err(decode_failure(answered))
        return _decode(answered, answer_type)

    async def read_if_changed(
        self, url, answer_type, *, timeout_s, etag=""
    ) -> Result[Conditional, Failure]:
        """Read an address unless its answer still has the entity tag `etag`."""
        headers = {"If-None-Match": etag} if etag else None
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._open().get(
                url, headers=headers, timeout=timeout
            ) as response:
                answered = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = self.refused if is_connect_error(error) else ErrorKind.TIMEOUT
            return Err(Failure(kind=kind, detail=f"GET {url}: {type(error).__name__}"))
        if response.status == 304:
            return Ok(Conditional(value=None, etag=etag))
        if response.status != 200:
            return Err(decode_failure(answered))
        found = response.headers.get("ETag", "")
        decoded = _decode(answered, answer_type)
        return decoded.map(lambda value: Conditional(value=value, etag=found))

    async def close(self):
        """Close connections."""
        if self.session is not None:
            await self.session.close()

    def _open(self):
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=self.connections)
            self.session = aiohttp.ClientSession(
                connector=connector, skip_auto_headers=UNUSED_HEADERS
            )
        return self.session


def is_connect_error(error) -> bool:
    """Return whether a call failed before any byte of it was written."""
    return isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    )


def decode_failure(data) -> Failure:
    """Return the failure in the body of an error answer."""
    try:
        return msgspec.json.decode(data, type=Failure)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        detail = "the peer answered without a known error"
        return Failure(kind=ErrorKind.INTERNAL, detail=detail)


def _decode(data, answer_type):
    try:
        return Ok(msgspec.json.decode(data, type=answer_type))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        detail = f"answer is not a {answer_type}: {error}"
        return Err(Failure(kind=ErrorKind.INTERNAL, detail=detail))
