"""Entry processes with all roles, workers and endpoints in virtual time."""

import asyncio

import attrs
from result import Err, Ok

from wasabipaddle.clock import process_context
from wasabipaddle.documents import (
    Resources,
    StoredDocument,
    document_key,
    encode_stored,
)
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError
from wasabipaddle.interfaces import VmEntry, VmRole, VmStatus
from wasabipaddle.measure.cell import ROLES, MemoryCell, MemoryProcess
from wasabipaddle.messages import RouteRequest, SubmitRun
from wasabipaddle.serve.fleet import FleetPlugin
from wasabipaddle.serve.keys import KeysPlugin
from wasabipaddle.serve.routing import RoutingPlugin
from wasabipaddle.serve.runs import RunsPlugin
from wasabipaddle.serve.shards import ShardsPlugin
from wasabipaddle.standins import Ledger, MemoryEndpoint, MemoryVmList, MemoryWorker

__all__ = ["CellSize", "WholeCell"]

ALL_ROLES = (FleetPlugin, *ROLES, ShardsPlugin, RoutingPlugin, RunsPlugin, KeysPlugin)
WORKERS_PER_RACK = 8
CALLER_TIMEOUT_S = 60.0


@attrs.frozen(kw_only=True)
class CellSize:
    """Size of a cell in memory.

    Parameters
    ----------
    workers, endpoints : int
        Number per data centre.
    """

    entries: int = 8
    data_centres: int = 3
    workers: int = 8
    endpoints: int = 8
    worker: Resources = Resources(cpu_milli=64_000, memory_mb=256_000)
    slots: int = 8
    connections: int = 64


class _Platform:
    """Stub of the role `platform` of one process."""

    def __init__(self, *, cell, name):
        self.cell = cell
        self.name = name
        self.store = cell.store.client(name)
        self.vms = cell.vms

    def connect_worker(self, entry):
        return self.cell.worker_client(self.name, entry.vm)

    def connect_endpoint(self, grant):
        return self.cell.endpoint_client(self.name, grant.endpoint)


