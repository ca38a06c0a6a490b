"""Lifecycle of a cell process, from start to graceful shutdown."""

import asyncio
import os
import signal

import attrs

from wasabipaddle.cell import (
    advice,
    configuration,
    dispatcher,
    distribution,
    election,
    entry,
    events,
    handover,
    members,
    metrics,
    store,
    where,
)
from wasabipaddle.clock import LoopClock
from wasabipaddle.kernel import Context, Kernel
from wasabipaddle.logs import StructuredLog
from wasabipaddle.sighup import consume_sighup

__all__ = ["serve_cell"]

# Importing a module registers its plug-in; the tuple marks the imports as used.
PLUGIN_MODULES = (
    configuration,
    dispatcher,
    distribution,
    election,
    entry,
    handover,
    advice,
    members,
    metrics,
    store,
    where,
)

# Roles that no other role requires; the kernel adds the roles that these require.
ROLES = (
    "cell_dispatcher",
    "cell_distribution",
    "cell_handover",
    "cell_metrics",
    "cell_entry",
    "cell_where",
)


async def serve_cell(settings, *, reload=None):
    """Run a cell process until SIGTERM or SIGINT, then drain and stop it.

    Parameters
    ----------
    settings : CellSettings
        Settings of the process.
    reload : callable or None
        Called at SIGHUP to read the settings again; returns them as a `Result`. None
        if SIGHUP is not handled.
    """
    clock = LoopClock()
    seed = int.from_bytes(os.urandom(8), "big")
    context = Context.create(
        settings=settings, clock=clock, process=settings.process, seed=seed
    )
    context.journal = StructuredLog(
        process=settings.process, clock=clock, timers=context.timers
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, _reload, context, reload)
        if consume_sighup():
            _reload(context, reload)
    kernel = Kernel(context=context, names=ROLES)
    context.journal("process_started", address=settings.internal)
    await kernel.start()
    await context.plugins[members.MembersPlugin.name].open()
    await stopping.wait()
    context.journal("process_draining")
    context.bus.publish(events.DrainStarted())
    await kernel.drain()
    await kernel.stop()
    context.journal("process_stopped")
    context.journal.flush()


def _reload(context, read):
    """Replace the bounds in the settings; other changes need a restart."""
    settings = read()
    if settings.is_err():
        detail = settings.err().detail
        context.journal("settings_refused", reason=detail)
        return
    settings = settings.ok()
    rest = attrs.evolve(settings, bounds=context.settings.bounds)
    context.journal("settings_reloaded", restart_needed=rest != context.settings)
    context.settings = attrs.evolve(context.settings, bounds=settings.bounds)
