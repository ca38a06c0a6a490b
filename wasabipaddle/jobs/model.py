"""Jobs as callers submit them."""

import enum
import typing

import attrs

from wasabipaddle.jobs.configuration import Queue

__all__ = ["Job", "JobPhase", "JobSpec", "StepSpec", "TaskId"]


class JobPhase(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job never changes again."""
        return self in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)


class TaskId(typing.NamedTuple):
    """Identity of one task.

    Parameters
    ----------
    job : str
        Identifier of the job.
    occurrence : int
        Occurrence of a scheduled job, 0 for other jobs.
    step : int
        Position of the step.
    index : int
        Position of the task in its step.
    """

    job: str
    occurrence: int
    step: int
    index: int


@attrs.frozen(kw_only=True)
class StepSpec:
    """Tasks of one step and what they need.

    Parameters
    ----------
    count : int
        Number of tasks.
    cpu, memory_mb, gpus : int
        Reservation of a task; `cpu` in thousandths of a core.
    estimate_s : float
        Rough duration of a task.
    after : tuple of int
        Steps whose tasks must all have completed.
    gang : bool
        Whether the tasks work only together.
    same_rack : bool
        Whether the tasks are slowed down on more than one rack.
    required_label, preferred_rack : str
        Label that the runner must have and rack of the data; empty for none.
    max_per_runner : int
        Largest number of tasks of one occurrence on a runner, 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    lasting : bool
        Whether the tasks run until the job is cancelled.
    checkpoints : bool
        Whether the tasks save their progress.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_latency_ms : int
        Largest tail latency of a task that serves users, 0 for none.
    opportunistic : bool
        Whether the tasks use capacity that others leave, without a reservation
        of processors.
    disruption_allowance : int
        Tasks of a lasting step that the system may take away at the same time; -1
        if the step has no such rule.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_runner: int = 0
    speculative: bool = False
    lasting: bool = False
    checkpoints: bool = False
    image: str = ""
    target_latency_ms: int = 0
    opportunistic: bool = False
    disruption_allowance: int = -1


@attrs.frozen(kw_only=True)
class JobSpec:
    """What a caller asks for.

    Parameters
    ----------
    payload : str
        Text that every task gets.
    steps : tuple of StepSpec
        Steps of the job.
    occurrences : int
        Number of times that the steps run.
    first_due_ms, interval_ms : int
        Due time of the first occurrence, in Unix milliseconds, and the time between
        two; both 0 for a job without a schedule.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 1
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def scheduled(self) -> bool:
        """Whether the job runs at given times."""
        return self.interval_ms > 0 or self.first_due_ms > 0

    @property
    def lasting(self) -> bool:
        """Whether any step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)


@attrs.frozen(kw_only=True)
class Job:
    """An accepted job.

    Parameters
    ----------
    id : str
        Identifier chosen by the caller.
    policy : Queue
        Queue at acceptance, which holds on when the queue is removed.
    accepted_ms : int
        Time of the acceptance, in Unix milliseconds.
    spec : JobSpec
        What the caller asks for.
    """

    id: str
    policy: Queue
    accepted_ms: int
    spec: JobSpec
