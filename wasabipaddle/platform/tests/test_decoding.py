"""Tests of decoding: foreign registry entries, malformed values, invalid jobs."""

import json

import pytest

from wasabipaddle.interfaces import Entry
from wasabipaddle.jobs import Capacity, Queue, digest_key
from wasabipaddle.platform import decode_configuration, decode_runner
from wasabipaddle.platform.jobs import decode_spec
from wasabipaddle.platform.runner import _decode_inventory
from wasabipaddle.platform.tasks import decode_task, encode_task
from wasabipaddle.transport.json_client import HttpResponse

WORKSPACE = {
    "name": "w",
    "api_keys": ["k1", "k2"],
    "weight": 14,
    "cap": {"cpu": 4000, "mem_mb": 100, "gpu": 1},
}
RUNNER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 100, "gpu": 0},
    "labels": ["kind", "r1"],
    "born": 17,
}


def make_entry(body):
    value = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Entry(key="servers/i-1", value=value, revision=3)


def test_runner_is_decoded():
    """Guards against a field that is read from the wrong key."""
    runner = decode_runner(make_entry(RUNNER))
    assert (runner.id, runner.pool, runner.data_centre) == ("i-1", "s", "a")
    assert runner.capacity.memory_mb == 100
    assert (runner.rack, runner.incarnation, runner.draining) == ("r1", 17, False)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "sleeping"},
        {"service": 5},
        {"address": "nowhere"},
        {"capacity": None},
        {"capacity": {"cpu": "many"}},
        {"labels": "r1"},
        {"born": "today"},
        {"zone": ""},
    ],
)
def test_malformed_entry_is_no_runner(changes):
    """Guards against an entry without a runner that is decoded as one.

    Other programs may write under the prefix of the registry, and tasks would be sent
    to a runner that does not exist.
    """
    assert decode_runner(make_entry({**RUNNER, **changes})) is None


@pytest.mark.parametrize(
    "body", [b"\xff\x00", b"[]", b"", b"{}", b"null", b"[" * 100_000]
)
def test_undecodable_entry_is_no_runner(body):
    """Guards against an exception that ends the watch of the registry."""
    assert decode_runner(make_entry(body)) is None


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"[]", b"{}", b'{"version": 1}x', b"[" * 100_000]
)
def test_undecodable_configuration_is_an_error(body):
    """Guards against a malformed configuration that raises or that is accepted."""
    assert decode_configuration(body).is_err()


def test_longest_prefix_of_the_host_selects_the_queue():
    """Guards against a job that is put into the queue of a shorter prefix."""
    routes = [
        {"name": "a", "host": "h", "prefix": "/x/", "service": "s"},
        {"name": "b", "host": "h", "prefix": "/x/y/", "service": "s"},
        {"name": "c", "host": "other", "prefix": "/x/y/z/", "service": "s"},
    ]
    body = {"version": 4, "routes": routes, "services": [], "limits": {}}
    current = decode_configuration(json.dumps(body).encode()).ok()
    assert current.match("h", "/x/y/z/0123").name == "b"
    assert current.match("h", "/x/0123").name == "a"
    assert current.match("nobody", "/x/0123") is None


def test_host_selects_the_queue_in_any_case():
    """Guards against a 404 for a caller that writes the host in other capitals."""
    routes = [{"name": "a", "host": "Print.example", "prefix": "/x/", "service": "s"}]
    body = {"version": 4, "routes": routes, "services": [], "limits": {}}
    current = decode_configuration(json.dumps(body).encode()).ok()
    found = [current.match(host, "/x/1") for host in ("print.EXAMPLE", "Print.example")]
    assert [queue.name for queue in found] == ["a", "a"]
    assert current.match("print.example", "/X/1") is None


@pytest.mark.parametrize(
    "name", ["service", "priority", "max_attempts", "stretch", "advice", "public"]
)
def test_queue_with_a_field_that_is_null_is_kept(name):
    """Guards against a 404 at every process for a queue with an optional field."""
    route = {"name": "a", "host": "h", "prefix": "/x/", "service": "s", name: None}
    advised = {**route, "name": "b", "advice": {"decide_ms": 5, "valid_ms": None}}
    body = {
        "version": 4,
        "routes": [route, advised],
        "limits": {"max_body_bytes": None},
    }
    reports = []
    current = decode_configuration(json.dumps(body).encode(), report=reports.append)
    assert [queue.name for queue in current.ok().queues] == ["a", "b"]
    plain = Queue(
        name="a", host="h", prefix="/x/", pool="s" if name != "service" else ""
    )
    assert current.ok().queues[0] == plain
    assert not reports


