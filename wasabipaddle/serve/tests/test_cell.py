"""Tests of membership, leadership and relay across several processes."""

import asyncio

import pytest

from wasabipaddle.clock import run_virtual
from wasabipaddle.documents import StoredDocument, document_key, encode_stored
from wasabipaddle.measure.cell import MemoryCell
from wasabipaddle.relay import DocumentApplied

SHARD = "dc0-0"
SETTLE_S = 6.0
TAKEOVER_S = 5.0
TEXT = """\
service: {service}
team: t
kind: batch
needs: {{cpu: 1, memory: 1GB}}
quota: {{resources: {{cpu: {cpu}, memory: 8GB}}}}
"""


def run_cell(scenario, *, entries=8, data_centres=3):
    async def main():
        cell = MemoryCell(entries=entries, data_centres=data_centres)
        await cell.start()
        await asyncio.sleep(SETTLE_S)
        await scenario(cell)

    run_virtual(main())


async def write(cell, service, *, cpu=8):
    text = TEXT.format(service=service, cpu=cpu)
    stored = StoredDocument(operation="o", editor="t", team="t", text=text)
    result = await cell.store.put(document_key(service), encode_stored(stored))
    return result.unwrap()


async def wait_for_leader(cell, *, other_than=None, timeout_s=TAKEOVER_S):
    async with asyncio.timeout(timeout_s):
        while True:
            found = [p for p in cell.leaders(SHARD) if p.name != other_than]
            if found:
                return found[0]
            await asyncio.sleep(0.05)


def test_every_shard_has_one_leader_that_all_processes_know():
    """Guards against two leaders after a cold start and against stale claims."""

    async def scenario(cell):
        for centre in ("dc0", "dc1", "dc2"):
            (leader,) = cell.leaders(f"{centre}-0")
            known = {
                p.membership.leader_of(f"{centre}-0") for p in cell.processes.values()
            }
            assert known == {leader.name}

    run_cell(scenario)


def test_kill_of_the_leader_moves_the_shard():
    """Guards against a shard that stays without a leader after a crash."""

    async def scenario(cell):
        (old,) = cell.leaders(SHARD)
        await cell.kill(old.name)
        new = await wait_for_leader(cell)
        assert new.election().epoch == 2
        assert not new.election().predecessors_stopped()
        cell.gone.add(old.name)
        assert new.election().predecessors_stopped()

    run_cell(scenario)


def test_paused_leader_checks_before_its_next_command():
    """Guards against commands of a leader that was paused beyond its lease."""

    async def scenario(cell):
        (old,) = cell.leaders(SHARD)
        await old.pause()
        new = await wait_for_leader(cell, other_than=old.name)
        cell.network.stopped.discard(old.name)
        assert not old.election().may_command()
        await old.start()
        await asyncio.sleep(1.0)
        assert not old.election().leading
        assert new.election().may_command()
        await asyncio.sleep(SETTLE_S)
        assert new.election().predecessors_stopped()

    run_cell(scenario)


def test_drained_leader_hands_over_at_once():
    """Guards against waiting for the lease to expire after a planned stop."""

    async def scenario(cell):
        (old,) = cell.leaders(SHARD)
        await old.drain()
        del cell.processes[old.name]
        new = await wait_for_leader(cell, timeout_s=0.5)
        assert new.election().predecessors_stopped()

    run_cell(scenario)


def test_leader_stays_while_the_store_is_down():
    """Guards against the loss of all leaders in an outage of the store."""

    async def scenario(cell):
        (old,) = cell.leaders(SHARD)
        cell.store.faults.down = True
        await asyncio.sleep(60)
        assert cell.leaders(SHARD) == [old]
        assert old.election().may_command()
        cell.store.faults.down = False
        await asyncio.sleep(SETTLE_S)
        assert cell.leaders(SHARD) == [old]

    run_cell(scenario)


@pytest.mark.parametrize("lost", [0.3, 0.6])
def test_lost_store_answers_leave_one_leader(lost):
    """Guards against a second leader after a renewal whose answer was lost."""

    async def scenario(cell):
        cell.store.faults.lost_answer = lost
        (old,) = cell.leaders(SHARD)
        for _ in range(100):
            await asyncio.sleep(0.5)
            assert len(cell.leaders(SHARD)) == 1
        assert cell.leaders(SHARD) == [old]

    run_cell(scenario)


def test_data_centre_that_is_cut_off_keeps_its_leader_and_catches_up():
    """Guards against a takeover by another data centre, and missed documents."""

    async def scenario(cell):
        (old,) = cell.leaders(SHARD)
        ours = [n for n, c in cell.data_centre_of.items() if c == "dc0"]
        others = [n for n in cell.data_centre_of if n not in ours]
        cell.cut(ours, others)
        cell.set_store_partition(ours, True)
        revision = await write(cell, "pages")
        await asyncio.sleep(30)
        assert cell.leaders(SHARD) == [old]
        assert old.relay.get("pages") is None
        cell.network.heal()
        cell.set_store_partition(ours, False)
        await asyncio.sleep(19)
        assert all(p.relay.table.revision >= revision for p in cell.processes.values())
        assert cell.leaders(SHARD) == [old]

    run_cell(scenario)


def test_restart_in_an_outage_learns_documents_from_peers():
    """Guards against a process without documents until the store is back."""

    async def scenario(cell):
        await write(cell, "pages", cpu=8)
        await asyncio.sleep(SETTLE_S)
        cell.store.faults.down = True
        for name in ("e00", "e02", "e05"):  # e02 and e05 are all of dc2
            await cell.kill(name)
        for name in ("e00", "e02", "e05"):
            await cell.start_process(name)
        await asyncio.sleep(19)
        for process in cell.processes.values():
            assert process.relay.get("pages").quota.resources.cpu_milli == 8000

    run_cell(scenario)


def test_applied_revisions_never_revert():
    """Guards against an older document that replaces a newer one."""

    async def scenario(cell):
        seen = []
        for process in cell.processes.values():
            events = process.context.bus.events(DocumentApplied)
            events.subscribe(lambda e, n=process.name: seen.append((n, e.revision)))
        for cpu in (2, 4, 8):
            revision = await write(cell, "pages", cpu=cpu)
            await asyncio.sleep(1.5)
        await cell.store.delete(document_key("pages"))
        await asyncio.sleep(10)
        for process in cell.processes.values():
            revisions = [r for n, r in seen if n == process.name]
            assert revisions == sorted(set(revisions))
            assert revisions[-1] > revision
            assert process.relay.get("pages") is None

    run_cell(scenario)


def test_change_crosses_the_link_once_per_region():
    """Guards against several processes of a region that read over the paid link."""

    async def scenario(cell):
        relays = [
            p.name
            for p in cell.processes.values()
            if cell.region_of(p.name) == "far" and p.relay.watches_store()
        ]
        assert len(relays) == 1

    run_cell(scenario, entries=10, data_centres=5)


def test_throttled_answer_pauses_all_processes():
    """Guards against processes that call a store which has throttled one of them."""

    async def scenario(cell):
        cell.processes["e00"].gate.pause(5.0)
        await asyncio.sleep(3.0)
        assert all(p.gate.refusal() is not None for p in cell.processes.values())
        await asyncio.sleep(6.0)
        assert all(p.gate.refusal() is None for p in cell.processes.values())

    run_cell(scenario)
