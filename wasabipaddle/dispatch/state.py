"""State shared by the components of the scheduler."""

import attrs

from wasabipaddle.dispatch.durations import Durations
from wasabipaddle.dispatch.fleet import NO_SUSPECTED_RUNS
from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.order import WorkOrder
from wasabipaddle.dispatch.orders import StopTask
from wasabipaddle.dispatch.quotas import Quotas
from wasabipaddle.dispatch.shares import Shares
from wasabipaddle.dispatch.speeds import Speeds
from wasabipaddle.jobs import CellConfiguration

__all__ = ["CellState", "Timing"]


@attrs.frozen(kw_only=True)
class Timing:
    """Time limits of the deployment.

    No decision uses `restore_s` and `remote_slowdown`.

    Parameters
    ----------
    lease_s : float
        Duration of the lease that an inventory grants.
    start_s : float
        Time after which an unanswered start order is void; also the duration of the
        first lease of the run.
    stop_s : float
        Longest time for a run to stop.
    lease_max_s : float
        Longest lease that a runner grants; it shortens a longer one to this.
    restore_s : float
        Time to resume from a checkpoint.
    remote_slowdown : float
        Factor by which a task takes longer away from its data.
    maintenance_s : float
        Time for which a machine is away for its maintenance.
    """

    lease_s: float = 4.0
    start_s: float = 2.5
    stop_s: float = 0.5
    lease_max_s: float = 6.0
    restore_s: float = 0.6
    remote_slowdown: float = 1.5
    maintenance_s: float = 2.0


@attrs.define(kw_only=True, eq=False)
class CellState:
    """Jobs, runners, and pending orders and writes.

    Parameters
    ----------
    timing : Timing
        Time limits of the deployment.
    journal : callable
        Called for each decision with the kind of the event and its fields.
    run_number_base : int
        Every run number assigned by this dispatcher is greater than this.
    configuration : CellConfiguration
        Current configuration.
    jobs, unfinished : dict of str to JobEntry
        All known jobs, and those without a final state, by identifier.
    runners : dict of str to RunnerState
        Runners by identifier.
    changed_runners : dict of str to None
        Runners that have changed since the last decision of placement, in the
        order of their changes.
    ready : dict
        Steps with tasks that wait for a run, by their keys.
    dirty : dict of str to JobEntry
        Jobs whose progress must be written.
    final_dirty : bool
        Whether `dirty` has had a job with a final state; reset by the writer.
    generation, written_generation : int
        Generation of the next write, and generation up to which all progress is
        durable.
    suspects : dict of str to float
        Runners that may hold runs of the previous dispatcher, with the time at which
        the leases that it granted have certainly expired; see `suspected_until_s`.
    suspected_runs : SuspectedRuns
        Jobs that may have runs on them, as of the beginning of the last plan.
    cordoned : frozenset of str
        Runners that get no new work as their machines await maintenance.
    capacity_exhausted, urgent_task_waiting : bool
        Whether the last plan lacked capacity for a task, and for an urgent task; gangs
        do not count.
    outbox : list
        Orders to send.
    scheduled : dict of str to int
        Index of the next occurrence of each scheduled job with occurrences left, by job
        identifier.
    proved_revision : int
        Revision of the latest write that the store has accepted from this dispatcher as
        the leader. It lies between the epochs of this and of the next leadership.
    wall_offset_s : float
        Unix time minus the monotonic time used in decisions.
    quotas : Quotas
        What the runs of each workspace hold.
    durations : Durations
        Learned durations of tasks.
    shares : Shares
        Ranks of the workspaces when there is too little room.
    speeds : Speeds
        Learned speeds of runners.
    order : WorkOrder
        Order of the waiting steps.
    """

    timing: Timing
    journal: object
    run_number_base: int = 0
    configuration: CellConfiguration = attrs.field(
        factory=lambda: CellConfiguration(version=0)
    )
    jobs: dict = attrs.field(factory=dict)
    unfinished: dict = attrs.field(factory=dict)
    runners: dict = attrs.field(factory=dict)
    changed_runners: dict = attrs.field(factory=dict)
    ready: dict = attrs.field(factory=dict)
    dirty: dict = attrs.field(factory=dict)
    final_dirty: bool = False
    generation: int = 1
    written_generation: int = 0
    suspects: dict = attrs.field(factory=dict)
    suspected_runs: object = NO_SUSPECTED_RUNS
    cordoned: frozenset = frozenset()
    capacity_exhausted: bool = False
    urgent_task_waiting: bool = False
    outbox: list = attrs.field(factory=list)
    scheduled: dict = attrs.field(factory=dict)
    proved_revision: int = 0
    wall_offset_s: float = 0.0
    quotas: Quotas = attrs.field(init=False)
    durations: Durations = attrs.field(factory=Durations)
    shares: Shares = attrs.field(init=False)
    speeds: Speeds = attrs.field(init=False)
    order: WorkOrder = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.quotas = Quotas(state=self)
        self.shares = Shares(state=self)
        self.speeds = Speeds(state=self)
        self.order = WorkOrder(state=self)

    def note_write(self, revision):
        """Note that the store has accepted a write of this dispatcher as the leader."""
        self.proved_revision = max(self.proved_revision, revision)

    def suspected_until_s(self, runner_id) -> float:
        """Return when nothing can run any more on a suspect runner that stays silent.

        All that runs on a runner has the same lease, which this dispatcher may have
        extended as well.
        """
        runner = self.runners.get(runner_id)
        until_s = self.suspects[runner_id]
        return until_s if runner is None else max(until_s, runner.lease_expiry_s)

    def add_run(self, run):
        """Add a run that may exist from now on, with its reservation."""
        run.runner.reserve(run)
        run.task.runs.append(run)
        self.quotas.take(run)
        self.shares.take(run)
        self.order.take(run)
        self.unqueue_task(run.task)

    def discard_run(self, run):
        """Remove a run that does not exist any more, and its reservation."""
        if run.runner.release(run):
            self.quotas.release(run)
            self.shares.release(run)
            self.order.release(run)
        if run in run.task.runs:
            run.task.runs.remove(run)

    def queue_task(self, task, now):
        """Add a task to those that wait for a run."""
        task.waiting_since_s = now
        step = task.step
        step.pending[task.id] = task
        self.ready[step.key] = step

    def unqueue_task(self, task):
        """Remove a task from those that wait for a run."""
        step = task.step
        step.pending.pop(task.id, None)
        if not step.pending:
            self.ready.pop(step.key, None)

    def mark_dirty(self, job):
        """Schedule a write of the progress of a job."""
        self.dirty[job.id] = job
        job.write_generation = self.generation
        self.final_dirty |= job.phase.final

    def is_durable(self, job) -> bool:
        """Return whether the store has all progress of a job."""
        return job.write_generation <= self.written_generation

    def take_dirty(self):
        """Remove and return the jobs to write, with the generation of the write."""
        jobs, self.dirty = list(self.dirty.values()), {}
        generation = self.generation
        self.generation += 1
        return jobs, generation

    def stop_run(self, run, now):
        """Queue an order to stop a run, even if a stop order was sent before."""
        if run.phase is not RunPhase.DOUBTFUL:
            run.phase = RunPhase.STOPPING
        run.stop_sent_s = now
        order = StopTask(runner=run.runner, task=run.task.id, number=run.number)
        self.outbox.append(order)
