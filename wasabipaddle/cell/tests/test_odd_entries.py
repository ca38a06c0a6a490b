"""Odd entries of another writer among those of the runners."""

import asyncio
import json

import pytest

from wasabipaddle.cell.fleet import FleetRecord
from wasabipaddle.cell.keys import FLEET_KEY
from wasabipaddle.cell.tests.session_parts import (
    RUNNER,
    make_session,
    put,
    put_runner,
    runner_entry,
    with_cell,
    with_leading_session,
)
from wasabipaddle.cell.unreadable import MAX_LOGGED_KEYS, UnreadableRecords
from wasabipaddle.interfaces import Entry, Refusal
from wasabipaddle.jobs import RecordedRunner, encode_fleet
from wasabipaddle.jobs.addresses import is_callable_address
from wasabipaddle.platform import REGISTRY_PREFIX, PlatformRunner, decode_runner

ENTRY = json.loads(RUNNER.replace(b"STATE", b"ready"))
LARGE_NAME = "n" * 1_000_000
BAD_ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:9999999999999999999999",
    "127.0.0.1:٣",
    "127.0.0.1:",
    ":80",
    "a..b:80",
    ".:80",
    "a b:80",
    "a/b:80",
    "a@b:80",
    "a\n:80",
    "256.1.1.1:80",
    "[::1:80",
    "[zz]:80",
    "h" * 64 + ":80",
    LARGE_NAME + ":80",
)
ODD_VALUES = {
    "nested": b"[" * 100_000,
    "nested_object": b'{"a":' * 100_000,
    "nested_field": RUNNER[:-1] + b',"x":' + b"[" * 100_000,
    "number_too_large": json.dumps({**ENTRY, "born": 10**400}).encode(),
    "beyond_64_bits": json.dumps({**ENTRY, "born": 2**64}).encode(),
    "exponent": json.dumps(ENTRY)[:-1].encode() + b',"born":1e300}',
    "infinite": json.dumps({**ENTRY, "cold_remaining_ms": float("inf")}).encode(),
    "overflow": json.dumps(ENTRY)[:-1].encode() + b',"seq":1e999}',
    "negative": json.dumps({**ENTRY, "capacity": {"cpu": -5}}).encode(),
    "fraction": json.dumps({**ENTRY, "capacity": {"cpu": 0.5}}).encode(),
    "boolean": json.dumps({**ENTRY, "born": True}).encode(),
    "large_zone": json.dumps({**ENTRY, "zone": LARGE_NAME}).encode(),
    "large_label": json.dumps({**ENTRY, "labels": [LARGE_NAME]}).encode(),
    "many_labels": json.dumps({**ENTRY, "labels": ["l"] * 100_000}).encode(),
    "utf8": b"\xff" + RUNNER,
    "missing": b"{}",
    **{
        f"address_{n}": json.dumps({**ENTRY, "address": address}).encode()
        for n, address in enumerate(BAD_ADDRESSES)
    },
}


def capture_events(context):
    """Return a list that receives the events that a process logs."""
    events = []
    context.journal = lambda kind, **values: events.append((kind, values))
    return events


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_entry_names_no_runner(value):
    """Guards against calls to a runner that does not exist, and against an error."""
    entry = Entry(key=REGISTRY_PREFIX + "odd", value=value, revision=1)
    assert decode_runner(entry) is None


@pytest.mark.parametrize("runner_id", ["", "a b", "a\r\nX: y", "é", "\x00", "n" * 300])
def test_identifier_that_cannot_be_sent_names_no_runner(runner_id):
    """Guards against an error in each call, whose header names the runner."""
    value = json.dumps(ENTRY).encode()
    entry = Entry(key=REGISTRY_PREFIX + runner_id, value=value, revision=1)
    assert decode_runner(entry) is None


