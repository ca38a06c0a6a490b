"""JSON and error responses of the HTTP interface."""

import math

import msgspec
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError

__all__ = ["failure_response", "fail", "json_response", "unwrap"]

DEFAULT_RETRY_AFTER_S = 1.0
MAX_DETAIL_LENGTH = 4_000

_ENCODER = msgspec.json.Encoder()


def json_response(value, *, status=200, headers=None) -> web.Response:
    """Return a JSON response of an `attrs` instance, mapping or list."""
    return web.Response(
        status=status,
        body=_ENCODER.encode(value),
        content_type="application/json",
        headers=headers,
    )


def failure_response(failure) -> web.Response:
    """Return the response to a failure, with status and outcome of `ERROR_TABLE`."""
    response = failure.response
    retry_after_s = failure.retry_after_s
    if response.retry and retry_after_s is None:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    headers = {}
    if retry_after_s is not None:
        headers["Retry-After"] = str(max(math.ceil(retry_after_s), 1))
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        headers["WWW-Authenticate"] = "Bearer"
    body = {
        "kind": failure.kind.value,
        "detail": failure.detail[:MAX_DETAIL_LENGTH],
        "outcome": response.outcome.value,
        "retry_after_s": retry_after_s,
    }
    return json_response(body, status=response.status, headers=headers)


def fail(kind, detail="", retry_after_s=None):
    """Raise a failure, which the error middleware turns into a response."""
    failure = Failure(kind=kind, detail=detail, retry_after_s=retry_after_s)
    raise WasabipaddleError(failure)


def unwrap(result):
    """Return the value of a result, or raise its failure as `fail` does."""
    if result.is_err():
        raise WasabipaddleError(result.unwrap_err())
    return result.unwrap()
