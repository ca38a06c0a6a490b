"""Tests of the error table."""

from wasabipaddle.exceptions import ERROR_TABLE, ErrorKind, Outcome


def test_every_kind_has_an_answer():
    """Guards against a new kind that the API cannot answer."""
    assert set(ERROR_TABLE) == set(ErrorKind)


def test_unknown_kinds_are_never_not_run():
    """Guards against a doubtful refusal that claims the work did not run."""
    doubtful = [
        ErrorKind.TIMEOUT,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ACCEPTANCE_UNKNOWN,
        ErrorKind.INTERNAL,
    ]
    assert all(ERROR_TABLE[k].outcome is Outcome.UNKNOWN for k in doubtful)
