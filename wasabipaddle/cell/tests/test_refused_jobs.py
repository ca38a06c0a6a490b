"""Refusals that hold while commits get no answer and take effect late."""

import asyncio
import random

import pytest
from result import Err

from wasabipaddle.cell.keys import CANCEL_PREFIX, JOB_PREFIX, REFUSAL_PREFIX
from wasabipaddle.cell.refusal_marks import MARK_LEASE_S
from wasabipaddle.cell.submission import IN_DOUBT_S, MAX_IN_DOUBT
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.cell.tests.test_admission import run, set_forecast, submit
from wasabipaddle.exceptions import ErrorKind, Failure, Outcome
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import Job, encode_job
from wasabipaddle.messages.jobs import LoadForecast
from wasabipaddle.standins.transactions import CALL_TIMEOUT_S


def delay_commits(process, selects, *, delay_s, count=1):
    """Have the first `count` selected commits of a process take effect late.

    They get no answer.

    Parameters
    ----------
    selects : callable
        Receives the arguments of a commit; returns whether to delay it.
    delay_s : float
        Time after which the commit takes effect if its conditions hold.
    """
    store = process.store_plugin.store
    commit = store.commit
    left = count

    async def commit_late(*, conditions=(), puts=(), deletes=()):
        nonlocal left
        options = {"conditions": conditions, "puts": puts, "deletes": deletes}
        if not left or not selects(options):
            return await commit(**options)
        left -= 1
        asyncio.get_running_loop().call_later(
            delay_s, store.memory.apply, conditions, puts, deletes
        )
        await asyncio.sleep(CALL_TIMEOUT_S)
        return Err(Failure(kind=ErrorKind.TIMEOUT, detail="no answer"))

    store.commit = commit_late


def replaces_mark(options):
    """Return whether a commit creates a job in place of its mark."""
    return bool(options["deletes"])


def creates_job(options):
    """Return whether a commit creates a job."""
    return any(put.key.startswith(JOB_PREFIX) for put in options["puts"])


async def refuse_once(cell, process="p0"):
    """Have a job refused for its forecast, and the forecast end."""
    set_forecast(cell)
    assert (await submit(cell[process])).err().outcome is Outcome.NOT_RUN
    set_forecast(cell, LoadForecast())


def exists(cell, job=JOB):
    return JOB_PREFIX + job in cell.memory.items


def test_late_commit_in_place_of_a_mark_does_not_start_a_refused_job(make_test_cell):
    """Guards against a job that starts after "never runs" was the answer each time.

    The mark of the first refusal was taken for one of a repetition of the submission
    whose own commit was to replace it (review, case 6).
    """

    async def scenario(cell):
        await refuse_once(cell)
        delay_commits(cell["p1"], replaces_mark, delay_s=3.0)
        accepted = await submit(cell["p1"])
        await asyncio.sleep(10.0)
        assert accepted.is_ok()
        assert exists(cell)

    run(make_test_cell, scenario)


def test_submission_without_any_answer_of_the_store_is_not_refused(make_test_cell):
    """Guards against "never runs" as long as a commit of the submission is in doubt."""

    async def scenario(cell):
        await refuse_once(cell)
        delay_commits(cell["p1"], replaces_mark, delay_s=5.0, count=9)
        failure = (await submit(cell["p1"])).err()
        assert failure.outcome is Outcome.UNKNOWN
        await asyncio.sleep(10.0)
        assert exists(cell)

    run(make_test_cell, scenario)


def test_refusal_by_an_earlier_mark_stops_the_commits_of_other_processes(
    make_test_cell,
):
    """Guards against a refused job that a process which is gone creates late."""

    async def scenario(cell):
        await refuse_once(cell)
        delay_commits(cell["p0"], replaces_mark, delay_s=4.0)
        gone = asyncio.create_task(submit(cell["p0"]))
        await asyncio.sleep(0.2)
        gone.cancel()
        delay_commits(cell["p1"], creates_job, delay_s=4.0)
        refused = (await submit(cell["p1"])).err()
        assert refused.outcome is Outcome.NOT_RUN
        await asyncio.sleep(10.0)
        assert not exists(cell)

    run(make_test_cell, scenario)


def test_refusal_by_an_earlier_mark_outlasts_the_lease_of_that_mark(make_test_cell):
    """Guards against a refused job that is created once its mark has expired."""

    async def scenario(cell):
        await refuse_once(cell)
        delay_commits(cell["p1"], creates_job, delay_s=3.0)
        await asyncio.sleep(MARK_LEASE_S - CALL_TIMEOUT_S - 0.2)
        assert (await submit(cell["p1"])).err().outcome is Outcome.NOT_RUN
        await asyncio.sleep(10.0)
        assert not exists(cell)

    run(make_test_cell, scenario)


