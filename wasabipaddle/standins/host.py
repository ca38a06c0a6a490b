"""Process that runs the configured stand-ins and serves their control API."""

import asyncio
import random

import attrs
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import VmStatus
from wasabipaddle.standins.endpoint import MemoryEndpoint
from wasabipaddle.standins.endpoint_server import EndpointServer
from wasabipaddle.standins.ledger import Ledger
from wasabipaddle.standins.link import Link
from wasabipaddle.standins.listener import Listener, failure_response, json_response
from wasabipaddle.standins.proxy import LinkProxy
from wasabipaddle.standins.servers import (
    read_message,
    store_routes,
    vms_routes,
    worker_routes,
)
from wasabipaddle.standins.store import MemoryStore
from wasabipaddle.standins.verdict import compute_verdict
from wasabipaddle.standins.vms import MemoryVmList
from wasabipaddle.standins.worker import MemoryWorker

__all__ = ["FaultCommand", "LinkCommand", "StandinHost", "Traffic"]

STORE = "store"
VM_LIST = "vm_list"


@attrs.frozen(kw_only=True)
class FaultCommand:
    """Change of the faults of one stand-in, the body of `POST /faults`.

    Parameters
    ----------
    target : str
        `store`, `vm_list` or the name of a VM.
    changes : dict of str to value
        Fields of `StoreFaults`, `VmListFaults`, `WorkerFaults` or `EndpointFaults`
        and their new values. Endpoints also accept `silence_connections` and `leave`,
        workers also accept `leave`.
    """

    target: str
    changes: dict[str, bool | float | str]


@attrs.frozen(kw_only=True)
class LinkCommand:
    """Change of the link, the body of `POST /link`.

    Parameters
    ----------
    cut : tuple of str
        Places to cut off from every other place that has a region.
    cut_regions : tuple of str
        Two regions to cut off from each other, or empty.
    silence : tuple of str
        Two places whose open connections become silent, or empty.
    heal : bool
        Whether to remove all existing cuts first.
    """

    cut: tuple[str, ...] = ()
    cut_regions: tuple[str, ...] = ()
    silence: tuple[str, ...] = ()
    heal: bool = False


@attrs.frozen(kw_only=True)
class VmCommand:
    """Change of the status of one VM in the list, the body of `POST /vms`."""

    vm: str
    status: VmStatus


@attrs.frozen(kw_only=True)
class Traffic:
    """Number of bytes sent from one place to another."""

    source: str
    target: str
    size: int


