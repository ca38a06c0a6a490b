"""Decoding of the platform's wire: entries of others, odd values, refusals."""

import json

import pytest

from wasabipaddle.interfaces import Entry
from wasabipaddle.platform import decode_configuration, decode_runner
from wasabipaddle.platform.jobs import decode_spec
from wasabipaddle.platform.tasks import decode_task, encode_task

RUNNER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 100, "gpu": 0},
    "labels": ["kind", "r1"],
    "born": 17,
}


def entry(body):
    value = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Entry(key="servers/i-1", value=value, revision=3)


def test_runner_is_decoded_into_own_words():
    """Guards against a field that is taken from the wrong name."""
    runner = decode_runner(entry(RUNNER))
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
def test_entry_of_another_writer_names_no_runner(changes):
    """Guards against work for a runner that an odd entry only seems to name."""
    assert decode_runner(entry({**RUNNER, **changes})) is None


@pytest.mark.parametrize("body", [b"\xff\x00", b"[]", b"", b"{}", b"null"])
def test_unreadable_entry_names_no_runner(body):
    """Guards against an exception that ends the watch of the registry."""
    assert decode_runner(entry(body)) is None


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b"{}", b'{"version": 1}x'])
def test_unreadable_configuration_is_an_error(body):
    """Guards against a configuration that replaces a valid one by nothing."""
    assert decode_configuration(body).is_err()


def test_longest_prefix_of_the_host_selects_the_queue():
    """Guards against a job that goes to the queue of a shorter prefix."""
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


@pytest.mark.parametrize(
    "body",
    [
        {"spec": "t"},
        {"spec": "t", "steps": [{"count": 0}]},
        {"spec": "t", "steps": [{"count": 1, "after": [0]}]},
        {"spec": "t", "steps": "all"},
    ],
)
def test_impossible_jobs_are_refused(body):
    """Guards against an accepted job that can never start."""
    assert decode_spec(json.dumps(body).encode()).is_err()


def test_occurrences_count_only_with_a_repeat_count():
    """Guards against a plain job that waits for a due time."""
    plain = decode_spec(b'{"spec":"t","steps":[{"count":1}]}').ok()
    assert (plain.occurrences, plain.scheduled) == (1, False)
    body = b'{"spec":"t","steps":[{"count":1}],"repeat_count":3,"interval_ms":500}'
    timed = decode_spec(body).ok()
    assert (timed.occurrences, timed.scheduled) == (3, True)


def test_task_names_are_read_back():
    """Guards against a task that is taken for another one."""
    task = decode_task("5c0e7a21d94b36f8.2.1.17")
    assert (task.job, task.occurrence, task.step, task.index) == (
        "5c0e7a21d94b36f8",
        2,
        1,
        17,
    )
    assert encode_task(task) == "5c0e7a21d94b36f8.2.1.17"