def test_refusal_through_a_peer_stops_the_commits_of_other_peers(make_test_cell):
    """Guards against a refused job that a peer without an answer creates late."""

    async def scenario(cell):
        await refuse_once(cell, "p2")
        before = cell.memory.items[REFUSAL_PREFIX + JOB].revision
        cell.memory.refused_clients.add("p0")
        cell["p0"].store_plugin.health.failures = 2
        cell["p0"].members.unresponsive["p1"] = 2.0
        cell["p0"].members.leader = "p1"
        refused = (await submit(cell["p0"])).err()
        assert refused.kind is ErrorKind.DEADLINE_UNMEETABLE
        assert cell.memory.items[REFUSAL_PREFIX + JOB].revision > before
        await asyncio.sleep(10.0)
        assert not exists(cell)

    run(make_test_cell, scenario, count=3)


def test_peer_that_finds_another_mark_than_before_has_not_refused(make_test_cell):
    """Guards against "never runs" for a job that is stored while a peer is asked."""

    async def scenario(cell):
        await refuse_once(cell)
        store = cell["p1"].store_plugin.store
        commit = store.commit
        job = Job(id=JOB, policy=QUEUE, accepted_ms=0, spec=SPEC)

        async def commit_after_another(**options):
            if options.get("deletes"):
                put = Put(key=JOB_PREFIX + JOB, value=encode_job(job))
                cell.memory.apply((), (put,), (REFUSAL_PREFIX + JOB,))
            return await commit(**options)

        store.commit = commit_after_another
        cell.memory.refused_clients.add("p0")
        assert (await submit(cell["p0"])).err().outcome is Outcome.UNKNOWN

    run(make_test_cell, scenario)


def test_process_without_the_store_refuses_no_job_that_it_may_have_stored(
    make_test_cell,
):
    """Guards against "never runs" from the process whose commit is on its way."""

    async def scenario(cell):
        delay_commits(cell["p0"], creates_job, delay_s=9.0, count=9)
        assert (await submit(cell["p0"])).err().outcome is Outcome.UNKNOWN
        cell.memory.down = True
        assert (await submit(cell["p0"])).err().outcome is Outcome.UNKNOWN
        assert (await submit(cell["p1"], job="b" * 16)).err().outcome is Outcome.NOT_RUN
        cell.memory.down = False
        await asyncio.sleep(10.0)
        assert exists(cell)

    run(make_test_cell, scenario)


def test_peer_without_the_store_refuses_no_job_that_it_may_have_stored(make_test_cell):
    """Guards against the same where the commit was made for another process."""

    async def scenario(cell):
        cell.memory.refused_clients.update({"p0", "p2"})
        delay_commits(cell["p1"], creates_job, delay_s=9.0)
        assert (await submit(cell["p0"])).err().outcome is Outcome.UNKNOWN
        cell.memory.down = True
        assert (await submit(cell["p2"])).err().outcome is Outcome.UNKNOWN

    run(make_test_cell, scenario, count=3)


def test_job_is_in_doubt_until_its_commits_have_had_their_time(make_test_cell):
    """Guards against doubts that grow without end, or end with the next submission."""

    async def scenario(cell):
        in_doubt = cell["p0"].entry.storage.in_doubt
        in_doubt.add(JOB)
        await asyncio.sleep(IN_DOUBT_S - 1.0)
        assert JOB in in_doubt
        for n in range(MAX_IN_DOUBT):
            in_doubt.add(f"{n:016x}")
        assert len(in_doubt.until_s) == MAX_IN_DOUBT
        await asyncio.sleep(IN_DOUBT_S)
        assert f"{1:016x}" not in in_doubt
        in_doubt.add(JOB)
        assert list(in_doubt.until_s) == [JOB]
        assert (await submit(cell["p0"])).is_ok()
        assert JOB not in in_doubt

    run(make_test_cell, scenario)


def test_caller_that_returns_is_accepted_at_the_second_try(make_test_cell):
    """Guards against a caller that is refused once more for its earlier refusal."""

    async def scenario(cell):
        await refuse_once(cell)
        delay_commits(cell["p0"], creates_job, delay_s=3.0)
        assert (await submit(cell["p0"])).is_ok()
        assert exists(cell)

    run(make_test_cell, scenario)


def test_caller_that_returns_is_accepted_through_a_peer(make_test_cell):
    """Guards against refusals by an earlier mark where a peer has to store jobs."""

    async def scenario(cell):
        await refuse_once(cell)
        cell.memory.refused_clients.add("p0")
        assert (await submit(cell["p0"])).is_ok()
        assert exists(cell)

    run(make_test_cell, scenario)


