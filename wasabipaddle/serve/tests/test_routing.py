"""Tests of the role `routing` on an in-memory network."""

import asyncio

import attrs
import pytest

from wasabipaddle.clock import LoopClock, run_virtual
from wasabipaddle.documents import Quota
from wasabipaddle.exceptions import ErrorKind, Outcome
from wasabipaddle.interfaces import VmEntry, VmRole, VmStatus
from wasabipaddle.kernel import Context
from wasabipaddle.messages import DrainNotice, RouteRequest
from wasabipaddle.routing.tests.fakes import POOL, FakeEndpoint, make_document, read
from wasabipaddle.serve.grants import GrantService
from wasabipaddle.serve.routing import RequestRouting
from wasabipaddle.settings.model import (
    DataCentre,
    Deployment,
    LinkSettings,
    Peer,
    Settings,
)
from wasabipaddle.transport import MemoryNetwork, MemoryTransport

CENTRES = {"a": "near", "b": "near", "c": "far"}


class Cell:
    """One entry process and one endpoint in each of three data centres.

    It also serves as catalogue, leaders and peers of `RequestRouting`.
    """

    def __init__(self, *, documents, slots=1, spill_bytes_per_s=500_000):
        peers = [
            Peer(name=f"p{c}", data_centre=c, host="h", api_port=0, internal_port=0)
            for c in CENTRES
        ]
        self.deployment = Deployment(
            name="cell",
            store_region="near",
            store_url="",
            vm_list_url="",
            data_centres=tuple(
                DataCentre(name=c, region=r) for c, r in CENTRES.items()
            ),
            entries=tuple(peers),
            link=LinkSettings(spill_bytes_per_s=spill_bytes_per_s),
        )
        self.documents = {d.service: d for d in documents}
        self.network = MemoryNetwork()
        self.endpoints = {c: FakeEndpoint(name=f"v{c}", slots=slots) for c in CENTRES}
        self.routings = {}
        self.grants = {}
        self.down = set()
        self.sent = 0

    def get(self, service):
        """Return the document of a service, or None."""
        return self.documents.get(service)

    def leader_of(self, shard):
        """Return the only process of the data centre."""
        return f"p{shard[0]}"

    def live(self, data_centre):
        """Return the processes of a data centre that are up."""
        return [] if data_centre in self.down else [f"p{data_centre}"]

    async def start(self):
        """Start every process and wait for grants."""
        for centre in CENTRES:
            settings = Settings(process=f"p{centre}", deployment=self.deployment)
            context = Context.create(
                settings=settings, clock=LoopClock(), process=f"p{centre}", seed=1
            )
            transport = MemoryTransport(name=f"p{centre}", network=self.network)
            self.grants[centre] = GrantService(context=context, transport=transport)
            self.grants[centre].lead(f"{centre}-0", 1)
            self.update_vms(centre, VmStatus.LIVE)
            endpoint = self.endpoints[centre]
            self.routings[centre] = RequestRouting(
                context=context,
                transport=transport,
                catalogue=self,
                leaders=self,
                connect=lambda grant, endpoint=endpoint: endpoint,
                peers=self,
                incarnation=1,
            )
            await self.routings[centre].start()
        await asyncio.sleep(1.0)

    def update_vms(self, centre, status):
        """Give the leader of a data centre a VM list with its endpoint in a status."""
        entry = VmEntry(
            vm=f"v{centre}",
            role=VmRole.ENDPOINT,
            status=status,
            data_centre=centre,
            rack="r",
            host="h",
            port=1,
            pool=POOL,
            slots=self.endpoints[centre].slots,
            connections=64,
        )
        self.grants[centre].update_endpoints(f"{centre}-0", [entry])

    def message(self, service="s", *, wait_s=5.0):
        """Return a new request whose deadline is `wait_s` seconds from now."""
        self.sent += 1
        return RouteRequest(
            request=f"r{self.sent}",
            service=service,
            caller="c",
            body=b"x",
            deadline=asyncio.get_running_loop().time() + wait_s,
        )

    def executed(self):
        """Return how many requests each endpoint ran."""
        return {c: len(e.executed) for c, e in self.endpoints.items()}

    async def stop(self):
        """Stop every process."""
        for routing in self.routings.values():
            await routing.stop()


def run(coroutine_of, **cell):
    """Run a coroutine function with a started cell in virtual time."""

    async def main():
        started = Cell(documents=[make_document(idempotent=False)], **cell)
        await started.start()
        try:
            return await coroutine_of(started)
        finally:
            await started.stop()

    return run_virtual(main())


def test_request_on_the_bus_is_answered():
    """Guards against a role that does not take `RouteRequest` from the bus."""

    async def body(cell):
        bus = cell.routings["a"].context.bus
        answer = (await bus.ask(cell.message(), timeout_s=5.0)).unwrap()
        return await read(answer), cell.executed()

    assert run(body) == (b"answer", {"a": 1, "b": 0, "c": 0})


def test_cancelled_request_leaves_the_queue():
    """Guards against a slot that is used for a request whose caller no longer waits."""

    async def body(cell):
        bus = cell.routings["a"].context.bus
        cell.endpoints["a"].service_s = 1.0
        first = asyncio.ensure_future(bus.ask(cell.message(), timeout_s=5.0))
        await asyncio.sleep(0.01)
        second = await bus.ask(cell.message(), timeout_s=0.1)
        return (await first).is_ok(), second.is_ok(), cell.executed()["a"]

    assert run(body) == (True, False, 1)


