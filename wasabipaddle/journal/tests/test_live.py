"""Tests of the live state of a shard."""

import pytest

from wasabipaddle.documents import ServiceKind
from wasabipaddle.journal import LiveState, RunAccepted, RunCancelled, RunEnded
from wasabipaddle.messages import RunOutcome

ACCEPTED = RunAccepted(
    run="s.1",
    service="pages",
    team="t",
    key="k",
    payload="",
    accepted_ms=0,
    revision=1,
    kind=ServiceKind.BATCH,
)
CANCELLED = RunCancelled(run="s.1", at_ms=5)


def ended(outcome):
    return RunEnded(run="s.1", outcome=outcome, ended_ms=6, keep_until_ms=100)


@pytest.mark.parametrize(
    "records, outcome",
    [
        ([CANCELLED, ended(RunOutcome.COMPLETED)], None),
        (
            [CANCELLED, ended(RunOutcome.COMPLETED), ended(RunOutcome.CANCELLED)],
            RunOutcome.CANCELLED,
        ),
        ([ended(RunOutcome.COMPLETED), CANCELLED], RunOutcome.COMPLETED),
    ],
)
def test_first_of_cancellation_and_end_decides(records, outcome):
    """Guards against an outcome that changes after a recovery.

    A cancellation and the end of the run can be written at the same time. The first
    to be confirmed decides, also after the state was rebuilt from its records.
    """
    state = LiveState()
    for record in (ACCEPTED, *records):
        state.apply(record)
    copy = LiveState()
    for record in state.records():
        copy.apply(record)
    for live in (state, copy):
        run = live.runs["s.1"]
        assert (None if run.ended is None else run.ended.outcome) is outcome
        assert (run.cancelled is None) is (outcome is RunOutcome.COMPLETED)
