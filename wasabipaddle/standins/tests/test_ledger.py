"""Tests of the ledger, the list of VMs and the link."""

import asyncio

from wasabipaddle.clock import run_virtual
from wasabipaddle.documents import Resources
from wasabipaddle.interfaces import VmEntry, VmRole, VmStatus
from wasabipaddle.settings import LinkSettings
from wasabipaddle.standins import (
    Execution,
    Ledger,
    Link,
    LinkedStore,
    MemoryStore,
    MemoryVmList,
    WorkKind,
    compute_verdict,
    merge_records,
)


def add_execution(ledger, work, place, start, end, kind=WorkKind.TASK, **fields):
    ledger.start(
        Execution(
            kind=kind,
            work=work,
            identifier=work,
            place=place,
            started_s=start,
            ended_s=end,
            outcome="completed" if end is not None else "",
            **fields,
        )
    )


def test_verdict_counts_each_broken_invariant():
    """Guards against a verdict that is clean despite violated invariants."""
    first, second = Ledger(), Ledger()
    small = Resources(cpu_milli=1)
    first.record.capacities["w1"] = small
    for work in ("lost", "gone", "hopeless", "twice"):
        first.accept(work)
    first.cancel("gone")
    first.expect_failure("hopeless")
    add_execution(first, "twice", "w1", 0, 5, needs=small)
    add_execution(second, "twice", "w2", 4, 6)
    add_execution(first, "over", "w1", 3, 4, needs=small)
    add_execution(first, "ask", "e1", 0, 1, WorkKind.REQUEST)
    add_execution(second, "ask", "e2", 2, 3, WorkKind.REQUEST)
    add_execution(first, "again", "e1", 0, 1, WorkKind.REQUEST, repeatable=True)
    add_execution(second, "again", "e2", 2, 3, WorkKind.REQUEST, repeatable=True)
    verdict = compute_verdict(merge_records([first.record, second.record]))
    assert (verdict.lost, verdict.doubled) == (1, 2)
    assert (verdict.two_places, verdict.overfilled) == (1, 1)
    assert not verdict.clean


def test_end_and_start_at_the_same_time_do_not_overlap():
    """Guards against a false violation when one task starts as another one ends."""
    ledger = Ledger()
    small = Resources(cpu_milli=1)
    ledger.record.capacities["w1"] = small
    add_execution(ledger, "a", "w1", 0, 2, needs=small)
    add_execution(ledger, "b", "w1", 2, None, needs=small)
    assert compute_verdict(ledger.record).clean


def test_list_of_vms_lags():
    """Guards against a list that shows a change at once."""

    async def main():
        vms = MemoryVmList(lag_s=5)
        entry = VmEntry(
            vm="w1",
            role=VmRole.WORKER,
            status=VmStatus.LIVE,
            data_centre="d",
            rack="r",
            host="127.0.0.1",
            port=1,
        )
        vms.add(entry, at_once=True)
        vms.set_status("w1", VmStatus.GONE)
        assert (await vms.read()).unwrap()[0].status is VmStatus.LIVE
        await asyncio.sleep(5)
        assert (await vms.read(data_centre="d")).unwrap()[0].status is VmStatus.GONE
        assert (await vms.read(data_centre="x")).unwrap() == ()
        vms.set_faults(down=True)
        assert (await vms.read()).is_err()

    run_virtual(main())


def test_link_delays_limits_and_counts():
    """Guards against traffic between regions without delay or bandwidth limit."""
    settings = LinkSettings(region_mbit_per_s=8.0)
    link = Link(regions={"a": "n", "b": "n", "c": "s"}, settings=settings)
    assert link.schedule_transfer("a", "b", 10**6, 0.0) == 0.0015
    assert link.schedule_transfer("a", "c", 10**6, 0.0) == 1.02
    assert link.schedule_transfer("b", "c", 10**6, 0.0) == 2.02
    assert link.schedule_transfer("c", "a", 10**6, 0.0) == 1.02
    assert link.region_bytes == {("n", "s"): 2 * 10**6, ("s", "n"): 10**6}


def test_cut_and_silent_connection():
    """Guards against a cut or silent connection without an effect on calls."""

    async def main():
        link = Link(regions={"a": "n", "b": "s"}, settings=LinkSettings())
        store = LinkedStore(client=MemoryStore(), link=link, source="a", target="b")
        assert (await store.put("k", b"v")).is_ok()
        link.silence("b", "a")
        assert (await store.get("k")).is_err()
        assert (await store.get("k")).is_ok()
        link.cut_regions("n", "s")
        assert (await store.get("k")).is_err()
        link.heal()
        assert (await store.get("k")).is_ok()

    run_virtual(main())


def test_resized_reservations_count_in_the_verdict():
    """Guards against a verdict that misses an overfilled VM after a resize."""
    ledger = Ledger()
    ledger.record.capacities["w"] = Resources(cpu_milli=4000, memory_mb=4000)
    half = Resources(cpu_milli=2000, memory_mb=2000)
    whole = Resources(cpu_milli=4000, memory_mb=4000)
    for name, needs, started in (("a", whole, 0.0), ("b", half, 2.0)):
        execution = Execution(
            kind=WorkKind.TASK, work=name, identifier=name, place="w", needs=needs
        )
        execution.started_s = started
        ledger.start(execution)
        if name == "a":
            ledger.resize(execution, needs=half, time_s=1.0)
    assert compute_verdict(ledger.record).overfilled == 0
    ledger.resize(ledger.record.executions[0], needs=whole, time_s=3.0)
    assert compute_verdict(ledger.record).overfilled == 1
