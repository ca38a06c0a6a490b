"""Runners that start again under their identifier between two calls."""

import asyncio

import attrs
import pytest
from result import Err

from wasabipaddle.cell.tests.runner_parts import (
    PartitionedClient,
    play_cell,
    put,
    submit,
)
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import StepSpec
from wasabipaddle.platform.client import encode_runner

SHORT = StepSpec(count=6, cpu=500, max_per_runner=1)
LASTING = StepSpec(count=9, cpu=500, max_per_runner=2, lasting=True)
WORK_S = 0.1
JOB_PERIOD_S = 0.1
# Time in which all runners have acknowledged ends.
WARM_UP_S = 4.0
# Time of a response on its way, within the limit of the call.
TRANSIT_S = 0.4
# Longer than any call may be carried out late.
RETURN_S = 20.0
REGISTRY_LAG_S = 1.0
CLOCK_S = 5.0
# Time in which a failed call shows the restart of a runner, and time in which the
# runner gets work after it, and a task that lasts runs again.
NOTICED_S = 3.0
WORK_AGAIN_S = 6.0


def no_answer():
    return Err(Failure(kind=ErrorKind.TIMEOUT, detail="no answer from the runner"))


class RestartingClient(PartitionedClient):
    """Client of a runner whose replies to orders do not name its incarnation.

    Attributes
    ----------
    answered, carry_out_late : callable or None
        Called, once, with an inventory of r0 that is answered and on its way, and with
        the fields of one that acknowledges ends and gets no answer.
    lost : set of str
        Runners that get no call any more.
    """

    answered = carry_out_late = None
    lost = frozenset()

    async def _call(self, call, epoch, timeout_s):
        if self.id in self.lost:
            call.close()
            call = asyncio.sleep(timeout_s + 1.0)
        result = await super()._call(call, epoch, timeout_s)
        return no_answer() if self.id in self.lost else result

    async def start(self, order, *, timeout_s):
        reply = await super().start(order, timeout_s=timeout_s)
        return reply.map(lambda r: attrs.evolve(r, incarnation=0))

    async def stop(self, task, run, **fields):
        reply = await super().stop(task, run, **fields)
        return reply.map(lambda r: attrs.evolve(r, incarnation=0))

    async def inventory(self, **fields):
        hooks = type(self)
        if self.id == "r0" and hooks.carry_out_late and fields["acknowledged"]:
            carry_out_late, hooks.carry_out_late = hooks.carry_out_late, None
            carry_out_late(fields)
            return await self._call(asyncio.sleep(99.0), None, fields["timeout_s"])
        incarnation = self.runner.entry.incarnation
        result = await super().inventory(**fields)
        if self.runner.entry.incarnation != incarnation:
            return no_answer()
        if self.id == "r0" and hooks.answered:
            answered, hooks.answered = hooks.answered, None
            answered()
            await asyncio.sleep(TRANSIT_S)
        return result


@pytest.fixture
def play(make_test_cell, monkeypatch):
    """Return a function that plays a disturbance of r0 beside a stream of jobs."""

    def play_disturbance(disturb, scenario=None):
        async def stream_jobs(cell, partition, leader):
            partition.record.work_s = WORK_S
            stream = asyncio.create_task(submit_jobs(cell, partition, leader))
            await asyncio.sleep(WARM_UP_S)
            disturb(cell, partition)
            await asyncio.sleep(RETURN_S)
            stream.cancel()
            await asyncio.sleep(RETURN_S)
            check(partition)

        scenario = scenario or stream_jobs
        play_cell(make_test_cell, monkeypatch, scenario, client_type=RestartingClient)

    yield play_disturbance
    RestartingClient.answered = RestartingClient.carry_out_late = None
    RestartingClient.lost = frozenset()


async def submit_jobs(cell, partition, leader):
    for n in range(10_000):
        submit(cell, partition, f"{n:016x}", SHORT, accepted_by=[leader])
        await asyncio.sleep(JOB_PERIOD_S)


def restart(cell, partition):
    """Restart r0 at once; the registry lists its next life some time later."""
    runner = partition.runners["r0"]
    runner.crash(runner.entry.incarnation + 1, clock_s=CLOCK_S)
    key, value = encode_runner(runner.entry, 2)
    asyncio.get_running_loop().call_later(REGISTRY_LAG_S, put, cell, key, value)


