"""Runs a soak test and reports the guarantees that were violated."""

import asyncio
import pathlib
import random
import tempfile

import attrs

from wasabipaddle.soak.backlog import find_deadlines
from wasabipaddle.soak.callers import LONGEST_LASTING_S, SoakCallers
from wasabipaddle.soak.cell import CellProcesses
from wasabipaddle.soak.departures import Departures
from wasabipaddle.soak.faults import SoakFaults
from wasabipaddle.soak.keys import WORKSPACES, SoakKeys
from wasabipaddle.soak.lasting import LastingWatch
from wasabipaddle.soak.ledger import SoakLedger
from wasabipaddle.soak.memory_bound import MemoryBoundWork
from wasabipaddle.soak.names import ALL_FAULTS
from wasabipaddle.soak.platform import SoakPlatform
from wasabipaddle.soak.queues import QUEUES
from wasabipaddle.soak.room import Room
from wasabipaddle.soak.shapes import GENERAL, MIXED_SHAPES
from wasabipaddle.soak.workspaces import SoakWorkspaces

__all__ = ["SoakResult", "run_soak"]

JOBS_PER_S = 4.0
LAG_PERIOD_S = 0.05
USE_PERIOD_S = 0.5


@attrs.frozen(kw_only=True)
class SoakResult:
    """Result of one seed.

    Parameters
    ----------
    seed, jobs, accepted, starts : int
        Seed, jobs that callers submitted, those that were accepted, and task runs
        that were started.
    faults : tuple of str
        Injected faults and planned operations.
    violations : tuple of Violation
        Violated guarantees.
    lag_s : float
        Longest delay of the event loop of the stand-ins. If it exceeds a few tenths of
        a second, the simulated platform itself answered too late.
    cpu_used : float
        Mean share of the processors that tasks had reserved while callers waited for
        the end of their jobs. If it is close to 1, a lost job may have waited for room.
    """

    seed: int
    jobs: int
    accepted: int
    starts: int
    faults: tuple[str, ...]
    violations: tuple
    lag_s: float = 0.0
    cpu_used: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether no guarantee was violated."""
        return not self.violations

    def line(self) -> str:
        """Return the result as one line."""
        broken = ", ".join(sorted({v.promise for v in self.violations})) or "none"
        return (
            f"seed {self.seed}: {self.jobs} jobs, {self.accepted} accepted, "
            f"{self.starts} starts, {len(self.faults)} faults, "
            f"lag {self.lag_s:.2f} s, CPU used at the end {self.cpu_used:.0%}, "
            f"broken: {broken}"
        )


def run_soak(
    *,
    seed,
    seconds,
    processes=4,
    runners=8,
    keep=None,
    faults=ALL_FAULTS,
    workspaces=False,
    memory_bound=False,
    removal_limited=True,
) -> SoakResult:
    """Run the soak test with one seed.

    Parameters
    ----------
    seed : int
        Seed of jobs and faults. Timing depends on the machine, so a run is not fully
        reproducible.
    seconds : float
        Time for which faults are injected. Departures of runners follow, and jobs are
        submitted until then.
    processes, runners : int
        Number of processes of the cell and of runners.
    keep : path or None
        Directory for settings, logs and the report; None discards them.
    faults : tuple of str
        Names of the faults and planned operations to choose from.
    workspaces : bool
        Whether the cell has workspaces, with keys and with quotas that change.
    memory_bound : bool
        Whether the runners have unequal shapes, and large lasting tasks fill the memory
        of some of them.
    removal_limited : bool
        Whether removed keys have a time limit. Without one, no key is removed.
    """
    if not removal_limited:
        faults = tuple(name for name in faults if name != "keys_removed")
    with tempfile.TemporaryDirectory(prefix="wasabipaddle-soak-") as temporary:
        directory = pathlib.Path(keep or temporary) / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            _run(
                seed,
                seconds,
                processes=processes,
                runners=runners,
                keep=directory,
                names=faults,
                workspaces=workspaces,
                memory_bound=memory_bound,
                removal_limited=removal_limited,
            )
        )
        report = [result.line(), *result.faults, *(v.line() for v in result.violations)]
        (directory / "report.txt").write_text("\n".join(report) + "\n")
    return result


class _LoopLag:
    """Longest delay of the event loop that runs the stand-ins."""

    def __init__(self):
        self.longest_s = 0.0

    async def watch(self):
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_PERIOD_S
            await asyncio.sleep(LAG_PERIOD_S)
            self.longest_s = max(self.longest_s, loop.time() - due_s)


class _CpuUse:
    """Mean share of the processors of all runners that tasks have reserved."""

    def __init__(self, platform):
        self.platform = platform
        self.shares = []

    @property
    def mean(self) -> float:
        """Mean of the samples, 0 without any."""
        return sum(self.shares) / max(len(self.shares), 1)

    async def watch(self):
        """Take samples until cancelled."""
        while True:
            await asyncio.sleep(USE_PERIOD_S)
            runs = (run for r in self._staying() for run in r.runs.values())
            self.shares.append(sum(run.spec.cpu for run in runs) / self.cpu())

    def cpu(self) -> int:
        """Return the processors of the runners that do not leave, in millicores."""
        return sum(runner.entry.capacity.cpu for runner in self._staying())

    def _staying(self):
        runners = self.platform.runners.values()
        return [runner for runner in runners if not runner.entry.draining]


@attrs.frozen(kw_only=True)
class _SoakParts:
    """Parts of one run of the soak test."""

    ledger: SoakLedger
    platform: SoakPlatform
    cell: CellProcesses
    faults: SoakFaults
    callers: SoakCallers
    departures: Departures
    memory_bound: MemoryBoundWork | None


def _assemble(
    seed, *, processes, runners, keep, names, workspaces, memory_bound, removal_limited
) -> _SoakParts:
    """Create the parts of a run; all random choices follow from the seed."""
    rng = random.Random(seed)
    ledger = SoakLedger()
    if workspaces:
        ledger.workspaces = SoakWorkspaces(ledger=ledger, random=random.Random(seed))
    platform = SoakPlatform(
        ledger=ledger,
        processes=[f"p{i}" for i in range(processes)],
        runner_count=runners,
        seed=rng.random(),
        shapes=MIXED_SHAPES if memory_bound else (GENERAL,),
        workspaces=ledger.workspaces,
        keys=SoakKeys(
            names=ledger.workspaces.quotas if workspaces else WORKSPACES,
            removal_limited=removal_limited,
        ),
    )
    cell = CellProcesses(platform=platform, directory=keep, ledger=ledger)
    faults = SoakFaults(
        platform=platform,
        cell=cell,
        ledger=ledger,
        random=random.Random(rng.random()),
        names=names,
    )
    callers = SoakCallers(
        platform=platform,
        cell=cell,
        ledger=ledger,
        faults=faults,
        random=random.Random(rng.random()),
    )
    departures = Departures(
        platform=platform,
        ledger=ledger,
        random=random.Random(rng.random()),
        log=faults.log,
    )
    work = MemoryBoundWork(
        platform=platform, random=random.Random(seed), submit=callers.submit_lasting
    )
    faults.probe = callers.probe
    faults.submit_burst = callers.submit_burst
    faults.submit_spread = callers.submit_spread
    faults.call = callers.ask
    callers.queues = {queue.name: queue for queue in QUEUES}
    return _SoakParts(
        ledger=ledger,
        platform=platform,
        cell=cell,
        faults=faults,
        callers=callers,
        departures=departures,
        memory_bound=work if memory_bound else None,
    )


async def _play(parts, seconds, use):
    """Inject the faults, let runners leave and wait for the end of all jobs."""
    callers, faults = parts.callers, parts.faults
    until_s = parts.ledger.now() + seconds
    room = Room(platform=parts.platform)
    lasting = LastingWatch(ledger=parts.ledger, faults=faults, room=room)
    async with asyncio.TaskGroup() as group:
        enforcing = group.create_task(parts.cell.enforce_grace_period())
        checking = group.create_task(lasting.run())
        submitting = group.create_task(callers.run(JOBS_PER_S))
        if parts.memory_bound is not None:
            group.create_task(parts.memory_bound.run())
        workspaces = parts.ledger.workspaces
        if workspaces is not None:
            changing = group.create_task(workspaces.run(parts.platform))
        await faults.run(until_s)
        if workspaces is not None:
            changing.cancel()
            workspaces.lift(parts.platform)
        parts.platform.heal()
        faults.record_disturbance()
        # Long jobs that are sent later could not end in time.
        callers.sends_long_jobs = False
        await parts.departures.run()
        submitting.cancel()
        watching = group.create_task(use.watch())
        deadlines = find_deadlines(
            parts.ledger, cpu=use.cpu(), longest_run_s=LONGEST_LASTING_S
        )
        parts.ledger.deadlines_s = deadlines
        await callers.finish(max(deadlines.values()) - parts.ledger.now())
        watching.cancel()
        enforcing.cancel()
        checking.cancel()


async def _run(seed, seconds, **options):
    parts = _assemble(seed, **options)
    ledger, lag, use = parts.ledger, _LoopLag(), _CpuUse(parts.platform)
    watching = asyncio.get_running_loop().create_task(lag.watch())
    await parts.platform.start()
    try:
        await parts.cell.start(parts.callers.caller)
        await _play(parts, seconds, use)
        ledger.check_end()
    finally:
        watching.cancel()
        await parts.cell.close()
        await parts.platform.close()
    return SoakResult(
        seed=seed,
        jobs=len(ledger.jobs),
        accepted=sum(1 for record in ledger.jobs.values() if record.accepted_s),
        starts=ledger.starts,
        faults=tuple(parts.faults.log),
        violations=tuple(ledger.violations),
        lag_s=lag.longest_s,
        cpu_used=use.mean,
    )
