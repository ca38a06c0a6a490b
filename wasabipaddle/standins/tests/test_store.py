"""Tests of the in-memory store."""

import asyncio

import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.standins import MemoryStore, StoreAllowance


@pytest.fixture
def store():
    return MemoryStore()


def test_compare_and_swap_and_pages(store):
    """Guards against overwriting a newer revision and against gaps between pages."""

    async def main():
        first = (await store.put("a/1", b"x", expected_revision=0)).unwrap()
        again = await store.put("a/1", b"y", expected_revision=0)
        assert again.unwrap_err().kind is ErrorKind.REVISION_MISMATCH
        await store.put("a/1", b"z", expected_revision=first)
        for i in range(2, 6):
            await store.put(f"a/{i}", b"")
        await store.put("b/1", b"")
        keys, after = [], ""
        while after is not None:
            page = (await store.list("a/", after=after, limit=2)).unwrap()
            keys += [e.key for e in page.entries]
            after = page.next_after
        assert keys == [f"a/{i}" for i in range(1, 6)]
        stale = await store.delete("a/1", expected_revision=first)
        assert stale.unwrap_err().kind is ErrorKind.REVISION_MISMATCH
        assert (await store.delete("a/1")).is_ok()
        assert (await store.get("a/1")).unwrap() is None

    run_virtual(main())


def test_watch_waits_returns_changes_and_reports_compaction():
    """Guards against missed changes and unreported compaction."""
    store = MemoryStore(history_limit=2)

    async def main():
        async def write():
            await asyncio.sleep(3)
            await store.put("b", b"")
            await store.put("a", b"1")

        task = asyncio.create_task(write())
        found = await store.watch("a", after_revision=0, wait_s=10)
        assert [(c.key, c.value, c.revision) for c in found.unwrap()] == [
            ("a", b"1", 2)
        ]
        await task
        assert (await store.watch("a", after_revision=2, wait_s=1)).unwrap() == ()
        await store.delete("a")
        gone = await store.watch("a", after_revision=2, wait_s=1)
        assert gone.unwrap()[0].value is None
        old = await store.watch("a", after_revision=0, wait_s=1)
        assert old.unwrap_err().kind is ErrorKind.REVISION_MISMATCH
        assert store.count(kind="watch") == 4

    run_virtual(main())


def test_lease_deletes_its_keys_at_expiry(store):
    """Guards against a key that outlives its lease, and renewal after expiry."""

    async def main():
        lease = (await store.grant_lease(2.0)).unwrap()
        await store.put("k", b"", lease=lease)
        await asyncio.sleep(1.5)
        assert (await store.renew_lease(lease)).is_ok()
        await asyncio.sleep(1.5)
        assert (await store.get("k")).unwrap() is not None
        await asyncio.sleep(1)
        assert (await store.get("k")).unwrap() is None
        late = await store.renew_lease(lease)
        assert late.unwrap_err().kind is ErrorKind.NOT_FOUND

    run_virtual(main())


def test_allowance_refuses_with_retry_time():
    """Guards against an allowance per client and a retry time that is too short."""
    store = MemoryStore(allowance=StoreAllowance(reads_per_s=2, writes_per_s=2))

    async def main():
        for name in ("p1", "p2"):
            assert (await store.client(name).put("k", b"")).is_ok()
        failure = (await store.client("p3").put("k", b"")).unwrap_err()
        assert failure.kind is ErrorKind.STORE_THROTTLED
        await asyncio.sleep(failure.retry_after_s)
        assert (await store.client("p3").put("k", b"")).is_ok()
        assert store.count(client="p3") == 2
        assert sum(s.writes for s in store.history()) == 4
        assert sum(s.throttled for s in store.history()) == store.throttled == 1

    run_virtual(main())


@pytest.mark.parametrize(
    ("fault", "value", "kind", "written"),
    [
        ("down", True, ErrorKind.STORE_UNAVAILABLE, False),
        ("hang", True, ErrorKind.TIMEOUT, False),
        ("lost_call", 1.0, ErrorKind.TIMEOUT, False),
        ("lost_answer", 1.0, ErrorKind.TIMEOUT, True),
        ("extra_latency_s", 5.0, ErrorKind.TIMEOUT, True),
    ],
)
def test_faults(store, fault, value, kind, written):
    """Guards against a fault whose reported failure contradicts its effect."""

    async def main():
        setattr(store.faults, fault, value)
        result = await store.put("k", b"")
        assert result.unwrap_err().kind is kind
        await asyncio.sleep(5)
        setattr(store.faults, fault, type(value)(0))
        assert ((await store.get("k")).unwrap() is not None) is written

    run_virtual(main())


def test_outage_ends_a_waiting_watch(store):
    """Guards against a watch that waits on during an outage."""

    async def main():
        watch = asyncio.create_task(store.watch("a", after_revision=0, wait_s=60))
        await asyncio.sleep(1)
        store.set_faults(down=True)
        assert (await watch).unwrap_err().kind is ErrorKind.STORE_UNAVAILABLE
        assert asyncio.get_running_loop().time() < 2

    run_virtual(main())


def test_partition_affects_one_process(store):
    """Guards against a partition of one process that affects others."""

    async def main():
        store.client("p1").partitioned = True
        cut = await store.client("p1").put("k", b"")
        assert cut.unwrap_err().kind is ErrorKind.TIMEOUT
        assert (await store.client("p2").get("k")).unwrap() is None
        assert store.count(client="p1") == 0

    run_virtual(main())
