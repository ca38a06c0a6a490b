"""Entry processes with the request path in virtual time, for measures."""

import asyncio
import collections
import random

import attrs
from result import Err

from wasabipaddle.clock import LoopClock
from wasabipaddle.documents import (
    Placement,
    RequestPolicy,
    ServiceDocument,
    ServiceKind,
    Share,
    Urgency,
)
from wasabipaddle.exceptions import ErrorKind, Failure, Outcome
from wasabipaddle.interfaces import VmEntry, VmRole, VmStatus
from wasabipaddle.kernel import Context
from wasabipaddle.measure.request_endpoints import EndpointServer, RemoteClient
from wasabipaddle.messages import RouteRequest
from wasabipaddle.serve.grants import GrantService
from wasabipaddle.serve.routing import RequestRouting
from wasabipaddle.settings.model import DataCentre, Deployment, Peer, Settings
from wasabipaddle.transport import MemoryNetwork, MemoryTransport

__all__ = [
    "MEAN_FACTOR",
    "Caller",
    "BaselineRouting",
    "RequestCell",
    "send_requests",
    "lognormal_s",
    "make_service",
]

POOL = "pool"
CENTRE = "dc"
SHARD = "dc-0"
SLOTS = 8
# Approximate mean of `lognormal_s`, as a multiple of its median.
MEAN_FACTOR = 1.46
BASELINE_ATTEMPTS = 4
BASELINE_QUEUE = 2_000


def make_service(name, *, team=None, urgency=Urgency.NORMAL, guaranteed=0.0, **policy):
    """Return the document of a request service in the pool."""
    return ServiceDocument(
        service=name,
        team=team or f"team-{name}",
        kind=ServiceKind.REQUEST,
        urgency=urgency,
        placement=Placement(pool=POOL),
        share=Share(guaranteed=guaranteed),
        request=RequestPolicy(**policy),
    )


class BaselineRouting:
    """Baseline: one first-in-first-out queue, immediate retry, no grants.

    Parameters
    ----------
    servers : list of EndpointServer
        Endpoints of the pool; each attempt goes to a random one.
    slots : int
        Largest number of concurrent requests of this process, its equal part of all
        slots.
    """

    def __init__(self, *, servers, slots, random):
        self.servers = servers
        self.clients = {s.name: RemoteClient(server=s) for s in servers}
        self.slots = slots
        self.free = slots
        self.requests = 0
        self.waiting = collections.deque()
        self.random = random
        self.sent = 0

    async def route(self, message):
        """Serve one request, in order of arrival."""
        loop = asyncio.get_running_loop()
        if self.free > 0:
            self.free -= 1
        else:
            if len(self.waiting) >= BASELINE_QUEUE:
                return Err(Failure(kind=ErrorKind.QUEUE_FULL))
            waiter = loop.create_future()
            self.waiting.append(waiter)
            await waiter
        try:
            async with asyncio.timeout_at(message.deadline):
                return await self._serve(message)
        except TimeoutError:
            return Err(Failure(kind=ErrorKind.TIMEOUT))
        finally:
            if self.waiting:
                self.waiting.popleft().set_result(None)
            else:
                self.free += 1

    async def _serve(self, message):
        self.requests += 1
        result = Err(Failure(kind=ErrorKind.NO_CAPACITY))
        for _ in range(BASELINE_ATTEMPTS):
            server = self.random.choice(self.servers)
            self.sent += 1
            result = await self.clients[server.name].send(message)
            if result.is_ok():
                break
        return result


