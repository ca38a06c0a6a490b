"""Bodies of requests for their handlers."""

from aiohttp import web
from result import Err, Ok

from wasabipaddle.ingress.protocol import Connection
from wasabipaddle.ingress.replies import (
    RefusedBodyError,
    busy_failure,
    malformed_failure,
)

__all__ = ["read_body"]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(request):
    """Return the body of a request in a `Result`, within the limits of its listener.

    The `Err` has the kind `body_too_large`, `queue_full`, `request_timeout` or, for
    malformed chunks, `invalid_request`; the body has then not been read whole. Requests
    of other servers than `IngressListener` are read as `aiohttp` does.
    """
    connection = getattr(request, "protocol", None)
    if not isinstance(connection, Connection):
        return Ok(await request.read())
    payload = request.content
    if payload is connection.refused_payload:
        return Err(connection.failure)
    if payload.is_eof():
        data = payload.read_nowait()
    else:
        _continue(connection, request)
        try:
            data = await _wait_for_body(connection, payload)
        except web.RequestPayloadError:
            connection.discarding = True
            payload.feed_eof()
            return Err(malformed_failure())
        if data is None:
            return Err(connection.failure)
    connection.cost.decode(data)
    return Ok(data) if connection.reserve() else Err(busy_failure())


def _continue(connection, request):
    """Tell a client that waits for it to send the body; applications do it too."""
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    in_application = isinstance(request, web.Request)
    if expects and not in_application and connection.transport is not None:
        connection.transport.write(CONTINUE)


async def _wait_for_body(connection, payload):
    """Return a body that is still arriving, or None if it is refused."""
    data = bytearray()
    connection.reading = True
    try:
        while piece := await payload.readany():
            data += piece
            connection.cost.framing = 0
    except RefusedBodyError:
        # The rest is discarded while the client reads the reply.
        payload._exception = None
        return None
    finally:
        connection.reading = False
    return bytes(data)
