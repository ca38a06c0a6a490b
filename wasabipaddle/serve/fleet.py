"""Role `fleet`: reads the platform's VM list and publishes changes."""

import asyncio
import math

import attrs

from wasabipaddle.clock import cancel_and_wait
from wasabipaddle.interfaces import VmEntry, VmRole, VmStatus
from wasabipaddle.kernel import Plugin
from wasabipaddle.timeline import EventKind

__all__ = ["FleetChanged", "FleetPlugin", "FleetRead"]

READ_PERIOD_S = 1.0
# A process that leads no shard uses the list only to learn which VMs are gone.
STANDBY_READ_PERIOD_S = 3.0


@attrs.frozen(kw_only=True)
class FleetChanged:
    """The VM list of the data centre changed.

    Parameters
    ----------
    entries : tuple of VmEntry
        Every VM of the data centre, including those that left the list.
    """

    entries: tuple[VmEntry, ...]


@attrs.frozen(kw_only=True)
class FleetRead:
    """The VM list of the data centre was read, whether or not it changed."""


class FleetPlugin(Plugin):
    """Keeps the latest VM list of the data centre and publishes its changes.

    Publishes `FleetChanged` and `FleetRead`.

    Attributes
    ----------
    read_at : float
        Monotonic time at which the latest successful read began, in seconds.
    entries : dict of str to VmEntry
        VMs by name. A VM that left the list stays with the status `gone`.
    """

    name = "fleet"
    requires = ("platform",)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.entries = {}
        self.read_at = -math.inf
        self.read_due = asyncio.Event()
        self.task = None

    async def start(self):
        """Start reading the list periodically."""
        self.task = asyncio.create_task(self._read_periodically())

    async def stop(self):
        """Stop reading the list."""
        await cancel_and_wait([self.task])

    def request_read(self):
        """Read the list at once, again if a read is in progress."""
        self.read_due.set()

    def is_gone(self, vm) -> bool:
        """Return whether the list says that a VM no longer exists."""
        entry = self.entries.get(vm)
        return entry is not None and entry.status is VmStatus.GONE

    def select(self, role) -> tuple[VmEntry, ...]:
        """Return the VMs with one role."""
        return tuple(e for e in self.entries.values() if e.role is role)

    async def _read_periodically(self):
        while True:
            await self._read()
            due_at = self.context.clock.now() + self._period_s()
            while await self._is_requested_before(due_at):
                await self._read()

    async def _read(self):
        self.read_due.clear()
        began_at = self.context.clock.now()
        vms = self.context.plugins["platform"].vms
        result = await vms.read(data_centre=self.context.settings.data_centre)
        if result.is_err():
            self.context.metrics.count("vm_list_errors")
            return
        self.read_at = began_at
        self._update(result.unwrap())
        self.context.bus.publish(FleetRead())

    async def _is_requested_before(self, due_at):
        try:
            async with asyncio.timeout(due_at - self.context.clock.now()):
                return await self.read_due.wait()
        except TimeoutError:
            return False

    def _period_s(self):
        membership = self.context.plugins.get("membership")
        leading = membership is not None and membership.table.local.led
        return READ_PERIOD_S if leading else STANDBY_READ_PERIOD_S

    def _update(self, listed):
        entries = {e.vm: e for e in listed}
        for vm, known in self.entries.items():
            if vm not in entries:
                entries[vm] = attrs.evolve(known, status=VmStatus.GONE)
        if entries == self.entries:
            return
        for vm, entry in entries.items():
            known = self.entries.get(vm)
            if known is not None and entry.status is not known.status:
                detail = f"listed as {entry.status.value}"
                self.context.events.record(EventKind.VM_LEAVING, vm=vm, detail=detail)
        self.entries = entries
        self.context.bus.publish(FleetChanged(entries=tuple(entries.values())))


def workers_of(entries):
    """Return the workers among VM entries."""
    return [e for e in entries if e.role is VmRole.WORKER]
