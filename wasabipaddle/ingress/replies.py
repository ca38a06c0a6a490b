"""Replies to clients that are refused before a request reaches its handler."""

import asyncio
import math

import attrs
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.ingress.limits import RequestLimits

__all__ = [
    "ListenerProfile",
    "RefusedBodyError",
    "RefusedConnection",
    "busy_failure",
    "failure_response",
    "malformed_failure",
    "raw_reply",
]

DEFAULT_LIMITS = RequestLimits()
RETRY_AFTER_S = 1.0
REASONS = {
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


def failure_response(failure) -> web.Response:
    """Return a response without a body to a request that was not read whole."""
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return web.Response(status=failure.response.status, headers=headers)


def _default_limits():
    return DEFAULT_LIMITS


@attrs.frozen(kw_only=True)
class ListenerProfile:
    """What a listener expects of its clients.

    Parameters
    ----------
    listener : str
        Name of the listener, which selects its part of the connections.
    find_limits : callable
        Returns the `RequestLimits` that apply to a request that begins now. It is
        called for each request.
    render : callable
        Returns the `web.Response` to a `Failure`.
    """

    listener: str
    find_limits: object = _default_limits
    render: object = failure_response


def raw_reply(response) -> bytes:
    """Return a response as bytes, for connections without a request."""
    body = response.body or b""
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Error')}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if "Content-Length" not in response.headers:
        lines.append(f"Content-Length: {len(body)}")
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


def busy_failure(detail="too many unfinished requests") -> Failure:
    """Return the failure of a request for which there is no room."""
    return Failure(
        kind=ErrorKind.QUEUE_FULL, detail=detail, retry_after_s=RETRY_AFTER_S
    )


def malformed_failure() -> Failure:
    """Return the failure of a request that is not valid HTTP."""
    detail = "the request is not valid HTTP"
    return Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail)


class RefusedBodyError(Exception):
    """Wakes a handler that waits for a body which has been refused."""


class RefusedConnection(asyncio.Protocol):
    """Connection above the limit, closed after a reply.

    Parameters
    ----------
    response : web.Response
        The reply.
    """

    def __init__(self, *, response):
        self.response = response

    def connection_made(self, transport):
        """Reply and close."""
        transport.write(raw_reply(self.response))
        transport.close()