def check(partition):
    """Check that no task was repeated, that all ended, and that r0 works again."""
    record = partition.record
    assert record.repeated == []
    assert record.doubled == []
    assert len(record.completed) == SHORT.count * len(record.jobs)
    later = [label for label in record.starts if label[2] == "r0"]
    assert len(later) > len(record.starts) / 20


def test_acknowledgement_for_an_earlier_life_loses_no_end_of_the_next(play):
    """Guards against a second run of a task whose end nobody has seen."""

    def disturb(cell, partition):
        RestartingClient.answered = lambda: restart(cell, partition)

    play(disturb)


@pytest.mark.parametrize("late_s", [3.0, 1.0])
def test_call_carried_out_after_a_restart_loses_no_end_of_the_next_life(play, late_s):
    """Guards against the same by a call that got no answer and is carried out late.

    After 3 s the dispatcher knows that the call has failed, after 1 s it does not.
    """

    def disturb(cell, partition):
        def carry_out_late(fields):
            runner = partition.runners["r0"]
            loop = asyncio.get_running_loop()
            restart(cell, partition)
            fields = {**fields, "wait_s": 0.0}
            loop.call_later(
                late_s, lambda: loop.create_task(runner.inventory(**fields))
            )

        RestartingClient.carry_out_late = carry_out_late

    play(disturb)


@pytest.mark.parametrize("after_s", [0.2, 0.5])
def test_call_from_long_before_a_restart_loses_no_end_of_the_next_life(play, after_s):
    """Guards against an end that such a call removes before the restart is noticed.

    The new life has begun a task by then, and its inventory is still held back.
    """

    def disturb(cell, partition):
        def carry_out_late(fields):
            runner, loop = partition.runners["r0"], asyncio.get_running_loop()
            fields = {**fields, "wait_s": 0.0}
            loop.call_later(5.0, restart, cell, partition)
            loop.call_later(
                5.0 + after_s, lambda: loop.create_task(runner.inventory(**fields))
            )

        RestartingClient.carry_out_late = carry_out_late

    play(disturb)


def count_starts(partition):
    """Return how many starts r0 has carried out."""
    return sum(runner == "r0" for _, _, runner in partition.record.starts)


def test_restarted_runner_gets_work_while_a_call_may_be_carried_out_late(play):
    """Guards against a runner without work for as long as any call may be late.

    The call acknowledges ends, and the runner carries it out 10 s later.
    """
    starts = []

    def disturb(cell, partition):
        def carry_out_late(fields):
            runner, loop = partition.runners["r0"], asyncio.get_running_loop()
            restart(cell, partition)
            for later_s in (NOTICED_S, WORK_AGAIN_S):
                loop.call_later(later_s, lambda: starts.append(count_starts(partition)))
            fields = {**fields, "wait_s": 0.0}
            loop.call_later(10.0, lambda: loop.create_task(runner.inventory(**fields)))

        RestartingClient.carry_out_late = carry_out_late

    play(disturb)
    assert starts[1] > starts[0]


@pytest.mark.parametrize("work_s", [4.0, 8.0])
def test_tasks_of_a_restarted_runner_that_is_lost_do_not_wait_for_late_calls(
    play, work_s
):
    """Guards against a task that lasts and waits until no call can be late any more.

    The calls that were open at the restart may extend the lease of the next life.
    """

    async def scenario(cell, partition, leader):
        submit(cell, partition, "a" * 16, LASTING, accepted_by=[leader])
        await asyncio.sleep(WARM_UP_S)
        restart(cell, partition)
        await asyncio.sleep(NOTICED_S)
        job = submit(cell, partition, "b" * 16, LASTING, accepted_by=[leader])
        await asyncio.sleep(work_s - NOTICED_S)
        assert partition.record.count(job) == LASTING.count
        assert partition.runners["r0"].runs
        RestartingClient.lost = {"r0"}
        partition.runners["r0"].shut_down()
        await asyncio.sleep(WORK_AGAIN_S)
        assert partition.record.count(job) == LASTING.count
        assert partition.record.doubled == []

    play(None, scenario)
