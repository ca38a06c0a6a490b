"""Injection of faults into a fuzzed cell; every fault can be cleared."""

import asyncio

from wasabipaddle.fuzz.history import EndpointDeparture
from wasabipaddle.interfaces import VmStatus
from wasabipaddle.standins import AnswerDamage

__all__ = ["ENDPOINT_FAULTS", "STORE_FAULTS", "WORKER_FAULTS", "FaultInjector"]

STORE_FAULTS = {
    "down": {"down": True},
    "hang": {"hang": True},
    "slow": {"extra_latency_s": 0.5},
    "lost_call": {"lost_call": 0.2},
    "lost_answer": {"lost_answer": 0.2},
    "up": {},
}
STORE_DEFAULTS = {
    "down": False,
    "hang": False,
    "extra_latency_s": 0.0,
    "lost_call": 0.0,
    "lost_answer": 0.0,
}
WORKER_FAULTS = {
    "fails_starts": {"fails_starts": True},
    "silent": {"silent": True},
    "paused": {"paused": True},
    "unreachable": {"unreachable": True},
    "lost_answer": {"lost_answer": 0.5},
    "slow": {"extra_latency_s": 0.3},
    "up": {},
}
WORKER_DEFAULTS = {
    "fails_starts": False,
    "silent": False,
    "paused": False,
    "unreachable": False,
    "lost_answer": 0.0,
    "extra_latency_s": 0.0,
}
ENDPOINT_FAULTS = {
    "failing": {"failing": True},
    "late": {"late_s": 2.0},
    "silent": {"silent": True},
    "short": {"broken": AnswerDamage.SHORT},
    "stall": {"broken": AnswerDamage.STALL},
    "digest": {"broken": AnswerDamage.DIGEST},
    "other": {"broken": AnswerDamage.OTHER},
    "lost_answer": {"lost_answer": 0.5},
    "unreachable": {"unreachable": True},
    "up": {},
}
ENDPOINT_DEFAULTS = {
    "failing": False,
    "late_s": 0.0,
    "silent": False,
    "broken": AnswerDamage.NO,
    "lost_answer": 0.0,
    "unreachable": False,
}
# Time from the planned departure of an endpoint to the end of its VM. Every request has
# a shorter deadline.
LEAVE_GRACE_S = 20.0


