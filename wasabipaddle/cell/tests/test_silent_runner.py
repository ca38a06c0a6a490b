"""Inventories of a runner whose open connections carry no data any more."""

import asyncio
from types import SimpleNamespace
from unittest.mock import MagicMock

import pytest
from result import Err, Ok

from wasabipaddle.cell import calls
from wasabipaddle.cell.timing import MAX_LEASE_S
from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import EndCause, EndedTask, Inventory
from wasabipaddle.jobs import TaskId

LATENCY_S = 0.05
ENDED = EndedTask(
    number=1,
    task=TaskId("0" * 16, 0, 0, 0),
    run=1,
    cause=EndCause.COMPLETED,
    checkpoint="",
)


class FakeRunner:
    """Stand-in for `PlatformRunner` whose second call gets no response.

    Attributes
    ----------
    extensions : list of tuple of float
        Times at which each inventory that extends the lease was sent and arrived.
    """

    def __init__(self):
        self.calls = 0
        self.extensions = []

    async def inventory(
        self, *, epoch, acknowledged, lease_until_ms, wait_s, timeout_s
    ):
        """Answer at the end of the wait, with an ended run."""
        self.calls += 1
        if self.calls == 2:
            await asyncio.sleep(timeout_s)
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail="no response"))
        sent_s = asyncio.get_running_loop().time()
        await asyncio.sleep(LATENCY_S)
        if lease_until_ms:
            self.extensions.append((sent_s, sent_s + LATENCY_S))
        await asyncio.sleep(wait_s + LATENCY_S)
        return Ok(Inventory(clock_ms=1, incarnation=1, running=(), ended=(ENDED,)))


def make_runner(priority):
    """Return a runner with one run of a queue with the given priority."""
    spec = SimpleNamespace(opportunistic=False, target_latency_ms=0)
    job = SimpleNamespace(queue=SimpleNamespace(priority=priority))
    step = SimpleNamespace(job=job, remaining=2)
    task = SimpleNamespace(spec=spec, step=step)
    return SimpleNamespace(
        id="r0",
        inventoried=True,
        runs={0: SimpleNamespace(task=task, uncertain=False)},
        acknowledged=0,
        doubted_s=None,
        late_epoch=None,
        inventory_lease_until_ms=0,
        last_inventory_s=0.0,
        lease_left_ms=lambda now: 0,
        in_fleet_record=True,
    )


@pytest.mark.parametrize("priority", [0, 1])
def test_lease_is_extended_in_time_after_an_inventory_without_a_response(priority):
    """Guards against a lease that expires since one connection has gone silent."""
    client = FakeRunner()

    async def main():
        runner = make_runner(priority)
        session = MagicMock()
        session.now = asyncio.get_running_loop().time
        session.scheduler.state.runners = {"r0": runner}
        session.scheduler.state.urgent_task_waiting = False
        session.scheduler.leases.extend_by_inventory.return_value = 1
        session.election.proof.age_s.return_value = 0.0
        runner_calls = calls.RunnerCalls(session=session)
        watch = asyncio.create_task(runner_calls._watch(runner, client))
        async with asyncio.timeout(2 * MAX_LEASE_S):
            while len(client.extensions) < 2:
                await asyncio.sleep(LATENCY_S)
        watch.cancel()

    run_virtual(main())
    (first_sent_s, _), (_, second_arrived_s) = client.extensions
    assert second_arrived_s - first_sent_s < MAX_LEASE_S
