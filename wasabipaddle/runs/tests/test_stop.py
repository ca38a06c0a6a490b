"""Tests of the end of a shard leader."""

import asyncio

from wasabipaddle.clock import run_virtual
from wasabipaddle.measure.whole_cell import CellSize, WholeCell


def test_every_process_drains_after_all_others_have_gone():
    """Guards against a process that never ends after SIGTERM.

    A cancellation that met a message of a worker was lost, so the task of the leader
    went on and the shutdown waited for it.
    """

    async def main():
        cell = WholeCell(size=CellSize(entries=6, data_centres=2, workers=16))
        await cell.start()
        await asyncio.sleep(6)
        for name in list(cell.processes):
            async with asyncio.timeout(30):
                await cell.processes.pop(name).drain()

    run_virtual(main())
