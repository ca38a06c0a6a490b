"""Runs a soak and reports the promises that were broken."""

import asyncio
import pathlib
import random
import tempfile

import attrs

from wasabipaddle.soak.callers import SoakCallers
from wasabipaddle.soak.cell import CellProcesses
from wasabipaddle.soak.faults import SoakFaults
from wasabipaddle.soak.ledger import SoakLedger
from wasabipaddle.soak.platform import HOST, QUEUES, SoakPlatform
from wasabipaddle.standins.listener import hold_port

__all__ = ["SoakResult", "run_soak"]

JOBS_PER_S = 4.0
# Time after the last fault within which every accepted job has to end.
FINISH_S = 20.0
LAG_PERIOD_S = 0.05


@attrs.frozen(kw_only=True)
class SoakResult:
    """Result of one seed.

    Parameters
    ----------
    seed, jobs, accepted, starts : int
        Seed, jobs that callers submitted, those that were accepted, and runs.
    faults : tuple of str
        Faults that were injected.
    violations : tuple of Violation
        Broken promises.
    lag_s : float
        Longest time by which the stand-ins were late; with more than a few tenths of
        a second the platform itself did not answer in time.
    """

    seed: int
    jobs: int
    accepted: int
    starts: int
    faults: tuple[str, ...]
    violations: tuple
    lag_s: float = 0.0

    @property
    def holds(self) -> bool:
        """Whether no promise was broken."""
        return not self.violations

    def line(self) -> str:
        """Return the result as one line."""
        broken = ", ".join(sorted({v.promise for v in self.violations})) or "none"
        return (
            f"seed {self.seed}: {self.jobs} jobs, {self.accepted} accepted, "
            f"{self.starts} starts, {len(self.faults)} faults, "
            f"lag {self.lag_s:.2f} s, broken: {broken}"
        )


def run_soak(*, seed, seconds, processes=4, runners=8, keep=None) -> SoakResult:
    """Run one seed.

    Parameters
    ----------
    seed : int
        Seed of jobs and faults; the timing is that of the machine.
    seconds : float
        Time for which faults are injected.
    processes, runners : int
        Size of the cell.
    keep : path or None
        Directory that keeps settings and logs; None discards them.
    """
    with tempfile.TemporaryDirectory(prefix="wasabipaddle-soak-") as temporary:
        directory = pathlib.Path(keep or temporary) / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            _run(seed, seconds, processes=processes, runners=runners, keep=directory)
        )
        report = [result.line(), *result.faults, *(v.line() for v in result.violations)]
        (directory / "report.txt").write_text("\n".join(report) + "\n")
    return result


class _Lag:
    """Longest time by which the loop of the stand-ins woke up late."""

    def __init__(self):
        self.longest_s = 0.0

    async def watch(self):
        """Measure for ever."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_PERIOD_S
            await asyncio.sleep(LAG_PERIOD_S)
            self.longest_s = max(self.longest_s, loop.time() - due_s)


async def _run(seed, seconds, *, processes, runners, keep):
    draw = random.Random(seed)
    ledger = SoakLedger()
    names = [f"p{i}" for i in range(processes)]
    held = [hold_port(HOST) for _ in range(3 * processes)]
    ports = [holder.getsockname()[1] for holder in held]
    platform = SoakPlatform(
        ledger=ledger,
        processes=names,
        internal_ports=dict(zip(names, ports, strict=False)),
        caller_ports=dict(zip(names, ports[processes:], strict=False)),
        readiness_ports=dict(zip(names, ports[2 * processes :], strict=False)),
        runner_count=runners,
        seed=draw.random(),
    )
    cell = CellProcesses(platform=platform, directory=keep, ledger=ledger)
    faults = SoakFaults(
        platform=platform,
        cell=cell,
        ledger=ledger,
        random=random.Random(draw.random()),
    )
    callers = SoakCallers(
        platform=platform,
        cell=cell,
        ledger=ledger,
        faults=faults,
        random=random.Random(draw.random()),
    )
    faults.probe = callers.probe
    callers.queues = {queue.name: queue for queue in QUEUES}
    lag = _Lag()
    await platform.start()
    try:
        await cell.start(callers.caller)
        until_s = ledger.now() + seconds
        async with asyncio.TaskGroup() as group:
            watching = group.create_task(lag.watch())
            forcing = group.create_task(cell.force_ends())
            group.create_task(callers.run(JOBS_PER_S, until_s))
            injecting = group.create_task(faults.run(until_s))
            await injecting
            platform.heal()
            await callers.finish(FINISH_S)
            forcing.cancel()
            watching.cancel()
        ledger.check_end()
    finally:
        await cell.close()
        await platform.close()
        for holder in held:
            holder.close()
    return SoakResult(
        seed=seed,
        jobs=len(ledger.jobs),
        accepted=sum(1 for record in ledger.jobs.values() if record.accepted_s),
        starts=ledger.starts,
        faults=tuple(faults.log),
        violations=tuple(ledger.violations),
        lag_s=lag.longest_s,
    )
