"""Callers that wait for a run to end."""

import attrs
from result import Ok

__all__ = ["Waiters"]


@attrs.frozen(kw_only=True, eq=False)
class _Waiter:
    entry: object
    envelope: object
    deadline: float


class Waiters:
    """Pending `WaitRun` operations by run."""

    def __init__(self):
        self.by_run = {}

    def add(self, entry, envelope, deadline):
        """Answer the envelope when the run ends, or at `deadline` (monotonic, s)."""
        waiter = _Waiter(entry=entry, envelope=envelope, deadline=deadline)
        self.by_run.setdefault(entry.run, []).append(waiter)

    def answer_ended(self, entry):
        """Answer every caller that waits for a run that has ended."""
        for waiter in self.by_run.pop(entry.run, ()):
            waiter.envelope.answer(Ok(entry.view()))

    def expire(self, now):
        """Answer the callers whose deadline has passed with the current state."""
        for run, waiters in list(self.by_run.items()):
            kept = []
            for waiter in waiters:
                if waiter.deadline <= now:
                    waiter.envelope.answer(Ok(waiter.entry.view()))
                else:
                    kept.append(waiter)
            if kept:
                self.by_run[run] = kept
            else:
                del self.by_run[run]

    def abandon(self, result):
        """Answer every waiting caller with `result`."""
        for waiters in self.by_run.values():
            for waiter in waiters:
                waiter.envelope.answer(result)
        self.by_run.clear()
