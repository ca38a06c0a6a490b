"""Tests of the view of a run as shown to callers."""

import pytest

from wasabipaddle.documents import parse_document
from wasabipaddle.messages import RunOutcome
from wasabipaddle.runs.model import Run, Task, TaskState

DOCUMENT = """\
service: pages
team: t
kind: batch
urgency: normal
needs: {cpu: 1, memory: 1GB}
quota: {resources: {cpu: 4, memory: 8GB}}
run: {tasks: 2}
"""


@pytest.fixture
def run():
    document = parse_document(DOCUMENT, "pages.yaml").unwrap()
    states = (TaskState.WAITING, TaskState.RUNNING)
    return Run(
        run="s.1",
        document=document,
        key="k",
        payload="",
        accepted_ms=0,
        epoch=1,
        tasks=[Task(index=i, state=s) for i, s in enumerate(states)],
    )


def test_waiting_tasks_of_an_ended_run_are_shown_as_ended(run):
    """Guards against a stopped run whose tasks are still shown as waiting."""
    assert [t.phase for t in run.view().tasks] == ["waiting", "running"]
    run.outcome = RunOutcome.STOPPED
    assert [t.phase for t in run.view().tasks] == ["ended", "running"]
