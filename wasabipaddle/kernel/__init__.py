"""Plugin registry, process life cycle and message bus."""

from wasabipaddle.kernel.bus import Bus, Mailbox
from wasabipaddle.kernel.kernel import Context, Kernel
from wasabipaddle.kernel.plugin import PLUGINS, Plugin, Route
from wasabipaddle.kernel.readiness import ReadinessChanged

__all__ = [
    "PLUGINS",
    "Bus",
    "Context",
    "Kernel",
    "Mailbox",
    "Plugin",
    "ReadinessChanged",
    "Route",
]
