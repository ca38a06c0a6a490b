"""Life cycle of an entry process, from start to graceful shutdown."""

import asyncio
import signal
import time

from wasabipaddle.clock import LoopClock
from wasabipaddle.kernel import Context, Kernel
from wasabipaddle.serve import (
    api,
    cluster,
    fleet,
    keys,
    leadership,
    membership,
    platform,
    relay,
    routing,
    runs,
    shards,
    store,
    timeline,
)
from wasabipaddle.serve.transport import TransportPlugin

__all__ = ["PLUGIN_MODULES", "ROLES", "serve"]

# Importing one of these modules registers its plug-in.
PLUGIN_MODULES = (
    api,
    cluster,
    fleet,
    keys,
    leadership,
    membership,
    platform,
    relay,
    routing,
    runs,
    shards,
    store,
    timeline,
)

# Roles that these require are started as well.
ROLES = ("routing", "runs", "cluster", "timeline", "keys", "api")


async def serve(settings):
    """Run an entry process until SIGTERM or SIGINT, then drain and stop it.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    """
    seed = settings.seed or time.time_ns()
    context = Context.create(
        settings=settings, clock=LoopClock(), process=settings.process, seed=seed
    )
    kernel = Kernel(context=context, names=ROLES)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await kernel.start()
    await context.plugins[TransportPlugin.name].open()
    await stopping.wait()
    await kernel.drain()
    await kernel.stop()
