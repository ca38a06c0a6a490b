"""HTTP client with JSON bodies for one address."""

import aiohttp
import attrs
import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs.decoding import DECODING_ERRORS
from wasabipaddle.transport.connections import (
    ConnectionPool,
    call_hedged,
    read_response,
    send_once,
)

__all__ = ["HttpResponse", "JsonHttpClient"]

CONNECT_TIMEOUT_S = 0.6
# Time without a response after which a hedged request is sent again.
HEDGE_DELAY_S = 0.4
# Shorter than the idle timeout after which servers close a connection.
KEEPALIVE_S = 25.0
# A page of the store has about one megabyte, which base64 makes a third larger.
MAX_RESPONSE_BYTES = 4_000_000
NOT_DELIVERED_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


@attrs.frozen(kw_only=True)
class HttpResponse:
    """Status and decoded body of a response.

    The body is {} if that of the response is empty or not a JSON object.
    """

    status: int
    body: dict


class JsonHttpClient:
    """HTTP client of one address with a pool of connections.

    Parameters
    ----------
    address : str
        Host and port.
    connections : int
        Largest number of open connections. After a timeout, connections with calls in
        progress do not count.
    max_response_bytes : int
        Largest response; the rest of a larger one is not read.

    Attributes
    ----------
    pool : ConnectionPool
        Connections, replaced after a call that timed out.
    """

    def __init__(
        self, *, address, connections=64, max_response_bytes=MAX_RESPONSE_BYTES
    ):
        self.address = address
        self.connections = connections
        self.max_response_bytes = max_response_bytes
        self.pool = ConnectionPool(open_session=self._open_session)

    async def call(
        self,
        method,
        path,
        *,
        timeout_s,
        transfer_s=0.0,
        body=None,
        query=None,
        headers=None,
        once=False,
        responded=None,
    ) -> Result[HttpResponse, Failure]:
        """Send one request and wait for its response.

        Parameters
        ----------
        timeout_s : float
            Longest wait for the next bytes of the response.
        transfer_s : float
            Time beyond `timeout_s` for a response that keeps arriving; 0 makes
            `timeout_s` the limit of the whole call.
        once : bool
            Whether a GET or DELETE whose connection is closed before the response
            fails. Otherwise it is sent once more, which doubles its time limit.
        responded : asyncio.Event or None
            Set when the response begins to arrive.

        Returns
        -------
        result.Result
            The response, an `Err` of kind `unreachable` if the request was certainly
            not delivered, or of kind `timeout` if it may have been processed. The
            latter includes a response of status 200 whose body is not JSON, and one
            that is too large.
        """
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers = {"Content-Type": "application/json", **(headers or {})}
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=timeout_s if transfer_s else None,
        )
        options = {"params": query, "data": data, "headers": headers}
        if once:
            options["middlewares"] = (send_once,)
        try:
            limit_s = timeout_s + transfer_s
            status, raw = await self._send(
                method, path, limit_s, responded, timeout=timeout, **options
            )
        except NOT_DELIVERED_ERRORS as error:
            return _failure(ErrorKind.UNREACHABLE, method, path, error)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _failure(ErrorKind.TIMEOUT, method, path, error)
        return _decode_response(status, raw, method, path)

    async def _send(self, method, path, limit_s, responded, **options):
        url = f"http://{self.address}{path}"
        async with (
            self.pool.session(timeout_s=limit_s) as session,
            session.request(method, url, **options) as response,
        ):
            if responded is not None:
                responded.set()
            data = await read_response(response, self.max_response_bytes)
            return response.status, data

    async def call_hedged(
        self, method, path, *, timeout_s, **options
    ) -> Result[HttpResponse, Failure]:
        """Make a call like `call`; repeat it early if there is no response.

        After `HEDGE_DELAY_S`, the idempotent request is sent again over a new
        connection. The first response counts, within the time limit of one call.
        """

        def send(limit_s, responded):
            return self.call(
                method, path, timeout_s=limit_s, responded=responded, **options
            )

        return await call_hedged(
            send, pool=self.pool, timeout_s=timeout_s, delay_s=HEDGE_DELAY_S
        )

    def _open_session(self):
        connector = aiohttp.TCPConnector(
            limit=self.connections,
            keepalive_timeout=KEEPALIVE_S,
            use_dns_cache=False,
        )
        return aiohttp.ClientSession(
            connector=connector,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self):
        """Close the connections."""
        await self.pool.close()


def _decode_response(status, raw, method, path):
    if not raw:
        return Ok(HttpResponse(status=status, body={}))
    try:
        body = msgspec.json.decode(raw)
    except DECODING_ERRORS as error:
        if status == 200:
            return _failure(ErrorKind.TIMEOUT, method, path, error)
        body = {}
    return Ok(HttpResponse(status=status, body=body if isinstance(body, dict) else {}))


def _failure(kind, method, path, error):
    detail = f"{method} {path}: {type(error).__name__} {error}"
    return Err(Failure(kind=kind, detail=detail))
