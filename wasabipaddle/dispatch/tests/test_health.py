"""Health of runners on which tasks last, so that no run completes."""

import pytest

from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.dispatch.tests.test_policies import quarantine, starts_within
from wasabipaddle.interfaces import EndCause


def submit_lasting(cell, name, count):
    cell.submit(name, step(count, required_label="rack-r0", lasting=True))


def show_percent(cell, percent):
    """Have the runner list this progress of all its runs from now on."""
    fake = cell.runners["r0"]
    fake.percents.update(dict.fromkeys(fake.running, percent))


@pytest.fixture
def probed(cell):
    """Return a cell that has started a task that lasts on r0 after a quarantine."""
    quarantine(cell, "r0")
    submit_lasting(cell, "probe", 1)
    assert starts_within(cell, 3.0) == 1
    return cell


@pytest.mark.parametrize("percent, starts", [(100, 3), (50, 1)])
def test_runner_whose_probe_is_at_work_gets_more_than_one_task(probed, percent, starts):
    """Guards against a runner that gets one task each 3 s for good.

    Two tasks that last have failed there, and none ever completes. One that has begun
    but is not at work does not show that the runner is sound.
    """
    show_percent(probed, percent)
    starts_within(probed, 3.5)
    submit_lasting(probed, "next", 3)
    assert starts_within(probed, 0.5) == starts


def test_run_from_before_a_failure_does_not_show_that_a_runner_is_sound(cell):
    """Guards against a runner that fails all starts beside a run that goes on."""
    submit_lasting(cell, "old", 1)
    cell.plan()
    show_percent(cell, 100)
    quarantine(cell, "r0")
    submit_lasting(cell, "next", 3)
    assert starts_within(cell, 3.0) == 1
    assert starts_within(cell, 0.5) == 0


def test_failures_of_tasks_that_were_at_work_do_not_add_up(probed):
    """Guards against a quarantine for failures with sound work between them."""
    show_percent(probed, 100)
    starts_within(probed, 3.5)
    (run,) = probed.state.runners["r0"].runs.values()
    probed.runners["r0"].end(*run.key, EndCause.FAILED)
    submit_lasting(probed, "next", 3)
    assert starts_within(probed, 0.5) >= 3
