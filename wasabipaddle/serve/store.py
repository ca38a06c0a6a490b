"""Role `store`: access to the platform's store with a pause shared by all roles."""

from wasabipaddle.interfaces import StoreGate
from wasabipaddle.kernel import Plugin
from wasabipaddle.membership import StorePauseSeen

__all__ = ["StorePlugin"]


class StorePlugin(Plugin):
    """Owns the `StoreGate` of the process and applies pauses that peers report.

    Attributes
    ----------
    gate : StoreGate
        Source of the store views of all other roles.
    """

    name = "store"
    requires = ("platform",)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.gate = StoreGate(
            store=context.plugins["platform"].store,
            clock=context.clock,
            random=context.random,
        )
        context.bus.events(StorePauseSeen).subscribe(
            lambda event: self.gate.pause(event.pause_s)
        )
