"""Measure `control`: cost of idle entry processes on loopback."""

import asyncio

from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.control_cell import ControlCell

__all__ = ["ControlMeasure"]

FULL_ENTRIES = (8, 16, 32)
QUICK_ENTRIES = (2, 4)
FULL_WORKERS = 48
QUICK_WORKERS = 6
FULL_WINDOW_S = 8.0
QUICK_WINDOW_S = 1.5
FIRST_PORT = 20_000
PORT_RANGE = 12_000  # ends below the ephemeral ports
SLOPE_FIGURES = ("bytes_per_s", "core_percent", "control_mb", "link_bytes_per_s")


class ControlMeasure(Measure):
    """Traffic, processor time and memory of entry processes in cells without work.

    The bounds apply to the largest value of any process. The smallest and the largest
    cell give the growth per entry process; one more run of the smallest cell with
    workers gives the growth per worker.
    """

    name = "control"
    bounds = (
        Bound(figure="bytes_per_s", comparison="<=", value=4096),
        Bound(figure="core_percent", comparison="<=", value=2.2),
        Bound(figure="control_mb", comparison="<=", value=32),
    )

    def run(self, *, seed, quick):
        """Run cells of every size, and two more.

        These are the smallest cell with workers and the largest with the baseline
        program.
        """
        entries = QUICK_ENTRIES if quick else FULL_ENTRIES
        workers = QUICK_WORKERS if quick else FULL_WORKERS
        window_s = QUICK_WINDOW_S if quick else FULL_WINDOW_S
        plans = [(n, 0, False) for n in entries]
        plans += [(entries[0], workers, False), (entries[-1], 0, True)]
        # Processor time is counted per process, so cells may run concurrently. In a
        # full measure the largest cell and the baseline each run alone.
        groups = (
            [plans] if quick else [[*plans[:-3], plans[-2]], [plans[-3]], plans[-1:]]
        )
        done = {}
        for group in groups:
            done.update(asyncio.run(_run_group(seed, group, window_s)))
        cells = [done[plan] for plan in plans[:-2]]
        with_workers, baseline = done[plans[-2]], done[plans[-1]]
        figures = {key: max(c[key] for c in cells) for key in cells[0]}
        for key in SLOPE_FIGURES:
            grown = cells[-1][key] - cells[0][key]
            figures[f"{key}_per_member"] = round(grown / (entries[-1] - entries[0]), 3)
            grown = with_workers[key] - cells[0][key]
            figures[f"{key}_per_worker"] = round(grown / workers, 3)
        sizes = {"entries": entries, "workers": workers, "window_s": window_s}
        return self.measurement(
            seed=seed, sizes=sizes, figures=figures, baseline=baseline
        )


async def _run_group(seed, plans, window_s):
    """Measure several cells concurrently and return their figures by plan."""
    cells = [_make_cell(seed, *plan) for plan in plans]
    figures = await asyncio.gather(*(c.measure(window_s) for c in cells))
    return dict(zip(plans, figures, strict=True))


def _make_cell(seed, entries, workers, use_baseline):
    port = (
        FIRST_PORT
        + (seed * 997 + entries * 131 + workers * 7 + use_baseline * 409) % PORT_RANGE
    )
    return ControlCell(
        entries=entries, workers=workers, first_port=port, use_baseline=use_baseline
    )
