"""Tests of the loader of settings and deployments."""

import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.settings import OperatorToken, load_settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
SETTINGS_TEXT = (EXAMPLES / "lapidea/settings.yaml").read_text()


@pytest.mark.parametrize("cell", ["lapidea", "bitacora"])
def test_examples_have_the_stated_fleet(cell):
    """Guards against examples that differ from the documented deployments."""
    settings = load_settings(EXAMPLES / cell / "settings.yaml").unwrap()
    deployment = settings.deployment
    assert len(deployment.entries) == 8
    assert len({d.region for d in deployment.data_centres}) == 2
    assert sum(r.count for r in deployment.racks) == 24
    assert {r.count for r in deployment.racks} == {8}
    assert sum(e.count for e in deployment.endpoints) == 24
    assert {(e.slots, e.connections) for e in deployment.endpoints} == {(8, 64)}
    assert deployment.link.region_mbit_per_s == 15
    last = deployment.entries[-1].name
    path = EXAMPLES / cell / "settings.yaml"
    assert load_settings(path, process=last).unwrap().process == last


@pytest.fixture
def cell(tmp_path):
    """Return a directory with a copy of one example."""
    for name in ("settings.yaml", "deployment.yaml"):
        (tmp_path / name).write_text((EXAMPLES / "lapidea" / name).read_text())
    return tmp_path


def load_error(cell, name, old, new):
    """Replace text in one file and return the detail of the failure to load it."""
    text = (cell / name).read_text()
    assert old in text
    (cell / name).write_text(text.replace(old, new, 1))
    failure = load_settings(cell / "settings.yaml").unwrap_err()
    assert failure.kind is ErrorKind.INVALID_SETTINGS
    return failure.detail


@pytest.mark.parametrize(
    ("name", "old", "new", "expected"),
    [
        ("settings.yaml", "process: brescia-a-e1", "process: x", "process: 'x' is not"),
        ("settings.yaml", "suspect: 3s", "suspect: 1s", "membership.suspect"),
        (
            "settings.yaml",
            "api:",
            "api:\n  tls: {key: a.pem}",
            "a key needs a certificate",
        ),
        ("settings.yaml", "api:", "api:\n  tokens: [{team: a, token: s}]", "too short"),
        ("settings.yaml", "deployment: d", "deployment: z", "cannot be read"),
        ("deployment.yaml", "15Mbit/s", "15MB", "link.bandwidth: '15MB'"),
        ("deployment.yaml", "store_region: nordovest", "store_region: x", "'x'"),
        ("deployment.yaml", "api_port: 18010", "api_port: 18011", "already used"),
        ("deployment.yaml", "api_port: 18010", "api_port: 0", "1 to 65535"),
        ("deployment.yaml", "host: 127.0.0.1", "host: here", "not an IP address"),
        ("deployment.yaml", "connections: 64", "connections: 4", "at least 8"),
    ],
)
def test_errors_name_the_key_and_the_allowed_values(cell, name, old, new, expected):
    """Guards against inconsistent settings that load, and errors without a remedy."""
    detail = load_error(cell, name, old, new)
    assert expected in detail
    assert name in detail or "cannot be read" in detail


def test_tokens_are_never_printed(cell):
    """Guards against a token in a log line or error message."""
    original = (cell / "settings.yaml").read_text()
    for token in ('"secret-secret-secret\\u0007"', "secret"):
        text = f"api:\n  tokens: [{{team: a, token: {token}}}]"
        assert "secret" not in load_error(cell, "settings.yaml", "api:", text)
        (cell / "settings.yaml").write_text(original)
    assert "secret" not in repr(OperatorToken(team="a", token="secret"))


@given(st.sampled_from(SETTINGS_TEXT.splitlines()), st.text(max_size=30))
def test_any_changed_line_gives_settings_or_an_error_of_one_kind(
    tmp_path_factory, line, text
):
    """Guards against an exception for settings that are almost valid."""
    path = tmp_path_factory.mktemp("fuzz") / "settings.yaml"
    changed = SETTINGS_TEXT.replace(line, line.partition(":")[0] + ": " + text)
    changed = changed.replace(
        "deployment.yaml", str(EXAMPLES / "lapidea/deployment.yaml")
    )
    path.write_text(changed, encoding="utf-8", errors="replace")
    result = load_settings(path)
    if result.is_err():
        assert result.unwrap_err().kind is ErrorKind.INVALID_SETTINGS
