"""Tests of the schedules of submitted jobs."""

import json

import pytest

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.platform.callers import _error_response
from wasabipaddle.platform.jobs import decode_spec


def decode_repeated(**times):
    body = {"spec": "t", "steps": [{"count": 2}], **times}
    return decode_spec(json.dumps(body).encode())


@pytest.mark.parametrize(
    "times",
    [
        {"repeat_count": 3},
        {"repeat_count": 2, "start_at_ms": 0, "interval_ms": 0},
        {"repeat_count": 2, "start_at_ms": -5},
    ],
)
def test_repeated_job_without_times_is_refused_with_the_reason(times):
    """Guards against an accepted job that stays `running` after its occurrence 0."""
    failure = decode_repeated(**times).unwrap_err()
    assert failure.kind is ErrorKind.INVALID_REQUEST
    response = _error_response(failure)
    assert response.status == 400
    assert b"neither a start time nor an interval" in response.body


@pytest.mark.parametrize(
    "times",
    [
        {},
        {"repeat_count": 1},
        {"repeat_count": 1, "start_at_ms": 5},
        {"repeat_count": 3, "start_at_ms": 5},
        {"repeat_count": 3, "interval_ms": 7},
        {"start_at_ms": 5, "interval_ms": 7},
    ],
)
def test_single_occurrence_or_given_time_is_accepted(times):
    """Guards against the refusal of a job whose occurrences are all due at some time.

    Without times, the only occurrence of a job is due in 1970, so it runs at once.
    """
    spec = decode_repeated(**times).unwrap()
    assert spec.occurrences == max(times.get("repeat_count", 0), 1)
