"""Calls that are cancelled in the moment in which their time limit ends."""

import asyncio
import time

import pytest
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces.http import HttpClient
from wasabipaddle.messages.jobs import LeaderNotice, Noted
from wasabipaddle.settings import CellPeer
from wasabipaddle.standins.listener import Listener, hang
from wasabipaddle.transport import HttpTransport
from wasabipaddle.transport.json_client import JsonHttpClient

HOST = "127.0.0.1"
TIMEOUT_S = 0.2
# Time after which a call waits for its response.
SENT_S = 0.1
# Cancellations just before and just after the end of the time limit.
CANCEL_AT_S = [TIMEOUT_S - 0.01, TIMEOUT_S + 0.01]


async def call_platform(address):
    client = JsonHttpClient(address=address)
    try:
        return await client.call("POST", "/hold", timeout_s=TIMEOUT_S)
    finally:
        await client.close()


async def call_peer(address):
    transport = HttpTransport(peers={"p1": CellPeer.parse(address)})
    notice = LeaderNotice(process="p0", address=address, epoch=1)
    try:
        return await transport.call("p1", notice, Noted, timeout_s=TIMEOUT_S)
    finally:
        await transport.close()


async def call_worker(address):
    client = HttpClient(undelivered_kind=ErrorKind.UNREACHABLE)
    try:
        return await client.call(
            "POST", f"http://{address}/sync", dict, timeout_s=TIMEOUT_S
        )
    finally:
        await client.close()


async def read_worker(address):
    client = HttpClient(undelivered_kind=ErrorKind.UNREACHABLE)
    try:
        return await client.read_if_changed(
            f"http://{address}/inventory", dict, timeout_s=TIMEOUT_S
        )
    finally:
        await client.close()


@pytest.mark.parametrize("cancel_at_s", CANCEL_AT_S)
@pytest.mark.parametrize("call", [call_platform, call_peer, call_worker, read_worker])
def test_cancellation_is_not_lost_to_a_timeout(call, cancel_at_s):
    """Guards against a loop of an ended leadership that goes on to call a runner.

    The loop is blocked while both timers expire, so that they fire one after the other
    before the call is resumed.
    """

    async def main():
        routes = [web.route("*", "/{path:.*}", hang)]
        listener = Listener(routes=routes, host=HOST)
        await listener.start()
        task = asyncio.create_task(call(f"{HOST}:{listener.port}"))
        asyncio.get_running_loop().call_later(cancel_at_s, task.cancel)
        await asyncio.sleep(SENT_S)
        time.sleep(2 * TIMEOUT_S)
        await asyncio.wait({task})
        await listener.close()
        assert task.cancelled()

    asyncio.run(main())
