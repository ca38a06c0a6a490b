"""Watches of the platform's store that end without an answer."""

import asyncio

from aiohttp import web

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.platform import PlatformStore
from wasabipaddle.standins.listener import Listener

HOST = "127.0.0.1"


def test_cut_watch_is_reported_and_not_repeated():
    """Guards against a watch that the HTTP client opens again without a word."""
    revisions = []

    async def cut(request):
        revisions.append(request.query["after"])
        request.transport.abort()
        return web.Response()

    async def main():
        listener = Listener(routes=[web.get("/kv-watch", cut)], host=HOST)
        await listener.start()
        store = PlatformStore(address=f"{HOST}:{listener.port}")
        batch = await store.follow("servers/", after_revision=5, wait_s=0.1)
        await store.close()
        await listener.close()
        return batch

    batch = asyncio.run(main())
    assert batch.err().kind is ErrorKind.TIMEOUT
    assert revisions == ["5"]
