"""HTTP client with JSON bodies, shared by the HTTP clients of this package."""

import asyncio

import aiohttp
import attrs
import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs.decoding import DECODING_ERRORS
from wasabipaddle.messages import encode_sparse

__all__ = ["ConditionalResponse", "HttpClient", "decode_failure", "is_connect_error"]

CONNECT_TIMEOUT_S = 1.0
DEFAULT_CONNECTIONS = 64
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")
# The limit of a whole call is one of asyncio: aiohttp loses a cancellation of the
# caller that coincides with the end of its total timeout.
CALL_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


@attrs.frozen(kw_only=True)
class ConditionalResponse:
    """Response to a conditional read.

    Parameters
    ----------
    value : object or None
        Decoded response, None if the given entity tag is still current.
    etag : str
        Current entity tag, empty if the server sends none.
    """

    value: object
    etag: str


class HttpClient:
    """HTTP client with a bounded number of connections.

    Parameters
    ----------
    connections : int
        Largest number of open connections.
    undelivered_kind : ErrorKind
        Kind of the failure of a call that was certainly not delivered.
    """

    def __init__(self, *, connections=DEFAULT_CONNECTIONS, undelivered_kind):
        self.connections = connections
        self.undelivered_kind = undelivered_kind
        self.session = None

    async def call(
        self, method, url, response_type, *, timeout_s, body=None, headers=None
    ) -> Result[object, Failure]:
        """Make one call and decode its response.

        Parameters
        ----------
        method, url : str
            HTTP method and URL.
        response_type : type
            Type of the decoded response.
        timeout_s : float
            Timeout of the whole call.
        body : object or None
            Message that is encoded as JSON.

        Returns
        -------
        result.Result
            The decoded response, or an `Err`: the failure in an error response, a
            failure of kind `undelivered_kind` if the call was not delivered, of kind
            `timeout` if it may have been, or of kind `internal` if the response
            cannot be decoded.
        """
        data = None if body is None else encode_sparse(body)
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._get_session().request(
                    method, url, data=data, headers=headers, timeout=CALL_TIMEOUT
                ) as response,
            ):
                body_bytes = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = (
                self.undelivered_kind if is_connect_error(error) else ErrorKind.TIMEOUT
            )
            detail = f"{method} {url}: {type(error).__name__}"
            return Err(Failure(kind=kind, detail=detail))
        if response.status != 200:
            return Err(decode_failure(body_bytes))
        return _decode_response(body_bytes, response_type)

    async def read_if_changed(
        self, url, response_type, *, timeout_s, etag=""
    ) -> Result[ConditionalResponse, Failure]:
        """Read a URL unless its content still has the entity tag `etag`."""
        headers = {"If-None-Match": etag} if etag else None
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._get_session().get(
                    url, headers=headers, timeout=CALL_TIMEOUT
                ) as response,
            ):
                body_bytes = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = (
                self.undelivered_kind if is_connect_error(error) else ErrorKind.TIMEOUT
            )
            return Err(Failure(kind=kind, detail=f"GET {url}: {type(error).__name__}"))
        if response.status == 304:
            return Ok(ConditionalResponse(value=None, etag=etag))
        if response.status != 200:
            return Err(decode_failure(body_bytes))
        new_etag = response.headers.get("ETag", "")
        decoded = _decode_response(body_bytes, response_type)
        return decoded.map(
            lambda value: ConditionalResponse(value=value, etag=new_etag)
        )

    async def close(self):
        """Close the connections."""
        if self.session is not None:
            await self.session.close()

    def _get_session(self):
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=self.connections)
            self.session = aiohttp.ClientSession(
                connector=connector, skip_auto_headers=SKIPPED_AUTO_HEADERS
            )
        return self.session


def is_connect_error(error) -> bool:
    """Return whether a call failed before any byte of it was sent."""
    return isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    )


def decode_failure(data) -> Failure:
    """Return the failure in the body of an error response."""
    try:
        return msgspec.json.decode(data, type=Failure)
    except DECODING_ERRORS:
        detail = "the server returned an error status without a decodable failure"
        return Failure(kind=ErrorKind.INTERNAL, detail=detail)


def _decode_response(data, response_type):
    try:
        return Ok(msgspec.json.decode(data, type=response_type))
    except DECODING_ERRORS as error:
        detail = f"the response cannot be decoded as {response_type}: {error}"
        return Err(Failure(kind=ErrorKind.INTERNAL, detail=detail))
