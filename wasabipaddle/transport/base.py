"""Abstract base class of calls between entry processes."""

import abc

from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import decode, encode

__all__ = ["Transport"]


class Transport(abc.ABC):
    """Sends typed messages to peers and serves the messages of peers.

    Attributes
    ----------
    sent_bytes : dict of str to int
        Bytes of sent bodies by message type.
    wire_bytes : dict of str to int
        Bytes sent and received by message type, in calls of both directions, headers
        included where the transport has any.
    """

    def __init__(self):
        self.handlers = {}
        self.sent_bytes = {}
        self.wire_bytes = {}

    def handle(self, message_type, handler):
        """Serve messages of one type.

        Parameters
        ----------
        message_type : type
            Class of the message.
        handler : callable
            Coroutine function from the message to a `result.Result`.
        """
        self.handlers[message_type.__name__] = (message_type, handler)

    @abc.abstractmethod
    async def call(
        self, peer, message, reply_type, *, timeout_s
    ) -> Result[object, Failure]:
        """Send a message to the process named `peer` and return its reply.

        Returns
        -------
        result.Result
            The reply, or an `Err`: `unreachable` (surely not delivered), `timeout`
            (unknown), or the failure that the peer answered.
        """

    async def serve(self, name, body) -> Result[bytes, Failure]:
        """Decode one message, run its handler and encode the reply."""
        entry = self.handlers.get(name)
        if entry is None:
            detail = f"no handler for {name}"
            return Err(Failure(kind=ErrorKind.NOT_FOUND, detail=detail))
        message_type, handler = entry
        message = decode(body, message_type)
        if message.is_err():
            return message
        reply = await handler(message.unwrap())
        if reply.is_err():
            return reply
        return Ok(encode(reply.unwrap()))

    def count_bytes(self, message, size):
        """Add the size of one call to the traffic of its message type."""
        name = type(message).__name__
        self.sent_bytes[name] = self.sent_bytes.get(name, 0) + size

    def count_wire(self, name, size):
        """Add bytes sent or received in a call of the message type `name`."""
        self.wire_bytes[name] = self.wire_bytes.get(name, 0) + size
