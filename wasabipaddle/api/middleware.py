"""Middlewares for error responses, limits and shutdown."""

from absl import logging
from aiohttp import web

from wasabipaddle.api.cluster import HEALTH_PATHS
from wasabipaddle.api.responses import fail, failure_response
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError

__all__ = ["Middleware", "http_failure"]

HTTP_KINDS = {
    400: ErrorKind.INVALID_REQUEST,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.METHOD_NOT_ALLOWED,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
}
HEADER_OVERHEAD_BYTES = 4  # colon, space, carriage return and line feed


class Middleware:
    """Middlewares of the listener.

    Parameters
    ----------
    state : ApiState
        Shared objects of the routes.

    Attributes
    ----------
    in_progress : int
        Number of calls whose handler has not returned.
    """

    def __init__(self, *, state):
        self.state = state
        self.in_progress = 0

    def all(self):
        """Return the middlewares, outermost first as `aiohttp` expects."""
        return [self.answer_errors, self.check_limits]

    @web.middleware
    async def answer_errors(self, request, handler):
        """Turn every error into a response with an `ErrorKind` and no stack trace."""
        self.in_progress += 1
        try:
            response = await handler(request)
        except WasabipaddleError as error:
            response = self._count_failure(error.failure)
        except web.HTTPException as error:
            response = self._count_failure(http_failure(error))
        except (ConnectionError, web.RequestPayloadError) as error:
            detail = f"connection lost or body malformed: {type(error).__name__}"
            response = self._count_failure(
                Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail)
            )
        except Exception:
            logging.exception("unexpected error in %s %s", request.method, request.path)
            response = self._count_failure(Failure(kind=ErrorKind.INTERNAL))
        finally:
            self.in_progress -= 1
        if self.state.readiness.shutting_down.is_set() and not response.prepared:
            response.force_close()
        return response

    @web.middleware
    async def check_limits(self, request, handler):
        """Refuse calls that exceed the limits, and new work during a shutdown."""
        request.protocol.request_arrived()
        if request.path in HEALTH_PATHS:
            return await handler(request)
        size = sum(
            len(n) + len(v) + HEADER_OVERHEAD_BYTES for n, v in request.raw_headers
        )
        if size > self.state.settings.max_header_bytes:
            allowed = self.state.settings.max_header_bytes
            fail(
                ErrorKind.HEADERS_TOO_LARGE,
                f"headers take {size} bytes (allowed: {allowed})",
            )
        wait_s = self.state.limits.take(self.state.auth.identify(request))
        if wait_s > 0:
            fail(ErrorKind.RATE_LIMITED, "too many calls from this caller", wait_s)
        if self.state.readiness.refuses_new_work and request.method != "GET":
            fail(ErrorKind.DRAINING, "this process is shutting down")
        return await handler(request)

    def _count_failure(self, failure):
        """Count a failure and return the response to it."""
        self.state.context.metrics.count(f"api.failed.{failure.kind.value}")
        return failure_response(failure)


def http_failure(error) -> Failure:
    """Return the `Failure` for an HTTP error that `aiohttp` raised."""
    kind = HTTP_KINDS.get(error.status)
    if kind is None:
        kind = ErrorKind.INTERNAL if error.status >= 500 else ErrorKind.INVALID_REQUEST
    return Failure(kind=kind, detail=error.reason or "")
