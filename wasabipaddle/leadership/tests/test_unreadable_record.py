"""Leader records of a shard that cannot be decoded."""

import asyncio

import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.interfaces.http import decode_failure
from wasabipaddle.leadership import leader_key
from wasabipaddle.leadership.tests.test_election import make_election
from wasabipaddle.standins import MemoryStore

NESTED = b"[" * 100_000
UNREADABLE = {
    "empty": b"",
    "nested": NESTED,
    "nested_field": b'{"x":' + NESTED,
    "utf8": b"\xff",
    "types": b'{"leader":5,"incarnation":1,"epoch":"2"}',
    "missing": b"{}",
}


async def overwrite(election, value):
    """Write a value to the leader key, whatever it holds."""
    entry = (await election.store.get(election.key)).unwrap()
    revision = 0 if entry is None else entry.revision
    written = await election.store.put(election.key, value, expected_revision=revision)
    assert written.is_ok()


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_record_is_replaced_under_a_higher_epoch(value):
    """Guards against a shard without a leader for good, and against an epoch reused."""

    async def main():
        store = MemoryStore()
        first, second = make_election(store, "a"), make_election(store, "b")
        await first.step()
        epoch = first.epoch
        assert first.key == leader_key("dc0-0")
        await overwrite(first, value)
        await asyncio.sleep(60.0)
        await first.step()
        assert not first.leading
        await second.step()
        await asyncio.sleep(60.0)
        await second.step()
        assert second.leading
        assert second.epoch > epoch
        # The unknown writer may still renew leases.
        assert not second.predecessors_stopped()

    run_virtual(main())


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_candidate_goes_on_after_an_unreadable_record(value):
    """Guards against an election that ends with an exception."""

    async def main():
        election = make_election(MemoryStore(), "a")
        await overwrite(election, value)
        running = asyncio.create_task(election.run())
        await asyncio.sleep(60.0)
        assert not running.done()
        assert election.leading
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_virtual(main())


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_failure_is_an_internal_error(value):
    """Guards against an exception in place of the failure of a call."""
    assert decode_failure(value).detail
