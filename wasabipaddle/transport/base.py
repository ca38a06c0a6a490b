"""Abstract base class of transports between entry processes."""

import abc

from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import decode, encode_sparse

__all__ = ["Transport"]


class Transport(abc.ABC):
    """Sends typed messages to peers and handles the messages of peers.

    Attributes
    ----------
    sent_bytes : dict of str to int
        Bytes of sent message bodies by message type, replies excluded.
    wire_bytes : dict of str to int
        Bytes sent and received by message type, for calls to peers and from peers,
        headers included. Only `HttpTransport` counts them.
    """

    def __init__(self):
        self.handlers = {}
        self.sent_bytes = {}
        self.wire_bytes = {}

    def handle(self, message_type, handler):
        """Register the handler of one message type.

        Parameters
        ----------
        message_type : type
            Class of the message.
        handler : callable
            Coroutine function from the message to a `result.Result` with the reply.
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
            The reply, or an `Err`: `unreachable` (definitely not delivered), `timeout`
            (delivery unknown), `invalid_request` or `internal` (the reply could not be
            decoded), or the failure with which the peer replied.
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
        return Ok(encode_sparse(reply.unwrap()))

    def count_body_bytes(self, message, size):
        """Add the body size of a sent message to the total of its message type."""
        name = type(message).__name__
        self.sent_bytes[name] = self.sent_bytes.get(name, 0) + size

    def count_wire_bytes(self, name, size):
        """Add bytes sent or received in a call to the total of message type `name`."""
        self.wire_bytes[name] = self.wire_bytes.get(name, 0) + size
