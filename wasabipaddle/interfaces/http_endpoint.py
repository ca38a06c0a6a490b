"""HTTP client of an endpoint.

The response to a request is a stream: line feeds while the request is in progress, one
line with an `AnswerHead` as JSON, then the body of the answer. An endpoint refuses a
request with an error status and a `Failure` as JSON.
"""

import asyncio

import aiohttp
import attrs
import msgspec
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces.endpoint import (
    AnswerChunks,
    EndpointAnswer,
    EndpointClient,
    RequestState,
)
from wasabipaddle.interfaces.http import (
    CONNECT_TIMEOUT_S,
    DEFAULT_CONNECTIONS,
    HttpClient,
    decode_failure,
    is_connect_error,
)

__all__ = ["AnswerHead", "HttpEndpoint"]

DEFAULT_PROGRESS_S = 1.0
KEEPALIVE_S = 15.0
# Lowest assumed rate at which a request body is written; the time that it takes at
# this rate is added to the progress timeout.
MIN_UPLOAD_BYTES_PER_S = 100_000
TRANSPORT_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    msgspec.MsgspecError,
    RecursionError,
)


@attrs.frozen(kw_only=True)
class AnswerHead:
    """First line of an answer; `failure` is set if the request was run and failed."""

    request: str
    length: int = 0
    digest: str = ""
    failure: Failure | None = None


class _ConnectionPool:
    """Connections, all closed once the pool is retired and no request uses them."""

    def __init__(self, *, connections):
        connector = aiohttp.TCPConnector(
            limit=connections, keepalive_timeout=KEEPALIVE_S
        )
        self.session = aiohttp.ClientSession(connector=connector)
        self.active = 0
        self.retired = False

    async def close_if_unused(self):
        if self.retired and self.active == 0:
            await self.session.close()


class HttpEndpoint(EndpointClient):
    """HTTP client of an endpoint with a bounded pool of connections.

    Parameters
    ----------
    host, port
        Address of the endpoint.
    vm : str
        Name of the endpoint's VM.
    connections : int
        Largest number of requests in progress.
    progress_s : float
        Longest time without received bytes on a connection with a request in
        progress, after which the connection is closed.
    """

    def __init__(
        self,
        *,
        host,
        port,
        vm,
        connections=DEFAULT_CONNECTIONS,
        progress_s=DEFAULT_PROGRESS_S,
    ):
        self.url = f"http://{host}:{port}/endpoint/v1/{vm}"
        self.connections = connections
        self.progress_s = progress_s
        self.active = 0
        self.pool = None
        self.close_tasks = set()
        self.query_client = None

    async def send(self, request):
        """Send a request and return the head of its answer."""
        if self.active >= self.connections:
            return _fail(ErrorKind.NO_CAPACITY, "every connection is in use")
        if self.pool is None:
            self.pool = _ConnectionPool(connections=self.connections)
        pool = self.pool
        self._add_active(pool, 1)
        response = None
        try:
            response = await self._post(pool, request)
            result = await self._read_head(pool, response)
        except TRANSPORT_ERRORS as error:
            self._finish(pool, response, reusable=False)
            return _classify(error)
        except BaseException:
            self._finish(pool, response, reusable=False)
            raise
        return result

    async def query(self, request):
        """Ask over a new connection what the endpoint knows about a request id."""
        return await self._query(f"{self.url}/requests/{request}", RequestState)

    async def probe(self):
        """Check that a new connection works."""
        return await self._query(f"{self.url}/health", None)

    async def replace_connections(self):
        """Retire the pool; its connections close once no request uses any of them."""
        pool, self.pool = self.pool, None
        if pool is not None:
            pool.retired = True
            await pool.close_if_unused()

    async def close(self):
        """Close the connections."""
        await self.replace_connections()
        if self.close_tasks:
            await asyncio.gather(*self.close_tasks)
        if self.query_client is not None:
            await self.query_client.close()

    async def _post(self, pool, request):
        upload_s = len(request.body) / MIN_UPLOAD_BYTES_PER_S
        timeout = aiohttp.ClientTimeout(
            total=request.deadline_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self.progress_s,
        )
        params = {
            "service": request.service,
            "shard": request.shard,
            "epoch": str(request.epoch),
            "deadline_s": str(request.deadline_s),
        }
        # The read timeout of aiohttp starts only after the request has been written,
        # which may never happen on a stalled connection.
        async with asyncio.timeout(CONNECT_TIMEOUT_S + self.progress_s + upload_s):
            return await pool.session.post(
                f"{self.url}/requests/{request.request}",
                params=params,
                data=request.body,
                timeout=timeout,
            )

    async def _read_head(self, pool, response):
        if response.status != 200:
            failure = decode_failure(await response.read())
            self._finish(pool, response, reusable=True)
            return Err(failure)
        line = b"\n"
        while line == b"\n":
            line = await response.content.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("the response ended before the head of the answer")
        head = msgspec.json.decode(line, type=AnswerHead)
        if head.failure is not None:
            await response.read()
            self._finish(pool, response, reusable=True)
            return Err(head.failure)

        def release(reusable):
            self._finish(pool, response, reusable=reusable)

        chunks = AnswerChunks(source=_read_body(response), release=release)
        return Ok(
            EndpointAnswer(
                request=head.request,
                length=head.length,
                digest=head.digest,
                chunks=chunks,
            )
        )

    async def _query(self, url, response_type):
        """Make a short call over a connection of its own."""
        if self.query_client is None:
            self.query_client = HttpClient(undelivered_kind=ErrorKind.UNREACHABLE)
        return await self.query_client.call(
            "GET",
            url,
            response_type,
            timeout_s=self.progress_s,
            headers={"Connection": "close"},
        )

    def _add_active(self, pool, change):
        self.active += change
        pool.active += change

    def _finish(self, pool, response, *, reusable):
        if response is not None:
            if reusable:
                response.release()
            else:
                response.close()
        self._add_active(pool, -1)
        if pool.retired and pool.active == 0:
            task = asyncio.ensure_future(pool.close_if_unused())
            self.close_tasks.add(task)
            task.add_done_callback(self.close_tasks.discard)


async def _read_body(response):
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except aiohttp.ClientError as error:
        raise ConnectionError(str(error)) from error


def _classify(error):
    if is_connect_error(error):
        return _fail(ErrorKind.UNREACHABLE, f"cannot connect: {error}")
    return _fail(
        ErrorKind.TIMEOUT,
        f"the connection failed or made no progress: {type(error).__name__}",
    )


def _fail(kind, detail):
    return Err(Failure(kind=kind, detail=detail))
