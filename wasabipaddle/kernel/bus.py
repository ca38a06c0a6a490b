"""Message bus between the tasks of one process."""

import asyncio

import attrs
from reactivex.subject import Subject
from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["Bus", "Envelope", "Mailbox"]

DEFAULT_MAILBOX_CAPACITY = 10_000


@attrs.frozen(kw_only=True)
class Envelope:
    """A message, and the future of its reply if the sender waits for one."""

    message: object
    reply: asyncio.Future | None = None

    def answer(self, result):
        """Resolve the reply with a `result.Result`, unless the sender has given up."""
        if self.reply is not None and not self.reply.done():
            self.reply.set_result(result)


class Mailbox:
    """Bounded queue of envelopes, read by the single task that owns it.

    Parameters
    ----------
    capacity : int
        Largest number of waiting envelopes.
    """

    def __init__(self, *, capacity=DEFAULT_MAILBOX_CAPACITY):
        self.queue = asyncio.Queue(maxsize=capacity)

    async def receive(self) -> Envelope:
        """Wait for the next envelope."""
        return await self.queue.get()

    def offer(self, envelope) -> bool:
        """Append an envelope; return False if the mailbox is full."""
        try:
            self.queue.put_nowait(envelope)
        except asyncio.QueueFull:
            return False
        return True


class Bus:
    """Delivers messages to mailboxes and events to subscribers.

    Each message type is delivered to exactly one mailbox, that of its owner. An event
    states what has happened; any number of subscribers receive it.
    """

    def __init__(self):
        self.mailboxes = {}
        self.subjects = {}

    def register(self, mailbox, *message_types):
        """Register `mailbox` as the receiver of the given message types."""
        for message_type in message_types:
            if message_type in self.mailboxes:
                raise ValueError(
                    f"message type {message_type.__name__} already has an owner"
                )
            self.mailboxes[message_type] = mailbox

    def send(self, message) -> bool:
        """Deliver a message that needs no reply; return False if it was dropped."""
        mailbox = self.mailboxes.get(type(message))
        return mailbox is not None and mailbox.offer(Envelope(message=message))

    async def ask(self, message, *, timeout_s):
        """Deliver a message and wait for its reply.

        Returns
        -------
        result.Result
            The reply, or an `Err`: `internal` if the message type has no owner,
            `queue_full` if the mailbox is full, or `timeout`.
        """
        mailbox = self.mailboxes.get(type(message))
        if mailbox is None:
            detail = f"message type {type(message).__name__} has no owner"
            return Err(Failure(kind=ErrorKind.INTERNAL, detail=detail))
        reply = asyncio.get_running_loop().create_future()
        if not mailbox.offer(Envelope(message=message, reply=reply)):
            return Err(Failure(kind=ErrorKind.QUEUE_FULL, detail="mailbox is full"))
        try:
            # asyncio.wait_for of Python 3.11 can lose a cancellation that coincides
            # with the reply.
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            detail = f"no reply to {type(message).__name__} within {timeout_s} s"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))

    def events(self, event_type):
        """Return the observable that emits the events of one type."""
        return self.subjects.setdefault(event_type, Subject())

    def publish(self, event):
        """Emit an event to the subscribers of its type."""
        subject = self.subjects.get(type(event))
        if subject is not None:
            subject.on_next(event)
