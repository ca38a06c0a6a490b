"""Messages between the tasks of one process."""

import asyncio

import attrs
from reactivex.subject import Subject
from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["Bus", "Envelope", "Mailbox"]

DEFAULT_MAILBOX_CAPACITY = 10_000


@attrs.frozen(kw_only=True)
class Envelope:
    """A message and the future of its reply, if the sender waits for one."""

    message: object
    reply: asyncio.Future | None = None

    def answer(self, result):
        """Resolve the reply with a `result`, unless the sender has given up."""
        if self.reply is not None and not self.reply.done():
            self.reply.set_result(result)


class Mailbox:
    """Bounded queue of envelopes, read by the one task that owns it.

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
    """Delivers messages to mailboxes and facts to subscribers.

    A message type has one owner, whose mailbox receives it. A fact (an event that
    has happened) may have any number of subscribers.
    """

    def __init__(self):
        self.mailboxes = {}
        self.subjects = {}

    def own(self, mailbox, *message_types):
        """Deliver messages of the given types to `mailbox`."""
        for message_type in message_types:
            if message_type in self.mailboxes:
                raise ValueError(f"{message_type.__name__} already has an owner")
            self.mailboxes[message_type] = mailbox

    def send(self, message) -> bool:
        """Deliver a message without a reply; return False if it was dropped."""
        mailbox = self.mailboxes.get(type(message))
        return mailbox is not None and mailbox.offer(Envelope(message=message))

    async def ask(self, message, *, timeout_s):
        """Deliver a message and wait for its reply.

        Returns
        -------
        result.Result
            The reply, or an `Err` of kind `internal`, `queue_full` or `timeout`.
        """
        mailbox = self.mailboxes.get(type(message))
        if mailbox is None:
            detail = f"no owner for {type(message).__name__}"
            return Err(Failure(kind=ErrorKind.INTERNAL, detail=detail))
        reply = asyncio.get_running_loop().create_future()
        if not mailbox.offer(Envelope(message=message, reply=reply)):
            return Err(Failure(kind=ErrorKind.QUEUE_FULL, detail="mailbox is full"))
        try:
            # wait_for of Python 3.11 loses a cancellation that meets the reply.
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            detail = f"no reply to {type(message).__name__} in {timeout_s} s"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))

    def facts(self, fact_type):
        """Return the observable of facts of one type."""
        return self.subjects.setdefault(fact_type, Subject())

    def publish(self, fact):
        """Emit a fact to its subscribers."""
        subject = self.subjects.get(type(fact))
        if subject is not None:
            subject.on_next(fact)
