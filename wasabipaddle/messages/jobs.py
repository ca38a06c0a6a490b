"""Messages between the processes of a cell that schedules jobs."""

import attrs

from wasabipaddle.jobs import Job, JobPhase
from wasabipaddle.jobs.checks import find_job_problem

__all__ = [
    "AdviceReply",
    "AskAdvice",
    "CancelJob",
    "ConfigurationCopy",
    "ExpectedWait",
    "HelloReply",
    "JobAccepted",
    "JobCancelled",
    "LeaderNotice",
    "LoadForecast",
    "MemberHello",
    "Noted",
    "PhaseReply",
    "QueryPhase",
    "StoreJob",
    "TakeOver",
]


def _check_job(instance, attribute, job):
    """Raise `ValueError` for a job that cannot be planned, as of another version."""
    problem = find_job_problem(job)
    if problem:
        raise ValueError(problem)


@attrs.frozen(kw_only=True)
class JobAccepted:
    """Tells the dispatcher that a job has been stored.

    Parameters
    ----------
    epoch : int
        Epoch of the leader when the job was stored, 0 if it is not known.
    """

    job: Job = attrs.field(validator=_check_job)
    epoch: int = 0


@attrs.frozen(kw_only=True)
class JobCancelled:
    """Tells the dispatcher that the cancellation of a job has been stored."""

    job: str


@attrs.frozen(kw_only=True)
class StoreJob:
    """Asks a peer to store a job, since the sender cannot reach the store.

    Parameters
    ----------
    known_revision : int
        Revision of the store up to which marks of refusals were set before the
        submission; 0 from processes of earlier versions.
    """

    job: Job = attrs.field(validator=_check_job)
    known_revision: int = 0


@attrs.frozen(kw_only=True)
class CancelJob:
    """Asks a peer to store a cancellation, since the sender cannot reach the store.

    Parameters
    ----------
    queue, workspace : str
        Names of the queue that the call selects and of the workspace for which it acts.
        Processes of earlier versions send neither, and so reach no job of a workspace.
    """

    job: str
    queue: str = ""
    workspace: str = ""


@attrs.frozen(kw_only=True)
class TakeOver:
    """Asks a peer to become leader in place of the sender, the leader of `epoch`."""

    epoch: int


@attrs.frozen(kw_only=True)
class Noted:
    """Acknowledges a message."""


@attrs.frozen(kw_only=True)
class QueryPhase:
    """Asks the dispatcher for the phase of a job."""

    job: str


@attrs.frozen(kw_only=True)
class PhaseReply:
    """Phase of a job; None if the dispatcher does not know the job.

    Parameters
    ----------
    queue : str
        Name of the queue that accepted the job.
    workspace : str or None
        Workspace of the job; None in replies of earlier versions.
    """

    phase: JobPhase | None = None
    queue: str = ""
    workspace: str | None = None


@attrs.frozen(kw_only=True)
class LeaderNotice:
    """Tells which process leads, for processes that cannot read it from the store.

    Parameters
    ----------
    process, address : str
        Name of the leader, and host and port of its internal listener.
    epoch : int
        Epoch of the leader; later leaders have higher epochs.
    """

    process: str
    address: str
    epoch: int


@attrs.frozen(kw_only=True)
class ConfigurationCopy:
    """Copy of the configuration in the store.

    Parameters
    ----------
    version, revision : int
        Version of the configuration, and store revision at which it was the latest.
    data : bytes
        Stored value, compressed with zlib.
    leader : LeaderNotice or None
        Latest leader that the sender knows of, for a receiver that knows no process.
    """

    version: int
    revision: int
    data: bytes
    leader: LeaderNotice | None = None


