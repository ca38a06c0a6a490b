"""Confirmed appends to the journal on behalf of the shard leader."""

import asyncio

import attrs

from wasabipaddle.exceptions import ErrorKind

__all__ = ["Committed", "JournalCommits"]

RETRY_S = 1.0


@attrs.frozen(kw_only=True)
class Committed:
    """Result of an append, delivered to the mailbox of the shard leader.

    Parameters
    ----------
    result : result.Result
        As `Journal.append` returns it.
    action : callable
        Function of the result, run by the task of the shard leader.
    """

    result: object
    action: object


class JournalCommits:
    """Appends records and reports the results as messages.

    Parameters
    ----------
    journal : Journal
        Journal of the shard.
    notify : callable
        Receives `Committed`.
    """

    def __init__(self, *, journal, notify):
        self.journal = journal
        self.notify = notify
        self.tasks = set()

    @property
    def available(self) -> bool:
        """Whether the store takes appends at present."""
        return self.journal.available

    def once(self, record, action):
        """Append a record and call `action` with the result, whatever it is."""
        future = self.journal.submit(record)
        self._spawn(self._deliver(future, action))

    def until_done(self, record, action):
        """Append a record, again while the queue is full, then call `action`.

        Nothing is called if a later leader exists; that leader rebuilds the state.
        """
        self._spawn(self._repeat(record, action))

    async def close(self):
        """Stop waiting for results."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _deliver(self, future, action):
        result = await future
        self.notify(Committed(result=result, action=action))

    async def _repeat(self, record, action):
        while True:
            result = await self.journal.submit(record)
            if result.is_ok():
                self.notify(Committed(result=result, action=action))
                return
            if result.unwrap_err().kind is not ErrorKind.QUEUE_FULL:
                return
            await asyncio.sleep(RETRY_S)
