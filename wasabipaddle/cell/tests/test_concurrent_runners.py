"""Runners that answer several calls at once, so that lists and clocks do not agree."""

import asyncio

import attrs

from wasabipaddle.cell.tests.runner_parts import PartitionedClient, play_cell, submit
from wasabipaddle.jobs import StepSpec

SHORT = StepSpec(count=2, cpu=500)
WORK_S = 0.4
JOBS = 120
# Time between the moment at which a runner lists its runs and its clock reading.
ANSWER_S = 0.03


class ConcurrentClient(PartitionedClient):
    """Client of a runner that reads its clock some time after its list of runs."""

    async def inventory(self, **fields):
        result = await super().inventory(**fields)
        await asyncio.sleep(ANSWER_S)
        return result.map(lambda i: attrs.evolve(i, clock_ms=self.runner.clock_ms()))


def test_run_that_began_after_the_list_was_read_is_kept(make_test_cell, monkeypatch):
    """Guards against a second run of a task that an inventory begun earlier lacks."""

    async def scenario(cell, partition, leader):
        partition.record.work_s = WORK_S
        for n in range(JOBS):
            submit(cell, partition, f"{n:016x}", SHORT, accepted_by=[leader])
            await asyncio.sleep(0.05)
        await asyncio.sleep(10.0)
        assert partition.record.doubled == []
        assert len(partition.record.starts) == JOBS * SHORT.count

    play_cell(make_test_cell, monkeypatch, scenario, client_type=ConcurrentClient)
