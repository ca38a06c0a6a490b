"""What the dispatcher knows of one runner."""

import attrs

from wasabipaddle.dispatch.trust import RunnerHealth
from wasabipaddle.jobs import RunnerEntry

__all__ = ["RunnerState"]

MS_PER_S = 1000
# The clock of a runner may be this much slower than ours.
CLOCK_DRIFT = 0.02
# Time beyond the end of a lease after which nothing runs under it.
EXPIRY_SLACK_MS = 60


@attrs.define(kw_only=True, eq=False)
class RunnerState:
    """One runner.

    Parameters
    ----------
    entry : RunnerEntry
        Latest entry of the registry.
    incarnation : int
        Life that answered last, 0 before the first inventory of this dispatcher.
    leaves_s : float
        Earliest time at which a draining runner exits.
    looked : bool
        Whether this life has answered an inventory of this dispatcher.
    listed : bool
        Whether the registry has the runner.
    recorded : bool
        Whether the stored fleet names the runner, so that a successor asks it.
    clock_ms, clock_s : int, float
        Clock of the runner and our time at which it was received.
    runs : dict
        Runs by task and run number.
    processed : int
        Highest end that has been taken in.
    acknowledged : int
        Highest end whose effects are durable.
    pending : list of tuple of (int, int)
        Write generations and the end that each makes durable.
    hold_until_ms, start_lease_until_ms : int
        Latest end of a lease that inventories, and that starts gave to this life.
    lists_unknown_tasks : bool
        Whether it runs tasks of jobs that are not known yet.
    """

    entry: RunnerEntry
    incarnation: int = 0
    leaves_s: float = 0.0
    looked: bool = False
    listed: bool = True
    recorded: bool = False
    clock_ms: int = 0
    clock_s: float = 0.0
    runs: dict = attrs.field(factory=dict)
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    processed: int = 0
    acknowledged: int = 0
    pending: list = attrs.field(factory=list)
    hold_until_ms: int = 0
    start_lease_until_ms: int = 0
    lists_unknown_tasks: bool = False
    unknown_tasks_since_s: float = 0.0
    answered_s: float = 0.0
    full_until_s: float = 0.0
    health: RunnerHealth = attrs.field(factory=RunnerHealth)

    @property
    def id(self) -> str:
        """Identity of the runner."""
        return self.entry.id

    @property
    def lease_until_ms(self) -> int:
        """Time on the runner's clock until which runs may have a lease."""
        return max(self.hold_until_ms, self.start_lease_until_ms)

    def estimate_clock_ms(self, now) -> int:
        """Return the probable clock of the runner."""
        return int(self.clock_ms + (now - self.clock_s) * MS_PER_S)

    def least_clock_ms(self, now) -> float:
        """Return a bound that the clock of the runner has reached for sure."""
        return self.clock_ms + (now - self.clock_s) * MS_PER_S * (1 - CLOCK_DRIFT)

    def set_clock(self, clock_ms, now):
        """Take the clock of an answer; answers may overtake each other."""
        if not clock_ms:
            return
        if not self.clock_ms or clock_ms >= self.estimate_clock_ms(now) - MS_PER_S:
            self.clock_ms = clock_ms
            self.clock_s = now

    def passed(self, clock_ms, now) -> bool:
        """Return whether the runner's clock is surely past a time."""
        return self.least_clock_ms(now) > clock_ms + EXPIRY_SLACK_MS

    def reserve(self, run):
        """Add a run and its reservation."""
        spec = run.task.spec
        self.runs[run.key] = run
        self.cpu += 0 if spec.opportunistic else spec.cpu
        self.memory_mb += spec.memory_mb
        self.gpus += spec.gpus

    def release(self, run):
        """Remove a run and its reservation."""
        if self.runs.pop(run.key, None) is None:
            return
        spec = run.task.spec
        self.cpu -= 0 if spec.opportunistic else spec.cpu
        self.memory_mb -= spec.memory_mb
        self.gpus -= spec.gpus

    def fits(self, spec) -> bool:
        """Return whether a task fits beside what may run."""
        capacity = self.entry.capacity
        cpu = 0 if spec.opportunistic else spec.cpu
        return (
            self.cpu + cpu <= capacity.cpu
            and self.memory_mb + spec.memory_mb <= capacity.memory_mb
            and self.gpus + spec.gpus <= capacity.gpus
        )

    def could_fit(self, spec) -> bool:
        """Return whether a task fits on the empty runner."""
        cpu = 0 if spec.opportunistic else spec.cpu
        return self.entry.capacity.holds(cpu, spec.memory_mb, spec.gpus)

    def usable(self, now) -> bool:
        """Return whether new work may go to the runner."""
        return (
            self.looked
            and self.listed
            and self.recorded
            and not self.lists_unknown_tasks
            and not self.entry.draining
            and now >= self.full_until_s
        )

    @property
    def free_share(self) -> float:
        """Part of the processors that is not reserved."""
        capacity = self.entry.capacity.cpu or 1
        return 1 - self.cpu / capacity
