"""Closed list of error kinds and the table from kind to answer."""

import enum

import attrs

__all__ = [
    "ERROR_TABLE",
    "ErrorAnswer",
    "ErrorKind",
    "Failure",
    "Outcome",
    "WasabipaddleError",
]


class Outcome(enum.Enum):
    """What is known about the execution of refused or failed work."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Every kind of error that the system reports."""

    INVALID_REQUEST = "invalid_request"
    INVALID_DOCUMENT = "invalid_document"
    INVALID_SETTINGS = "invalid_settings"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    GONE = "gone"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    CONFLICT = "conflict"
    IN_PROGRESS = "in_progress"
    REVISION_MISMATCH = "revision_mismatch"
    PRECONDITION_REQUIRED = "precondition_required"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    RATE_LIMITED = "rate_limited"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    EXPIRED_IN_QUEUE = "expired_in_queue"
    IMPOSSIBLE = "impossible"
    NO_CAPACITY = "no_capacity"
    NO_LEADER = "no_leader"
    NOT_LEADER = "not_leader"
    STALE_EPOCH = "stale_epoch"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_THROTTLED = "store_throttled"
    ACCEPTANCE_UNKNOWN = "acceptance_unknown"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_BROKEN = "answer_broken"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


@attrs.frozen(kw_only=True)
class ErrorAnswer:
    """How one kind of error is answered.

    Parameters
    ----------
    status : int
        HTTP status code.
    outcome : Outcome
        What the answer says about the execution of the work.
    retry : bool
        Whether the same call may succeed later without a change.
    """

    status: int
    outcome: Outcome
    retry: bool


def _answer(status, outcome=Outcome.NOT_RUN, *, retry=False):
    return ErrorAnswer(status=status, outcome=outcome, retry=retry)


ERROR_TABLE = {
    ErrorKind.INVALID_REQUEST: _answer(400),
    ErrorKind.INVALID_DOCUMENT: _answer(422),
    ErrorKind.INVALID_SETTINGS: _answer(422),
    ErrorKind.UNAUTHENTICATED: _answer(401),
    ErrorKind.FORBIDDEN: _answer(403),
    ErrorKind.NOT_FOUND: _answer(404),
    ErrorKind.GONE: _answer(410),
    ErrorKind.METHOD_NOT_ALLOWED: _answer(405),
    ErrorKind.CONFLICT: _answer(409),
    ErrorKind.IN_PROGRESS: _answer(409, Outcome.UNKNOWN, retry=True),
    ErrorKind.REVISION_MISMATCH: _answer(412),
    ErrorKind.PRECONDITION_REQUIRED: _answer(428),
    ErrorKind.BODY_TOO_LARGE: _answer(413),
    ErrorKind.HEADERS_TOO_LARGE: _answer(431),
    ErrorKind.RATE_LIMITED: _answer(429, retry=True),
    ErrorKind.QUOTA_EXCEEDED: _answer(429, retry=True),
    ErrorKind.QUEUE_FULL: _answer(503, retry=True),
    ErrorKind.SHED: _answer(503, retry=True),
    ErrorKind.DEADLINE_UNMEETABLE: _answer(503, retry=True),
    ErrorKind.EXPIRED_IN_QUEUE: _answer(504, retry=True),
    ErrorKind.IMPOSSIBLE: _answer(422),
    ErrorKind.NO_CAPACITY: _answer(503, retry=True),
    ErrorKind.NO_LEADER: _answer(503, retry=True),
    ErrorKind.NOT_LEADER: _answer(421, retry=True),
    ErrorKind.STALE_EPOCH: _answer(409),
    ErrorKind.DRAINING: _answer(503, retry=True),
    ErrorKind.STORE_UNAVAILABLE: _answer(503, retry=True),
    ErrorKind.STORE_THROTTLED: _answer(503, retry=True),
    ErrorKind.ACCEPTANCE_UNKNOWN: _answer(503, Outcome.UNKNOWN, retry=True),
    ErrorKind.UNREACHABLE: _answer(503, retry=True),
    ErrorKind.TIMEOUT: _answer(504, Outcome.UNKNOWN, retry=True),
    ErrorKind.ENDPOINT_FAILED: _answer(502, Outcome.RAN),
    ErrorKind.ANSWER_BROKEN: _answer(502, Outcome.RAN),
    ErrorKind.OUTCOME_UNKNOWN: _answer(504, Outcome.UNKNOWN),
    ErrorKind.INTERNAL: _answer(500, Outcome.UNKNOWN),
}


@attrs.frozen(kw_only=True)
class Failure:
    """One error of a listed kind, carried as the `Err` side of a result.

    Parameters
    ----------
    kind : ErrorKind
        The kind of error.
    detail : str
        One line for a person.
    retry_after_s : float or None
        Earliest time of a useful retry, in seconds from now.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """Answer that the table gives for the kind."""
        return ERROR_TABLE[self.kind]

    @property
    def outcome(self) -> Outcome:
        """What is known about the execution of the work."""
        return self.answer.outcome


class WasabipaddleError(Exception):
    """Base class of the exceptions of the package.

    Parameters
    ----------
    failure : Failure
        The error as it is reported to a caller or operator.
    """

    def __init__(self, failure):
        super().__init__(f"{failure.kind.value}: {failure.detail}")
        self.failure = failure