@pytest.mark.parametrize(
    "body",
    [
        {"spec": "t"},
        {"spec": "t", "steps": [{"count": 0}]},
        {"spec": "t", "steps": [{"count": 1, "after": [0]}]},
        {"spec": "t", "steps": "all"},
    ],
)
def test_invalid_jobs_are_refused(body):
    """Guards against an accepted job that can never start."""
    assert decode_spec(json.dumps(body).encode()).is_err()


def test_only_jobs_with_a_repeat_count_are_scheduled():
    """Guards against a job without repetitions that waits for a due time."""
    plain = decode_spec(b'{"spec":"t","steps":[{"count":1}]}').ok()
    assert (plain.occurrences, plain.scheduled) == (1, False)
    body = b'{"spec":"t","steps":[{"count":1}],"repeat_count":3,"interval_ms":500}'
    timed = decode_spec(body).ok()
    assert (timed.occurrences, timed.scheduled) == (3, True)


def test_task_names_survive_a_round_trip():
    """Guards against a task name that is decoded as another task."""
    task = decode_task("5c0e7a21d94b36f8.2.1.17")
    assert (task.job, task.occurrence, task.step, task.index) == (
        "5c0e7a21d94b36f8",
        2,
        1,
        17,
    )
    assert encode_task(task) == "5c0e7a21d94b36f8.2.1.17"


@pytest.mark.parametrize(("count", "complete"), [(499, True), (500, False)])
def test_list_of_ends_at_the_limit_is_not_complete(count, complete):
    """Guards against runs that count as gone because their ends did not fit."""
    rows = [[n + 1, f"{'0' * 16}.0.0.{n}", 1, "done", ""] for n in range(count)]
    body = {"clock_ms": 5, "born": 1, "running": [], "ended": rows}
    inventory = _decode_inventory(HttpResponse(status=200, body=body))
    assert inventory.complete is complete
    assert len(inventory.ended) == count


def decode_workspaces(*rows):
    """Return the configuration with these tenants, and the reports of its decoding."""
    reports = []
    body = {"version": 1, "routes": [], "services": [], "tenants": list(rows)}
    decoded = decode_configuration(json.dumps(body).encode(), report=reports.append)
    return decoded.ok(), reports


def test_workspace_is_found_by_each_of_its_keys():
    """Guards against a key or quota that is read from the wrong field."""
    current, reports = decode_workspaces(WORKSPACE)
    found = [current.by_key_digest[digest_key(key)] for key in ("k1", "k2")]
    assert [w.name for w in found] == ["w", "w"]
    assert found[0].weight == 14
    assert found[0].quota == Capacity(cpu=4000, memory_mb=100, gpus=1)
    assert current.requires_keys
    assert not reports


@pytest.mark.parametrize(
    "changes",
    [
        {"name": ""},
        {"name": None},
        {"name": "v", "api_keys": ["secret-key", 5]},
        {"name": "v", "api_keys": ["secret-key", "x" * 1_000_000]},
        {"name": "v", "api_keys": "secret-key"},
        {"name": "v", "api_keys": ["secret-key", "k1"]},
        {"name": "v", "api_keys": ["secret-key"], "weight": -1},
        {"name": "v", "api_keys": ["secret-key"], "weight": "much"},
        {"name": "v", "api_keys": ["secret-key"], "cap": {"cpu": -1}},
        {"name": "v", "api_keys": ["secret-key"], "cap": {"cpu": 1e300}},
        {"name": "v", "api_keys": ["secret-key"], "cap": [1]},
        {"api_keys": ["secret-key"]},
    ],
)
def test_invalid_workspace_is_left_out_and_its_keys_are_not_reported(changes):
    """Guards against a bad row that hides the others, and against keys in logs."""
    row = {**WORKSPACE, "api_keys": ["secret-key"], **changes}
    row = {name: value for name, value in row.items() if value is not None}
    current, reports = decode_workspaces(WORKSPACE, row)
    assert list(current.workspaces) == ["w"]
    assert digest_key("secret-key") not in current.by_key_digest
    assert len(reports) == 1
    assert "secret-key" not in reports[0]


def test_configuration_without_a_valid_workspace_still_requires_keys():
    """Guards against a cell that is open to everybody because of a bad row."""
    current, _ = decode_workspaces({"name": 5})
    assert current.requires_keys
    assert not current.workspaces


def test_configuration_of_ten_thousand_workspaces_is_decoded():
    """Guards against a cost of decoding that grows with the square of the rows."""
    rows = [{"name": f"w{n}", "api_keys": [f"k{n}"]} for n in range(10_000)]
    current, reports = decode_workspaces(*rows)
    assert len(current.by_key_digest) == 10_000
    assert not reports
