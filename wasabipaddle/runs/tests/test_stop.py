"""Tests of the shutdown of a shard leader."""

import asyncio

from wasabipaddle.clock import run_virtual
from wasabipaddle.measure.whole_cell import CellSize, WholeCell


def test_every_process_drains_after_the_previous_one_has_stopped():
    """Guards against a process that never exits after SIGTERM.

    If a cancellation that coincides with a message from a worker is lost, the task of
    the leader keeps running and the shutdown waits for it forever.
    """

    async def main():
        cell = WholeCell(size=CellSize(entries=6, data_centres=2, workers=16))
        await cell.start()
        await asyncio.sleep(6)
        for name in list(cell.processes):
            async with asyncio.timeout(30):
                await cell.processes.pop(name).drain()

    run_virtual(main())
