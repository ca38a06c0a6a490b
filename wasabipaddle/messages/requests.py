"""Messages that carry requests and their answers."""

from collections.abc import AsyncIterator

import attrs

__all__ = ["ForwardReply", "ForwardRequest", "RouteRequest", "RoutedAnswer"]


@attrs.frozen(kw_only=True)
class RouteRequest:
    """A request that was validated by the API, for admission and routing.

    Parameters
    ----------
    request : str
        Request id, unique in the cell.
    caller : str
        Name of the caller, for rate limits and the timeline.
    deadline : float
        Event-loop time, in seconds, after which the caller no longer waits.
    """

    request: str
    service: str
    caller: str
    body: bytes
    deadline: float


@attrs.frozen(kw_only=True)
class RoutedAnswer:
    """Answer to a `RouteRequest`, which is streamed to the caller.

    Parameters
    ----------
    length : int
        Number of body bytes.
    chunks : AsyncIterator of bytes
        Body. It raises `WasabipaddleError` if the answer is truncated or damaged; the
        connection of the caller is then aborted.
    """

    request: str
    length: int
    digest: str
    chunks: AsyncIterator[bytes]


@attrs.frozen(kw_only=True)
class ForwardRequest:
    """A request that is forwarded to another data centre.

    Parameters
    ----------
    deadline_s : float
        Time left until the answer must be complete.
    """

    sender: str
    request: str
    service: str
    caller: str
    deadline_s: float
    body: bytes


@attrs.frozen(kw_only=True)
class ForwardReply:
    """Complete answer to a forwarded request."""

    request: str
    body: bytes
