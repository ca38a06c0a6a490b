"""Log lines and counts that tell why a process acts on an old configuration."""

import asyncio

from result import Err

from wasabipaddle.cell.tests.connected_cell import BOUND_S, play_connected
from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages.jobs import LeaderNotice


def record_events(process):
    """Collect the log lines of a process as tuples of kind and fields."""
    events = []
    process.context.journal = lambda kind, **fields: events.append((kind, fields))
    return events


def find(events, kind):
    """Return the fields of all log lines of one kind."""
    return [fields for found, fields in events if found == kind]


def test_refusal_without_a_queue_names_the_version_that_decided(make_test_cell):
    """Guards against a 404 that cannot be traced to an old configuration."""

    async def refuse():
        entry = make_test_cell(1)["p0"].entry
        entry.configuration.version = 7
        events = record_events(entry)
        refused = [entry.select_queue("h", f"/{n}/" + "x" * 500) for n in range(3)]
        return refused, events, entry.context.metrics.snapshot()["counters"]

    refused, events, counters = run_virtual(refuse())
    assert {r.err().kind for r in refused} == {ErrorKind.NOT_FOUND}
    (line,) = find(events, "queue_not_found")
    assert (line["version"], line["age_ms"], len(line["path"])) == (7, 0, 200)
    assert counters["calls_without_queue"] == 3


def test_process_reports_that_nothing_confirms_its_configuration():
    """Guards against a process that silently keeps a version of unknown age."""

    async def scenario(cell):
        events = record_events(cell["p1"])
        cell.memory.down = True
        await asyncio.sleep(BOUND_S + 1.0)
        lost = find(events, "configuration_unconfirmed")
        age_s = cell["p1"].configuration.proof_age_s()
        cell.memory.down = False
        await asyncio.sleep(2.0)
        return lost, age_s, find(events, "configuration_confirmed")

    lost, age_s, regained = play_connected(scenario, count=2)
    assert [line["version"] for line in lost] == [1]
    assert age_s > BOUND_S
    assert [line["version"] for line in regained] == [1]


def test_new_leader_reports_unanswered_notices():
    """Guards against notices of a leader that are lost without a trace."""

    async def scenario(cell):
        members = cell["p0"].members
        events = record_events(cell["p0"])

        async def ask(process, message, reply_type, *, timeout_s):
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail="no reply"))

        members.ask = ask
        await members._send_notices(
            LeaderNotice(process="p0", address="127.0.0.1:3", epoch=9)
        )
        return find(events, "leadership_announced")

    (line,) = play_connected(scenario, count=3)
    assert line == {"epoch": 9, "processes": 2, "unanswered": 2}
