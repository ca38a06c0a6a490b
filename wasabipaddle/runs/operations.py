"""Operations of callers on the runs of a shard."""

from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.journal import RunCancelled, RunStopped
from wasabipaddle.messages import RunOutcome

__all__ = ["RunOperations"]


class RunOperations:
    """Answers queries about runs, and cancels and stops runs.

    Every operation takes a message and the envelope through which it answers.

    Parameters
    ----------
    table : RunTable
        Runs of the shard.
    lifecycle : RunLifecycle
        Ends runs.
    commits : JournalCommits
        Appends to the journal.
    waiters : Waiters
        Callers that wait for a run to end.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, table, lifecycle, commits, waiters, clock):
        self.table = table
        self.lifecycle = lifecycle
        self.commits = commits
        self.waiters = waiters
        self.clock = clock

    def query(self, message, envelope):
        """Answer with the current state of a run."""
        envelope.answer(self.view(message.run))

    def page(self, message, envelope):
        """Answer with a page of runs."""
        page = self.table.page(
            service=message.service, after=message.after, limit=message.limit
        )
        envelope.answer(Ok(page))

    def view(self, run):
        """Return the state of a run, or an `Err` of kind `not_found`."""
        entry = self.table.get(run)
        if entry is None:
            return Err(Failure(kind=ErrorKind.NOT_FOUND, detail=f"no run {run}"))
        return Ok(entry.view())

    def wait(self, message, envelope):
        """Answer when a run has ended or the requested wait time has passed."""
        entry = self.table.get(message.run)
        if entry is None or entry.ended or message.wait_s <= 0:
            envelope.answer(self.view(message.run))
            return
        self.waiters.add(entry, envelope, self.clock.now() + message.wait_s)

    def cancel(self, message, envelope):
        """Cancel a run; answer after the cancellation has been journalled."""
        entry = self.table.get(message.run)
        if entry is None or entry.ended:
            envelope.answer(self.view(message.run))
            return
        record = RunCancelled(run=entry.run, at_ms=self.clock.wall_ms())

        def on_result(result):
            if result.is_err():
                envelope.answer(result)
                return
            self.lifecycle.apply_finish(
                entry, RunOutcome.CANCELLED, record.at_ms, "cancelled on request"
            )
            self.lifecycle.record_outcome(entry)
            envelope.answer(Ok(entry.view()))

        self.commits.append(record, on_result)

    def stop(self, message, envelope):
        """Stop a run gracefully; answer after the stop has been journalled."""
        entry = self.table.get(message.run)
        if entry is None or entry.ended:
            envelope.answer(self.view(message.run))
            return
        record = RunStopped(
            run=entry.run, at_ms=self.clock.wall_ms(), grace_s=message.grace_s
        )

        def on_result(result):
            if result.is_err():
                envelope.answer(result)
                return
            entry.stopping = True
            self.lifecycle.withdraw(entry, grace_s=message.grace_s)
            self.lifecycle.finish_if_done(entry)
            envelope.answer(Ok(entry.view()))

        self.commits.append(record, on_result)
