"""Tests that stand-ins behave the same over HTTP as in memory."""

import asyncio

import pytest
import xxhash

from wasabipaddle.documents import Resources
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import RequestState, VmEntry, VmRole, VmStatus
from wasabipaddle.interfaces.http_endpoint import HttpEndpoint
from wasabipaddle.interfaces.http_store import HttpStore
from wasabipaddle.interfaces.http_vms import HttpVmList
from wasabipaddle.interfaces.http_worker import HttpWorker
from wasabipaddle.settings import LinkSettings
from wasabipaddle.standins.control import StandinControl
from wasabipaddle.standins.host import StandinHost
from wasabipaddle.standins.link import Link
from wasabipaddle.standins.proxy import LinkProxy, ProxyRoute
from wasabipaddle.standins.settings import (
    EndpointStandin,
    StandinSettings,
    StoreStandin,
    VmListStandin,
    WorkerStandin,
    load_standin_settings,
)
from wasabipaddle.standins.store import StoreAllowance
from wasabipaddle.standins.tests.conftest import make_request, make_start, make_sync
from wasabipaddle.standins.tests.conftest import read_body as read

HOST = "127.0.0.1"
LONG_S = 10.0
STALL_S = 2.0
SHORT_S = 0.3
VM = VmEntry(
    vm="w1",
    role=VmRole.WORKER,
    status=VmStatus.LIVE,
    data_centre="dé",
    rack="r",
    host=HOST,
    port=1,
)
SETTINGS = StandinSettings(
    control_port=0,
    store=StoreStandin(port=0),
    vm_list=VmListStandin(port=0, lag_s=0.0, vms=(VM,)),
    workers=(
        WorkerStandin(
            vm="w1", port=0, resources=Resources(cpu_milli=2000, memory_mb=2000)
        ),
    ),
    endpoints=(EndpointStandin(vm="e1", port=0, slots=2),),
)


class Cell:
    """Running stand-ins with one HTTP client of each kind."""

    def __init__(self, host):
        ports = {name: listener.port for name, listener in host.listeners.items()}
        self.host = host
        self.ports = ports
        # Long enough not to be reached on a busy machine; `SHORT_S` is for calls that
        # must time out.
        self.store = self.make_store(LONG_S)
        self.vms = HttpVmList(url=f"http://{HOST}:{ports['vm_list']}", timeout_s=LONG_S)
        self.worker = self.make_worker(LONG_S)
        self.endpoint = self.make_endpoint(ports["e1"], STALL_S)
        self.clients = [self.store, self.vms, self.worker, self.endpoint]
        self.control = StandinControl(urls=(f"http://{HOST}:{host.control.port}",))

    def make_store(self, timeout_s):
        """Return a client of the store."""
        url = f"http://{HOST}:{self.ports['store']}"
        return HttpStore(url=url, client="p1", timeout_s=timeout_s)

    def make_worker(self, timeout_s):
        """Return a client of the worker."""
        port = self.ports["w1"]
        return HttpWorker(host=HOST, port=port, vm="w1", timeout_s=timeout_s)

    def make_endpoint(self, port, progress_s):
        """Return a client of the endpoint at a port."""
        return HttpEndpoint(host=HOST, port=port, vm="e1", progress_s=progress_s)

    async def close(self):
        """Close the clients and the stand-ins."""
        for client in [*self.clients, self.control]:
            await client.close()
        await self.host.close()


def run_cell(scenario):
    async def main():
        host = StandinHost(settings=SETTINGS)
        await host.start()
        cell = Cell(host)
        try:
            await scenario(cell)
        finally:
            await cell.close()

    asyncio.run(main())


def kind_of(result):
    return result.unwrap_err().kind


def test_store_calls_and_refusals():
    """Guards against a value or refusal that differs over HTTP."""

    async def scenario(cell):
        store = cell.store
        value = bytes(range(256))
        first = (await store.put("k/1", value, expected_revision=0)).unwrap()
        assert (await store.get("k/1")).unwrap().value == value
        assert (await store.get("k/2")).unwrap() is None
        mismatch = await store.put("k/1", b"", expected_revision=0)
        assert kind_of(mismatch) is ErrorKind.REVISION_MISMATCH
        changes = await store.watch("k/", after_revision=0, wait_s=1)
        assert [c.revision for c in changes.unwrap()] == [first]
        idle = await store.watch("k/", after_revision=first, wait_s=0.1)
        assert idle.unwrap() == ()
        assert len((await store.list("k/")).unwrap().entries) == 1
        lease = (await store.grant_lease(60)).unwrap()
        memory_store = cell.host.targets["store"]
        memory_store.set_allowance(StoreAllowance(writes_per_s=0.5))
        refused = await store.renew_lease(lease)
        assert kind_of(refused) is ErrorKind.STORE_THROTTLED
        assert refused.unwrap_err().retry_after_s > 0
        assert memory_store.count(client="p1") == 9
        assert sum(s.writes for s in await cell.control.store_calls()) == 4

    run_cell(scenario)


