"""Values of the right type that are out of range, and rows that are left out."""

import json

import pytest

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.platform import decode_configuration
from wasabipaddle.platform.callers import DEFAULT_WAIT_S, MAX_WAIT_S, read_wait_s
from wasabipaddle.platform.jobs import decode_spec
from wasabipaddle.platform.tasks import decode_task
from wasabipaddle.platform.tests.test_malformed import TASK, call_runner, call_store

ROUTE = {"name": "a", "host": "h", "prefix": "/a/", "service": "s"}
TASK_NAME = f"{TASK.job}.0.0.0"


@pytest.mark.parametrize(
    "name",
    [
        f"{TASK.job}.0.0.-1",
        f"{TASK.job}.-1.0.0",
        f"{TASK.job}.0.0.٣",
        f"{TASK.job}.0.0.1_0",
        f"{TASK.job}.0.0. 1",
        f"{TASK.job}.0.0." + "9" * 5000,
        "x" * 1_000_000 + ".0.0.0",
        ".0.0.0",
    ],
    ids=lambda name: name[:30],
)
def test_name_of_no_task_is_an_error(name):
    """Guards against an end that is recorded for another task of the step."""
    with pytest.raises(ValueError, match="not that of a task"):
        decode_task(name)


@pytest.mark.parametrize(
    "body",
    [
        {"clock_ms": 1e300},
        {"clock_ms": 2**63},
        {"clock_ms": -5},
        {"born": 2**70},
        {"running": [[TASK_NAME, 2**70, "", 0]]},
        {"running": [[TASK_NAME, -1, "", 0]]},
        {"running": [[TASK_NAME, 1, ["x"], 0]]},
        {"running": [[TASK_NAME, 1, "", 0, "nan"]]},
        {"running": [[TASK_NAME, 1, "", 0, 1e300]]},
        {"running": [[f"{TASK.job}.0.0.-1", 1, "", 0]]},
        {"ended": [[1, TASK_NAME, 1, "done", {"x": 1}]]},
        {"ended": [[2**70, TASK_NAME, 1, "done", ""]]},
    ],
    ids=json.dumps,
)
def test_inventory_out_of_range_is_an_error(body):
    """Guards against orders that cannot be encoded after such an answer."""
    assert call_runner("inventory", body).err().kind is ErrorKind.ANSWER_BROKEN


@pytest.mark.parametrize("key", [5, None, ["k"], {}])
def test_entry_without_a_key_is_an_unknown_outcome(key):
    """Guards against an error in the watch that applies the entry."""
    body = {"items": [{"key": key, "revision": 1}], "as_of": 1}
    assert call_store("list", body).err().kind is ErrorKind.TIMEOUT


@pytest.mark.parametrize(
    "changes",
    [
        {"steps": [{"count": 1, "target_ms": 1e300}]},
        {"steps": [{"count": 1, "estimate_ms": 1e308}]},
        {"steps": [{"count": 1, "cpu": 2**64}]},
        {"steps": [{"count": 1, "may_miss": -(2**70)}]},
        {"repeat_count": 2, "start_at_ms": 1e300, "interval_ms": 1},
        {"repeat_count": 2, "interval_ms": 2**64},
        {"repeat_count": -3},
    ],
    ids=json.dumps,
)
def test_job_with_numbers_out_of_range_is_refused_or_harmless(changes):
    """Guards against an accepted job that cannot be stored, or read again."""
    body = {"spec": "t", "steps": [{"count": 1}], **changes}
    decoded = decode_spec(json.dumps(body).encode())
    if decoded.is_ok():
        assert decoded.ok().occurrences == 1
    else:
        assert decoded.err().kind is ErrorKind.INVALID_REQUEST


@pytest.mark.parametrize(
    "changes",
    [
        {"name": 5},
        {"name": None},
        {"prefix": 5},
        {"host": []},
        {"service": {}},
        {"priority": "0"},
        {"priority": 0.5},
        {"priority": 2**70},
        {"max_attempts": -1},
        {"stretch": "x"},
        {"stretch": 1e300},
        {"target_duration_ms": -1},
        {"advice": 5},
        {"advice": {"decide_ms": "x"}},
        {"name": "n" * 1_000_000},
    ],
    ids=lambda changes: json.dumps(changes)[:40],
)
def test_invalid_route_is_left_out_and_the_others_hold(changes):
    """Guards against one route that fails every call or every planning round."""
    reasons = []
    other = {**ROUTE, "name": "b", "prefix": "/b/"}
    body = {"version": 4, "routes": [{**ROUTE, **changes}, other, 5]}
    current = decode_configuration(json.dumps(body).encode(), report=reasons.append)
    assert [queue.name for queue in current.ok().queues] == ["b"]
    assert current.ok().match("h", "/b/1").name == "b"
    assert len(reasons) == 2


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "4"},
        {"version": 4.5},
        {"version": -1},
        {"version": 2**70},
        {"version": None},
        {"routes": {"a": 1}},
        {"services": 5},
    ],
    ids=json.dumps,
)
def test_configuration_without_a_version_or_lists_is_an_error(changes):
    """Guards against a version that is compared with others in vain, or wins always."""
    body = {"version": 4, "routes": [ROUTE], **changes}
    assert decode_configuration(json.dumps(body).encode()).is_err()


def test_invalid_limits_and_services_are_left_out():
    """Guards against limits that fail each call."""
    body = {
        "version": 4,
        "routes": [ROUTE],
        "services": [{"name": 5}, {"name": "s"}, None],
        "limits": {"max_body_bytes": "x"},
    }
    current = decode_configuration(json.dumps(body).encode()).ok()
    assert list(current.pools) == ["s"]
    assert current.limits.max_body_bytes == 262_144


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", DEFAULT_WAIT_S),
        ("-5", DEFAULT_WAIT_S),
        ("٣", DEFAULT_WAIT_S),
        ("1e3", DEFAULT_WAIT_S),
        ("1500", 1.5),
        ("9" * 12, MAX_WAIT_S),
        ("9" * 5000, MAX_WAIT_S),
    ],
    ids=lambda value: str(value)[:12],
)
def test_wait_of_a_caller_is_bounded(text, expected):
    """Guards against a call that fails because of the size of its deadline."""
    assert read_wait_s(text) == expected
