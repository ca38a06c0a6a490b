"""Calls while open connections carry no data any more and new ones work."""

import asyncio
from collections import Counter

import pytest
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import StartOrder
from wasabipaddle.jobs import TaskId
from wasabipaddle.platform import PlatformRunner
from wasabipaddle.platform.client import JobCaller
from wasabipaddle.standins.listener import Listener, hang
from wasabipaddle.transport.json_client import HEDGE_DELAY_S, JsonHttpClient
from wasabipaddle.transport.tests.relay import HOST, open_relay

IDLE_CONNECTIONS = 8
# Limits of calls that get no response, and of those that get one.
SHORT_S = 0.1
LONG_S = 5.0


class Server:
    """Routes that answer at once, on request, or never, and record their calls.

    Attributes
    ----------
    released : asyncio.Event
        Set to answer the calls of `/later`.
    requests : Counter of str
        Number of calls by path.
    ports : list of int
        Port of the client of each call, which identifies the connection.
    """

    def __init__(self):
        self.released = asyncio.Event()
        self.requests = Counter()
        self.ports = []
        self.listener = Listener(
            routes=[web.route("*", "/{path:.*}", self._respond)], host=HOST
        )

    async def _respond(self, request):
        self.requests[request.path] += 1
        self.ports.append(request.transport.get_extra_info("peername")[1])
        if request.path == "/later":
            await self.released.wait()
        elif request.path in ("/never", "/run-start"):
            await hang(request)
        elif request.path == "/trickle":
            return await self._trickle(request)
        elif request.path == "/slow":
            await asyncio.sleep(HEDGE_DELAY_S + SHORT_S)
        return web.json_response({})

    async def _trickle(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"{")
        await asyncio.sleep(HEDGE_DELAY_S + SHORT_S)
        await response.write(b"}")
        return response


@pytest.fixture
def with_server():
    """Run a scenario with a server, and a relay to it."""

    def run(scenario):
        async def main():
            server = Server()
            await server.listener.start()
            try:
                async with open_relay(server.listener.port) as relay:
                    await scenario(server, relay)
            finally:
                await server.listener.close()

        asyncio.run(main())

    return run


async def get(client, path="/now", timeout_s=LONG_S):
    return await client.call("GET", path, timeout_s=timeout_s)


async def open_idle(call, relay):
    """Make concurrent calls, so that each of them leaves an idle connection."""
    await asyncio.gather(*(call() for _ in range(IDLE_CONNECTIONS)))
    assert relay.open_connections > 1


def test_call_after_a_timeout_uses_a_new_connection(with_server):
    """Guards against retries that try one dead idle connection after the other."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        await open_idle(lambda: get(client), relay)
        relay.silence()
        assert (await get(client, timeout_s=SHORT_S)).err().kind is ErrorKind.TIMEOUT
        assert (await get(client)).is_ok()
        await client.close()

    with_server(scenario)


def test_caller_of_jobs_uses_a_new_connection_after_a_timeout(with_server):
    """Guards against a load tool that reports its own dead connections as failures."""

    async def scenario(server, relay):
        caller = JobCaller(wait_s=LONG_S)
        await open_idle(lambda: caller.is_ready(relay.address), relay)
        relay.silence()
        assert not await caller.is_ready(relay.address)
        assert await caller.is_ready(relay.address)
        await caller.close()

    with_server(scenario)


def test_calls_in_progress_survive_the_timeout_of_another_one(with_server):
    """Guards against a timeout that breaks off the other calls of the same client."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        later = asyncio.create_task(get(client, "/later"))
        assert (await get(client, "/never", SHORT_S)).is_err()
        assert (await get(client)).is_ok()
        server.released.set()
        assert (await later).is_ok()
        await client.close()

    with_server(scenario)


def test_replaced_connections_close_after_their_last_call(with_server):
    """Guards against connections that stay open although no call will use them."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        await open_idle(lambda: get(client), relay)
        later = asyncio.create_task(get(client, "/later"))
        assert (await get(client, "/never", SHORT_S)).is_err()
        server.released.set()
        await later
        async with asyncio.timeout(LONG_S):
            while relay.open_connections:
                await asyncio.sleep(0.01)
        await client.close()

    with_server(scenario)


def test_timeout_on_an_old_connection_keeps_the_new_ones(with_server):
    """Guards against calls in progress that each have all connections replaced."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=f"{HOST}:{server.listener.port}")
        second = asyncio.create_task(get(client, "/never", 3 * SHORT_S))
        assert (await get(client, "/never", SHORT_S)).is_err()
        assert (await get(client)).is_ok()
        assert (await second).is_err()
        assert (await get(client)).is_ok()
        assert server.ports[-1] == server.ports[-2]
        await client.close()

    with_server(scenario)


def test_start_without_a_response_is_sent_once(with_server):
    """Guards against a retry over a new connection that starts a task twice."""

    async def scenario(server, relay):
        runner = PlatformRunner(runner="r0", address=relay.address)
        order = StartOrder(
            task=TaskId("0" * 16, 0, 0, 0),
            run=1,
            payload="",
            start_before_ms=1,
            epoch=1,
        )
        started = await runner.start(order, timeout_s=SHORT_S)
        assert started.err().kind is ErrorKind.TIMEOUT
        assert server.requests["/run-start"] == 1
        await runner.close()

    with_server(scenario)


async def get_hedged(client, path="/now", timeout_s=LONG_S):
    return await client.call_hedged("GET", path, timeout_s=timeout_s)


def test_hedged_call_gets_its_response_over_a_new_connection(with_server):
    """Guards against a renewal that waits for the timeout of a dead connection."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        await open_idle(lambda: get(client), relay)
        relay.silence()
        assert (await get_hedged(client)).is_ok()
        assert (await get(client)).is_ok()
        await client.close()

    with_server(scenario)


def test_hedged_call_returns_a_late_first_response(with_server):
    """Guards against a slow server whose responses are all given up as too late."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        limit_s = 2 * HEDGE_DELAY_S
        assert (await get_hedged(client, "/slow", limit_s)).is_ok()
        await client.close()

    with_server(scenario)


def test_hedged_call_without_any_response_is_sent_twice(with_server):
    """Guards against repeats without end, and against one that hides the failure."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        lost = await get_hedged(client, "/never", HEDGE_DELAY_S + SHORT_S)
        assert lost.err().kind is ErrorKind.TIMEOUT
        assert server.requests["/never"] == 2
        await client.close()

    with_server(scenario)


def test_calls_to_a_slow_server_are_not_all_repeated(with_server):
    """Guards against a slow server that gets twice the calls over new connections."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        limit_s = HEDGE_DELAY_S + SHORT_S
        calls = [get_hedged(client, "/never", limit_s) for _ in range(5)]
        results = await asyncio.gather(*calls)
        assert all(result.is_err() for result in results)
        assert server.requests["/never"] == 6
        await client.close()

    with_server(scenario)


def test_hedged_call_is_sent_once_if_the_response_comes_early(with_server):
    """Guards against a hedge that doubles the calls of a calm day."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        assert (await get_hedged(client)).is_ok()
        assert server.requests["/now"] == 1
        assert client.pool.generation == 0
        await client.close()

    with_server(scenario)


def test_long_response_that_has_begun_is_not_requested_again(with_server):
    """Guards against a hedge that doubles the load of a slow link."""

    async def scenario(server, relay):
        client = JsonHttpClient(address=relay.address)
        assert (await get_hedged(client, "/trickle")).is_ok()
        assert server.requests["/trickle"] == 1
        await client.close()

    with_server(scenario)
