"""Fakes for tests of the request path."""

import asyncio
import random

import attrs
from result import Err, Ok

from wasabipaddle.admission import FairQueue
from wasabipaddle.clock import LoopClock
from wasabipaddle.documents import (
    Placement,
    RequestPolicy,
    ServiceDocument,
    ServiceKind,
)
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import EndpointAnswer, EndpointClient, RequestState
from wasabipaddle.messages import Grant, GrantReply, RouteRequest
from wasabipaddle.metrics import Metrics
from wasabipaddle.routing import Dispatcher, GrantHolder
from wasabipaddle.routing.answers import digest_of
from wasabipaddle.settings.model import RoutingSettings

POOL = "pool"


def make_document(service="s", *, team="t", idempotent=True, deadline_s=10.0, **more):
    return ServiceDocument(
        service=service,
        team=team,
        kind=ServiceKind.REQUEST,
        placement=Placement(pool=POOL),
        request=RequestPolicy(
            deadline_s=deadline_s, idempotent=idempotent, retry_budget=1.0
        ),
        **more,
    )


@attrs.define(kw_only=True, eq=False)
class FakeEndpoint(EndpointClient):
    """Endpoint with faults that tests switch on.

    Parameters
    ----------
    failures : list of ErrorKind
        Kinds of the failures with which the next requests are answered.
    stalled : bool
        Whether requests get no answer and do not run.
    lose_answer : bool
        Whether requests run but get no answer.
    announced_length : int or None
        Length in the head of answers; None announces the true length.
    answer_id : str or None
        Request id in the head of answers; None repeats the true id.
    answers_queries : bool
        Whether queries for the state of a request succeed.
    """

    name: str
    slots: int = 8
    service_s: float = 0.05
    body: bytes = b"answer"
    failures: list = attrs.field(factory=list)
    stalled: bool = False
    lose_answer: bool = False
    announced_length: int | None = None
    answer_id: str | None = None
    request_states: dict = attrs.field(factory=dict)
    executed: list = attrs.field(factory=list)
    replacements: int = 0
    probes: int = 0
    answers_queries: bool = True
    running: int = 0

    async def send(self, request):
        """Run the request for its service time, unless a fault is set."""
        if self.failures:
            return Err(Failure(kind=self.failures.pop(0)))
        if self.stalled:
            await asyncio.get_running_loop().create_future()
        if self.running >= self.slots:
            return Err(Failure(kind=ErrorKind.NO_CAPACITY))
        self.executed.append(request.request)
        self.request_states[request.request] = RequestState.RUNNING
        self.running += 1
        try:
            await asyncio.sleep(self.service_s)
        finally:
            self.running -= 1
            self.request_states[request.request] = RequestState.RAN
        if self.lose_answer:
            await asyncio.get_running_loop().create_future()
        length = (
            len(self.body) if self.announced_length is None else self.announced_length
        )
        return Ok(
            EndpointAnswer(
                request=self.answer_id or request.request,
                length=length,
                digest=digest_of(self.body),
                chunks=self.chunks(),
            )
        )

    async def chunks(self):
        """Iterate over the body in chunks."""
        for i in range(0, len(self.body), 10_000):
            yield self.body[i : i + 10_000]

    async def query(self, request):
        """Return the state of a request."""
        if not self.answers_queries:
            return Err(Failure(kind=ErrorKind.UNREACHABLE))
        return Ok(self.request_states.get(request, RequestState.NEVER_SEEN))

    async def probe(self):
        """Count the probe."""
        self.probes += 1
        return Ok(None)

    async def replace_connections(self):
        """Count the replacement."""
        self.replacements += 1


class DispatcherHarness:
    """Dispatcher with fake endpoints and grants that do not expire during a test."""

    def __init__(self, *endpoints, documents=None, policy=None, slots=None):
        self.endpoints = {e.name: e for e in endpoints}
        documents = documents or [make_document()]
        self.catalogue = {d.service: d for d in documents}
        self.metrics = Metrics()
        self.holder = GrantHolder(sender="p1", incarnation=1, random=random.Random(3))
        self.dispatcher = Dispatcher(
            policy=policy or FairQueue(),
            holder=self.holder,
            connect=lambda grant: self.endpoints[grant.endpoint],
            catalogue=self.catalogue,
            settings=RoutingSettings(),
            clock=LoopClock(),
            random=random.Random(5),
            metrics=self.metrics,
        )
        self.holder.request("shard", [], now=0.0)
        self.holder.apply(
            GrantReply(
                shard="shard",
                epoch=1,
                sequence=1,
                life_s=1e9,
                grants=tuple(make_grant(e.name, slots or e.slots) for e in endpoints),
            ),
            now=0.0,
        )
        self.request_count = 0

    def route(self, service="s", *, body=b"x", wait_s=10.0):
        """Return the coroutine that serves one request."""
        self.request_count += 1
        message = RouteRequest(
            request=f"r{self.request_count}",
            service=service,
            caller="caller",
            body=body,
            deadline=asyncio.get_running_loop().time() + wait_s,
        )
        return self.dispatcher.route(message)


def make_grant(endpoint, slots, *, life_s=3.0):
    return Grant(
        endpoint=endpoint,
        pool=POOL,
        host="127.0.0.1",
        port=1,
        slots=slots,
        connections=8 * slots,
        life_s=life_s,
    )


async def read(answer):
    """Return the whole body of a routed answer."""
    return b"".join([chunk async for chunk in answer.chunks])
