"""Results of the calls of callers."""

import attrs

__all__ = ["CallResult"]


@attrs.frozen(kw_only=True)
class CallResult:
    """Result of one call of a caller.

    Parameters
    ----------
    status : int
        HTTP status, 0 if there was no response.
    phase : JobPhase or None
        Phase of the job, if the response contains it.
    waiting : int or None
        Number of waiting jobs, if the response contains it.
    sent : bool
        Whether the request may have reached a process.
    detail : str
        Why there was no response.
    """

    status: int = 0
    phase: object = None
    waiting: int | None = None
    sent: bool = True
    detail: str = ""
