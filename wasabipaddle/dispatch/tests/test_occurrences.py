"""Occurrences of jobs that earlier versions have stored."""

from wasabipaddle.dispatch.tests.conftest import QUEUES, step
from wasabipaddle.jobs import Job, JobPhase, JobSpec


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
