"""Tests of the error table."""

from wasabipaddle.exceptions import ERROR_TABLE, ErrorKind, Outcome


def test_every_kind_has_a_response():
    """Guards against a new kind to which the API has no response."""
    assert set(ERROR_TABLE) == set(ErrorKind)


def test_kinds_with_unknown_outcome_never_claim_not_run():
    """Guards against a failure of unknown outcome that claims that nothing has run."""
    kinds = [
        ErrorKind.TIMEOUT,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ACCEPTANCE_UNKNOWN,
        ErrorKind.INTERNAL,
    ]
    assert all(ERROR_TABLE[k].outcome is Outcome.UNKNOWN for k in kinds)
