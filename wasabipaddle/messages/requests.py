"""Messages of the request path."""

from collections.abc import AsyncIterator

import attrs

__all__ = ["ForwardReply", "ForwardRequest", "RouteRequest", "RoutedAnswer"]


@attrs.frozen(kw_only=True)
class RouteRequest:
    """A request that the API has checked, for admission and routing.

    Parameters
    ----------
    request : str
        Request id, unique in the cell.
    caller : str
        Name of the caller for limits and the time line.
    deadline : float
        Loop time at which the caller no longer waits, in seconds.
    """

    request: str
    service: str
    caller: str
    body: bytes
    deadline: float


@attrs.frozen(kw_only=True)
class RoutedAnswer:
    """An answer on its way to the caller.

    Parameters
    ----------
    length : int
        Number of body bytes.
    chunks : AsyncIterator of bytes
        Body. It raises `WasabipaddleError` if the answer turns out not to be whole;
        the caller's connection is then aborted.
    """

    request: str
    length: int
    digest: str
    chunks: AsyncIterator[bytes]


@attrs.frozen(kw_only=True)
class ForwardRequest:
    """A request that another data centre should serve.

    Parameters
    ----------
    deadline_s : float
        Time left for the answer.
    """

    sender: str
    request: str
    service: str
    caller: str
    deadline_s: float
    body: bytes


@attrs.frozen(kw_only=True)
class ForwardReply:
    """Whole answer to a forwarded request."""

    request: str
    body: bytes