@attrs.define(kw_only=True)
class Caller:
    """Sends requests and records how they end.

    Parameters
    ----------
    answered, failed : collections.Counter
        Number of requests per service.
    kinds : collections.Counter
        Number of failed requests per kind of error.
    not_run : set of str
        Requests whose failure states that they did not run.
    unknown : int
        Number of requests whose failure leaves open whether they ran.
    """

    answered: collections.Counter = attrs.field(factory=collections.Counter)
    failed: collections.Counter = attrs.field(factory=collections.Counter)
    kinds: collections.Counter = attrs.field(factory=collections.Counter)
    offered: int = 0
    unknown: int = 0
    not_run: set = attrs.field(factory=set)
    tasks: set = attrs.field(factory=set)

    def call(self, routing, message):
        """Start to send one request and record its result."""
        self.offered += 1
        task = asyncio.ensure_future(self._call(routing, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, routing, message):
        result = await routing.route(message)
        if result.is_ok():
            self.answered[message.service] += 1
            return
        failure = result.unwrap_err()
        self.failed[message.service] += 1
        self.kinds[failure.kind.value] += 1
        if failure.outcome is Outcome.NOT_RUN:
            self.not_run.add(message.request)
        elif failure.outcome is Outcome.UNKNOWN:
            self.unknown += 1

    async def wait_until_finished(self):
        """Wait until every request has ended."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))


@attrs.define(eq=False)
class _StubRoles:
    """Stub of the leader table and of the document catalogue."""

    leader: str
    documents: dict

    def leader_of(self, shard):
        return self.leader

    def get(self, service):
        return self.documents.get(service)


class RequestCell:
    """Entry processes and endpoints of one data centre.

    The first process leads the shard.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    entries, endpoints : int
        Numbers of processes and endpoints.
    documents : list of ServiceDocument
        Services of the cell.
    use_baseline : bool
        Use `BaselineRouting`.
    """

    def __init__(self, *, seed, entries, endpoints, documents, use_baseline=False):
        self.random = random.Random(f"cell/{seed}")
        self.documents = {d.service: d for d in documents}
        self.servers = {
            f"v{i:02d}": EndpointServer(
                name=f"v{i:02d}", slots=SLOTS, random=self.random
            )
            for i in range(endpoints)
        }
        self.network = MemoryNetwork()
        self.names = [f"e{i}" for i in range(entries)]
        self.roles = _StubRoles(self.names[0], self.documents)
        self.deployment = _deployment(self.names)
        self.use_baseline = use_baseline
        self.seed = seed
        self.routings = {}
        self.contexts = {}
        self.statuses = {}
        self.services = {}
        self.in_rotation = list(self.names)
        self.grants = None
        self.requests = 0

    async def start(self):
        """Start every process and wait 1 s, so that each can obtain slots."""
        for name in self.names:
            if self.use_baseline:
                self.routings[name] = self._baseline_routing()
            else:
                await self._start_process(name)
        if not self.use_baseline:
            await asyncio.sleep(1.0)

    async def stop(self):
        """Stop every process."""
        if not self.use_baseline:
            for routing in self.routings.values():
                await routing.stop()

    def publish_vms(self):
        """Pass the current VM list to the leader."""
        entries = [
            VmEntry(
                vm=name,
                role=VmRole.ENDPOINT,
                status=self.statuses.get(name, VmStatus.LIVE),
                data_centre=CENTRE,
                rack="r",
                host="127.0.0.1",
                port=1,
                pool=POOL,
                slots=SLOTS,
                connections=8 * SLOTS,
            )
            for name in self.servers
        ]
        self.grants.update_endpoints(SHARD, entries)

    def request(self, service, *, service_s, deadline_s) -> RouteRequest:
        """Return the next request of a service."""
        self.requests += 1
        now = asyncio.get_running_loop().time()
        return RouteRequest(
            request=f"{service}/{self.requests}",
            service=service,
            caller="caller",
            body=f"{service_s:.6f}".encode(),
            deadline=now + deadline_s,
        )

    def busy_s(self) -> float:
        """Return the busy time in seconds, summed over all slots of all endpoints."""
        return sum(s.busy_s for s in self.servers.values())

    def executions(self, request) -> int:
        """Return how often a request was executed."""
        return sum(s.executed[request] for s in self.servers.values())

    def count(self, name) -> int:
        """Return the sum of a counter over all processes."""
        return sum(c.metrics.counters.get(name, 0) for c in self.contexts.values())

    async def _start_process(self, name):
        context = Context.create(
            settings=Settings(process=name, deployment=self.deployment),
            clock=LoopClock(),
            process=name,
            seed=f"{self.seed}/{name}",
        )
        transport = MemoryTransport(name=name, network=self.network)
        self.contexts[name] = context
        self.services[name] = GrantService(context=context, transport=transport)
        if name == self.roles.leader:
            self.grants = self.services[name]
            self.grants.lead(SHARD, 1)
            self.publish_vms()
        routing = RequestRouting(
            context=context,
            transport=transport,
            catalogue=self.roles,
            leaders=self.roles,
            connect=lambda grant: RemoteClient(server=self.servers[grant.endpoint]),
            incarnation=1,
        )
        await routing.start()
        self.routings[name] = routing

    def take_over(self, name, *, epoch):
        """Make another process the leader of the shard."""
        self.grants.step_down(SHARD)
        self.roles.leader = name
        self.grants = self.services[name]
        self.grants.lead(SHARD, epoch)
        self.publish_vms()

    def _baseline_routing(self):
        part = SLOTS * len(self.servers) // len(self.names)
        return BaselineRouting(
            servers=list(self.servers.values()), slots=part, random=self.random
        )


def _deployment(names):
    peers = tuple(
        Peer(name=n, data_centre=CENTRE, host="127.0.0.1", api_port=0, internal_port=0)
        for n in names
    )
    return Deployment(
        name="cell",
        store_region="region",
        store_url="",
        vm_list_url="",
        data_centres=(DataCentre(name=CENTRE, region="region"),),
        entries=peers,
    )


async def send_requests(
    *, cell, caller, service, rate, until, seed, sample_s, deadline_s
):
    """Send requests of one service with exponential gaps until a time.

    Parameters
    ----------
    rate : float
        Requests per second to the whole cell.
    until : float
        Loop time at which to stop.
    sample_s : callable
        Function from a random source to a service time in seconds.
    """
    rng = random.Random(f"arrivals/{service}/{seed}")
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(rng.expovariate(rate))
        if loop.time() >= until:
            return
        name = rng.choice(cell.in_rotation)
        message = cell.request(service, service_s=sample_s(rng), deadline_s=deadline_s)
        if name in cell.routings:
            caller.call(cell.routings[name], message)


def lognormal_s(median_s):
    """Return a sampler of heavy-tailed times, capped at 5 times the median."""
    return lambda rng: min(median_s * rng.lognormvariate(0, 1.0), 5 * median_s)
