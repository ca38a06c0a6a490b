"""Admission by the forecast: what is refused, and whether a refusal holds."""

import asyncio

import attrs
import pytest

from wasabipaddle.cell.admission import (
    FORECAST_VALID_S,
    MAX_RETRY_S,
    RETRY_SPREAD,
)
from wasabipaddle.cell.keys import JOB_PREFIX, REFUSAL_PREFIX
from wasabipaddle.cell.refusal_marks import MARK_LEASE_S
from wasabipaddle.cell.tests.conftest import JOB, QUEUE
from wasabipaddle.clock import run_virtual
from wasabipaddle.dispatch.forecast import find_excess_s
from wasabipaddle.exceptions import ErrorKind, Outcome
from wasabipaddle.jobs import Job, JobSpec, StepSpec
from wasabipaddle.messages.codec import decode, encode
from wasabipaddle.messages.jobs import (
    ExpectedWait,
    HelloReply,
    LoadForecast,
    StoreJob,
)

SPEC = JobSpec(payload="p", steps=(StepSpec(count=4, cpu=1000, estimate_s=2.0),))
FLOOD = LoadForecast(
    waits=(ExpectedWait(pool="p", priority=0, points=((-9.0, 60.0),)),)
)


def run(make_test_cell, scenario, count=2):
    async def main():
        cell = make_test_cell(count)
        await scenario(cell)
        await cell.close()

    run_virtual(main())


def submit(process, spec=SPEC, job=JOB):
    return process.entry.submit(QUEUE, job, spec, wait_s=3.0)


def set_forecast(cell, forecast=FLOOD):
    for process in cell.processes.values():
        process.members.forecast = forecast
        process.members.waiting_received_s = process.context.clock.now()


def test_job_that_cannot_be_of_use_is_refused_and_not_stored(make_test_cell):
    """Guards against callers that wait for a job which nobody can use in the end."""

    async def scenario(cell):
        set_forecast(cell)
        failure = (await submit(cell["p0"])).err()
        assert failure.kind is ErrorKind.DEADLINE_UNMEETABLE
        assert failure.outcome.value == "not_run"
        assert failure.response.status == 503
        assert JOB_PREFIX + JOB not in cell.memory.items

    run(make_test_cell, scenario)


@pytest.mark.parametrize(
    ("queue", "waits"),
    [
        (QUEUE, ()),
        (QUEUE, (ExpectedWait(pool="p", priority=0, points=((-9.0, 9.0),)),)),
        (QUEUE, (ExpectedWait(pool="p", priority=1, points=((-9.0, 60.0),)),)),
        (QUEUE, (ExpectedWait(pool="other", priority=0, points=((-9.0, 60.0),)),)),
        (
            QUEUE,
            (
                ExpectedWait(
                    pool="p", workspace="w2", priority=0, points=((-9.0, 60.0),)
                ),
            ),
        ),
        (QUEUE, (ExpectedWait(pool="p", priority=0, points=((1.0, 60.0),)),)),
        (attrs.evolve(QUEUE, target_s=20.0), FLOOD.waits),
    ],
)
def test_job_that_may_be_of_use_is_accepted(queue, waits):
    """Guards against refusals of what would have been served."""
    assert find_excess_s(queue, "w1", SPEC, waits) <= 0


def test_small_job_that_goes_first_is_accepted_where_a_wide_one_is_refused():
    """Guards against refusals by work that waits behind the new job."""
    wait = ExpectedWait(pool="p", priority=0, work_weight=0.001, points=((4.0, 60.0),))
    wide = JobSpec(payload="p", steps=(StepSpec(count=9, cpu=1000, estimate_s=2.0),))
    small = JobSpec(payload="p", steps=(StepSpec(count=1, cpu=1000, estimate_s=2.0),))
    assert find_excess_s(QUEUE, "", wide, (wait,)) > 0
    assert find_excess_s(QUEUE, "", small, (wait,)) <= 0


def test_wait_for_the_quota_concerns_its_workspace_only():
    """Guards against callers that are refused for the load of another workspace."""
    waits = (
        ExpectedWait(pool="p", workspace="w1", priority=0, points=((-9.0, 60.0),)),
    )
    assert find_excess_s(QUEUE, "w1", SPEC, waits) > 0
    assert find_excess_s(QUEUE, "w2", SPEC, waits) <= 0


@pytest.mark.parametrize(
    "changes",
    [
        {"occurrences": 3, "interval_ms": 1000, "first_due_ms": 1},
        {"steps": (StepSpec(count=1, lasting=True),)},
    ],
)
def test_timed_and_lasting_work_is_always_accepted(changes):
    """Guards against refusals of work that is not due now or has no deadline."""
    assert find_excess_s(QUEUE, "", attrs.evolve(SPEC, **changes), FLOOD.waits) <= 0


