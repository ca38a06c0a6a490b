"""Messages about where a job would go now, without a submission of it."""

import enum

import attrs

from wasabipaddle.exceptions import Failure
from wasabipaddle.jobs import Job, JobPhase
from wasabipaddle.jobs.checks import find_job_problem

__all__ = [
    "AskPlacement",
    "AskWhere",
    "Candidate",
    "Exclusion",
    "PlacementReply",
    "StepPlacement",
    "WaitReason",
    "WhereReply",
    "WorkspaceUse",
]


class Exclusion(enum.Enum):
    """Why a runner gets no task of a step now."""

    GONE = "gone"
    DRAINING = "draining"
    CORDONED = "cordoned"
    NOT_READY = "not_ready"
    UNKNOWN_TASKS = "unknown_tasks"
    PAUSED = "paused"
    QUARANTINED = "quarantined"
    LABEL = "label"
    TOO_SMALL = "too_small"
    NO_ROOM = "no_room"
    RESERVED = "reserved"
    AWAITS_REPLIES = "awaits_replies"


class WaitReason(enum.Enum):
    """Why a step starts no task, or not all of its tasks, now.

    `TRUNCATED` says that the answer stops at its largest number of tasks.
    """

    NONE = "none"
    QUOTA = "quota"
    ADVICE = "advice"
    ROOM = "room"
    REPLIES = "replies"
    NO_RUNNER = "no_runner"
    NOT_GRANTING = "not_granting"
    TRUNCATED = "truncated"


def _check_job(instance, attribute, job):
    """Raise `ValueError` for a job that cannot be planned."""
    problem = find_job_problem(job)
    if problem:
        raise ValueError(problem)


@attrs.frozen(kw_only=True)
class AskWhere:
    """Asks any process of a cell where a job would go now.

    Parameters
    ----------
    body : bytes
        Body with which a caller would submit the job.
    queue : str
        Name of the queue; empty if `host` and `path` select it.
    host, path : str
        Host and path of the request that would submit the job.
    workspace : str
        Name of the workspace for which the call would act.
    """

    body: bytes
    queue: str = ""
    host: str = ""
    path: str = ""
    workspace: str = ""


@attrs.frozen(kw_only=True)
class AskPlacement:
    """Asks the leader where a job would go now; it does not become known there."""

    job: Job = attrs.field(validator=_check_job)


@attrs.frozen(kw_only=True)
class WorkspaceUse:
    """What a workspace holds, and its share.

    Parameters
    ----------
    name : str
        Name of the workspace.
    quota_used : float
        Largest part of a quota that its runs may hold.
    held, share : float
        Dominant share that it holds, and fair share, as parts of the fleet.
    """

    name: str
    quota_used: float = 0.0
    held: float = 0.0
    share: float = 0.0


@attrs.frozen(kw_only=True)
class Candidate:
    """A runner of the pool, as seen for the first waiting task of a step.

    Parameters
    ----------
    runner : str
        Identifier of the runner.
    score : float
        Score of the runner for the task.
    speed : float
        Expected speed relative to a usual runner.
    free_cpu : int
        Processors that are not reserved, in thousandths of a core.
    exclusion : Exclusion or None
        Why the runner gets no task now, None if it may.
    """

    runner: str
    score: float
    speed: float
    free_cpu: int
    exclusion: Exclusion | None = None


@attrs.frozen(kw_only=True)
class StepPlacement:
    """Where the tasks of a step would go.

    Parameters
    ----------
    step, tasks : int
        Position of the step in the job, and number of its tasks.
    place, ahead : int
        Number of waiting steps that go before it in the whole cell and in its pool.
    level : int
        Priority, one more for work that will be late.
    in_excess : bool
        Whether the workspace would exceed its rate with the job.
    share_level : int
        Level of the workspace by its share.
    outlook : str
        Whether the job can end in time, late, or too late to be of use.
    starts : dict of str to int
        Number of tasks that start now by runner, in the order of the starts.
    waits_for : WaitReason
        Why other tasks of the step do not start now.
    asked : tuple of str
        Runners that a request to the eligibility service would name.
    preempts_on : str
        Runner on which runs would be stopped for the step if it waited for room; empty
        if there is none.
    preempted : int
        Number of these runs.
    start_s, end_s : float or None
        Expected time until the first start and until the end of the job; None if they
        are not known.
    candidates : tuple of Candidate
        Best runners of the pool, those that may get a task first.
    excluded : dict of str to int
        Number of runners of the pool by `Exclusion`.
    """

    step: int
    tasks: int
    place: int
    ahead: int
    level: int
    in_excess: bool
    share_level: int
    outlook: str
    starts: dict[str, int] = attrs.field(factory=dict)
    waits_for: WaitReason = WaitReason.NONE
    asked: tuple[str, ...] = ()
    preempts_on: str = ""
    preempted: int = 0
    start_s: float | None = None
    end_s: float | None = None
    candidates: tuple[Candidate, ...] = ()
    excluded: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class PlacementReply:
    """Answer of the leader to `AskPlacement`.

    Parameters
    ----------
    phase : JobPhase or None
        Phase of a job that exists already; all other fields are unset then.
    objective_s : float
        Time in which the job should end.
    workspace : WorkspaceUse or None
        Use by the workspace of the job, None without one.
    steps : tuple of StepPlacement
        Steps that would wait for a run at once.
    later_steps : int
        Number of the other steps.
    configuration : int
        Version of the configuration by which the leader answers.
    """

    phase: JobPhase | None = None
    objective_s: float = 0.0
    workspace: WorkspaceUse | None = None
    steps: tuple[StepPlacement, ...] = ()
    later_steps: int = 0
    configuration: int = 0


@attrs.frozen(kw_only=True)
class WhereReply:
    """Answer to `AskWhere`.

    Parameters
    ----------
    process, leader : str
        Names of the process that was asked and of the leader that it asked.
    queue, pool : str
        Queue of the job and its pool.
    refusal : Failure or None
        With what the process would refuse the job, None if it would accept it.
    placement : PlacementReply
        Where the leader would place the job, accepted or not.
    """

    process: str
    leader: str
    queue: str
    pool: str
    refusal: Failure | None = None
    placement: PlacementReply = attrs.field(factory=PlacementReply)