def test_odd_entries_stop_nothing_and_are_logged_once(make_test_cell):
    """Guards against a registry that is followed no longer, or again and again.

    The odd entries are written, listed again, and written again.
    """

    async def scenario(cell, session):
        events = capture_events(session.registry.unreadable.context)
        polled = []
        session.calls.ensure_inventory = lambda runner: polled.append(runner.id)
        listings = session.metrics.counters["watch_listings_registry"]
        for _ in range(2):
            for name, value in ODD_VALUES.items():
                put(cell, REGISTRY_PREFIX + "odd-" + name, value)
            await asyncio.sleep(1.0)
            session.registry.watch.expire()
            await asyncio.sleep(2.0)
        put_runner(cell, b"draining")
        await asyncio.sleep(1.0)
        assert session.scheduler.state.runners["r0"].entry.draining
        assert set(session.scheduler.state.runners) == {"r0"}
        assert set(polled) == {"r0"}
        # Only the two expirations cause a listing.
        assert session.metrics.counters["watch_listings_registry"] == listings + 2
        logged = [e["key"] for kind, e in events if kind == "record_unreadable"]
        assert sorted(logged) == sorted(
            REGISTRY_PREFIX + "odd-" + name for name in ODD_VALUES
        )
        assert not [kind for kind, _ in events if kind == "runner_unlisted"]
        counted = session.metrics.counters["records_unreadable_registry"]
        assert counted == 4 * len(ODD_VALUES)

    with_leading_session(make_test_cell, scenario)


def test_runner_whose_entry_becomes_odd_is_unlisted_once(make_test_cell):
    """Guards against new work on a runner whose entry another writer replaced."""

    async def scenario(cell, session):
        events = capture_events(session.registry.unreadable.context)
        unlisted = []
        mark_unlisted = session.registry.mark_unlisted
        session.registry.mark_unlisted = lambda runner_id: (
            unlisted.append(runner_id),
            mark_unlisted(runner_id),
        )
        for _ in range(3):
            put(cell, REGISTRY_PREFIX + "r0", b"[" * 100_000)
            session.registry.watch.expire()
            await asyncio.sleep(1.0)
        assert unlisted == ["r0"]
        runner = session.scheduler.state.runners.get("r0")
        assert runner is None or not runner.listed
        assert len([kind for kind, _ in events if kind == "record_unreadable"]) == 1
        put_runner(cell, b"ready")
        await asyncio.sleep(1.0)
        assert session.scheduler.state.runners["r0"].listed

    with_leading_session(make_test_cell, scenario)


@pytest.mark.parametrize("address", BAD_ADDRESSES[:-1])
def test_recorded_runner_with_a_bad_address_is_only_waited_for(make_test_cell, address):
    """Guards against inventories of a runner that cannot be called."""

    async def scenario(cell, tasks):
        process, scheduler, session = make_session(cell)
        row = json.loads(encode_fleet([RecordedRunner.create(runner_entry("r9"))]))[0]
        put(cell, FLEET_KEY, json.dumps([{**row, "address": address}]).encode())
        fleet = FleetRecord(
            store_plugin=process.store_plugin, scheduler=scheduler, session=session
        )
        (found,) = await fleet.load()
        assert (found.id, found.address, found.wait_s) == ("r9", "", None)

    with_cell(make_test_cell, scenario)


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:1", "localhost:65535", "[::1]:8080", "a-b.c_d.example:80", "10.1:80x"],
)
def test_address_that_can_be_called_is_accepted(address):
    """Guards against a check that leaves out real runners, or accepts any port."""
    assert is_callable_address(address) is not address.endswith("x")


def test_accepted_address_raises_no_unexpected_error():
    """Guards against an exception in each inventory call to an accepted address."""

    async def call(address):
        runner = PlatformRunner(runner="i-1", address=address)
        try:
            return await runner.inventory(
                epoch=1, acknowledged=0, lease_until_ms=0, wait_s=0.0, timeout_s=0.2
            )
        finally:
            await runner.close()

    for address in ("127.0.0.1:1", "[::1]:1", "h" * 63 + ".invalid:1", "xn--a:1"):
        assert is_callable_address(address)
        result = asyncio.run(call(address))
        assert result.is_err() or result.ok().refusal is not Refusal.NONE


def test_memory_for_logged_keys_is_bounded(make_test_cell):
    """Guards against a writer of ever new keys that fills memory and log."""

    async def scenario(cell, tasks):
        context = cell["p0"].context
        events = capture_events(context)
        unreadable = UnreadableRecords(context=context)
        for n in range(2 * MAX_LOGGED_KEYS):
            unreadable.record("registry", f"{n} {LARGE_NAME[:1000]}")
        assert len(unreadable.logged) == len(events) == MAX_LOGGED_KEYS
        assert max(map(len, unreadable.logged)) <= 200
        counted = context.metrics.counters["records_unreadable_registry"]
        assert counted == 2 * MAX_LOGGED_KEYS

    with_cell(make_test_cell, scenario)
