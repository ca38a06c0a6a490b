"""Tests of the loader of service documents."""

import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabipaddle.documents import ServiceDocument, load_document, parse_document
from wasabipaddle.exceptions import ErrorKind

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
GANG = """\
service: tiles
team: archive
kind: gang
needs: {cpu: 500m, memory: 8GB}
quota:
  resources: {cpu: 2, memory: 32GB}
run: {tasks: 4, deadline: 1h, expected: 30s}
"""


@pytest.mark.parametrize(
    "path", sorted(EXAMPLES.glob("*/*.yaml")), ids=lambda p: p.stem
)
def test_examples_load(path):
    """Guards against example documents that cannot be loaded."""
    if path.stem not in ("deployment", "settings"):
        assert load_document(path).unwrap().service == path.stem


def test_units_are_converted():
    """Guards against a wrong factor between the written unit and that of the field."""
    document = parse_document(GANG, "tiles.yaml").unwrap()
    assert (document.needs.cpu_milli, document.needs.memory_mb) == (500, 8_000)
    assert (document.run.deadline_s, document.run.expected_s) == (3_600, 30)


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("cpu: 500m", "cpu: 4GB", "t.yaml:4: needs.cpu: '4GB' is not allowed"),
        ("deadline: 1h", "deadline: 60", "t.yaml:7: run.deadline: '60'"),
        ("team: archive", "team: Archive!", "t.yaml:2: team: 'Archive!'"),
        ("kind: gang", "kind: gangs", "allowed: request, service, batch, gang"),
        ("run:", "runs:", "t.yaml:7: .: unknown key 'runs' (allowed: service,"),
        ("tasks: 4", "tasks: 5", "t.yaml:6: quota.resources: the quota is below"),
        ("tasks: 4", "tasks: 1", "run.tasks: a gang has at least 2 tasks"),
        ("deadline: 1h", "deadline: 10s", "shorter than the expected run time"),
        ("kind: gang", "kind: request", "a request service has no runs"),
        ("team: archive", "team: archive\nteam: archive", "given twice"),
        ("team: archive\n", "", "the key team is missing"),
        ("team: archive", "team: !!python/name:os.system x", "without a YAML tag"),
        ("team: archive", "team: &a archive\nkind: *a", "aliases are not supported"),
        ("8GB", "1" * 15 + "TB", "needs.memory"),
    ],
)
def test_errors_name_the_line_key_and_allowed_values(old, new, expected):
    """Guards against an error that does not tell the operator what to change."""
    failure = parse_document(GANG.replace(old, new), "t.yaml").unwrap_err()
    assert failure.kind is ErrorKind.INVALID_DOCUMENT
    assert expected in failure.detail


def test_all_problems_are_collected():
    """Guards against errors that report one problem at a time."""
    text = GANG.replace("500m", "x").replace("1h", "y").replace("archive", "Z")
    assert parse_document(text, "t.yaml").unwrap_err().detail.count("t.yaml:") == 3


TOKENS = st.sampled_from(
    [*GANG.split(), "\n", "  ", "- ", "{", "}", "[", "]", ": ", "&a", "*a", "!!x", "0"]
)


@given(st.one_of(st.text(), st.binary(), st.lists(TOKENS).map(" ".join)))
def test_any_text_gives_a_document_or_an_error_of_one_kind(text):
    """Guards against an exception for malformed documents."""
    result = parse_document(text, "t.yaml")
    if result.is_err():
        assert result.unwrap_err().kind is ErrorKind.INVALID_DOCUMENT
    else:
        assert isinstance(result.unwrap(), ServiceDocument)


@given(
    st.sampled_from(GANG.splitlines()),
    st.text(alphabet=st.characters(codec="utf-8"), max_size=30),
)
def test_any_changed_line_gives_a_document_or_an_error_of_one_kind(line, text):
    """Guards against an exception for documents that are almost valid."""
    result = parse_document(GANG.replace(line, line.split(":")[0] + ": " + text), "t")
    if result.is_err():
        assert result.unwrap_err().kind is ErrorKind.INVALID_DOCUMENT


def test_deep_nesting_is_refused():
    """Guards against a stack overflow in the YAML parser."""
    result = parse_document("[" * 5_000, "t.yaml")
    assert result.unwrap_err().kind is ErrorKind.INVALID_DOCUMENT
