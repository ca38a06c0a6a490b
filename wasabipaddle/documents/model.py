"""Typed model of a service document."""

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

    REQUEST = "request"  # short work answered on the caller's connection
    SERVICE = "service"  # long-running tasks
    BATCH = "batch"  # independent tasks that end
    GANG = "gang"  # tasks that must run at the same time


class Urgency(enum.Enum):
    """Urgency class; a lower rank goes first."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"

    @property
    def rank(self) -> int:
        """Position of the class, 0 for the most urgent."""
        return list(Urgency).index(self)


@attrs.frozen(kw_only=True)
class Resources:
    """Amounts of processor, memory and accelerators.

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
        Processor, memory and accelerators of its running tasks.
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
        Weight against the other services of the class.
    guaranteed : float
        Fraction of the pool that no other work can take, from 0 to 1.
    """

    weight: int = 1
    guaranteed: float = 0.0


@attrs.frozen(kw_only=True)
class Placement:
    """Where the tasks of a service may run.

    Parameters
    ----------
    regions, data_centres : tuple of str
        Allowed places; empty means any.
    spread : bool
        Whether tasks are spread over racks and data centres.
    pool : str
        Endpoint pool that serves the requests of the service.
    """

    regions: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    spread: bool = False
    pool: str = ""


@attrs.frozen(kw_only=True)
class RequestPolicy:
    """How requests of a service are handled.

    Parameters
    ----------
    deadline_s : float
        Longest time from receipt to the end of the answer.
    idempotent : bool
        Whether a request may be sent again after a failure.
    retry_budget : float
        Retries allowed, as a fraction of requests.
    """

    deadline_s: float = 30.0
    idempotent: bool = False
    retry_budget: float = 0.1


@attrs.frozen(kw_only=True)
class RunPolicy:
    """How runs of a service are handled.

    Parameters
    ----------
    tasks : int
        Number of tasks of one run.
    deadline_s : float
        Time after acceptance within which the run should end; 0 for none.
    expected_s : float
        Declared run time of one task; 0 for unknown or unbounded.
    max_attempts : int
        Attempts of one task before the run fails.
    max_preemptions : int
        Largest number of preemptions of one task.
    answer_retention_s : float
        How long the answer of an ended run is kept.
    """

    tasks: int = 1
    deadline_s: float = 0.0
    expected_s: float = 0.0
    max_attempts: int = 3
    max_preemptions: int = 3
    answer_retention_s: float = 86_400.0


@attrs.frozen(kw_only=True)
class ServiceDocument:
    """One service as its team declares it.

    Parameters
    ----------
    service : str
        Name of the service, unique in the cell.
    team : str
        Owner; only this team may edit the document.
    kind : ServiceKind
        Kind of work.
    urgency : Urgency
        Urgency class.
    needs : Resources
        Declared need of one task.
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