class FaultInjector:
    """Injects and clears faults.

    Parameters
    ----------
    cell : FuzzCell
        Cell into which faults are injected.
    """

    def __init__(self, *, cell):
        self.cell = cell
        self.lost_workers = {}
        self.departures = {}

    # Entry processes

    async def kill(self, name):
        """Kill a process without a graceful shutdown."""
        if name in self.cell.processes:
            await self.cell.kill(name)
            self.cell.update_reachability()

    async def pause(self, name):
        """Suspend a process without a graceful shutdown."""
        process = self.cell.processes.get(name)
        if process is not None and not process.paused:
            process.drain_interrupted = process.draining
            await process.pause()
            self.cell.update_reachability()

    async def resume(self, name):
        """Continue a suspended process."""
        process = self.cell.processes.get(name)
        if process is not None and process.paused:
            await process.resume()
            self.cell.update_reachability()

    async def restart(self, name):
        """Start a process that was killed or has stopped."""
        if name not in self.cell.processes:
            await self.cell.start_process(name)

    def drain(self, name):
        """Begin to drain a process, unless it is suspended or draining already."""
        process = self.cell.processes.get(name)
        if process is None or process.paused or process.draining:
            return
        process.draining = True
        self.cell.update_reachability()
        self.cell.spawn(self._drain(process))

    async def _drain(self, process):
        await process.drain()
        if process.terminated.done() or process.paused:
            return
        # A pause may outlast the time limit of the drain. Requests that are cut off at
        # the end of an interrupted drain are therefore no violation.
        disturbed = process.drain_interrupted
        for request in self.cell.history.requests:
            if request.process == process.identity and request.result is None:
                request.stopped = not disturbed
        await self.cell.kill(process.name)
        self.cell.update_reachability()

    # Network

    def isolate(self, data_centre):
        """Cut a data centre off from all others and from the store."""
        self.cell.isolate(data_centre)
        self.cell.isolated.add(data_centre)
        self.cell.update_reachability()

    def partition(self, one, other):
        """Cut two data centres off from each other."""
        centres = self.cell.data_centre_of
        inside = [n for n, c in centres.items() if c == one]
        outside = [n for n, c in centres.items() if c == other]
        self.cell.cut(inside, outside)

    def cut_vms(self, process, vms):
        """Cut a process off from workers or endpoints."""
        self.cell.partition([process], vms)

    def heal(self):
        """Heal every network partition."""
        self.cell.heal()
        self.cell.isolated.clear()
        self.cell.update_reachability()

    # Platform

    def set_store_fault(self, fault):
        """Set one fault of the store and clear its other faults; `up` clears all."""
        self.cell.store.set_faults(**(STORE_DEFAULTS | STORE_FAULTS[fault]))
        self.cell.update_reachability()

    def set_vm_list_down(self, down):
        """Take the VM list down, or bring it back."""
        self.cell.vms.set_faults(down=down)

    def set_worker_fault(self, vm, fault):
        """Set one fault of a worker and clear its other faults; `up` clears all."""
        self.cell.workers[vm].set_faults(**(WORKER_DEFAULTS | WORKER_FAULTS[fault]))

    def lose_worker(self, vm):
        """Lose the VM of a worker with its tasks."""
        if vm not in self.lost_workers:
            self.cell.lose_worker(vm)
            self.lost_workers[vm] = asyncio.get_running_loop().time()

    def return_worker(self, vm):
        """Bring the VM of a lost worker back without tasks.

        Does nothing while the VM list is down, or until the list has shown the loss
        for twice its lag: the platform gives the name to a new VM only after the
        processes could read the loss.
        """
        lost_at_s = self.lost_workers.get(vm)
        now = asyncio.get_running_loop().time()
        faults = self.cell.vms.faults
        if (
            lost_at_s is None
            or faults.down
            or now < lost_at_s + 3 * self.cell.vms.lag_s
        ):
            return
        del self.lost_workers[vm]
        self.cell.workers[vm].set_faults(gone=False)
        self.cell.vms.set_status(vm, VmStatus.LIVE)

    def set_endpoint_fault(self, vm, fault):
        """Set one fault of an endpoint and clear its other faults; `up` clears all."""
        self.cell.endpoints[vm].set_faults(
            **(ENDPOINT_DEFAULTS | ENDPOINT_FAULTS[fault])
        )

    def silence_connections(self, vm):
        """Stall the open connections of an endpoint; new connections work."""
        self.cell.endpoints[vm].silence_connections()

    def leave_endpoint(self, vm):
        """Begin the planned departure of an endpoint, which still accepts requests."""
        if vm in self.departures or self.cell.vms.faults.down:
            return
        now = asyncio.get_running_loop().time()
        departure = EndpointDeparture(endpoint=vm, listed_s=now + self.cell.vms.lag_s)
        self.departures[vm] = departure
        self.cell.history.leaves.append(departure)
        self.cell.vms.set_status(vm, VmStatus.LEAVING)
        self.cell.spawn(self._complete_departure(vm))

    async def _complete_departure(self, vm):
        await asyncio.sleep(LEAVE_GRACE_S)
        self.cell.endpoints[vm].leave()
        self.cell.vms.set_status(vm, VmStatus.GONE)

    def return_endpoint(self, vm):
        """Bring an endpoint back once its VM is gone."""
        departure = self.departures.get(vm)
        if departure is None or not self.cell.endpoints[vm].faults.gone:
            return
        del self.departures[vm]
        departure.until_s = asyncio.get_running_loop().time()
        self.cell.endpoints[vm].set_faults(gone=False, draining=False)
        self.cell.vms.set_status(vm, VmStatus.LIVE)

    # End

    async def clear_all(self):
        """Clear all faults and start all processes, so that accepted work must end."""
        cell = self.cell
        self.set_store_fault("up")
        self.set_vm_list_down(False)
        self.heal()
        for vm in cell.workers:
            self.set_worker_fault(vm, "up")
        for vm in cell.endpoints:
            self.set_endpoint_fault(vm, "up")
        for name in sorted(cell.data_centre_of):
            await self.resume(name)
        await asyncio.sleep(LEAVE_GRACE_S + 2 * cell.vms.lag_s)
        while any(p.draining for p in cell.processes.values()):
            await asyncio.sleep(1.0)
        for name in sorted(cell.data_centre_of):
            await self.restart(name)
        for vm in list(self.lost_workers):
            self.return_worker(vm)
        for vm in list(self.departures):
            self.return_endpoint(vm)
