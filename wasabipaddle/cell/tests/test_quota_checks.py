"""Refusal of jobs that exceed the quota of their workspace."""

import pytest
from result import Err

from wasabipaddle.cell.keys import JOB_PREFIX
from wasabipaddle.cell.tests.conftest import JOB, QUEUE
from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import (
    Capacity,
    CellConfiguration,
    JobSpec,
    StepSpec,
    Workspace,
    find_quota_problem,
)

QUOTA = Capacity(cpu=4000, memory_mb=0, gpus=1)
LARGE = JobSpec(payload="p", steps=(StepSpec(count=1, cpu=5000),))


def configure(cell, quota):
    workspace = Workspace(name="w", quota=quota)
    for process in cell.processes.values():
        process.entry.configuration.current = CellConfiguration(
            version=2, queues=(QUEUE,), workspaces={"w": workspace}, requires_keys=True
        )


def submit(cell, spec):
    entry = cell["p0"].entry
    return entry.submit(QUEUE, JOB, spec, wait_s=3.0, workspace="w")


@pytest.fixture
def run_cell(make_test_cell):
    """Run a scenario on a cell of one process, whose workspace has `QUOTA`."""

    def run(scenario):
        async def main():
            cell = make_test_cell(1)
            configure(cell, QUOTA)
            await scenario(cell)
            await cell.close()

        run_virtual(main())

    return run


@pytest.mark.parametrize(
    ("step", "fits"),
    [
        (StepSpec(count=100, cpu=4000), True),
        (StepSpec(count=1, cpu=4001), False),
        (StepSpec(count=4, cpu=1000, gang=True), True),
        (StepSpec(count=5, cpu=1000, gang=True), False),
        (StepSpec(count=1, gpus=2), False),
        (StepSpec(count=1, memory_mb=10**9), True),
    ],
)
def test_step_that_can_never_start_is_found(step, fits):
    """Guards against jobs that wait for ever, and limits that a workspace lacks."""
    spec = JobSpec(payload="p", steps=(StepSpec(count=1), step))
    assert bool(find_quota_problem(spec, QUOTA)) is not fits


def test_job_beyond_the_quota_is_refused_and_not_stored(run_cell):
    """Guards against a refusal after which the job runs all the same."""

    async def scenario(cell):
        refused = (await submit(cell, LARGE)).err()
        assert refused.kind is ErrorKind.QUOTA_EXCEEDED
        assert refused.retry_after_s > 1.0
        assert JOB_PREFIX + JOB not in cell.memory.items

    run_cell(scenario)


def test_job_accepted_before_the_quota_fell_is_not_refused(run_cell):
    """Guards against "never runs" for a job that runs once the quota rises again."""

    async def scenario(cell):
        configure(cell, Capacity())
        assert (await submit(cell, LARGE)).is_ok()
        configure(cell, QUOTA)
        assert (await submit(cell, LARGE)).is_ok()

    run_cell(scenario)


def test_job_is_not_refused_if_it_may_have_been_accepted(run_cell):
    """Guards against "never runs" from a process that does not reach the store."""

    async def scenario(cell):
        entry = cell["p0"].entry

        async def fail(call):
            call.close()
            return Err(Failure(kind=ErrorKind.UNREACHABLE, detail="cut"))

        entry.store_plugin.call = fail
        refused = (await submit(cell, LARGE)).err()
        assert refused.kind is not ErrorKind.QUOTA_EXCEEDED

    run_cell(scenario)
