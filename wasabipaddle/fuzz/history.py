"""What callers and operators were told, for the oracle."""

import attrs

from wasabipaddle.standins import LedgerRecord

__all__ = ["Applied", "Edit", "History", "Leave", "Reach", "Request", "SubmittedRun"]


@attrs.define(kw_only=True)
class Request:
    """One request and its answer.

    Parameters
    ----------
    process : str
        Incarnation of the entry process that received it.
    idempotent : bool
        Whether it may run more than once.
    result : result.Result or None
        What the caller was told; None while it waits.
    stopped : bool
        Whether a planned stop of the process ended before the answer.
    """

    request: str
    process: str
    answer_bytes: int
    idempotent: bool
    result: object = None
    stopped: bool = False


@attrs.define(kw_only=True)
class SubmittedRun:
    """One run and what its caller was told.

    Parameters
    ----------
    runs : set of str
        Run ids that were answered to submissions with this key.
    refusals : list of Failure
        Answers other than an acceptance.
    waiting : int
        Submissions without an answer.
    released : bool
        Whether the caller asked to cancel or to stop it.
    outcome : RunOutcome or None
        Outcome that the system reported at the end.
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
    """An edit that an operator was told is accepted."""

    service: str
    revision: int
    time_s: float


@attrs.frozen(kw_only=True)
class Applied:
    """A revision that came into force in one incarnation of a process."""

    process: str
    service: str
    revision: int
    time_s: float


@attrs.frozen(kw_only=True)
class Reach:
    """An interval in which a process could be reached without a break."""

    process: str
    since_s: float
    until_s: float


@attrs.define(kw_only=True)
class Leave:
    """A planned departure of an endpoint.

    Parameters
    ----------
    listed_s : float
        Time from which the VM list shows it.
    until_s : float
        Time at which the endpoint came back.
    """

    endpoint: str
    listed_s: float
    until_s: float = float("inf")


@attrs.define(kw_only=True)
class History:
    """Input of the oracle.

    Parameters
    ----------
    ledger : LedgerRecord
        What the stand-ins executed.
    errors : list of str
        Exceptions that no task handled.
    ended : bool
        Whether every fault is over and the time for liveness has passed.
    """

    ledger: LedgerRecord
    requests: list[Request] = attrs.Factory(list)
    runs: list[SubmittedRun] = attrs.Factory(list)
    edits: list[Edit] = attrs.Factory(list)
    applied: list[Applied] = attrs.Factory(list)
    reaches: list[Reach] = attrs.Factory(list)
    leaves: list[Leave] = attrs.Factory(list)
    revisions: dict[str, dict[str, int]] = attrs.Factory(dict)
    errors: list[str] = attrs.Factory(list)
    ended: bool = False