@pytest.mark.parametrize(
    ("fault", "kind", "written"),
    [
        ({"down": True}, ErrorKind.STORE_UNAVAILABLE, False),
        ({"hang": True}, ErrorKind.TIMEOUT, False),
        ({"lost_answer": 1.0}, ErrorKind.TIMEOUT, True),
    ],
)
def test_store_faults(fault, kind, written):
    """Guards against a store fault that HTTP reports as another kind."""

    async def scenario(cell):
        await cell.control.set_faults("store", **fault)
        store = cell.make_store(SHORT_S)
        cell.clients.append(store)
        assert kind_of(await store.put("k", b"")) is kind
        assert ("k" in cell.host.targets["store"].keys.entries) is written

    run_cell(scenario)


def test_worker_over_http():
    """Guards against a worker whose answers differ over HTTP."""

    async def scenario(cell):
        worker = cell.worker
        big = make_start("r/1", needs=Resources(cpu_milli=9000))
        report = (await worker.sync(make_sync(make_start(run_s=0.1), big))).unwrap()
        assert report.refusals[0].kind is ErrorKind.NO_CAPACITY
        wait = make_sync(epoch=2, seen_version=report.version, wait_s=5)
        ended = (await worker.sync(wait)).unwrap()
        assert ended.tasks[0].outcome.value == "completed"
        assert kind_of(await worker.sync(make_sync())) is ErrorKind.STALE_EPOCH
        await cell.control.set_faults("w1", silent=True)
        short = cell.make_worker(SHORT_S)
        cell.clients.append(short)
        assert kind_of(await short.sync(make_sync())) is ErrorKind.TIMEOUT
        await cell.control.set_faults("w1", silent=False, gone=True)
        # On a pooled connection, a reset during a write would leave the outcome of the
        # call unknown.
        fresh = cell.make_worker(LONG_S)
        cell.clients.append(fresh)
        assert kind_of(await fresh.sync(make_sync())) is ErrorKind.UNREACHABLE
        await cell.control.set_faults("w1", gone=False)
        assert (await fresh.sync(make_sync())).unwrap().tasks == ()
        assert (await cell.control.verdict()).reruns == 0

    run_cell(scenario)


def test_list_of_vms_over_http():
    """Guards against a filter that does not match a non-ASCII name."""

    async def scenario(cell):
        await cell.control.set_vm_status("w1", VmStatus.LEAVING)
        found = (await cell.vms.read(data_centre="dé")).unwrap()
        assert [(e.vm, e.status) for e in found] == [("w1", VmStatus.LEAVING)]
        await cell.control.set_faults("vm_list", down=True)
        assert (await cell.vms.read()).is_err()

    run_cell(scenario)


def test_endpoint_answer_and_refusals():
    """Guards against an answer or refusal that differs over HTTP."""

    async def scenario(cell):
        endpoint = cell.endpoint
        # The service time exceeds `STALL_S`, so pings have to keep the connection
        # alive.
        request = make_request(answer_bytes=200_000, service_s=2.5, epoch=2)
        answer = (await endpoint.send(request)).unwrap()
        body = await read(answer)
        assert len(body) == answer.length == 200_000
        assert xxhash.xxh3_64_hexdigest(body) == answer.digest
        assert (await endpoint.query("q1")).unwrap() is RequestState.RAN
        assert (await endpoint.probe()).is_ok()
        old = await endpoint.send(make_request("q2"))
        assert kind_of(old) is ErrorKind.STALE_EPOCH
        busy = [make_request(f"b{i}", service_s=1.5, epoch=2) for i in range(3)]
        results = await asyncio.gather(*map(endpoint.send, busy))
        kinds = [kind_of(r) for r in results if r.is_err()]
        assert kinds == [ErrorKind.NO_CAPACITY]
        for result in results:
            if result.is_ok():
                await result.unwrap().chunks.aclose()
        assert endpoint.active == 0
        await cell.control.set_faults("e1", draining=True)
        left = await endpoint.send(make_request("q3", epoch=2))
        assert kind_of(left) is ErrorKind.DRAINING

    run_cell(scenario)


@pytest.mark.parametrize(
    ("fault", "kind", "runs"),
    [
        ({"failing": True}, ErrorKind.ENDPOINT_FAILED, True),
        ({"late_s": 5.0}, ErrorKind.TIMEOUT, True),
        ({"lost_answer": 1.0}, ErrorKind.TIMEOUT, True),
        ({"silent": True}, ErrorKind.TIMEOUT, False),
        ({"unreachable": True}, ErrorKind.UNREACHABLE, False),
        ({"gone": True}, ErrorKind.UNREACHABLE, False),
    ],
)
def test_endpoint_faults(fault, kind, runs):
    """Guards against an endpoint fault that HTTP reports as another kind."""

    async def scenario(cell):
        await cell.control.set_faults("e1", **fault)
        endpoint = cell.make_endpoint(cell.ports["e1"], STALL_S / 4)
        cell.clients.append(endpoint)
        assert kind_of(await endpoint.send(make_request())) is kind
        assert len((await cell.control.record()).executions) == runs
        assert endpoint.active == 0

    run_cell(scenario)


