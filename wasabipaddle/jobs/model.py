"""Jobs and their steps as callers submit them."""

import enum
import functools
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
        """Whether the job can no longer change."""
        return self in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)


class TaskId(typing.NamedTuple):
    """Identity of one task.

    Parameters
    ----------
    job : str
        Identifier of the job.
    occurrence : int
        Index of the occurrence of a scheduled job; 0 if the job has no schedule.
    step : int
        Index of the step in the job.
    index : int
        Index of the task in its step.
    """

    job: str
    occurrence: int
    step: int
    index: int


@attrs.frozen(kw_only=True)
class StepSpec:
    """Number and requirements of the tasks of one step.

    Parameters
    ----------
    count : int
        Number of tasks.
    cpu, memory_mb, gpus : int
        Resources reserved for each task; `cpu` in thousandths of a core.
    estimate_s : float
        Estimated duration of a task; it may be off by a factor of several.
    after : tuple of int
        Indexes of the steps that must have completed before this one starts.
    gang : bool
        Whether all tasks must run at the same time.
    same_rack : bool
        Whether the tasks are slower if they are spread over several racks.
    required_label, preferred_rack : str
        Label that a runner must have, and rack near the data. If empty, there is no
        such requirement or preference.
    max_per_runner : int
        Largest number of the step's tasks, in one occurrence, on one runner; 0 for no
        limit.
    speculative : bool
        Whether a task may have several runs in parallel.
    lasting : bool
        Whether the tasks run until the job is cancelled, as services do.
    checkpoints : bool
        Whether the tasks save their progress.
    image : str
        Image that the tasks run; tasks of the same image behave alike.
    target_latency_ms : int
        Target for the tail latency of a task that serves users; 0 if it serves none.
    opportunistic : bool
        Whether the tasks use processors that others leave idle, instead of a
        reservation.
    disruption_allowance : int
        Number of tasks of a lasting step that may be stopped by the system at the same
        time; -1 for no limit.
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
    """Content of a job as submitted by a caller.

    Parameters
    ----------
    payload : str
        Text passed to every task.
    steps : tuple of StepSpec
        Steps of the job.
    occurrences : int
        Number of times that all steps run.
    first_due_ms, interval_ms : int
        Due time of the first occurrence in Unix milliseconds, and interval between
        occurrences; both 0 for a job without a schedule.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 1
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def scheduled(self) -> bool:
        """Whether the job has a schedule.

        Earlier versions stored jobs with several occurrences and no times; all of these
        occurrences are due at once.
        """
        return self.occurrences > 1 or self.interval_ms > 0 or self.first_due_ms > 0

    @functools.cached_property
    def tails_s(self) -> tuple[float, ...]:
        """Estimated duration, by step, of the longest chain of steps after it."""
        tails = [0.0] * len(self.steps)
        for position in range(len(self.steps) - 1, -1, -1):
            step = self.steps[position]
            for n in step.after:
                tails[n] = max(tails[n], step.estimate_s + tails[position])
        return tuple(tails)

    @functools.cached_property
    def chain_s(self) -> float:
        """Estimated duration of the longest chain of steps."""
        ends = (s.estimate_s + t for s, t in zip(self.steps, self.tails_s, strict=True))
        return max(ends, default=0.0)

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
        Queue at the time of acceptance, still used if it is removed later.
    accepted_ms : int
        Time of acceptance in Unix milliseconds.
    spec : JobSpec
        Content of the job.
    workspace : str
        Name of the workspace that submitted the job, empty if the cell has none or the
        queue is public.
    """

    id: str
    policy: Queue
    accepted_ms: int
    spec: JobSpec
    workspace: str = ""