def test_old_forecast_refuses_nothing(make_test_cell):
    """Guards against refusals by the load of a leader that no longer answers."""

    async def scenario(cell):
        set_forecast(cell, attrs.evolve(FLOOD, age_s=FORECAST_VALID_S / 2))
        await asyncio.sleep(FORECAST_VALID_S / 2 + 0.01)
        assert (await submit(cell["p0"])).is_ok()

    run(make_test_cell, scenario)


def test_accepted_job_is_accepted_again_in_a_flood(make_test_cell):
    """Guards against the answer "never runs" to the repetition of an accepted job."""

    async def scenario(cell):
        assert (await submit(cell["p0"])).is_ok()
        set_forecast(cell)
        assert (await submit(cell["p1"])).is_ok()
        assert REFUSAL_PREFIX + JOB not in cell.memory.items

    run(make_test_cell, scenario)


def test_write_of_an_earlier_submission_does_not_take_effect_after_a_refusal(
    make_test_cell,
):
    """Guards against a job that runs after "never runs", by a write that comes late."""

    async def scenario(cell):
        cell.memory.lost_share, cell.memory.delay_s = 1.0, 5.0
        first = (await submit(cell["p0"])).err()
        assert first.kind is ErrorKind.ACCEPTANCE_UNKNOWN
        cell.memory.lost_share = 0.0
        set_forecast(cell)
        refused = (await submit(cell["p1"])).err()
        assert refused.kind is ErrorKind.DEADLINE_UNMEETABLE
        await asyncio.sleep(10.0)
        assert JOB_PREFIX + JOB not in cell.memory.items

    run(make_test_cell, scenario)


def test_submission_that_goes_on_does_not_replace_a_later_refusal(make_test_cell):
    """Guards against a job that runs after "never runs", by a try after the refusal."""

    async def scenario(cell):
        cell.memory.lost_share, cell.memory.delay_s = 1.0, 5.0
        first = asyncio.create_task(submit(cell["p0"]))
        await asyncio.sleep(1.0)
        cell.memory.lost_share = 0.0
        set_forecast(cell)
        assert (await submit(cell["p1"])).err().outcome is Outcome.NOT_RUN
        assert (await first).is_err()
        job = Job(id=JOB, policy=QUEUE, accepted_ms=0, spec=SPEC)
        stored = await cell["p1"].entry.storage.store_for_peer(StoreJob(job=job))
        assert stored.err().outcome is Outcome.NOT_RUN
        assert JOB_PREFIX + JOB not in cell.memory.items

    run(make_test_cell, scenario)


def test_refused_job_is_accepted_later(make_test_cell):
    """Guards against a refusal that also holds for the next try of the caller."""

    async def scenario(cell):
        set_forecast(cell)
        assert (await submit(cell["p0"])).is_err()
        set_forecast(cell, LoadForecast())
        assert (await submit(cell["p1"])).is_ok()
        assert JOB_PREFIX + JOB in cell.memory.items
        assert REFUSAL_PREFIX + JOB not in cell.memory.items

    run(make_test_cell, scenario)


def test_job_is_accepted_if_its_refusal_cannot_be_stored(make_test_cell):
    """Guards against refusals of jobs that may exist."""

    async def scenario(cell):
        set_forecast(cell)
        store = cell["p0"].store_plugin.store
        commit = store.commit

        async def refuse_marks(**options):
            if any(put.key.startswith(REFUSAL_PREFIX) for put in options["puts"]):
                cell.memory.down = True
                result = await commit(**options)
                cell.memory.down = False
                return result
            return await commit(**options)

        store.commit = refuse_marks
        assert (await submit(cell["p0"])).is_ok()

    run(make_test_cell, scenario)


def test_marks_end_with_their_lease(make_test_cell):
    """Guards against a store that fills with the marks of refused jobs."""

    async def scenario(cell):
        set_forecast(cell)
        await submit(cell["p0"])
        assert REFUSAL_PREFIX + JOB in cell.memory.items
        await asyncio.sleep(2 * MARK_LEASE_S)
        assert REFUSAL_PREFIX + JOB not in cell.memory.items
        set_forecast(cell)
        assert (await submit(cell["p0"])).is_err()

    run(make_test_cell, scenario)


def test_refused_callers_do_not_return_together(make_test_cell):
    """Guards against a flood that comes again as one burst."""

    async def scenario(cell):
        set_forecast(cell)
        waits_s = []
        for n in range(40):
            set_forecast(cell)
            failure = (await submit(cell["p0"], job=f"{n:016x}")).err()
            waits_s.append(failure.retry_after_s)
        assert max(waits_s) - min(waits_s) > MAX_RETRY_S / 2
        assert min(waits_s) >= MAX_RETRY_S
        assert max(waits_s) <= MAX_RETRY_S * RETRY_SPREAD

    run(make_test_cell, scenario)


def test_forecast_survives_the_message_of_the_leader():
    """Guards against a forecast that entries cannot decode."""
    reply = HelloReply(forecast=attrs.evolve(FLOOD, age_s=0.25))
    assert decode(encode(reply), HelloReply).ok() == reply
    assert decode(b"{}", HelloReply).ok().forecast is None