@attrs.frozen(kw_only=True)
class MemberHello:
    """Periodic message of a process to the dispatcher.

    Parameters
    ----------
    process, address : str
        Name of the process, and host and port of its internal listener.
    configuration : int
        Version of the process's current configuration.
    store_latency_s : float
        Recent latency of the store, as seen by the process.
    life : int
        Start time of the process, in Unix milliseconds.
    processor : float
        Processing power of the process, in cores of the usual speed.
    draining : bool
        Whether the process is shutting down and takes no more work from others.
    """

    process: str
    address: str
    configuration: int = 0
    store_latency_s: float = 0.0
    life: int = 0
    processor: float = 1.0
    draining: bool = False


@attrs.frozen(kw_only=True)
class ExpectedWait:
    """How long new jobs wait for room in a pool, or for the quota of a workspace.

    Parameters
    ----------
    pool : str
        Pool of the jobs.
    priority : int
        Priority of the jobs.
    workspace : str
        Workspace whose quota the jobs wait for, empty for the room of the pool.
    room : float
        Processors of the pool, or quota of the workspace, in thousandths of a core.
    work_weight : float
        Time by which the work of a job postpones it in the order, in seconds for each
        thousandth of a core and second.
    points : tuple of (float, float)
        Positions in the order, as the latest start of a job from now with that
        postponement, and the wait of jobs behind each, both rising.
    """

    pool: str
    priority: int
    workspace: str = ""
    room: float = 0.0
    work_weight: float = 0.0
    points: tuple[tuple[float, float], ...] = ()

    @property
    def longest_s(self) -> float:
        """Wait of the jobs that go last."""
        return self.points[-1][1] if self.points else 0.0

    def concerns(self, queue, workspace) -> bool:
        """Return whether new jobs of a workspace in a queue wait like this."""
        same_pool = self.pool == queue.pool and self.priority == queue.priority
        return same_pool and self.workspace in ("", workspace)

    def wait_s(self, latest_s, work) -> float:
        """Return the expected wait of a job.

        Parameters
        ----------
        latest_s : float
            Time from now until its latest start for an end in time.
        work : float
            Work of its first step, in thousandths of a core times seconds.
        """
        position_s = latest_s + self.work_weight * work
        return max((wait for at_s, wait in self.points if at_s < position_s), default=0)


@attrs.frozen(kw_only=True)
class LoadForecast:
    """Forecast of the dispatcher for new jobs.

    Parameters
    ----------
    age_s : float
        Age of the forecast when it was sent.
    waits : tuple of ExpectedWait
        Waits that are worth reporting; new jobs without one are expected to start soon.
    """

    age_s: float = 0.0
    waits: tuple[ExpectedWait, ...] = ()


@attrs.frozen(kw_only=True)
class HelloReply:
    """Reply of the dispatcher to a `MemberHello`.

    Parameters
    ----------
    configuration : int
        Version of the dispatcher's current configuration.
    waiting : dict of str to int
        Number of waiting jobs by queue; None while the dispatcher recovers.
    members : dict of str to str
        Addresses of the live processes by name.
    strongest : float
        Largest processing power among the live processes, in cores of the usual
        speed.
    leader : LeaderNotice or None
        Latest leader that the replying process knows of.
    configuration_age_s : float or None
        How long ago `configuration` certainly was the latest version, in seconds; None
        if that is not known.
    forecast : LoadForecast or None
        Forecast for new jobs; None while the dispatcher does not know enough.
    """

    configuration: int = 0
    waiting: dict[str, int] | None = None
    members: dict[str, str] = attrs.field(factory=dict)
    strongest: float = 0.0
    leader: LeaderNotice | None = None
    forecast: LoadForecast | None = None
    configuration_age_s: float | None = None


@attrs.frozen(kw_only=True)
class AskAdvice:
    """Asks a process to call the eligibility service over its own connection.

    The service handles the calls of one machine one at a time, so the dispatcher
    spreads its calls over the processes of the cell.
    """

    job: str
    occurrence: int
    step: int
    runners: list[str]
    timeout_s: float


@attrs.frozen(kw_only=True)
class AdviceReply:
    """Tickets by eligible runner.

    Parameters
    ----------
    valid_s : float
        How long the tickets are valid, counted from the response of the service.
    """

    tickets: dict[str, str]
    valid_s: float = 0.0
