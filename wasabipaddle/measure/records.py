"""Classes that describe the input of measures."""

import attrs

from wasabipaddle.documents import Resources, ServiceKind, TeamQuota, Urgency
from wasabipaddle.placement import Work

__all__ = [
    "DAY_S",
    "InputSpec",
    "Inputs",
    "Job",
    "ServiceProfile",
    "TaskTruth",
    "WorkerSpec",
]

DAY_S = 86_400.0


@attrs.frozen(kw_only=True)
class InputSpec:
    """Parameters of a generated input.

    Parameters
    ----------
    workers, accelerators : int
        Size of the fleet; a worker has eight accelerators or none.
    duration_s : float
        Period during which jobs arrive.
    load : float
        Mean true use of all jobs as a fraction of the fleet's capacity, in the
        scarcer of processor and memory.
    service_load, gang_load : float
        Parts of `load` that come from long-running services and from gangs.
    largest_gang : int
        Largest number of tasks of a gang.
    peak_starts_s : float or None
        Task starts per second at the peak; run times are scaled to reach `load`.
        If None, run times stay and the arrival rate is scaled instead.
    start_of_day_s : float
        Time of day at which the input starts; the peak is at noon.
    diurnal : float
        Amplitude of the daily curve, relative to the mean.
    declared_error : float
        Largest factor between declared and true mean use.
    usage_sigma : float
        Standard deviation of the logarithm of use among tasks of one service.
    growing : float
        Fraction of tasks whose use grows during the run, at most to double.
    median_run_s : float
        Median of the median run times of services, before they are scaled.
    impossible, poisoned : float
        Fractions of jobs that fit no worker, and of batch jobs whose tasks fail on
        every worker.
    bad_workers : float
        Fraction of workers on which every task fails.
    cancel_burst_every_s : float
        Mean time between bursts of cancellations; 0 for none.
    cancel_burst_jobs : int
        Number of most recent jobs that a burst cancels.
    urgencies : tuple of float
        Fractions of batch services that are urgent, normal and deferrable.
    """

    seed: int
    workers: int = 1000
    accelerators: int = 1400
    teams: int = 160
    services: int = 320
    duration_s: float = DAY_S
    load: float = 0.9
    service_load: float = 0.2
    gang_load: float = 0.1
    largest_gang: int = 64
    peak_starts_s: float | None = None
    start_of_day_s: float = 0.0
    diurnal: float = 0.2
    declared_error: float = 10.0
    usage_sigma: float = 0.25
    growing: float = 0.02
    median_run_s: float = 600.0
    impossible: float = 0.005
    poisoned: float = 0.005
    bad_workers: float = 0.01
    cancel_burst_every_s: float = 1800.0
    cancel_burst_jobs: int = 50
    urgencies: tuple[float, float, float] = (0.15, 0.5, 0.35)


@attrs.frozen(kw_only=True)
class WorkerSpec:
    """One worker.

    Parameters
    ----------
    bad : bool
        Whether the worker is faulty, so that every task fails on it.
    """

    name: str
    rack: str
    data_centre: str
    size: Resources
    bad: bool = False


@attrs.frozen(kw_only=True)
class ServiceProfile:
    """One service with its declaration and its true behaviour.

    Parameters
    ----------
    needs : Resources
        Declared needs of one task.
    true : Resources
        Mean true use of one task.
    median_run_s : float
        Median run time; infinite for long-running services.
    popularity : float
        Relative number of jobs; jobs per second after `set_rates`.
    mean_tasks : float
        Mean number of tasks of one job.
    """

    service: str
    team: str
    kind: ServiceKind
    urgency: Urgency
    needs: Resources
    true: Resources
    median_run_s: float
    run_sigma: float
    popularity: float
    mean_tasks: float
    weight: int = 1
    spread: bool = False


@attrs.frozen(kw_only=True)
class TaskTruth:
    """True behaviour of one task.

    Parameters
    ----------
    use : Resources
        Use when the task starts.
    run_s : float
        Run time without throttling; infinite for long-running services.
    growth : float
        Relative growth of use from the start to the end of the run.
    fails : bool
        Whether the task fails on every worker.
    """

    use: Resources
    run_s: float
    growth: float = 0.0
    fails: bool = False


@attrs.frozen(kw_only=True)
class Job:
    """One run and the true behaviour of its tasks.

    Parameters
    ----------
    impossible : bool
        Whether its task needs more than any VM has.
    cancel_at : float or None
        Time at which the caller cancels it.
    """

    at: float
    work: Work
    tasks: tuple[TaskTruth, ...]
    impossible: bool = False
    cancel_at: float | None = None


@attrs.frozen(kw_only=True)
class Inputs:
    """A generated input; jobs are ordered by arrival time."""

    spec: InputSpec
    workers: tuple[WorkerSpec, ...]
    quotas: tuple[TeamQuota, ...]
    profiles: tuple[ServiceProfile, ...]
    jobs: tuple[Job, ...]
    capacity: Resources
