"""Tests of traces, their replay and their expected outcomes."""

import json
import pathlib

import pytest

from wasabipaddle.commands.replay import replay
from wasabipaddle.replay import load_trace, replay_trace
from wasabipaddle.settings import load_settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "lapidea"
SETTINGS = EXAMPLES / "settings.yaml"
EXPECT = {"kind": "expect", "figure": "lost", "comparison": "==", "value": 0}
DOCUMENT = {
    "at_ms": 0,
    "kind": "document",
    "file": str(EXAMPLES / "anniversary-pages.yaml"),
}
RUN = {
    "at_ms": 2000,
    "kind": "run",
    "service": "anniversary-pages",
    "key": "a",
    "run_ms": 500,
}


@pytest.fixture
def write(tmp_path):
    """Write a trace file of the given lines and return its path."""

    def write(*lines):
        path = tmp_path / "trace.jsonl"
        texts = [x if isinstance(x, str) else json.dumps(x) for x in lines]
        path.write_text("\n".join(texts))
        return path

    return write


@pytest.mark.parametrize(
    "line, problem",
    [
        ("{", "not a JSON object"),
        ("[]", "not a JSON object"),
        ({"kind": "flood"}, "kind must be one of"),
        ({**RUN, "size": 3}, "unknown key size"),
        ({**RUN, "run_ms": "5s"}, "run_ms"),
        ({**RUN, "at_ms": -1}, "at_ms must not be negative"),
        ({**RUN, "count": 10**9}, "count must be"),
        ({**EXPECT, "comparison": "<"}, "comparison must be"),
        ({"at_ms": 0, "kind": "process", "process": "e", "action": "x"}, "action must"),
    ],
)
def test_malformed_line_is_refused_with_its_number(write, line, problem):
    """Guards against a trace that is replayed without its malformed lines."""
    failure = load_trace(write("# comment", EXPECT, line)).unwrap_err()
    assert "trace.jsonl:3:" in failure.detail
    assert problem in failure.detail


def test_trace_without_outcomes_is_refused(write):
    """Guards against a replay that passes because it checks nothing."""
    assert load_trace(write(RUN)).is_err()


def test_broken_outcome_is_named(write, capsys):
    """Guards against a replay that passes although an outcome does not hold."""
    wrong = {**EXPECT, "figure": "runs_completed", "value": 2}
    path = write(DOCUMENT, RUN, EXPECT, wrong)
    assert replay(path, SETTINGS, seed=1, json=True) == 1
    shown = json.loads(capsys.readouterr().out)
    assert shown["broken"] == "runs_completed is 1, expected == 2"


def test_replay_is_the_same_each_time(write):
    """Guards against figures that differ between replays with the same seed."""
    trace = load_trace(write(DOCUMENT, RUN, EXPECT)).unwrap()
    settings = load_settings(SETTINGS).unwrap()
    first, second = (replay_trace(trace, settings, seed=3).values for _ in range(2))
    assert first == second
    assert first["runs_completed"] == 1


def test_store_outage_example_holds(capsys):
    """Guards against an example trace whose outcomes no longer hold."""
    path = EXAMPLES / "traces" / "store-outage.jsonl"
    assert replay(path, SETTINGS, seed=1, json=False) is None
    assert "11 outcomes hold" in capsys.readouterr().out
