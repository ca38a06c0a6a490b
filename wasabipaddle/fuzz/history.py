"""Records of what callers and operators received, as input of the oracle."""

import attrs

from wasabipaddle.standins import LedgerRecord

__all__ = [
    "AppliedRevision",
    "Edit",
    "History",
    "EndpointDeparture",
    "ReachableInterval",
    "Request",
    "SubmittedRun",
]


@attrs.define(kw_only=True)
class Request:
    """Request with its answer.

    Parameters
    ----------
    request : str
        Identifier of the request.
    process : str
        Incarnation of the entry process that received the request.
    answer_bytes : int
        Expected length of the answer.
    idempotent : bool
        Whether the request may be executed more than once.
    result : result.Result or None
        Answer or failure that the caller received; None before that.
    stopped : bool
        Whether an undisturbed drain of the process ended before the answer.
    """

    request: str
    process: str
    answer_bytes: int
    idempotent: bool
    result: object = None
    stopped: bool = False


@attrs.define(kw_only=True)
class SubmittedRun:
    """Submitted run with the results of its submissions.

    Parameters
    ----------
    key : str
        Idempotency key of the submissions.
    tasks : int
        Number of tasks of the run.
    runs : set of str
        Identifiers of the runs that were accepted under this key.
    refusals : list of Failure
        Failures that were returned to submissions.
    waiting : int
        Number of submissions without a result so far.
    released : bool
        Whether the caller asked to cancel or stop the run.
    outcome : RunOutcome or None
        Outcome that the cell reported at the end; None if the run did not end.
    """

    key: str
    service: str
    tasks: int
    payload: str = ""
    runs: set = attrs.Factory(set)
    refusals: list = attrs.Factory(list)
    waiting: int = 0
    released: bool = False
    outcome: object = None


@attrs.frozen(kw_only=True)
class Edit:
    """Edit of a document that was reported to an operator as accepted."""

    service: str
    revision: int
    time_s: float


@attrs.frozen(kw_only=True)
class AppliedRevision:
    """Document revision that one incarnation of a process applied."""

    process: str
    service: str
    revision: int
    time_s: float


@attrs.frozen(kw_only=True)
class ReachableInterval:
    """Interval in which a process ran and could use the store without interruption."""

    process: str
    since_s: float
    until_s: float


@attrs.define(kw_only=True)
class EndpointDeparture:
    """Planned departure of an endpoint.

    Parameters
    ----------
    listed_s : float
        Time from which the VM list shows the departure.
    until_s : float
        Time at which the endpoint came back; infinite if it did not.
    """

    endpoint: str
    listed_s: float
    until_s: float = float("inf")


@attrs.define(kw_only=True)
class History:
    """Everything that the oracle needs to know about what a cell did.

    Parameters
    ----------
    ledger : LedgerRecord
        What the stand-ins executed.
    reaches : list of ReachableInterval
        Intervals in which processes could use the store.
    leaves : list of EndpointDeparture
        Planned departures of endpoints.
    revisions : dict of str to dict of str to int
        Revision of each document at the end, by process and by `store`.
    errors : list of str
        Unhandled exceptions of tasks.
    ended : bool
        Whether every fault was cleared and accepted work had time to end.
    """

    ledger: LedgerRecord
    requests: list[Request] = attrs.Factory(list)
    runs: list[SubmittedRun] = attrs.Factory(list)
    edits: list[Edit] = attrs.Factory(list)
    applied: list[AppliedRevision] = attrs.Factory(list)
    reaches: list[ReachableInterval] = attrs.Factory(list)
    leaves: list[EndpointDeparture] = attrs.Factory(list)
    revisions: dict[str, dict[str, int]] = attrs.Factory(dict)
    errors: list[str] = attrs.Factory(list)
    ended: bool = False
