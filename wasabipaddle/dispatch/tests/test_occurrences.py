"""Occurrences of jobs that earlier versions have stored."""

from wasabipaddle.dispatch.tests.conftest import QUEUES, step
from wasabipaddle.jobs import Job, JobPhase, JobSpec, TaskId


def test_stored_job_with_occurrences_but_no_times_completes(make_cell):
    """Guards against a stored job that stays `running` after its occurrence 0."""
    cell = make_cell(cpu=4000)
    spec = JobSpec(payload="p", steps=(step(2),), occurrences=3)
    job = Job(id="j0", policy=QUEUES["batch"], accepted_ms=1, spec=spec)
    entry = cell.scheduler.lifecycle.add_job(job, cell.now)
    cell.plan()
    for runner in cell.runners.values():
        for task, number in list(runner.running):
            runner.end(task, number)
    cell.read_inventories()
    assert entry.phase is JobPhase.COMPLETED
    assert len(cell.started) == 6


def test_end_of_an_occurrence_that_is_not_due_yet_is_not_lost(cell):
    """Guards against a second run of a task that a dispatcher with a fast clock began.

    The wall clock of its successor is 4 s behind, longer than ends of unknown tasks
    stay unacknowledged.
    """
    spec = JobSpec(
        payload="p",
        steps=(step(1),),
        occurrences=2,
        first_due_ms=101_000,
        interval_ms=4_000,
    )
    job = Job(id="j0", policy=QUEUES["batch"], accepted_ms=1, spec=spec)
    cell.take_over(1, {}, [job])
    fake = cell.runners["r0"]
    fake.end(TaskId("j0", 1, 0, 0), 1)
    cell.advance_time(7.0)
    assert [task.occurrence for task, _, _ in cell.started] == [0]
    assert cell.state.runners["r0"].acknowledged == 0
    cell.write()
    assert cell.state.runners["r0"].acknowledged == 1


def test_run_of_an_occurrence_that_is_not_due_yet_is_not_stopped(cell):
    """Guards against work that is lost since another dispatcher's clock was ahead."""
    spec = JobSpec(
        payload="p", steps=(step(1),), first_due_ms=104_000, interval_ms=4_000
    )
    job = Job(id="j0", policy=QUEUES["batch"], accepted_ms=1, spec=spec)
    cell.take_over(1, {}, [job])
    key = (TaskId("j0", 0, 0, 0), 1)
    cell.runners["r0"].running[key] = ""
    cell.advance_time(6.0)
    assert key in cell.runners["r0"].running
    assert cell.started == []