def test_spill_prefers_the_own_region():
    """Guards against traffic on the paid link while the own region has capacity."""

    async def body(cell):
        cell.endpoints["a"].failures = [ErrorKind.NO_CAPACITY] * 10
        result = await cell.routings["a"].route(cell.message())
        metrics = cell.routings["a"].context.metrics.counters
        return result.is_ok(), cell.executed(), "link_bytes.request" in metrics

    assert run(body) == (True, {"a": 0, "b": 1, "c": 0}, False)


def test_spill_over_the_link_stays_within_the_allowance():
    """Guards against more spilled bytes on the paid link than its allowance."""

    async def body(cell):
        loop = asyncio.get_running_loop()
        cell.down.add("b")
        cell.endpoints["a"].failures = [ErrorKind.NO_CAPACITY] * 100
        started_at = loop.time()
        results = [await cell.routings["a"].route(cell.message()) for _ in range(30)]
        counters = cell.routings["a"].context.metrics.counters
        sent = counters["link_bytes.request"] + counters["link_bytes.answer"]
        return results, cell.executed()["c"], sent, loop.time() - started_at

    results, executed, sent, elapsed = run(body, spill_bytes_per_s=3_000)
    refused = [r.unwrap_err() for r in results if r.is_err()]
    assert 0 < executed == len(results) - len(refused) < len(results)
    assert sent <= 3_000 * (2.0 + elapsed)
    assert {f.outcome for f in refused} == {Outcome.NOT_RUN}


def test_forwarded_request_is_not_sent_on():
    """Guards against a forwarded request that the receiver forwards again."""

    async def body(cell):
        for centre in "abc":
            cell.endpoints[centre].failures = [ErrorKind.NO_CAPACITY] * 100
        result = await cell.routings["a"].route(cell.message())
        attempts = [100 - len(cell.endpoints[c].failures) for c in "abc"]
        return result.unwrap_err().outcome, attempts[2]

    outcome, far_attempts = run(body)
    assert outcome is Outcome.NOT_RUN
    assert far_attempts == 0


@pytest.mark.parametrize(
    ("answers_queries", "outcome"), [(True, Outcome.RAN), (False, Outcome.UNKNOWN)]
)
def test_work_that_may_have_run_does_not_spill(answers_queries, outcome):
    """Guards against a second execution in another data centre after a lost answer."""

    async def body(cell):
        cell.endpoints["a"].lose_answer = True
        cell.endpoints["a"].answers_queries = answers_queries
        result = await cell.routings["a"].route(cell.message())
        return result.unwrap_err().outcome, cell.executed()

    assert run(body) == (outcome, {"a": 1, "b": 0, "c": 0})


def test_lost_reply_of_a_forwarded_request_is_unknown():
    """Guards against a false "not run" when the link to the other process fails."""

    async def body(cell):
        cell.endpoints["a"].failures = [ErrorKind.NO_CAPACITY] * 10
        cell.endpoints["b"].service_s = 1.0
        asyncio.get_running_loop().call_later(0.5, cell.network.cut, "pa", "pb")
        result = await cell.routings["a"].route(cell.message())
        return result.unwrap_err().kind, cell.executed()["b"]

    assert run(body) == (ErrorKind.OUTCOME_UNKNOWN, 1)


def test_quota_refusal_does_not_spill():
    """Guards against requests that evade a quota through other data centres."""

    async def body(cell):
        cell.documents["q"] = make_document("q", quota=Quota(slots=1))
        cell.endpoints["a"].service_s = 3.0
        first = asyncio.ensure_future(cell.routings["a"].route(cell.message("q")))
        await asyncio.sleep(0.1)
        second = await cell.routings["a"].route(cell.message("q", wait_s=1.0))
        return (await first).is_ok(), second.unwrap_err().outcome, cell.executed()

    executed = {"a": 1, "b": 0, "c": 0}
    assert run(body, slots=4) == (True, Outcome.NOT_RUN, executed)


def test_leaving_endpoint_gets_no_new_work_after_the_notice():
    """Guards against new work on a VM that the platform is about to remove."""

    async def body(cell):
        cell.update_vms("a", VmStatus.LEAVING)
        await asyncio.sleep(0.1)
        result = await cell.routings["a"].route(cell.message(wait_s=1.0))
        return result.is_ok(), cell.executed()["a"]

    assert run(body) == (False, 0)


def test_notice_of_an_earlier_leader_is_refused():
    """Guards against a deposed leader that drains endpoints."""

    async def body(cell):
        routing = cell.routings["a"]
        routing.holder.shards["a-0"].epoch = 2
        notice = attrs.evolve(_notice("a"), epoch=1)
        reply = await routing.handle_drain_notice(notice)
        return reply.unwrap_err().kind

    assert run(body) is ErrorKind.STALE_EPOCH


def test_requests_continue_without_a_leader():
    """Guards against failing requests after the leader has stopped granting slots."""

    async def body(cell):
        cell.grants["a"].step_down("a-0")
        await asyncio.sleep(10.0)
        result = await cell.routings["a"].route(cell.message())
        return result.is_ok()

    assert run(body, slots=4)


def _notice(centre):
    return DrainNotice(
        sender=f"p{centre}", shard=f"{centre}-0", epoch=1, endpoints=(f"v{centre}",)
    )
