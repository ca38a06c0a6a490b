"""Tests of connections that are relayed by the proxy over a faulty link."""

import asyncio

import pytest

from wasabipaddle.settings import LinkSettings
from wasabipaddle.standins.link import Link
from wasabipaddle.standins.proxy import LinkProxy, ProxyRoute

HOST = "127.0.0.1"
ANSWER_TIMEOUT_S = 0.3
CLOSE_TIMEOUT_S = 5.0
POLL_S = 0.01


async def echo(reader, writer):
    """Echo each line."""
    while line := await reader.readline():
        writer.write(line)
        await writer.drain()
    writer.close()


async def open_link():
    """Return a link between places a and b with its proxy and one open connection."""
    server = await asyncio.start_server(echo, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    link = Link(
        regions={"a": "r", "b": "r"}, settings=LinkSettings(data_centre_latency_ms=1.0)
    )
    route = ProxyRoute(
        port=0, target_host=HOST, target_port=port, source="a", target="b"
    )
    proxy = LinkProxy(link=link, host=HOST, routes=(route,))
    await proxy.start()
    reader, writer = await asyncio.open_connection(HOST, proxy.ports[route])
    return link, proxy, server, reader, writer


async def send_line(reader, writer):
    """Send a line and return the answer, or None after `ANSWER_TIMEOUT_S`."""
    writer.write(b"x\n")
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reader.readline()
    except TimeoutError:
        return None


async def wait_for_connections(link, count):
    """Wait until a link has a number of connections."""
    async with asyncio.timeout(CLOSE_TIMEOUT_S):
        while len(link.connections) != count:
            await asyncio.sleep(POLL_S)


@pytest.fixture
def run_scenario():
    def run(scenario):
        async def main():
            link, proxy, server, reader, writer = await open_link()
            try:
                return await scenario(link, reader, writer)
            finally:
                writer.close()
                await proxy.close()
                server.close()

        return asyncio.run(main())

    return run


@pytest.mark.parametrize("ends", [("a", "b"), ("b", "a")])
def test_one_way_cut_holds_answers_or_calls_and_heals(run_scenario, ends):
    """Guards against a one-way cut that blocks both directions or cannot be undone."""

    async def scenario(link, reader, writer):
        before = await send_line(reader, writer)
        link.cut(*ends, one_way=True)
        during = await send_line(reader, writer)
        passes = link.passes(*ends), link.passes(*reversed(ends))
        link.restore(*ends)
        return before, during, passes, await reader.readline()

    assert run_scenario(scenario) == (b"x\n", None, (False, True), b"x\n")


@pytest.mark.parametrize("closed", [True, False])
def test_connection_closed_during_a_cut_never_reaches_the_target(run_scenario, closed):
    """Guards against thousands of abandoned calls that arrive at the end of a cut."""

    async def scenario(link, reader, writer):
        link.cut("a", "b")
        port = writer.get_extra_info("peername")[1]
        new_reader, new_writer = await asyncio.open_connection(HOST, port)
        new_writer.write(b"x\n")
        await wait_for_connections(link, 2)
        if closed:
            new_writer.close()
            await wait_for_connections(link, 1)
        link.restore("a", "b")
        answer = None if closed else await new_reader.readline()
        new_writer.close()
        return answer

    assert run_scenario(scenario) == (None if closed else b"x\n")


def test_connections_take_no_time_while_they_wait(run_scenario):
    """Guards against connections that are looked at all the time during a cut."""

    async def scenario(link, reader, writer):
        looks = []
        passes = link.passes
        link.passes = lambda *ends: looks.append(ends) or passes(*ends)
        link.cut("a", "b")
        await send_line(reader, writer)
        before = len(looks)
        await send_line(reader, writer)
        return before, len(looks)

    before, after = run_scenario(scenario)
    assert 0 < before == after


def test_reset_closes_open_connections(run_scenario):
    """Guards against a reset that leaves the client's connection open."""

    async def scenario(link, reader, writer):
        await send_line(reader, writer)
        link.reset("a", "b")
        try:
            return await reader.readline()
        except ConnectionResetError:
            return b""

    assert run_scenario(scenario) == b""


def test_delay_is_added_in_both_directions(run_scenario):
    """Guards against a delay that applies to one direction only."""

    async def scenario(link, reader, writer):
        link.set_extra_latency("a", "b", 0.05)
        added = [link.latency_s(*ends) for ends in (("a", "b"), ("b", "a"))]
        link.set_extra_latency("a", "b", 0.0)
        return added, link.latency_s("a", "b")

    added, after = run_scenario(scenario)
    assert added == pytest.approx([0.051, 0.051])
    assert after == pytest.approx(0.001)
