"""State of one runner in the dispatcher."""

import attrs

from wasabipaddle.dispatch.health import RunnerHealth
from wasabipaddle.jobs import RunnerEntry
from wasabipaddle.messages.placement import Exclusion

__all__ = ["RunnerState"]

MS_PER_S = 1000
# Difference between two clock readings that rounding and scheduling explain.
READING_TOLERANCE_MS = 20
# Longest time for which a clock reading is on its way, as longer calls time out.
READING_TRANSIT_S = 2.5
# Fraction by which the clock of a runner may run slower than the local clock.
CLOCK_DRIFT_FRACTION = 0.02
# Margin after the end of a lease; once it has passed, the runs under the lease have
# certainly ended.
EXPIRY_MARGIN_MS = 60


def _note_change(runner, attribute, value):
    """Note that a runner has changed in a way that matters to placement."""
    if getattr(runner, attribute.name) != value:
        runner.note_change()
    return value


def _watched(**options):
    """Return a field whose changes matter to placement."""
    return attrs.field(on_setattr=_note_change, **options)


@attrs.define(kw_only=True, eq=False)
class RunnerState:
    """State of one runner.

    Times in `_s` are on the local monotonic clock.

    Parameters
    ----------
    entry : RunnerEntry
        Latest entry of the registry or, before one is read, of the stored fleet record.
    incarnation : int
        Incarnation in the last inventory, 0 before this dispatcher received one.
    incarnation_s : float
        Time at which that incarnation was first seen.
    leaves_at_s : float
        Earliest time at which the runner exits, meaningful only while it is draining.
    inventoried : bool
        Whether this dispatcher has received an inventory of the runner.
    listed : bool
        Whether the registry lists the runner.
    exited : bool
        Whether the runner is known to have exited, and has not answered since.
    in_fleet_record : bool
        Whether the stored fleet record names the runner, so that the next dispatcher
        asks it for its runs.
    recorded_jobs : frozenset of str or None
        Jobs to which the stored fleet record limits the runs on the runner, None if any
        job may have runs there. The runner gets no work while there is a limit.
    recorded_pool : str or None
        Pool in the stored fleet record of the previous dispatcher, None without one.
        The entry may name another one by now.
    clock_ms, clock_s : int, float
        Last clock reading of the runner, 0 before the first, and the local time at
        which it arrived.
    runs : dict
        Runs that may exist, by task and run number.
    cpu, memory_mb, gpus : int
        Resources reserved for `runs`; `cpu` in thousandths of a core, without
        opportunistic tasks.
    processed_end : int
        Number of the last ended run that has been processed; a runner numbers its ended
        runs in increasing order.
    acknowledged : int
        Number of the last ended run whose effects are durable.
    forgotten_end : int
        Number up to which the present incarnation has certainly forgotten its ended
        runs.
    pending_acknowledgements : list of tuple of (int, int, frozenset)
        Write generations, each with the number of the last ended run that becomes
        durable with it and the identifiers of the jobs of these ends.
    inventory_lease_until_ms, start_lease_until_ms : int
        Latest ends of the leases granted with inventories and with starts, on the
        clock of the runner.
    doubted_s : float or None
        Time of the last reply that does not fit the clock of the incarnation, None once
        an inventory that was requested later has arrived. The runner gets no work until
        then, as its incarnation may have begun unnoticed.
    late_lease_until_s, late_acknowledgement_until_s : float
        Times until which calls that got no answer may yet extend the lease, or have the
        runner forget ended runs.
    quiet_until_s : float
        Time until which the runner gets no new work, as a call to an earlier
        incarnation may yet be carried out.
    epoch : int
        Highest epoch of the calls to the runner; no later one has a lower epoch.
    late_epoch : int or None
        Highest epoch of the calls that the runner may yet carry out late, None if there
        are no such calls.
    lists_unknown_tasks : bool
        Whether the last inventory listed running or ended tasks that are not known.
    unknown_tasks_since_s : float
        Time at which the dispatcher began to wait until unknown tasks are known, 0 if
        it does not wait.
    last_inventory_s : float
        Time of the last inventory.
    lists_all_ends : bool
        Whether the last inventory listed all ended runs.
    whole_list_s : float or None
        While the runner is suspect: time of the first of the last inventories in a row
        that listed all its runs and ends, None after another one.
    paused_until_s : float
        Time until which the runner gets no new work.
    cordoned : bool
        Whether the runner gets no new work as its machine awaits maintenance.
    health : RunnerHealth
        Recent results of the runner.
    step_runs : dict of Step to int
        Number of `runs` by step.
    changed : dict of str to None
        Runners that have changed since the last decision, shared by all runners.
    """

    entry: RunnerEntry = _watched()
    incarnation: int = _watched(default=0)
    incarnation_s: float = 0.0
    leaves_at_s: float = 0.0
    inventoried: bool = _watched(default=False)
    listed: bool = _watched(default=True)
    exited: bool = _watched(default=False)
    in_fleet_record: bool = _watched(default=False)
    recorded_jobs: frozenset | None = _watched(default=None)
    recorded_pool: str | None = None
    clock_ms: int = 0
    clock_s: float = 0.0
    runs: dict = attrs.field(factory=dict, repr=False)
    cpu: int = _watched(default=0)
    memory_mb: int = _watched(default=0)
    gpus: int = _watched(default=0)
    processed_end: int = 0
    acknowledged: int = 0
    forgotten_end: int = 0
    pending_acknowledgements: list = attrs.field(factory=list)
    inventory_lease_until_ms: int = 0
    start_lease_until_ms: int = 0
    doubted_s: float | None = _watched(default=None)
    late_lease_until_s: float = 0.0
    late_acknowledgement_until_s: float = 0.0
    quiet_until_s: float = _watched(default=0.0)
    epoch: int = 0
    late_epoch: int | None = None
    lists_unknown_tasks: bool = _watched(default=False)
    unknown_tasks_since_s: float = 0.0
    last_inventory_s: float = 0.0
    lists_all_ends: bool = True
    whole_list_s: float | None = None
    paused_until_s: float = _watched(default=0.0)
    cordoned: bool = _watched(default=False)
    health: RunnerHealth = attrs.field(factory=RunnerHealth)
    step_runs: dict = attrs.field(factory=dict, repr=False)
    changed: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.health.note_change = self.note_change
        self.note_change()

    def note_change(self):
        """Have the next decision examine the runner anew."""
        self.changed[self.id] = None

    @property
    def id(self) -> str:
        """Identifier of the runner."""
        return self.entry.id

    @property
    def lease_until_ms(self) -> int:
        """Time on the runner's clock at which the last lease on it ends."""
        return max(self.inventory_lease_until_ms, self.start_lease_until_ms)

    @property
    def lease_expiry_s(self) -> float:
        """Local time from which the last known lease has certainly passed.

        0 while the clock of the runner is unknown; it has no lease then.
        """
        if not self.clock_ms:
            return 0.0
        left_ms = max(self.lease_until_ms + EXPIRY_MARGIN_MS - self.clock_ms, 0)
        return self.clock_s + left_ms / MS_PER_S / (1 - CLOCK_DRIFT_FRACTION)

    def lease_left_ms(self, now) -> int:
        """Return the estimated time until the last known lease ends, in milliseconds.

        Negative once the lease has ended.
        """
        return self.lease_until_ms - self.estimate_clock_ms(now)

    def estimate_clock_ms(self, now) -> int:
        """Return the estimated current clock reading of the runner."""
        return int(self.clock_ms + (now - self.clock_s) * MS_PER_S)

    def least_clock_ms(self, now) -> float:
        """Return a lower bound of the clock reading of the runner at some time.

        The time may lie before the last reading.
        """
        elapsed_ms = (now - self.clock_s) * MS_PER_S
        drift = -CLOCK_DRIFT_FRACTION if elapsed_ms > 0 else CLOCK_DRIFT_FRACTION
        return self.clock_ms + elapsed_ms * (1 + drift)

    def set_clock(self, clock_ms, now, *, sent_s) -> bool:
        """Record a clock reading of the runner; return whether it has been used.

        A reading of 0 is ignored, and so is one that is older than the estimate, as
        from a delayed reply. A reading below the clock at which the call was sent shows
        that the clock has stood still since the last reading, and replaces it.

        Parameters
        ----------
        sent_s : float
            Time at which the call was sent that the runner has answered.
        """
        if not clock_ms:
            return False
        delayed = clock_ms < self.least_clock_ms(now) - READING_TOLERANCE_MS
        stood_still = clock_ms < self.least_clock_ms(sent_s) - READING_TOLERANCE_MS
        if self.clock_ms and delayed and not stood_still:
            return False
        self.clock_ms = clock_ms
        self.clock_s = now
        return True

    def fits_clock(self, clock_ms, now, *, sent_s) -> bool:
        """Return whether a reading may be of the incarnation of the last one.

        The clock of an incarnation does not run backward, and not ahead of the time
        that has passed since the last reading was on its way.

        Parameters
        ----------
        sent_s : float
            Time at which the call was sent that the runner has answered.
        """
        if not (self.clock_ms and clock_ms):
            return True
        least_ms = self.clock_ms - READING_TOLERANCE_MS
        if sent_s >= self.clock_s and clock_ms < least_ms:
            return False
        elapsed_ms = (now - self.clock_s + READING_TRANSIT_S) * MS_PER_S
        return clock_ms <= self.clock_ms + elapsed_ms * (1 + CLOCK_DRIFT_FRACTION)

    def has_passed(self, until_ms, now) -> bool:
        """Return whether the runner's clock is certainly past a time and the margin.

        The margin is `EXPIRY_MARGIN_MS`.

        Parameters
        ----------
        until_ms : int
            Time on the clock of the runner.
        """
        return self.least_clock_ms(now) > until_ms + EXPIRY_MARGIN_MS

    def reserve(self, run):
        """Add a run and its reservation."""
        spec, step = run.task.spec, run.task.step
        self.runs[run.key] = run
        self.step_runs[step] = self.step_runs.get(step, 0) + 1
        # The start of a probe matters even if it reserves nothing.
        self.note_change()
        self.cpu += 0 if spec.opportunistic else spec.cpu
        self.memory_mb += spec.memory_mb
        self.gpus += spec.gpus

    def release(self, run) -> bool:
        """Remove a run and its reservation; return whether the runner had it."""
        if self.runs.pop(run.key, None) is None:
            return False
        spec, step = run.task.spec, run.task.step
        self.step_runs[step] -= 1
        if not self.step_runs[step]:
            del self.step_runs[step]
        self.note_change()
        self.cpu -= 0 if spec.opportunistic else spec.cpu
        self.memory_mb -= spec.memory_mb
        self.gpus -= spec.gpus
        return True

    def fits(self, spec) -> bool:
        """Return whether a task fits next to the current reservations."""
        capacity = self.entry.capacity
        cpu = 0 if spec.opportunistic else spec.cpu
        return (
            self.cpu + cpu <= capacity.cpu
            and self.memory_mb + spec.memory_mb <= capacity.memory_mb
            and self.gpus + spec.gpus <= capacity.gpus
        )

    def fits_when_empty(self, spec) -> bool:
        """Return whether a task would fit if the runner had no other runs."""
        cpu = 0 if spec.opportunistic else spec.cpu
        return self.entry.capacity.holds(cpu, spec.memory_mb, spec.gpus)

    @property
    def stays(self) -> bool:
        """Whether the runner is a part of the fleet and has not begun to leave."""
        return self.listed and not self.exited and not self.entry.draining

    def usable(self, now) -> bool:
        """Return whether new work may go to the runner."""
        return self.find_exclusion(now) is None

    def find_exclusion(self, now) -> Exclusion | None:
        """Return why no new work may go to the runner, None if it may.

        The registry entry has to be of the incarnation that answered last, since
        another one may have other labels and capacity; 0 stands for an entry of an
        unknown incarnation.
        """
        if self.exited or not self.listed:
            return Exclusion.GONE
        if self.entry.draining:
            return Exclusion.DRAINING
        if self.cordoned:
            return Exclusion.CORDONED
        same_incarnation = self.entry.incarnation in (0, self.incarnation)
        recorded = self.in_fleet_record and self.recorded_jobs is None
        known = self.inventoried and self.doubted_s is None
        if not (known and same_incarnation and recorded):
            return Exclusion.NOT_READY
        if self.lists_unknown_tasks:
            return Exclusion.UNKNOWN_TASKS
        paused = now < max(self.paused_until_s, self.quiet_until_s)
        return Exclusion.PAUSED if paused else None

    def next_change_s(self, now) -> float | None:
        """Return when the passage of time may make the runner usable.

        Returns None if something else has to change first.
        """
        starts_s = [run.started_s for run in self.runs.values()]
        health_s = self.health.next_change_s(now, starts_s)
        times_s = (self.paused_until_s, self.quiet_until_s, health_s)
        return min((at_s for at_s in times_s if at_s >= now), default=None)

    @property
    def free_cpu_fraction(self) -> float:
        """Fraction of the processor capacity that is not reserved."""
        capacity = self.entry.capacity.cpu or 1
        return 1 - self.cpu / capacity
