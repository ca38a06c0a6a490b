"""Pools of HTTP connections that are replaced after a timeout."""

import asyncio
import contextlib

import aiohttp
import attrs

__all__ = [
    "NO_TIMEOUT",
    "ConnectionPool",
    "ResponseTooLargeError",
    "call_hedged",
    "read_response",
    "send_once",
]

# Of calls whose duration the pool limits.
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)

# Shortest time between two repetitions of calls to one address. Without a limit, a peer
# that is only slow would get twice the calls, all over new connections.
HEDGE_INTERVAL_S = 2.0
# The errors after which aiohttp sends an idempotent request once more.
REPEATED_ERRORS = (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)
# A connection whose peer does not respond may never close in an orderly way.
CLOSE_TIMEOUT_S = 1.0


@attrs.define(kw_only=True, eq=False)
class _PooledSession:
    """Session of a pool, and the number of calls in progress that use it."""

    session: aiohttp.ClientSession
    calls: int = 0


class ConnectionPool:
    """HTTP connections to one address.

    Open connections can stop carrying data without being closed, all at once, and only
    a timeout shows it. After a call that timed out, later calls therefore use new
    connections. The calls in progress on the old ones continue, and the old connections
    are closed when the last of these calls has ended.

    Parameters
    ----------
    open_session : callable
        Returns a new `aiohttp.ClientSession`.

    Attributes
    ----------
    generation : int
        Number of times that the connections have been replaced.
    """

    def __init__(self, *, open_session):
        self.open_session = open_session
        self.generation = 0
        self.next_hedge_s = 0.0
        self.current = None
        self.replaced = set()
        self.close_tasks = set()

    @contextlib.asynccontextmanager
    async def session(self, *, timeout_s):
        """Provide the session for one call; a timeout replaces the connections.

        The total timeout of aiohttp must not be used in its place: a cancellation of
        the caller that coincides with its end is lost.

        Parameters
        ----------
        timeout_s : float
            Time limit of the call, within which the context must be left.
        """
        if self.current is None:
            self.current = _PooledSession(session=self.open_session())
        pooled, generation = self.current, self.generation
        pooled.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                yield pooled.session
        except aiohttp.ConnectionTimeoutError:
            # No open connection was involved.
            raise
        except TimeoutError:
            self.replace(generation)
            raise
        finally:
            pooled.calls -= 1
            self._close_unused(pooled)

    def may_hedge(self) -> bool:
        """Return whether a call may be repeated now, and count it if it may."""
        now = asyncio.get_running_loop().time()
        if now < self.next_hedge_s:
            return False
        self.next_hedge_s = now + HEDGE_INTERVAL_S
        return True

    def replace(self, generation):
        """Use new connections for later calls, if those of `generation` are in use."""
        if generation != self.generation:
            return
        self.generation += 1
        pooled, self.current = self.current, None
        if pooled is not None:
            self.replaced.add(pooled)
            self._close_unused(pooled)

    async def close(self):
        """Close all connections, also those of calls in progress."""
        pools, self.current = [*self.replaced, self.current], None
        self.replaced.clear()
        for pooled in pools:
            if pooled is not None:
                self._close_session(pooled)
        if self.close_tasks:
            await asyncio.wait(self.close_tasks)

    def _close_unused(self, pooled):
        """Close replaced connections in the background once no call uses them."""
        if pooled in self.replaced and not pooled.calls:
            self.replaced.discard(pooled)
            self._close_session(pooled)

    def _close_session(self, pooled):
        task = asyncio.ensure_future(_close_within_limit(pooled.session))
        self.close_tasks.add(task)
        task.add_done_callback(self.close_tasks.discard)


async def _close_within_limit(session):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await session.close()


async def call_hedged(send, *, pool, timeout_s, delay_s):
    """Make an idempotent call; repeat it over a new connection if it is not answered.

    At most one call of a pool is repeated within `HEDGE_INTERVAL_S`.

    Parameters
    ----------
    send : callable
        Coroutine function that makes the call once. Called with a time limit in seconds
        and an event to set when the response begins to arrive.
    pool : ConnectionPool
        Connections of the call, replaced before the repetition.
    timeout_s, delay_s : float
        Time limit of both calls together, and time until the repetition.

    Returns
    -------
    result.Result
        The first response, or the failure of the last call.
    """
    generation, responded = pool.generation, asyncio.Event()
    calls = [asyncio.ensure_future(send(timeout_s, responded))]
    try:
        await asyncio.wait(calls, timeout=delay_s)
        if calls[0].done():
            return await calls[0]
        silent = not responded.is_set()
        if silent and timeout_s > delay_s and pool.may_hedge():
            pool.replace(generation)
            again = send(timeout_s - delay_s, asyncio.Event())
            calls.append(asyncio.ensure_future(again))
        for completed in asyncio.as_completed(calls):
            result = await completed
            if result.is_ok():
                break
        return result
    finally:
        for call in calls:
            call.cancel()


class ResponseTooLargeError(aiohttp.ClientError):
    """A response has more bytes than its reader allows."""


async def read_response(response, limit) -> bytes:
    """Return the body of a response of at most `limit` bytes.

    Raises
    ------
    ResponseTooLargeError
        If the body is larger. The connection is closed, so that no more arrives.
    """
    content = response.content
    data = await content.readany()
    if not content.at_eof():
        data = bytearray(data)
    while not content.at_eof() and len(data) <= limit:
        data += await content.readany()
    if len(data) > limit:
        response.close()
        raise ResponseTooLargeError(f"more than {limit} bytes")
    return bytes(data)


class _ConnectionLostError(aiohttp.ClientError):
    """The connection was closed before the response."""


async def send_once(request, send):
    """Client middleware that keeps aiohttp from sending a request again."""
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        raise
    except REPEATED_ERRORS as error:
        raise _ConnectionLostError(str(error)) from error
