"""Messages about jobs between the processes of a cell."""

import attrs

from wasabipaddle.jobs import Job, JobPhase

__all__ = [
    "AdviceReply",
    "AskAdvice",
    "CancelJob",
    "ConfigurationCopy",
    "HelloReply",
    "JobAccepted",
    "JobCancelled",
    "LeaderNotice",
    "MemberHello",
    "Noted",
    "PhaseReply",
    "QueryPhase",
    "StoreJob",
    "TakeOver",
]


@attrs.frozen(kw_only=True)
class JobAccepted:
    """A job has been stored."""

    job: Job


@attrs.frozen(kw_only=True)
class JobCancelled:
    """The cancellation of a job has been stored."""

    job: str


@attrs.frozen(kw_only=True)
class StoreJob:
    """Asks a peer to store a job, since the sender does not reach the store."""

    job: Job


@attrs.frozen(kw_only=True)
class CancelJob:
    """Asks a peer to store a cancellation."""

    job: str


@attrs.frozen(kw_only=True)
class TakeOver:
    """Asks a peer to lead, since the leader of `epoch` does not reach the store."""

    epoch: int


@attrs.frozen(kw_only=True)
class Noted:
    """The message was taken note of."""


@attrs.frozen(kw_only=True)
class QueryPhase:
    """Asks the dispatcher for the state of a job."""

    job: str


@attrs.frozen(kw_only=True)
class PhaseReply:
    """State of a job; None if the dispatcher does not know the job."""

    phase: JobPhase | None = None


@attrs.frozen(kw_only=True)
class ConfigurationCopy:
    """A configuration as the store has it.

    Parameters
    ----------
    version, revision : int
        Version of the configuration, and store revision up to which it is the latest.
    data : bytes
        Stored form, compressed with zlib.
    """

    version: int
    revision: int
    data: bytes


@attrs.frozen(kw_only=True)
class LeaderNotice:
    """Tells who leads, also those that do not reach the store.

    Parameters
    ----------
    process, address : str
        Leader, and host and port of its internal listener.
    epoch : int
        Epoch of its reign; a higher one is later.
    """

    process: str
    address: str
    epoch: int


@attrs.frozen(kw_only=True)
class MemberHello:
    """Sign of life of a process to the dispatcher.

    Parameters
    ----------
    process, address : str
        Name of the process, and host and port of its internal listener.
    configuration : int
        Version of the configuration in force there.
    store_latency_s : float
        Recent latency of the store.
    life : int
        Start of the process, in Unix milliseconds.
    processor : float
        Processing power of its VM, in cores.
    """

    process: str
    address: str
    configuration: int = 0
    store_latency_s: float = 0.0
    life: int = 0
    processor: float = 1.0


@attrs.frozen(kw_only=True)
class HelloReply:
    """What the dispatcher tells a process.

    Parameters
    ----------
    configuration : int
        Version of the configuration in force at the dispatcher.
    waiting : dict of str to int
        Jobs that wait, by queue; None while the dispatcher recovers.
    members : dict of str to str
        Addresses of the live processes by name.
    strongest : float
        Largest processing power among them, in cores.
    leader : LeaderNotice or None
        Latest leader that the process knows of.
    """

    configuration: int = 0
    waiting: dict[str, int] | None = None
    members: dict[str, str] = attrs.field(factory=dict)
    strongest: float = 0.0
    leader: LeaderNotice | None = None


@attrs.frozen(kw_only=True)
class AskAdvice:
    """Asks a process to call the eligibility service on its own line."""

    job: str
    occurrence: int
    step: int
    runners: list[str]
    timeout_s: float


@attrs.frozen(kw_only=True)
class AdviceReply:
    """Tickets by runner and how long they hold, counted from the answer."""

    tickets: dict[str, str]
    valid_s: float = 0.0
