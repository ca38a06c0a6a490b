"""Typed model of service documents."""

import enum

import attrs

__all__ = [
    "Placement",
    "Quota",
    "RequestPolicy",
    "Resources",
    "RunPolicy",
    "ServiceDocument",
    "ServiceKind",
    "Share",
    "TeamQuota",
    "Urgency",
]


class ServiceKind(enum.Enum):
    """Kind of work that a document describes."""

    REQUEST = "request"  # short requests, answered over the caller's connection
    SERVICE = "service"  # long-running tasks
    BATCH = "batch"  # independent tasks of limited duration
    GANG = "gang"  # tasks that must run at the same time


class Urgency(enum.Enum):
    """Urgency class; classes of a lower rank are served first."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"

    @property
    def rank(self) -> int:
        """Rank of the class, 0 for the most urgent."""
        return list(Urgency).index(self)


@attrs.frozen(kw_only=True)
class Resources:
    """Amounts of CPU, memory and accelerators.

    Parameters
    ----------
    cpu_milli : int
        Thousandths of a core.
    memory_mb : int
        Megabytes of memory.
    accelerators : int
        Whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other):
        return Resources(
            cpu_milli=self.cpu_milli + other.cpu_milli,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Resources(
            cpu_milli=self.cpu_milli - other.cpu_milli,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits(self, free) -> bool:
        """Return whether this amount is at most `free` in every dimension."""
        return (
            self.cpu_milli <= free.cpu_milli
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )


@attrs.frozen(kw_only=True)
class Quota:
    """Largest amounts that a service or team may hold at one time.

    Parameters
    ----------
    resources : Resources
        Resources of its running tasks.
    slots : int
        Endpoint slots of its requests in progress.
    """

    resources: Resources = Resources()
    slots: int = 0


@attrs.frozen(kw_only=True)
class TeamQuota:
    """Quota of one team."""

    team: str
    quota: Quota


@attrs.frozen(kw_only=True)
class Share:
    """Share of a service inside its urgency class.

    Parameters
    ----------
    weight : int
        Weight relative to the other services of the class.
    guaranteed : float
        Fraction of the endpoint pool, or of the workers for a service with runs, that
        other services cannot use; from 0 to 1.
    """

    weight: int = 1
    guaranteed: float = 0.0


@attrs.frozen(kw_only=True)
class Placement:
    """Constraints on where the tasks and requests of a service run.

    Parameters
    ----------
    regions, data_centres : tuple of str
        Allowed regions and data centres; empty for any.
    spread : bool
        Whether the tasks are spread over racks and data centres.
    pool : str
        Endpoint pool that serves the requests of the service.
    """

    regions: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    spread: bool = False
    pool: str = ""


@attrs.frozen(kw_only=True)
class RequestPolicy:
    """Policy for the requests of a service.

    Parameters
    ----------
    deadline_s : float
        Longest time from the receipt of a request to the end of its answer.
    idempotent : bool
        Whether a request may be sent again after a failure.
    retry_budget : float
        Largest number of retries, as a fraction of the number of requests.
    """

    deadline_s: float = 30.0
    idempotent: bool = False
    retry_budget: float = 0.1


@attrs.frozen(kw_only=True)
class RunPolicy:
    """Policy for the runs of a service.

    Parameters
    ----------
    tasks : int
        Number of tasks of one run.
    deadline_s : float
        Time after its acceptance within which a run should end; 0 for no deadline.
    expected_s : float
        Declared duration of one task; 0 if it is unknown or unbounded.
    max_attempts : int
        Largest number of attempts of one task, after which the run fails.
    max_preemptions : int
        Largest number of preemptions of one task.
    answer_retention_s : float
        Time for which the answer of an ended run is kept.
    """

    tasks: int = 1
    deadline_s: float = 0.0
    expected_s: float = 0.0
    max_attempts: int = 3
    max_preemptions: int = 3
    answer_retention_s: float = 86_400.0


@attrs.frozen(kw_only=True)
class ServiceDocument:
    """Declaration of one service by its team.

    Parameters
    ----------
    service : str
        Name of the service, unique in the cell.
    team : str
        Team that owns the service; only this team may edit the document.
    kind : ServiceKind
        Kind of work.
    urgency : Urgency
        Urgency class.
    needs : Resources
        Declared resources of one task.
    """

    service: str
    team: str
    kind: ServiceKind
    urgency: Urgency = Urgency.NORMAL
    needs: Resources = Resources()
    placement: Placement = Placement()
    share: Share = Share()
    quota: Quota = Quota()
    request: RequestPolicy = RequestPolicy()
    run: RunPolicy = RunPolicy()
