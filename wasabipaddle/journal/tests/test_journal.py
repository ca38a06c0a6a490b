"""Tests of one journal under store outages and crashes."""

import asyncio

import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.journal import TaskEnded
from wasabipaddle.journal.recovery import Recovery
from wasabipaddle.journal.tests.shard import PausableStore, accepted, make_journal
from wasabipaddle.standins import MemoryStore


def ended(run):
    return TaskEnded(run=run, index=0, attempt=1, outcome=TaskOutcome.COMPLETED)


def test_outage_rejects_runs_keeps_task_endings_and_flushes_without_a_burst():
    """Guards against lost `TaskEnded` records, and a burst of writes after an outage.

    During the outage these records are queued and new runs are rejected. Afterwards
    all records are written within the write allowance and runs are accepted again.
    """

    async def main():
        store = MemoryStore()
        journal = make_journal(store.client("a"), "a", compact_after=500)
        await journal.recover(1)
        for number in range(500):
            journal.submit(accepted(f"r{number}"))
        await journal.flush()
        store.faults.down = True
        endings = []
        for number in range(500):
            endings.append(journal.submit(ended(f"r{number}")))
            await asyncio.sleep(0.2)
        rejected = await journal.append(accepted("late"))
        assert rejected.unwrap_err().kind is ErrorKind.STORE_UNAVAILABLE
        store.faults.down = False
        outage_end_s = int(asyncio.get_running_loop().time())
        await journal.flush()
        assert all(e.result().is_ok() for e in endings)
        assert (await journal.append(accepted("new"))).is_ok()
        await asyncio.sleep(10)
        writes = [s.writes for s in store.history() if s.second >= outage_end_s]
        assert max(writes) <= journal.settings.writes_per_s + 1
        await journal.close()

    run_virtual(main())


def test_end_of_outage_is_detected_with_an_empty_queue():
    """Guards against rejecting runs forever after an outage.

    With an empty queue there is no append that could find that the store is back.
    """

    async def main():
        store = MemoryStore()
        journal = make_journal(store.client("a"), "a")
        await journal.recover(1)
        store.faults.down = True
        assert (await journal.append(accepted("r0"))).is_err()
        store.faults.down = False
        await asyncio.sleep(5.0)
        assert (await journal.append(accepted("r1"))).is_ok()
        await journal.close()

    run_virtual(main())


@pytest.mark.parametrize("crash_s", [0.01, 0.06, 0.12, 0.2, 0.3, 0.5, 1.0, 2.0])
def test_crash_during_compaction_loses_nothing(crash_s):
    """Guards against losing runs if the leader crashes during a compaction.

    The successor recovers from what the crash left, compacts and deletes old keys; the
    runs are counted before and after this.
    """

    async def main():
        store = MemoryStore()
        journal = make_journal(
            store.client("a"), "a", compact_after=1000, max_batch_bytes=2_000
        )
        await journal.recover(1)
        for number in range(60):
            journal.submit(accepted(f"r{number}"))
        await journal.flush()
        task = asyncio.create_task(journal.compactor.compact())
        await asyncio.sleep(crash_s)
        task.cancel()
        await journal.close()
        successor = make_journal(store.client("b"), "b", compact_after=1000)
        live = (await successor.recover(2)).unwrap()
        assert len(live.runs) == 60
        assert (await successor.compactor.compact()).is_ok()
        await asyncio.sleep(30)
        await successor.close()
        reader = make_journal(store.client("c"), "c")
        assert len((await reader.recover(3)).unwrap().runs) == 60
        await reader.close()

    run_virtual(main())


def test_start_that_takes_the_key_of_a_compacted_batch_does_not_hide_it():
    """Guards against a new leader whose state lacks runs that were confirmed.

    Its start is delayed. Meanwhile the previous leader writes a batch under the same
    sequence number, takes a snapshot and deletes the batch, so the start succeeds.
    """

    async def main():
        store = MemoryStore()
        journal = make_journal(store.client("a"), "a", compact_after=1000)
        await journal.recover(1)
        held = PausableStore(store.client("b"))
        successor = make_journal(held, "b", compact_after=1000)
        read = Recovery.read

        async def read_then_pause(recovery):
            result = await read(recovery)
            held.running.clear()
            return result

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Recovery, "read", read_then_pause)
            takeover = asyncio.create_task(successor.recover(2))
            await asyncio.sleep(1.0)
        assert (await journal.append(accepted("confirmed"))).is_ok()
        assert (await journal.compactor.compact()).is_ok()
        await asyncio.sleep(30)
        held.running.set()
        live = (await takeover).unwrap()
        assert "confirmed" in live.runs
        assert (await journal.append(accepted("late"))).unwrap_err().kind is (
            ErrorKind.STALE_EPOCH
        )
        await journal.close()
        await successor.close()

    run_virtual(main())
