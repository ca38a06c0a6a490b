"""Takeover of a dispatch session: the wait for runners of earlier dispatchers."""

import msgspec
import pytest

from wasabipaddle.cell.keys import FLEET_KEY
from wasabipaddle.cell.session import DispatchSession
from wasabipaddle.clock import run_virtual
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import Capacity, RecordedRunner, RunnerEntry

ENTRY = RunnerEntry(
    id="r0",
    address="127.0.0.1:9",
    data_centre="a",
    pool="p",
    capacity=Capacity(cpu=1000),
)
# Lease of 4.5 s with 2 percent of drift, and 1.7 s for the replaced leader to notice.
FULL_WAIT_S = 4.5 * 1.02 + 1.7


@pytest.mark.parametrize(
    ("row", "wait_s", "may_get_work"),
    [
        (RecordedRunner.create(ENTRY, wait_s=2.5, term=2), 2.5, False),
        (RecordedRunner.create(ENTRY, wait_s=99.0, term=2), FULL_WAIT_S, False),
        (RecordedRunner.create(ENTRY, wait_s=2.5, term=1), FULL_WAIT_S, False),
        (RecordedRunner.create(ENTRY), FULL_WAIT_S, True),
        (ENTRY, FULL_WAIT_S, True),
    ],
    ids=["previous term", "too long", "earlier term", "no wait", "earlier build"],
)
def test_recorded_wait_holds_for_the_next_term_only(
    make_test_cell, row, wait_s, may_get_work
):
    """Guards against a second run of a task beside one on a runner without an answer.

    A dispatcher of another build, which ignores recorded waits, may have led in the
    term between and given the runner work.
    """

    async def main():
        cell = make_test_cell(1)
        process = cell["p0"]
        put = Put(key=FLEET_KEY, value=msgspec.json.encode([row]))
        cell.memory.apply((), [put], ())
        session = DispatchSession(
            context=process.context,
            store_plugin=process.store_plugin,
            members=process.members,
            configuration=process.entry.configuration,
            epoch=1,
            term=3,
            step_down=None,
        )
        await session._load_fleet()
        state = session.scheduler.state
        left_s = state.suspects["r0"] - session.now()
        assert left_s == pytest.approx(wait_s, abs=0.01)
        runner = state.runners["r0"]
        assert runner.entry == ENTRY and not runner.listed
        assert runner.in_fleet_record is may_get_work
        await session.close()
        await cell.close()

    run_virtual(main())
