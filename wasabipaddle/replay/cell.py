"""In-memory cell that is built from the settings of a deployment."""

import attrs

from wasabipaddle.interfaces import VmRole
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.standins import MemoryEndpoint, MemoryWorker

__all__ = ["DeploymentCell"]


class DeploymentCell(WholeCell):
    """Cell with the entry processes, workers and endpoints of a deployment.

    VMs are named as in the demo: `{rack}-w{n}` for workers and `{rack}-{pool}-{n}`
    for endpoints, where `n` starts at 1.

    Parameters
    ----------
    settings : Settings
        Settings of any process of the deployment.
    seed : int
        Seed of all random numbers.
    """

    def __init__(self, *, settings, seed):
        self.settings = settings
        # The size is unused: the deployment gives the numbers of VMs.
        super().__init__(size=CellSize(), seed=seed, deployment=settings.deployment)

    def settings_of(self, name):
        """Return the settings of the process `name`."""
        return attrs.evolve(self.settings, process=name)

    def _add_vms(self):
        for peer in self.deployment.entries:
            self._add_vm_entry(peer.name, VmRole.ENTRY, peer.data_centre, "entries")
        for rack_settings in self.deployment.racks:
            for i in range(rack_settings.count):
                self._add_worker(rack_settings, f"{rack_settings.rack}-w{i + 1}")
        for group in self.deployment.endpoints:
            for i in range(group.count):
                self._add_endpoint(group, f"{group.rack}-{group.pool}-{i + 1}")

    def _add_worker(self, rack_settings, name):
        self.workers[name] = MemoryWorker(
            name=name, capacity=rack_settings.resources, ledger=self.ledger
        )
        self._add_vm_entry(
            name,
            VmRole.WORKER,
            rack_settings.data_centre,
            rack_settings.rack,
            resources=rack_settings.resources,
        )

    def _add_endpoint(self, group, name):
        self.endpoints[name] = MemoryEndpoint(
            name=name,
            ledger=self.ledger,
            slots=group.slots,
            connections=group.connections,
        )
        self._add_vm_entry(
            name,
            VmRole.ENDPOINT,
            group.data_centre,
            group.rack,
            pool=group.pool,
            slots=group.slots,
            connections=group.connections,
        )
