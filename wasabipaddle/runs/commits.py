"""Asynchronous appends to the journal on behalf of the shard leader."""

import asyncio

import attrs

from wasabipaddle.clock import cancel_and_wait
from wasabipaddle.exceptions import ErrorKind

__all__ = ["AppendFinished", "JournalCommits"]

RETRY_S = 1.0


@attrs.frozen(kw_only=True)
class AppendFinished:
    """Result of an append, sent to the mailbox of the shard leader.

    Parameters
    ----------
    result : result.Result
        Result as returned by `Journal.append`.
    on_result : callable
        Called with the result in the task of the shard leader.
    """

    result: object
    on_result: object


class JournalCommits:
    """Appends records without blocking and reports each result as a message.

    Parameters
    ----------
    journal : Journal
        Journal of the shard.
    notify : callable
        Receives `AppendFinished`.
    """

    def __init__(self, *, journal, notify):
        self.journal = journal
        self.notify = notify
        self.tasks = set()

    @property
    def available(self) -> bool:
        """Whether the store currently accepts appends."""
        return self.journal.available

    def append(self, record, on_result):
        """Append a record and call `on_result` with the result, `Ok` or `Err`."""
        future = self.journal.submit(record)
        self._spawn(self._report_result(future, on_result))

    def append_with_retry(self, record, on_result):
        """Append a record and call `on_result`; retry while the queue is full.

        `on_result` is not called after any other failure. Usually the journal is
        deposed or closed then, and the next leader rebuilds the state.
        """
        self._spawn(self._append_until_queued(record, on_result))

    async def close(self):
        """Cancel the appends in progress without reporting a result."""
        await cancel_and_wait(self.tasks)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _report_result(self, future, on_result):
        result = await future
        self.notify(AppendFinished(result=result, on_result=on_result))

    async def _append_until_queued(self, record, on_result):
        while True:
            result = await self.journal.submit(record)
            if result.is_ok():
                self.notify(AppendFinished(result=result, on_result=on_result))
                return
            if result.unwrap_err().kind is not ErrorKind.QUEUE_FULL:
                return
            await asyncio.sleep(RETRY_S)
