"""Tests of the transports between entry processes."""

import pytest
from aiohttp import web
from result import Err, Ok

from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import QueryRun, RunState, RunView
from wasabipaddle.settings import Peer
from wasabipaddle.transport import HttpTransport, MemoryNetwork, MemoryTransport


async def handle_query(message):
    if message.run == "missing":
        return Err(Failure(kind=ErrorKind.NOT_FOUND, detail="no such run"))
    return Ok(RunView(run=message.run, service="s", team="t", state=RunState.RUNNING))


@pytest.fixture
def network():
    network = MemoryNetwork()
    MemoryTransport(name="a", network=network)
    target = MemoryTransport(name="b", network=network)
    target.handle(QueryRun, handle_query)
    return network


def query(network, run):
    call = network.transports["a"].call("b", QueryRun(run=run), RunView, timeout_s=2.0)
    return run_virtual(call)


def test_reply_and_failure_pass_through(network):
    """Guards against a failure that changes its kind on the way from the peer."""
    assert query(network, "r1").unwrap().run == "r1"
    assert query(network, "missing").unwrap_err().kind is ErrorKind.NOT_FOUND


def test_cut_is_a_timeout_and_a_stopped_peer_is_unreachable(network):
    """Guards against reporting an unknown delivery as definitely not delivered."""
    network.cut("a", "b")
    assert query(network, "r1").unwrap_err().kind is ErrorKind.TIMEOUT
    network.heal()
    network.stopped.add("b")
    assert query(network, "r1").unwrap_err().kind is ErrorKind.UNREACHABLE


def test_http_transport_carries_the_same_results():
    """Guards against HTTP results that differ from those of the memory transport."""
    import asyncio

    async def main():
        server = HttpTransport(peers={})
        server.handle(QueryRun, handle_query)
        app = web.Application()
        app.add_routes(server.routes())
        app_runner = web.AppRunner(app)
        await app_runner.setup()
        site = web.TCPSite(app_runner, "127.0.0.1", 0)
        await site.start()
        port = app_runner.addresses[0][1]
        peer = Peer(
            name="b",
            data_centre="d",
            host="127.0.0.1",
            api_port=0,
            internal_port=port,
        )
        client = HttpTransport(peers={"b": peer})
        found = await client.call("b", QueryRun(run="r1"), RunView, timeout_s=5)
        missing = await client.call("b", QueryRun(run="missing"), RunView, timeout_s=5)
        await client.close()
        await app_runner.cleanup()
        return found.unwrap().run, missing.unwrap_err().kind

    assert asyncio.run(main()) == ("r1", ErrorKind.NOT_FOUND)
