"""Kinds of errors, and the table that maps each kind to its response."""

import enum

import attrs

__all__ = [
    "ERROR_TABLE",
    "ErrorResponse",
    "ErrorKind",
    "Failure",
    "Outcome",
    "WasabipaddleError",
]


class Outcome(enum.Enum):
    """What is known about the execution of work that was rejected or failed."""

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
    REQUEST_TIMEOUT = "request_timeout"
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
    STALE_CONFIGURATION = "stale_configuration"
    ACCEPTANCE_UNKNOWN = "acceptance_unknown"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_BROKEN = "answer_broken"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


@attrs.frozen(kw_only=True)
class ErrorResponse:
    """Response to one kind of error.

    Parameters
    ----------
    status : int
        HTTP status code.
    outcome : Outcome
        What the response states about the execution of the work.
    retry : bool
        Whether the same call may succeed later without changes.
    """

    status: int
    outcome: Outcome
    retry: bool


def _response(status, outcome=Outcome.NOT_RUN, *, retry=False):
    return ErrorResponse(status=status, outcome=outcome, retry=retry)


ERROR_TABLE = {
    ErrorKind.INVALID_REQUEST: _response(400),
    ErrorKind.INVALID_DOCUMENT: _response(422),
    ErrorKind.INVALID_SETTINGS: _response(422),
    ErrorKind.UNAUTHENTICATED: _response(401),
    ErrorKind.FORBIDDEN: _response(403),
    ErrorKind.NOT_FOUND: _response(404),
    ErrorKind.GONE: _response(410),
    ErrorKind.METHOD_NOT_ALLOWED: _response(405),
    ErrorKind.CONFLICT: _response(409),
    ErrorKind.IN_PROGRESS: _response(409, Outcome.UNKNOWN, retry=True),
    ErrorKind.REVISION_MISMATCH: _response(412),
    ErrorKind.PRECONDITION_REQUIRED: _response(428),
    ErrorKind.BODY_TOO_LARGE: _response(413),
    ErrorKind.HEADERS_TOO_LARGE: _response(431),
    ErrorKind.REQUEST_TIMEOUT: _response(408, retry=True),
    ErrorKind.RATE_LIMITED: _response(429, retry=True),
    ErrorKind.QUOTA_EXCEEDED: _response(429, retry=True),
    ErrorKind.QUEUE_FULL: _response(503, retry=True),
    ErrorKind.SHED: _response(503, retry=True),
    ErrorKind.DEADLINE_UNMEETABLE: _response(503, retry=True),
    ErrorKind.EXPIRED_IN_QUEUE: _response(504, retry=True),
    ErrorKind.IMPOSSIBLE: _response(422),
    ErrorKind.NO_CAPACITY: _response(503, retry=True),
    ErrorKind.NO_LEADER: _response(503, retry=True),
    ErrorKind.NOT_LEADER: _response(421, retry=True),
    ErrorKind.STALE_EPOCH: _response(409),
    ErrorKind.DRAINING: _response(503, retry=True),
    ErrorKind.STORE_UNAVAILABLE: _response(503, retry=True),
    ErrorKind.STORE_THROTTLED: _response(503, retry=True),
    ErrorKind.STALE_CONFIGURATION: _response(503, retry=True),
    ErrorKind.ACCEPTANCE_UNKNOWN: _response(503, Outcome.UNKNOWN, retry=True),
    ErrorKind.UNREACHABLE: _response(503, retry=True),
    ErrorKind.TIMEOUT: _response(504, Outcome.UNKNOWN, retry=True),
    ErrorKind.ENDPOINT_FAILED: _response(502, Outcome.RAN),
    ErrorKind.ANSWER_BROKEN: _response(502, Outcome.RAN),
    ErrorKind.OUTCOME_UNKNOWN: _response(504, Outcome.UNKNOWN),
    ErrorKind.INTERNAL: _response(500, Outcome.UNKNOWN),
}


@attrs.frozen(kw_only=True)
class Failure:
    """One error, carried as the `Err` value of a `result.Result`.

    Parameters
    ----------
    kind : ErrorKind
        The kind of error.
    detail : str
        Description for a person, in one line.
    retry_after_s : float or None
        Shortest delay after which a retry is useful, in seconds.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def response(self) -> ErrorResponse:
        """Response to this kind of error from `ERROR_TABLE`."""
        return ERROR_TABLE[self.kind]

    @property
    def outcome(self) -> Outcome:
        """What is known about the execution of the work."""
        return self.response.outcome


class WasabipaddleError(Exception):
    """Base class of the exceptions of the package.

    Parameters
    ----------
    failure : Failure
        The error as reported to a caller or operator.
    """

    def __init__(self, failure):
        super().__init__(f"{failure.kind.value}: {failure.detail}")
        self.failure = failure
