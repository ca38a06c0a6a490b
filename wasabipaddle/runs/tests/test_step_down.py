"""Tests of the calls that a shard leader makes once it no longer leads."""

import asyncio

import attrs
import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.interfaces import WorkerClient
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.runs.workers import LeaderDeposed

SETTLE_S = 6.0
SHARD = "dc0-0"
CLOSE_S = 30.0  # a connection that hangs delays the end of its client


@attrs.define(kw_only=True, eq=False)
class _Worker(WorkerClient):
    """Client of a worker that records the calls and closes slowly."""

    calls: list
    inner: WorkerClient

    async def sync(self, command):
        """Send one batch of commands."""
        self.calls.append(command)
        return await self.inner.sync(command)

    async def close(self):
        """Close the connections."""
        await asyncio.sleep(CLOSE_S)


class _Cell(WholeCell):
    """Cell that records the calls to its workers."""

    def __init__(self):
        self.calls = []
        super().__init__(size=CellSize(entries=4, data_centres=2, workers=2))

    def worker_client(self, process, vm):
        """Return the client of a worker for one process."""
        return _Worker(calls=self.calls, inner=super().worker_client(process, vm))


@pytest.mark.parametrize("reason", ["higher epoch", "release", "refused call"])
def test_no_lease_is_renewed_after_the_end_of_a_leadership(reason):
    """Guards against leases that outlast the proof that an earlier leader stopped.

    The successor counts them from the time at which the leader says that it has
    stopped, which is before its clients are closed.
    """

    async def main():
        cell = _Cell()
        await cell.start()
        await asyncio.sleep(SETTLE_S)
        (process,) = cell.leaders(SHARD)
        election = process.election(SHARD)
        epoch = election.epoch
        calls_at_end = []
        election.changes.subscribe(lambda _: calls_at_end.append(len(cell.calls)))
        if reason == "higher epoch":
            election.note_epoch(epoch + 1)
        elif reason == "release":
            await election.release()
        else:
            leader = process.context.plugins["shards"].leaders[SHARD]
            for pooled in leader.pool.workers.values():
                pooled.session.contact.failures = 1
                pooled.session.contact.leases_expire_by = 0.0
            leader.next_checks = 0.0
            leader.notify(LeaderDeposed(worker="dc0-w000"))
        await asyncio.sleep(CLOSE_S)
        later = cell.calls[calls_at_end[0] :]
        assert [c for c in later if (c.shard, c.epoch) == (SHARD, epoch)] == []

    run_virtual(main())
