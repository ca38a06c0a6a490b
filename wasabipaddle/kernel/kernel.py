"""Life cycle of one entry process."""

import asyncio
import random

import attrs
from absl import logging

from wasabipaddle.clock import Clock, HybridClock, TimerService
from wasabipaddle.ingress import Ingress
from wasabipaddle.kernel.bus import Bus
from wasabipaddle.kernel.plugin import PLUGINS
from wasabipaddle.metrics import Metrics
from wasabipaddle.timeline import EventKind, EventRing

__all__ = ["Context", "Kernel"]


def _ignore_event(kind, **values):
    """Ignore an event, for processes without a structured log."""


@attrs.define(kw_only=True)
class Context:
    """Services that the plugins of one process share.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    bus : Bus
        Message bus between tasks.
    timers : TimerService
        Periodic and one-shot timers.
    metrics : Metrics
        Counters, gauges and histograms.
    hybrid_clock : HybridClock
        Hybrid logical clock.
    events : EventRing
        Recent events of the process, for the timeline.
    random : random.Random
        Source of jitter and sampling.
    plugins : dict of str to Plugin
        Plugins by name.
    journal : callable
        Structured log; called with a kind and named values for each decision.
    ingress : Ingress
        Connections of clients, shared by the listeners.
    """

    settings: object
    clock: Clock
    bus: Bus
    timers: TimerService
    metrics: Metrics
    hybrid_clock: HybridClock
    events: EventRing
    random: random.Random
    plugins: dict = attrs.field(factory=dict)
    journal: object = _ignore_event
    ingress: Ingress = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.ingress = Ingress(context=self)

    @classmethod
    def create(cls, *, settings, clock, process, seed):
        """Create the services of one process with its clock and random seed."""
        hybrid_clock = HybridClock(clock=clock)
        rng = random.Random(seed)
        return cls(
            settings=settings,
            clock=clock,
            bus=Bus(),
            timers=TimerService(random=rng),
            metrics=Metrics(),
            hybrid_clock=hybrid_clock,
            events=EventRing(process=process, hybrid_clock=hybrid_clock),
            random=rng,
        )


class Kernel:
    """Starts, drains and stops the plugins of one process.

    Parameters
    ----------
    context : Context
        Services that the plugins share.
    names : sequence of str
        Names of the plugins to run; plugins that they require are added and started
        first.
    """

    def __init__(self, *, context, names):
        self.context = context
        self.order = _start_order(names)
        self.stopping = asyncio.Event()

    async def start(self):
        """Create all plugins, then start them in dependency order."""
        for name in self.order:
            plugin = PLUGINS[name](context=self.context)
            self.context.plugins[name] = plugin
        for name in self.order:
            await self.context.plugins[name].start()
        self.context.events.record(EventKind.PROCESS_STARTED)
        logging.info("process started, roles: %s", ", ".join(self.order))

    async def drain(self):
        """Drain the plugins in reverse order of their start."""
        self.context.events.record(EventKind.PROCESS_DRAINING)
        logging.info("process is draining")
        for name in reversed(self.order):
            await self.context.plugins[name].drain()

    async def stop(self):
        """Stop the plugins in reverse order of their start, then the timers."""
        for name in reversed(self.order):
            await self.context.plugins[name].stop()
        self.context.timers.stop()
        self.context.events.record(EventKind.PROCESS_STOPPED)
        logging.info("process stopped")


def _start_order(names):
    order = []

    def visit(name, path):
        if name in order:
            return
        if name in path:
            raise ValueError(f"circular plugin requirements: {' > '.join(path)}")
        for required in PLUGINS[name].requires:
            visit(required, (*path, name))
        order.append(name)

    for name in names:
        visit(name, ())
    return order
