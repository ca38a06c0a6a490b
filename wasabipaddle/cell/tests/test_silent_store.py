"""Views of the store while open connections to it carry no data any more."""

import asyncio

import pytest

from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.cell.watch import StoreWatch
from wasabipaddle.clock import LoopClock
from wasabipaddle.interfaces import Put
from wasabipaddle.kernel import Context
from wasabipaddle.platform import PlatformStore
from wasabipaddle.platform.server import store_routes
from wasabipaddle.settings import CellSettings, PlatformAddresses
from wasabipaddle.standins.listener import Listener
from wasabipaddle.standins.transactions import MemoryTransactions, TransactionsClient
from wasabipaddle.transport.tests.relay import HOST, open_relay

PREFIX = "runners/"
IDLE_CONNECTIONS = 8
# Bound of the watch; short, so that the tests are.
BOUND_S = 0.6
LONG_S = 5.0
# Time within which a request is sent; shorter than the wait of a watch.
SENDING_S = 0.05


@pytest.fixture
def with_store():
    """Run a scenario with the content of a store, a relay to it, and a `StoreWatch`."""

    def run(scenario):
        async def main():
            memory = MemoryTransactions()
            client = TransactionsClient(memory=memory, client="p0")
            listener = Listener(routes=store_routes(client), host=HOST)
            await listener.start()
            try:
                async with open_relay(listener.port) as relay:
                    plugin = make_plugin(relay.address)
                    watch = StoreWatch(
                        store_plugin=plugin,
                        name="registry",
                        prefix=PREFIX,
                        bound_s=BOUND_S,
                    )
                    await scenario(memory, relay, watch)
                    await plugin.stop()
            finally:
                await listener.close()

        asyncio.run(main())

    return run


def make_plugin(address):
    settings = CellSettings(
        process="p0",
        data_centre="a",
        region="r",
        callers=f"{HOST}:1",
        readiness=f"{HOST}:2",
        internal=f"{HOST}:3",
        platform=PlatformAddresses(store=address),
    )
    context = Context.create(settings=settings, clock=LoopClock(), process="p0", seed=1)
    return CellStorePlugin(context=context)


async def open_idle(store, relay):
    """Make concurrent calls, so that each of them leaves an idle connection."""
    await asyncio.gather(*(store.get("k") for _ in range(IDLE_CONNECTIONS)))
    assert relay.open_connections > 1


def test_listing_after_an_unanswered_watch_uses_a_new_connection(with_store):
    """Guards against a departure that waits for the timeouts of idle connections."""

    async def scenario(memory, relay, watch):
        store = watch.store_plugin.store
        await watch.list()
        await open_idle(store, relay)
        follow = asyncio.create_task(watch.follow())
        await asyncio.sleep(SENDING_S)
        relay.silence()
        memory.apply((), [Put(key=PREFIX + "r0", value=b"x")], ())
        assert (await follow).is_err()
        generation = store.connection_generation
        page = await watch.list()
        assert [entry.key for entry in page.ok().entries] == [PREFIX + "r0"]
        assert store.connection_generation == generation

    with_store(scenario)


def test_watch_that_is_listed_again_keeps_the_connections(with_store):
    """Guards against new connections each time that a prefix has to be listed."""

    async def scenario(memory, relay, watch):
        await watch.list()
        call = asyncio.create_task(watch.follow())
        await asyncio.sleep(0)
        watch.expire()
        assert (await call).is_err()
        assert watch.store_plugin.store.connection_generation == 0

    with_store(scenario)


def test_watch_after_a_timeout_of_a_call_uses_a_new_connection(with_store):
    """Guards against watches that do not learn of the timeouts of other calls."""

    async def scenario(memory, relay, watch):
        store = PlatformStore(address=relay.address, timeout_s=LONG_S)
        follows = (
            store.follow("k", after_revision=1, wait_s=0.1)
            for _ in range(IDLE_CONNECTIONS)
        )
        generation = store.connection_generation
        await asyncio.gather(open_idle(store, relay), *follows)
        # A timeout so far would have replaced the connections that fall silent.
        assert store.connection_generation == generation
        relay.silence()
        store.timeout_s = 0.1
        assert (await store.get("k")).is_err()
        batch = await store.follow("k", after_revision=1, wait_s=0.001)
        assert batch.is_ok()
        await store.close()

    with_store(scenario)


def test_lease_is_renewed_within_one_time_limit(with_store):
    """Guards against a leader that loses its key with its connections to the store."""

    async def scenario(memory, relay, watch):
        store = watch.store_plugin.store
        lease = (await store.grant_lease(LONG_S)).ok()
        await open_idle(store, relay)
        relay.silence()
        assert (await store.renew_lease(lease)).is_ok()

    with_store(scenario)