@pytest.mark.parametrize("broken", ["short", "stall", "digest", "other"])
def test_broken_answers(broken):
    """Guards against a damaged answer that seems intact over HTTP."""

    async def scenario(cell):
        await cell.control.set_faults("e1", broken=broken)
        answer = (await cell.endpoint.send(make_request())).unwrap()
        body = await read(answer)
        whole = len(body) == answer.length
        whole = whole and xxhash.xxh3_64_hexdigest(body) == answer.digest
        assert not (whole and answer.request == "q1")
        assert cell.endpoint.active == 0

    run_cell(scenario)


def test_silent_connection_is_closed_and_not_used_again():
    """Guards against a stalled connection that stays in the pool."""

    async def scenario(cell):
        await read((await cell.endpoint.send(make_request())).unwrap())
        await cell.control.set_faults("e1", silence_connections=True)
        stalled = await cell.endpoint.send(make_request("q2"))
        assert kind_of(stalled) is ErrorKind.TIMEOUT
        assert (await cell.endpoint.query("q2")).unwrap() is RequestState.NEVER_SEEN
        await read((await cell.endpoint.send(make_request("q2"))).unwrap())
        await cell.control.set_faults("e1", silence_connections=True)
        await cell.endpoint.replace_connections()
        assert (await cell.endpoint.send(make_request("q3"))).is_ok()

    run_cell(scenario)


def test_planned_stop_that_cuts_off_is_recorded():
    """Guards against a cut-off request that is missing from the verdict."""

    async def scenario(cell):
        send = asyncio.create_task(cell.endpoint.send(make_request(service_s=9)))
        while not cell.host.ledger.record.executions:
            await asyncio.sleep(0.01)
        await cell.control.set_faults("e1", leave=True)
        assert kind_of(await send) is ErrorKind.TIMEOUT
        assert (await cell.control.verdict()).cut_off == 1

    run_cell(scenario)


def test_unknown_fault_is_refused():
    """Guards against ignoring a misspelt fault or an invalid value."""

    async def scenario(cell):
        for target, name in (("w9", "gone"), ("w1", "gnoe"), ("store", "leave")):
            result = await cell.control.set_faults(target, **{name: True})
            assert kind_of(result) is ErrorKind.INVALID_REQUEST, (target, name)
        wrong = await cell.control.set_faults("w1", gone="yes")
        assert kind_of(wrong) is ErrorKind.INVALID_REQUEST

    run_cell(scenario)


def test_proxy_cuts_silences_and_counts():
    """Guards against traffic through the proxy that the link does not affect."""

    async def scenario(cell):
        link = Link(
            regions={"a": "n", "b": "s"},
            settings=LinkSettings(region_latency_ms=5.0),
        )
        route = ProxyRoute(
            port=0,
            target_host=HOST,
            target_port=cell.ports["e1"],
            source="a",
            target="b",
        )
        proxy = LinkProxy(link=link, host=HOST, routes=(route,))
        await proxy.start()
        endpoint = cell.make_endpoint(proxy.ports[route], STALL_S)
        request = make_request("q1", answer_bytes=30_000)
        assert len(await read((await endpoint.send(request)).unwrap())) == 30_000
        assert link.pair_bytes["b", "a"] > 30_000 > link.pair_bytes["a", "b"] > 0
        link.silence("a", "b")
        assert kind_of(await endpoint.send(make_request("q2"))) is ErrorKind.TIMEOUT
        assert (await endpoint.probe()).is_ok()
        link.cut_off("b")
        assert kind_of(await endpoint.send(make_request("q3"))) is ErrorKind.TIMEOUT
        assert (await cell.endpoint.query("q3")).unwrap() is RequestState.NEVER_SEEN
        link.heal()
        await read((await endpoint.send(make_request("q4"))).unwrap())
        await endpoint.close()
        await proxy.close()

    run_cell(scenario)


def test_settings_refuse_unknown_keys(tmp_path):
    """Guards against ignoring a misspelt key of the settings."""
    path = tmp_path / "standins.yaml"
    path.write_text("control_port: 0\nstore: {port: 0, latency_ms: 1}\n")
    assert load_standin_settings(path).unwrap().store.latency_ms == 1
    path.write_text("control_port: 0\nstore: {port: 0, latencyms: 1}\n")
    failure = load_standin_settings(path).unwrap_err()
    assert failure.kind is ErrorKind.INVALID_SETTINGS and "latencyms" in failure.detail
