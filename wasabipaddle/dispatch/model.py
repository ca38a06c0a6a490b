"""In-memory state of jobs, steps and tasks in the dispatcher."""

import bisect

import attrs

from wasabipaddle.dispatch.eligibility import Eligibility
from wasabipaddle.dispatch.run import (
    COMPARED_PERCENT,
    RemovalReason,
    Run,
    RunPhase,
    show_id,
)
from wasabipaddle.dispatch.usual import COMPARED_RUNS, UsualDuration, median
from wasabipaddle.jobs import Job, JobPhase, Queue, StepSpec, TaskId

__all__ = [
    "COMPARED_PERCENT",
    "COMPARED_RUNS",
    "JobEntry",
    "RemovalReason",
    "Run",
    "RunPhase",
    "Step",
    "Task",
    "UsualDuration",
    "median",
]

# Shorter durations count as this one, to bound the speed ratio.
MIN_RUN_S = 0.01


@attrs.define(kw_only=True, eq=False)
class Task:
    """One task.

    Parameters
    ----------
    id : TaskId
        Identity.
    step : Step
        Step of the task.
    runs : list of Run
        Runs that may exist.
    completed : bool
        Whether a run has completed.
    failed_runs : set of int
        Numbers of the runs that failed. A set, not a count, because a runner may
        report the same end again to the next dispatcher.
    last_run : int
        Highest run number that counts as used; the next run gets a higher number.
    checkpoint : str
        Latest saved progress.
    avoided : set of str
        Runners on which a run of the task failed, stalled or was slow.
    given_up : bool
        Whether a run of the task was stopped because it stalled or was slow.
    waiting_since_s : float
        Time at which the task last began to wait for a run.
    gave_room, got_room : bool
        Whether a run of the task was stopped to give back lent room, and whether runs
        were stopped so that the task gets some.
    """

    id: TaskId
    step: "Step" = attrs.field(repr=False)
    runs: list = attrs.field(factory=list, repr=False)
    completed: bool = False
    failed_runs: set = attrs.field(factory=set)
    last_run: int = 0
    checkpoint: str = ""
    avoided: set = attrs.field(factory=set)
    given_up: bool = False
    waiting_since_s: float = 0.0
    gave_room: bool = False
    got_room: bool = False

    @property
    def spec(self) -> StepSpec:
        """Requirements of the task."""
        return self.step.spec


@attrs.define(kw_only=True, eq=False)
class Step:
    """One step in one occurrence of a job.

    Parameters
    ----------
    job : JobEntry
        Job of the step.
    occurrence, position : int
        Occurrence of the job and position of the step in it.
    spec : StepSpec
        Requirements of its tasks.
    tasks : list of Task
        Tasks by index.
    remaining : int
        Number of tasks that have not completed.
    opened : bool
        Whether its tasks may start, since all steps in `after` have completed.
    pending : dict of TaskId to Task
        Tasks that wait for a run.
    failed_on : set of str
        Runners on which tasks of the step failed.
    durations_s : list of float
        Durations of the runs that completed without a checkpoint, scaled to the usual
        speed of runners, in rising order.
    gang_failures : set of int
        Numbers of the runs of a gang that failed.
    eligibility : Eligibility
        Answers of the eligibility service, for queues that use it.
    has_waited_for_quota : bool
        Whether the step has ever waited for the quota of its workspace.

    Attributes
    ----------
    key : tuple of (str, int, int)
        Identity of the step: job, occurrence and position.
    """

    job: "JobEntry" = attrs.field(repr=show_id)
    occurrence: int
    position: int
    spec: StepSpec
    tasks: list = attrs.field(factory=list, repr=False)
    remaining: int = 0
    opened: bool = False
    pending: dict = attrs.field(factory=dict, repr=False)
    failed_on: set = attrs.field(factory=set)
    durations_s: list = attrs.field(factory=list)
    gang_failures: set = attrs.field(factory=set)
    eligibility: Eligibility = attrs.field(factory=Eligibility, repr=False)
    has_waited_for_quota: bool = False
    key: tuple = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        self.key = (self.job.id, self.occurrence, self.position)

    def record_duration(self, seconds, speed) -> float | None:
        """Record the duration of a run and return the speed that it has shown.

        Estimates may be off by a factor of several, so a run is compared with the
        median of its step. Returns None if too few runs have completed.

        Parameters
        ----------
        speed : float
            Expected speed of the runner, relative to the usual one.
        """
        bisect.insort(self.durations_s, seconds * speed)
        if len(self.durations_s) < COMPARED_RUNS:
            return None
        return median(self.durations_s) / max(seconds, MIN_RUN_S)

    def measure_usual_duration(self) -> "UsualDuration":
        """Return the usual duration of the runs, with a visit of all tasks."""
        if len(self.durations_s) >= COMPARED_RUNS:
            return UsualDuration(durations_s=self.durations_s)
        projected_s = {
            run: run.work_s()
            for task in self.tasks
            for run in task.runs
            if run.phase is RunPhase.RUNNING
            and not run.excluded_from_timing
            and run.percent >= COMPARED_PERCENT
        }
        durations_s = sorted([*projected_s.values(), *self.durations_s])
        return UsualDuration(durations_s=durations_s, projected_s=projected_s)


@attrs.define(kw_only=True, eq=False)
class JobEntry:
    """One accepted job.

    Parameters
    ----------
    job : Job
        Job as it was accepted.
    queue : Queue
        Queue in the current configuration, or its last known version if it was removed.
    phase : JobPhase
        Current state in memory.
    durable_phase : JobPhase
        State as of the last successful write to the store.
    steps : dict
        Steps by (occurrence, position).
    due_s, accepted_s : float
        Time objective for the end of the job, and time of its acceptance.
    objective_s : float
        Time from the acceptance to the objective.
    work_done : float
        Processor time of completed tasks, in core milliseconds.
    pools, durable_pools : set of str
        Pools, besides that of the queue at the acceptance, to which the queue has sent
        the job, and those of them that the store has. A successor waits for suspect
        runners of these pools only.
    recovered : bool
        Whether the job was accepted before this dispatcher took over.
    started : bool
        Whether any task is known to have started.
    in_excess : bool
        Whether the job exceeds the rate of its workspace.
    ended_ms : int
        Time of the end in Unix milliseconds, 0 before.
    write_generation : int
        Generation of the store write that makes the latest progress durable.
    """

    job: Job
    queue: Queue
    phase: JobPhase = JobPhase.QUEUED
    durable_phase: JobPhase = JobPhase.QUEUED
    steps: dict = attrs.field(factory=dict, repr=False)
    due_s: float = 0.0
    accepted_s: float = 0.0
    objective_s: float = 0.0
    work_done: float = 0.0
    pools: set = attrs.field(factory=set)
    durable_pools: set = attrs.field(factory=set)
    recovered: bool = False
    started: bool = False
    in_excess: bool = False
    ended_ms: int = 0
    write_generation: int = 0

    @property
    def id(self) -> str:
        """Identifier of the job."""
        return self.job.id

    def may_run_in(self, pool) -> bool:
        """Return whether tasks may be started in a pool."""
        return pool == self.job.policy.pool or pool in self.durable_pools

    @property
    def visible_phase(self) -> JobPhase:
        """State to report to callers: final only once it is durable."""
        if self.durable_phase.final:
            return self.durable_phase
        return JobPhase.RUNNING if self.started else JobPhase.QUEUED
