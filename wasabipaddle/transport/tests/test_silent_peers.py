"""Calls between processes while open connections carry no data any more."""

import asyncio
import contextlib

from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.messages import QueryRun, RunState, RunView
from wasabipaddle.settings import Peer
from wasabipaddle.standins.listener import Listener
from wasabipaddle.transport import HttpTransport
from wasabipaddle.transport.tests.relay import HOST, open_relay

IDLE_CONNECTIONS = 8
SHORT_S = 0.1
LONG_S = 5.0


async def handle_query(message):
    return Ok(RunView(run=message.run, service="s", team="t", state=RunState.RUNNING))


@contextlib.asynccontextmanager
async def open_peers(names):
    """Open one server behind a relay for each peer; yield a client and the relays."""
    server = HttpTransport(peers={})
    server.handle(QueryRun, handle_query)
    listener = Listener(routes=server.routes(), host=HOST)
    await listener.start()
    client = HttpTransport(peers={})
    async with contextlib.AsyncExitStack() as stack:
        relays = {}
        for name in names:
            relay = await stack.enter_async_context(open_relay(listener.port))
            relays[name] = relay
            client.peers[name] = Peer(
                name=name,
                data_centre="d",
                host=HOST,
                api_port=0,
                internal_port=relay.port,
            )
        yield client, relays
        await client.close()
    await listener.close()


async def query(client, peer, timeout_s=LONG_S):
    return await client.call(peer, QueryRun(run="r"), RunView, timeout_s=timeout_s)


async def open_idle(client, peer):
    await asyncio.gather(*(query(client, peer) for _ in range(IDLE_CONNECTIONS)))


def test_call_after_a_timeout_uses_a_new_connection():
    """Guards against calls that try one dead idle connection after the other."""

    async def main():
        async with open_peers(("b",)) as (client, relays):
            await open_idle(client, "b")
            relays["b"].silence()
            lost = await query(client, "b", SHORT_S)
            assert lost.err().kind is ErrorKind.TIMEOUT
            assert (await query(client, "b")).is_ok()

    asyncio.run(main())


def test_timeout_of_one_peer_keeps_the_connections_to_others():
    """Guards against an unresponsive process that has all processes reconnect."""

    async def main():
        async with open_peers(("b", "c")) as (client, relays):
            await open_idle(client, "b")
            await open_idle(client, "c")
            before = relays["c"].open_connections
            relays["b"].silence()
            assert (await query(client, "b", SHORT_S)).is_err()
            assert (await query(client, "c")).is_ok()
            assert relays["c"].open_connections == before

    asyncio.run(main())