class WholeProcess(MemoryProcess):
    """Entry process with every role but the HTTP interface.

    All its tasks belong to one process of the virtual-time loop. A pause suspends them
    and a kill discards them without warning, as with a real process.
    """

    def __init__(self, *, settings, cell):
        self.identity = f"{settings.process}#{cell.incarnations}"
        self.task_context = process_context(self.identity)
        super().__init__(settings=settings, cell=cell)
        self.transport.context = self.task_context
        self.terminated = asyncio.get_running_loop().create_future()

    def make_platform(self):
        """Return the platform clients of this process."""
        return _Platform(cell=self.cell, name=self.name)

    async def run(self, coroutine, *, timeout_s=CALLER_TIMEOUT_S):
        """Run a coroutine as part of this process.

        Returns
        -------
        object
            What the coroutine returns, or an `Err` of kind `timeout`, as a caller sees
            it, if the process is killed first or does not answer in time.
        """
        task = asyncio.create_task(coroutine, context=self.task_context)
        await asyncio.wait(
            (task, self.terminated),
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if task.done():
            return task.result()
        return Err(
            Failure(kind=ErrorKind.TIMEOUT, detail=f"no answer from {self.name}")
        )

    def kill(self):
        """End the process without warning."""
        asyncio.get_running_loop().kill(self.identity)
        self.terminated.set_result(None)

    async def start(self):
        """Start the roles."""
        await self.run(super().start())

    async def pause(self):
        """Suspend the process without warning."""
        asyncio.get_running_loop().pause(self.identity)

    async def resume(self):
        """Resume a suspended process."""
        asyncio.get_running_loop().resume(self.identity)

    async def drain(self):
        """Shut down gracefully."""
        await self.run(self._drain())

    async def _drain(self):
        for role in reversed(self.cell.roles):
            await self.context.plugins[role.name].drain()
        for role in reversed(self.cell.roles):
            await self.context.plugins[role.name].stop()
        self.cell.network.stopped.add(self.name)


class WholeCell(MemoryCell):
    """Cell whose processes run every role against in-memory stand-ins.

    Parameters
    ----------
    size : CellSize
        Size of the cell.
    seed : int
        Seed of all random numbers.
    vm_list_lag_s : float
        Delay with which the VM list shows a change.
    shards : type
        Plug-in that leads shards; a measure can pass a plug-in with a baseline
        policy.
    deployment : Deployment or None
        Deployment of the cell; None to generate a deployment of the given size.
    **store_options
        Keyword arguments of `MemoryStore`.
    """

    process_type = WholeProcess

    def __init__(
        self,
        *,
        size,
        seed=1,
        vm_list_lag_s=5.0,
        shards=ShardsPlugin,
        deployment=None,
        **store_options,
    ):
        roles = tuple(shards if r is ShardsPlugin else r for r in ALL_ROLES)
        super().__init__(
            entries=size.entries,
            data_centres=size.data_centres,
            seed=seed,
            roles=roles,
            deployment=deployment,
            **store_options,
        )
        self.size = size
        self.ledger = Ledger()
        self.vms = MemoryVmList(lag_s=vm_list_lag_s)
        self.workers = {}
        self.endpoints = {}
        self.partitioned = set()
        self.views = []
        self._add_vms()

    def _add_vms(self):
        for peer in self.deployment.entries:
            self._add_vm_entry(peer.name, VmRole.ENTRY, peer.data_centre, "entries")
        for centre in self.deployment.data_centres:
            for i in range(self.size.workers):
                name = f"{centre.name}-w{i:03d}"
                rack = f"{centre.name}-r{i // WORKERS_PER_RACK}"
                self.workers[name] = MemoryWorker(
                    name=name, capacity=self.size.worker, ledger=self.ledger
                )
                self._add_vm_entry(
                    name,
                    VmRole.WORKER,
                    centre.name,
                    rack,
                    resources=self.size.worker,
                )
            for i in range(self.size.endpoints):
                name = f"{centre.name}-p{i:03d}"
                rack = f"{centre.name}-r{i // WORKERS_PER_RACK}"
                self.endpoints[name] = MemoryEndpoint(
                    name=name,
                    ledger=self.ledger,
                    slots=self.size.slots,
                    connections=self.size.connections,
                )
                self._add_vm_entry(
                    name,
                    VmRole.ENDPOINT,
                    centre.name,
                    rack,
                    pool="pool",
                    slots=self.size.slots,
                    connections=self.size.connections,
                )

    def _add_vm_entry(self, vm, role, data_centre, rack, **attributes):
        entry = VmEntry(
            vm=vm,
            role=role,
            status=VmStatus.LIVE,
            data_centre=data_centre,
            rack=rack,
            host="127.0.0.1",
            port=0,
            **attributes,
        )
        self.vms.add(entry, at_once=True)

    # Clients and partitions

    def worker_client(self, process, vm):
        """Return the client of a worker for one process."""
        return self._register(process, vm, self.workers[vm].client())

    def endpoint_client(self, process, vm):
        """Return the client of an endpoint for one process."""
        return self._register(process, vm, self.endpoints[vm].client())

    def _register(self, process, vm, view):
        view.partitioned = frozenset((process, vm)) in self.partitioned
        self.views.append((process, vm, view))
        return view

    def partition(self, processes, vms, *, partitioned=True):
        """Cut processes off from workers and endpoints, or reconnect them."""
        pairs = {frozenset((p, v)) for p in processes for v in vms}
        if partitioned:
            self.partitioned |= pairs
        else:
            self.partitioned -= pairs
        for process, vm, view in self.views:
            view.partitioned = frozenset((process, vm)) in self.partitioned

    def vms_of(self, data_centre) -> list[str]:
        """Return the workers and endpoints of a data centre."""
        names = (*self.workers, *self.endpoints)
        return [n for n in names if n.startswith(f"{data_centre}-")]

    def isolate(self, data_centre):
        """Cut a data centre off from the others and from the store."""
        ours = [n for n, c in self.data_centre_of.items() if c == data_centre]
        others = [n for n in self.data_centre_of if n not in ours]
        self.cut(ours, others)
        self.set_store_partition(ours, True)

    def heal(self):
        """Reconnect everything."""
        self.network.heal()
        self.set_store_partition(self.data_centre_of, False)
        self.partitioned.clear()
        for _, _, view in self.views:
            view.partitioned = False

    def lose_worker(self, vm):
        """Make the VM of a worker fail; the VM list shows it after its lag."""
        self.workers[vm].set_faults(gone=True)
        self.vms.set_status(vm, VmStatus.GONE)

    async def kill(self, name):
        """End a process without a graceful shutdown, and mark its VM as gone."""
        process = self.processes.pop(name)
        process.kill()
        self.network.stopped.add(name)
        self.vms.set_status(name, VmStatus.GONE)

    async def start_process(self, name):
        """Start a process; a process that ran before loses its state."""
        if self.vms.entries[name].status is not VmStatus.LIVE:
            self.vms.set_status(name, VmStatus.LIVE)
        return await super().start_process(name)

    # Runs and requests

    async def write_document(self, text, service):
        """Store the YAML text of a document."""
        stored = StoredDocument(operation=text, editor="t", team="t", text=text)
        answer = await self.store.put(document_key(service), encode_stored(stored))
        return answer.unwrap()

    async def submit(
        self, process, service, key, payload, *, timeout_s=CALLER_TIMEOUT_S
    ):
        """Submit a run to one process."""
        message = SubmitRun(shard="", service=service, key=key, payload=payload)
        return await self.operate(process, message, timeout_s=timeout_s)

    async def operate(self, process, message, *, timeout_s=CALLER_TIMEOUT_S):
        """Carry out an operation on runs in one process."""
        target = self.processes[process]
        operation = target.context.plugins["runs"].operate(message)
        return await target.run(operation, timeout_s=timeout_s)

    async def request(self, process, service, request, body, *, deadline_s):
        """Send a request to one process and return the whole answer."""
        context = self.processes[process].context
        message = RouteRequest(
            request=request,
            service=service,
            caller="caller",
            body=body,
            deadline=context.clock.now() + deadline_s,
        )
        return await self.processes[process].run(_whole_answer(context, message))


async def _whole_answer(context, message):
    result = await context.plugins["routing"].routing.route(message)
    if result.is_err():
        return result
    try:
        return Ok(b"".join([c async for c in result.unwrap().chunks]))
    except WasabipaddleError as error:  # a real process aborts the caller's connection
        return Err(error.failure)
