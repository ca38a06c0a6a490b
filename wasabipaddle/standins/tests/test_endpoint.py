"""Tests of the in-memory endpoint."""

import asyncio

import pytest
import xxhash

from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import RequestState
from wasabipaddle.standins import CutOffCause, compute_verdict
from wasabipaddle.standins.tests.conftest import make_request, read_body


def test_answer_is_complete_and_query_knows_it(endpoint):
    """Guards against an answer that does not match its announced length or digest."""

    async def main():
        answer = (await endpoint.send(make_request(answer_bytes=40_000))).unwrap()
        body = await read_body(answer)
        assert len(body) == answer.length == 40_000
        assert xxhash.xxh3_64_hexdigest(body) == answer.digest
        assert (await endpoint.query("q1")).unwrap() is RequestState.RAN
        assert (await endpoint.query("q2")).unwrap() is RequestState.NEVER_SEEN
        assert len(endpoint.open) == len(endpoint.view.idle) == 1

    run_virtual(main())


def test_long_request_is_kept_alive(endpoint):
    """Guards against a timeout of a long request on a connection with progress."""

    async def main():
        assert (await endpoint.send(make_request(service_s=5))).is_ok()

    run_virtual(main())


def test_refused_requests_are_not_run(endpoint, ledger):
    """Guards against running a request that is refused."""

    async def main():
        sends = [
            asyncio.create_task(endpoint.send(make_request(f"q{i}", service_s=1)))
            for i in range(6)
        ]
        results = await asyncio.gather(*sends)
        kinds = [r.err().kind for r in results if r.is_err()]
        assert kinds == [ErrorKind.NO_CAPACITY] * 4
        await endpoint.send(make_request("q7", epoch=2))
        old = await endpoint.send(make_request("q8", epoch=1))
        assert old.unwrap_err().kind is ErrorKind.STALE_EPOCH
        endpoint.set_faults(draining=True)
        left = await endpoint.send(make_request("q9", epoch=2))
        assert left.unwrap_err().kind is ErrorKind.DRAINING
        ran = {e.identifier for e in ledger.record.executions}
        assert len(ran) == 3 and not ran & {"q8", "q9"}

    run_virtual(main())


@pytest.mark.parametrize(
    ("fault", "kind", "ran"),
    [
        ({"failing": True}, ErrorKind.ENDPOINT_FAILED, True),
        ({"late_s": 5.0}, ErrorKind.TIMEOUT, True),
        ({"lost_answer": 1.0}, ErrorKind.TIMEOUT, True),
        ({"silent": True}, ErrorKind.TIMEOUT, False),
        ({"unreachable": True}, ErrorKind.UNREACHABLE, False),
        ({"gone": True}, ErrorKind.UNREACHABLE, False),
    ],
)
def test_faults(endpoint, ledger, fault, kind, ran):
    """Guards against a fault with a wrong failure or effect.

    The failure must be the documented one, and the request must have run only where
    the fault lets it run.
    """

    async def main():
        endpoint.set_faults(**fault)
        result = await endpoint.send(make_request())
        assert result.unwrap_err().kind is kind
        assert len(ledger.record.executions) == ran

    run_virtual(main())


@pytest.mark.parametrize("broken", ["short", "stall", "digest", "other"])
def test_broken_answers(endpoint, broken):
    """Guards against a damaged answer that passes a completeness check."""

    async def main():
        endpoint.set_faults(broken=broken)
        answer = (await endpoint.send(make_request())).unwrap()
        body = await read_body(answer)
        whole = (
            answer.request == "q1"
            and len(body) == answer.length
            and xxhash.xxh3_64_hexdigest(body) == answer.digest
        )
        assert not whole

    run_virtual(main())


def test_broken_connections_are_not_reused(endpoint):
    """Guards against reuse of a pooled connection that the endpoint has closed."""

    async def main():
        await read_body((await endpoint.send(make_request())).unwrap())
        send = asyncio.create_task(endpoint.send(make_request("q2", service_s=5)))
        await asyncio.sleep(1)
        endpoint.set_faults(unreachable=True)
        assert (await send).unwrap_err().kind is ErrorKind.TIMEOUT
        endpoint.set_faults(unreachable=False)
        await read_body((await endpoint.send(make_request("q3"))).unwrap())
        assert len(endpoint.open) == 1

    run_virtual(main())


def test_unread_answer_frees_its_connection(endpoint):
    """Guards against an unread answer that occupies its connection for ever."""

    async def main():
        answer = (await endpoint.send(make_request())).unwrap()
        await answer.chunks.aclose()
        assert not endpoint.open

    run_virtual(main())


def test_silent_connections_are_replaced(endpoint):
    """Guards against reuse of a stalled connection."""

    async def main():
        await read_body((await endpoint.send(make_request())).unwrap())
        endpoint.silence_connections()
        stalled = await endpoint.send(make_request("q2"))
        assert stalled.unwrap_err().kind is ErrorKind.TIMEOUT
        assert (await endpoint.query("q2")).unwrap() is RequestState.NEVER_SEEN
        assert (await endpoint.send(make_request("q2"))).is_ok()

    run_virtual(main())


@pytest.mark.parametrize("planned", [True, False])
def test_only_planned_stops_count_as_cut_off(endpoint, ledger, planned):
    """Guards against a planned stop that cuts off a request unnoticed.

    Also guards against an unplanned stop that counts as a planned one.
    """

    async def main():
        send = asyncio.create_task(endpoint.send(make_request(service_s=5)))
        await asyncio.sleep(1)
        endpoint.set_faults(draining=planned)
        endpoint.set_faults(gone=True)
        assert (await send).unwrap_err().kind is ErrorKind.TIMEOUT
        assert compute_verdict(ledger.record).cut_off == planned

    run_virtual(main())


def test_cancelled_send_is_recorded_and_runs_on(endpoint, ledger):
    """Guards against counting a request as not run because its client disconnected."""

    async def main():
        send = asyncio.create_task(endpoint.send(make_request(service_s=2)))
        await asyncio.sleep(1)
        send.cancel()
        await asyncio.sleep(2)
        assert ledger.record.executions[0].completed
        assert ledger.record.cut_offs[0].cause is CutOffCause.CLIENT_CLOSED

    run_virtual(main())