class StandinHost:
    """The stand-ins of one settings file.

    Parameters
    ----------
    settings : StandinSettings
        Stand-ins of this process.
    """

    def __init__(self, *, settings):
        self.settings = settings
        self.ledger = Ledger()
        self.random = random.Random(settings.seed)
        self.targets = {}
        self.listeners = {}
        self.endpoint_servers = {}
        self.link = None
        self.proxy = None
        routes = [
            web.post("/faults", self._post_faults),
            web.post("/link", self._post_link),
            web.post("/vms", self._post_vm),
            web.get("/ledger", self._get_ledger),
            web.get("/verdict", self._get_verdict),
            web.get("/traffic", self._get_traffic),
            web.get("/calls", self._get_calls),
        ]
        self.control = self._listener(routes, settings.control_port)

    async def start(self):
        """Start every stand-in, then the control listener."""
        settings = self.settings
        if settings.store is not None:
            self._add_store(settings.store)
        if settings.vm_list is not None:
            self._add_vm_list(settings.vm_list)
        for worker in settings.workers:
            self._add_worker(worker)
        for endpoint in settings.endpoints:
            self._add_endpoint(endpoint)
        for listener in self.listeners.values():
            await listener.start()
        if settings.link is not None:
            await self._start_link(settings.link)
        await self.control.start()

    async def close(self):
        """Stop every stand-in."""
        if self.proxy is not None:
            await self.proxy.close()
        listeners = [*self.listeners.values(), self.control]
        await asyncio.gather(*(listener.close() for listener in listeners))

    async def set_faults(self, target, changes):
        """Change the faults of one stand-in.

        Raises
        ------
        KeyError
            If the target is not in this process.
        ValueError
            If a fault does not exist or its value has the wrong type.
        """
        changes = dict(changes)
        standin = self.targets[target]
        actions = {
            "silence_connections": getattr(
                self.endpoint_servers.get(target), "silence_connections", None
            ),
            "leave": getattr(standin, "leave", None),
        }
        called = [n for n in changes if actions.get(n) is not None and changes[n]]
        for name in called:
            del changes[name]
        standin.set_faults(**changes)
        for name in called:
            actions[name]()
        refuses = getattr(standin, "refuses_connections", None)
        if refuses is None:
            return
        if refuses():
            await self.listeners[target].refuse()
        else:
            await self.listeners[target].accept()

    def change_link(self, command):
        """Carry out a `LinkCommand`.

        Raises
        ------
        ValueError
            If a place or region is unknown, or a pair does not have two names.
        """
        places, regions = set(self.link.regions), set(self.link.regions.values())
        _check_names("place", (*command.cut, *command.silence), places)
        _check_names("region", command.cut_regions, regions)
        _check_pair("cut_regions", command.cut_regions)
        _check_pair("silence", command.silence)
        if command.heal:
            self.link.heal()
        for place in command.cut:
            self.link.cut_off(place)
        if command.cut_regions:
            self.link.cut_regions(*command.cut_regions)
        if command.silence:
            self.link.silence(*command.silence)

    def _add_store(self, settings):
        store = MemoryStore(
            latency_s=settings.latency_ms / 1000,
            allowance=settings.allowance,
            random=self.random,
        )
        self._add(STORE, store, store_routes(store), settings.port)

    def _add_vm_list(self, settings):
        vms = MemoryVmList(lag_s=settings.lag_s)
        for entry in settings.vms:
            vms.add(entry, at_once=True)
        self._add(VM_LIST, vms, vms_routes(vms), settings.port)

    def _add_worker(self, settings):
        worker = MemoryWorker(
            name=settings.vm,
            capacity=settings.resources,
            ledger=self.ledger,
            usage_lag_s=settings.usage_lag_s,
            random=self.random,
        )
        self._add(settings.vm, worker, worker_routes(worker), settings.port)

    def _add_endpoint(self, settings):
        endpoint = MemoryEndpoint(
            name=settings.vm,
            ledger=self.ledger,
            slots=settings.slots,
            connections=settings.connections,
            random=self.random,
        )
        server = EndpointServer(
            endpoint=endpoint, host=self.settings.host, port=settings.port
        )
        self.targets[settings.vm] = endpoint
        self.listeners[settings.vm] = server.listener
        self.endpoint_servers[settings.vm] = server

    def _add(self, name, standin, routes, port):
        self.targets[name] = standin
        self.listeners[name] = self._listener(routes, port)

    def _listener(self, routes, port):
        return Listener(routes=routes, host=self.settings.host, port=port)

    async def _start_link(self, settings):
        regions = {p.name: p.region for p in settings.places if p.region}
        self.link = Link(regions=regions, settings=settings.settings)
        self.proxy = LinkProxy(
            link=self.link, host=self.settings.host, routes=settings.routes
        )
        await self.proxy.start()

    async def _post_faults(self, request):
        command, refusal = await read_message(request, FaultCommand)
        if refusal is not None:
            return refusal
        if command.target not in self.targets:
            return _not_found(f"no stand-in {command.target}")
        try:
            await self.set_faults(command.target, command.changes)
        except (ValueError, KeyError) as error:
            return _invalid(str(error))
        return json_response(None)

    async def _post_link(self, request):
        command, refusal = await read_message(request, LinkCommand)
        if refusal is not None:
            return refusal
        if self.link is None:
            return _not_found("no process has a link")
        try:
            self.change_link(command)
        except ValueError as error:
            return _invalid(str(error))
        return json_response(None)

    async def _post_vm(self, request):
        command, refusal = await read_message(request, VmCommand)
        if refusal is not None:
            return refusal
        vms = self.targets.get(VM_LIST)
        if vms is None or command.vm not in vms.entries:
            return _not_found(f"no VM {command.vm} in the list of VMs")
        vms.set_status(command.vm, command.status)
        return json_response(None)

    async def _get_ledger(self, request):
        return json_response(self.ledger.record)

    async def _get_verdict(self, request):
        return json_response(compute_verdict(self.ledger.record))

    async def _get_traffic(self, request):
        pairs = self.link.pair_bytes if self.link is not None else {}
        traffic = [Traffic(source=s, target=t, size=n) for (s, t), n in pairs.items()]
        return json_response(traffic)

    async def _get_calls(self, request):
        store = self.targets.get(STORE)
        return json_response(store.history() if store is not None else ())


def _invalid(detail):
    return failure_response(Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail))


def _not_found(detail):
    """Return the response of a process that does not have the target."""
    return failure_response(Failure(kind=ErrorKind.NOT_FOUND, detail=detail))


def _check_names(what, names, known):
    unknown = [name for name in names if name not in known]
    if unknown:
        allowed = ", ".join(sorted(known))
        raise ValueError(f"no {what} {unknown[0]}; there are {allowed}")


def _check_pair(key, names):
    if len(names) not in (0, 2):
        raise ValueError(f"{key} takes two names")