def test_answers_of_the_store_show_its_revision(make_test_cell):
    """Guards against earlier marks that are taken for later ones."""

    async def scenario(cell):
        plugin = cell["p0"].store_plugin
        assert (await submit(cell["p0"])).is_ok()
        assert plugin.seen_revision == cell.memory.revision
        cell.memory.apply((), (Put(key="k", value=b""),), ())
        await plugin.call(plugin.store.get("k"))
        assert plugin.seen_revision == cell.memory.revision
        cell.memory.apply((), (), ("k",))
        await plugin.call(plugin.store.list("k"))
        assert plugin.seen_revision == cell.memory.revision
        await plugin.call(plugin.store.grant_lease(1e9))
        assert plugin.seen_revision == cell.memory.revision

    run(make_test_cell, scenario)


def test_job_does_not_run_after_a_call_to_cancel_it_found_none(make_test_cell):
    """Guards against "no such job" while a commit that creates the job is in doubt."""

    async def scenario(cell):
        delay_commits(cell["p0"], creates_job, delay_s=4.0)
        gone = asyncio.create_task(submit(cell["p0"]))
        await asyncio.sleep(0.2)
        gone.cancel()
        cancelled = await cell["p1"].entry.cancel(QUEUE, JOB, wait_s=3.0)
        assert cancelled.err().kind is ErrorKind.GONE
        await asyncio.sleep(10.0)
        assert not exists(cell)

    run(make_test_cell, scenario)


def test_job_that_comes_to_exist_during_its_cancellation_is_cancelled(make_test_cell):
    """Guards against "no such job" for one that is stored between read and answer."""

    async def scenario(cell):
        store = cell["p1"].store_plugin.store
        get = store.get

        async def get_before_the_submission(key):
            found = await get(key)
            if not exists(cell):
                assert (await submit(cell["p0"])).is_ok()
            return found

        store.get = get_before_the_submission
        assert (await cell["p1"].entry.cancel(QUEUE, JOB, wait_s=3.0)).is_ok()
        assert CANCEL_PREFIX + JOB in cell.memory.items

    run(make_test_cell, scenario)


def test_job_is_accepted_after_a_call_to_cancel_it_found_none(make_test_cell):
    """Guards against an identifier that an early cancellation makes useless."""

    async def scenario(cell):
        cancelled = await cell["p0"].entry.cancel(QUEUE, JOB, wait_s=3.0)
        assert cancelled.err().kind is ErrorKind.GONE
        assert (await submit(cell["p1"])).is_ok()
        assert exists(cell)

    run(make_test_cell, scenario)


def test_job_is_not_accepted_because_its_mark_has_just_ended(make_test_cell):
    """Guards against an accepted job that does not exist.

    What has kept a job from being created was taken for the job, once the mark was not
    there any more.
    """

    async def scenario(cell):
        await refuse_once(cell)
        store = cell["p1"].store_plugin.store
        get = store.get

        async def get_after_the_end_of_the_mark(key):
            cell.memory.remove(REFUSAL_PREFIX + JOB)
            return await get(key)

        store.get = get_after_the_end_of_the_mark
        assert (await submit(cell["p1"])).is_ok()
        assert exists(cell)

    run(make_test_cell, scenario)


@pytest.mark.parametrize("seed", range(12))
def test_refusals_hold_under_random_late_commits(make_test_cell, seed):
    """Guards against false refusals and lost jobs in other orders of the same steps.

    A job that was refused each time does not exist at the end, nor does one whose last
    submission was refused for the forecast or by a mark. A job that was accepted does.
    """
    rng = random.Random(seed)

    async def submit_often(cell, job):
        answers = []
        for _ in range(rng.randrange(1, 5)):
            process = cell[rng.choice(("p0", "p1"))]
            if rng.random() < 0.4:
                set_forecast(cell)
            answers.append(await submit(process, job=job))
            set_forecast(cell, LoadForecast())
            await asyncio.sleep(rng.uniform(0.0, 2.0))
        return answers

    async def vary_delay(cell):
        while True:
            cell.memory.delay_s = rng.uniform(1.0, 6.0)
            await asyncio.sleep(0.01)

    async def scenario(cell):
        cell.memory.random.seed(seed)
        cell.memory.lost_share = 0.35
        varying = asyncio.create_task(vary_delay(cell))
        jobs = [f"{n:016x}" for n in range(60)]
        answers = await asyncio.gather(*(submit_often(cell, job) for job in jobs))
        varying.cancel()
        await asyncio.sleep(10.0)
        for job, results in zip(jobs, answers, strict=True):
            failures = [result.err() for result in results]
            refused = all(f and f.outcome is Outcome.NOT_RUN for f in failures)
            last = failures[-1]
            if refused or (last and last.kind is ErrorKind.DEADLINE_UNMEETABLE):
                assert not exists(cell, job), results
            if any(result.is_ok() for result in results):
                assert exists(cell, job), results

    run(make_test_cell, scenario)
