"""Life cycle of one entry process."""

import asyncio
import random

import attrs
from absl import logging

from wasabipaddle.clock import Clock, HybridClock, TimerService
from wasabipaddle.kernel.bus import Bus
from wasabipaddle.kernel.plugin import PLUGINS
from wasabipaddle.metrics import Metrics
from wasabipaddle.timeline import EventKind, EventRing

__all__ = ["Context", "Kernel"]


def _discard(kind, **values):
    """Ignore an event of a process that keeps no structured log."""


@attrs.define(kw_only=True)
class Context:
    """Shared services of one process.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    bus : Bus
        Messages between tasks.
    timers : TimerService
        Timers that parts subscribe to.
    metrics : Metrics
        Counters and histograms.
    hybrid : HybridClock
        Hybrid logical clock.
    events : EventRing
        Time line of the process.
    random : random.Random
        Source of jitter and sampling.
    plugins : dict of str to Plugin
        Started plug-ins by name.
    journal : callable
        Receives one event for each decision, as a kind and named values.
    """

    settings: object
    clock: Clock
    bus: Bus
    timers: TimerService
    metrics: Metrics
    hybrid: HybridClock
    events: EventRing
    random: random.Random
    plugins: dict = attrs.field(factory=dict)
    journal: object = _discard

    @classmethod
    def create(cls, *, settings, clock, process, seed):
        """Make the services of one process from its clock and seed."""
        hybrid = HybridClock(clock=clock)
        rng = random.Random(seed)
        return cls(
            settings=settings,
            clock=clock,
            bus=Bus(),
            timers=TimerService(random=rng),
            metrics=Metrics(),
            hybrid=hybrid,
            events=EventRing(process=process, hybrid=hybrid),
            random=rng,
        )


class Kernel:
    """Starts, drains and stops the plug-ins of one process.

    Parameters
    ----------
    context : Context
        Shared services.
    names : sequence of str
        Roles to run; the roles that they require are started first.
    """

    def __init__(self, *, context, names):
        self.context = context
        self.order = _start_order(names)
        self.stopping = asyncio.Event()

    async def start(self):
        """Start every plug-in in dependency order."""
        for name in self.order:
            plugin = PLUGINS[name](context=self.context)
            self.context.plugins[name] = plugin
        for name in self.order:
            await self.context.plugins[name].start()
        self.context.events.record(EventKind.PROCESS_STARTED)
        logging.info("process started, roles: %s", ", ".join(self.order))

    async def drain(self):
        """Drain the plug-ins, the last started first."""
        self.context.events.record(EventKind.PROCESS_DRAINING)
        logging.info("process is draining")
        for name in reversed(self.order):
            await self.context.plugins[name].drain()

    async def stop(self):
        """Stop the plug-ins, the last started first."""
        for name in reversed(self.order):
            await self.context.plugins[name].stop()
        self.context.timers.stop()
        self.context.events.record(EventKind.PROCESS_STOPPED)
        logging.info("process stopped")


def _start_order(names):
    order = []

    def visit(name, trail):
        if name in order:
            return
        if name in trail:
            raise ValueError(f"plug-ins require each other: {' > '.join(trail)}")
        for required in PLUGINS[name].requires:
            visit(required, (*trail, name))
        order.append(name)

    for name in names:
        visit(name, ())
    return order
