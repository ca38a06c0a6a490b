"""Jobs, steps, tasks and runs in the memory of the dispatcher."""

import enum
import statistics

import attrs

from wasabipaddle.dispatch.eligibility import Eligibility
from wasabipaddle.jobs import Job, JobPhase, Queue, StepSpec, TaskId

__all__ = [
    "COMPARED_PERCENT",
    "COMPARED_RUNS",
    "JobEntry",
    "Run",
    "RunPhase",
    "Step",
    "Task",
]

# Runs of a step that are needed to tell how long its tasks usually take.
COMPARED_RUNS = 3
# Least progress that tells how long a run will take.
COMPARED_PERCENT = 10
SHORTEST_RUN_S = 0.01


class RunPhase(enum.Enum):
    """What is known of one run.

    DOUBTFUL is a start without an answer: the run may exist, or begin until its
    order is void.
    """

    STARTING = "starting"
    RUNNING = "running"
    DOUBTFUL = "doubtful"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of a task on a runner, which holds a reservation until it is gone.

    Parameters
    ----------
    task : Task
        Task that runs.
    number : int
        Number of the run.
    runner : RunnerState
        Where it runs.
    phase : RunPhase
        What is known of it.
    started_s : float
        Time of the order.
    start_before_ms : int
        Time on the runner's clock at which an unanswered order is void.
    confirmed_ms : int
        Clock of the runner when it confirmed the start, 0 before.
    percent : int
        Last known progress.
    progress_s : float
        Time at which the progress last changed.
    load : float
        Last reported load.
    pace : int
        Share of its speed that the task may use, in percent.
    stop_sent_s : float
        Time of the last order to stop, 0 for none.
    preempted : bool
        Whether it is stopped for the sake of other work.
    """

    task: "Task"
    number: int
    runner: object
    phase: RunPhase
    started_s: float
    start_before_ms: int = 0
    confirmed_ms: int = 0
    percent: int = 0
    progress_s: float = 0.0
    load: float = 0.0
    pace: int = 100
    stop_sent_s: float = 0.0
    preempted: bool = False

    @property
    def key(self):
        """Task and run number."""
        return (self.task.id, self.number)

    def projected_s(self) -> float:
        """Return the probable duration, by its progress if that tells enough."""
        if self.percent >= COMPARED_PERCENT and not self.task.checkpoint:
            return 100 * (self.progress_s - self.started_s) / self.percent
        durations_s = self.task.step.durations_s
        if len(durations_s) >= COMPARED_RUNS:
            return statistics.median(durations_s)
        return self.task.spec.estimate_s / (self.runner.health.speed or 1.0)


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
        Runs that failed; an end may be listed again to a successor, so a count would
        take it twice.
    last_run : int
        Highest run number used or seen.
    checkpoint : str
        Latest saved progress.
    avoided : set of str
        Runners on which a run failed.
    given_up : bool
        Whether a run was stopped because it stood still or was slow.
    waiting_s : float
        Since when the task has no run.
    """

    id: TaskId
    step: "Step"
    runs: list = attrs.field(factory=list)
    completed: bool = False
    failed_runs: set = attrs.field(factory=set)
    last_run: int = 0
    checkpoint: str = ""
    avoided: set = attrs.field(factory=set)
    given_up: bool = False
    waiting_s: float = 0.0

    @property
    def spec(self) -> StepSpec:
        """Needs of the task."""
        return self.step.spec


@attrs.define(kw_only=True, eq=False)
class Step:
    """Tasks of one step of one occurrence.

    Parameters
    ----------
    job : JobEntry
        Job of the step.
    occurrence, position : int
        Occurrence and place of the step.
    spec : StepSpec
        Needs of its tasks.
    tasks : list of Task
        Tasks in order.
    remaining : int
        Tasks that have not completed.
    opened : bool
        Whether its tasks may start.
    pending : dict
        Tasks that need a run.
    failed_on : set of str
        Runners on which tasks of the step failed.
    durations_s : list of float
        Durations of the runs that completed without an earlier checkpoint.
    gang_failures : set of int
        Runs of a gang that failed.
    eligibility : Eligibility
        Runners that may run the step, where a service decides that.
    """

    job: "JobEntry"
    occurrence: int
    position: int
    spec: StepSpec
    tasks: list = attrs.field(factory=list)
    remaining: int = 0
    opened: bool = False
    pending: dict = attrs.field(factory=dict)
    failed_on: set = attrs.field(factory=set)
    durations_s: list = attrs.field(factory=list)
    gang_failures: set = attrs.field(factory=set)
    eligibility: Eligibility = attrs.field(factory=Eligibility)

    def note_duration(self, seconds) -> float | None:
        """Note the duration of a run; return how many times faster it was than usual.

        Estimates may be off by a factor of several, so runs are compared with others
        of their step; None stands for too few of them.
        """
        self.durations_s.append(seconds)
        if len(self.durations_s) < COMPARED_RUNS:
            return None
        return statistics.median(self.durations_s) / max(seconds, SHORTEST_RUN_S)

    @property
    def key(self):
        """Job, occurrence and position."""
        return (self.job.id, self.occurrence, self.position)


@attrs.define(kw_only=True, eq=False)
class JobEntry:
    """One job.

    Parameters
    ----------
    job : Job
        Accepted job.
    queue : Queue
        Queue in force, or the last one known.
    phase : JobPhase
        State in memory.
    durable_phase : JobPhase
        State that the store has.
    steps : dict
        Steps by (occurrence, position).
    due_s : float
        Time of the objective.
    recovered : bool
        Whether the job was accepted before this dispatcher took over.
    started : bool
        Whether any task has started.
    write_generation : int
        Generation of the write that makes the latest progress durable.
    """

    job: Job
    queue: Queue
    phase: JobPhase = JobPhase.QUEUED
    durable_phase: JobPhase = JobPhase.QUEUED
    steps: dict = attrs.field(factory=dict)
    due_s: float = 0.0
    accepted_s: float = 0.0
    recovered: bool = False
    started: bool = False
    ended_ms: int = 0
    write_generation: int = 0

    @property
    def id(self) -> str:
        """Identifier of the job."""
        return self.job.id

    @property
    def shown_phase(self) -> JobPhase:
        """State that callers may be told: final only once it is durable."""
        if self.durable_phase.final:
            return self.durable_phase
        return JobPhase.RUNNING if self.started else JobPhase.QUEUED
