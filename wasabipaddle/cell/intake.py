"""Watches by which the dispatcher learns of jobs, cancellations and runners."""

import asyncio

from wasabipaddle.cell.keys import CANCEL_PREFIX, INTAKE_PREFIX, JOB_PREFIX
from wasabipaddle.interfaces import Entry
from wasabipaddle.jobs import decode_job
from wasabipaddle.platform import REGISTRY_PREFIX, decode_runner

__all__ = ["Intake", "Registry"]

WATCH_WAIT_S = 8.0
RETRY_S = 0.2
# Changes are gathered, since each answer of a watch is a call; the processes that
# store a job or a cancellation tell the dispatcher of it directly.
INTAKE_PAUSE_S = 0.5
REGISTRY_PAUSE_S = 0.1


class PrefixWatcher:
    """Lists a prefix and follows its changes, listing again after a gap.

    Parameters
    ----------
    access : CellStorePlugin
        The store.
    prefix : str
        Prefix to follow.
    pause_s : float
        Time for which changes are gathered.
    """

    def __init__(self, *, access, prefix, pause_s):
        self.access = access
        self.prefix = prefix
        self.pause_s = pause_s
        self.revision = None

    async def load(self):
        """List the prefix until the store answers."""
        while True:
            page = await self.access.call(self.access.store.list_all(self.prefix))
            if page.is_ok():
                self.revision = page.ok().revision
                self.apply_listing(page.ok().entries)
                return
            await asyncio.sleep(RETRY_S)

    async def follow(self):
        """Follow changes for ever."""
        while True:
            if self.revision is None:
                await self.load()
            batch = await self.access.store.follow(
                self.prefix, after_revision=self.revision, wait_s=WATCH_WAIT_S
            )
            if batch.is_err():
                self.revision = None
                await asyncio.sleep(RETRY_S)
                continue
            self.revision = batch.ok().revision
            for change in batch.ok().changes:
                self.apply_change(change)
            await asyncio.sleep(self.pause_s)

    def apply_listing(self, entries):
        """Take a whole listing."""
        raise NotImplementedError

    def apply_change(self, change):
        """Take one change."""
        raise NotImplementedError


class Intake(PrefixWatcher):
    """Jobs and cancellations.

    Parameters
    ----------
    add_job, cancel : callable
        Take a `Job`, and the identifier of a cancelled job.
    """

    def __init__(self, *, access, add_job, cancel):
        super().__init__(access=access, prefix=INTAKE_PREFIX, pause_s=INTAKE_PAUSE_S)
        self.add_job = add_job
        self.cancel = cancel

    def apply_listing(self, entries):
        """Take all jobs, then all cancellations."""
        for entry in entries:
            if entry.key.startswith(JOB_PREFIX):
                self._add_job(entry.value)
        for entry in entries:
            if entry.key.startswith(CANCEL_PREFIX):
                self.cancel(entry.key.removeprefix(CANCEL_PREFIX))

    def apply_change(self, change):
        """Take a job or cancellation that was written."""
        if change.value is None:
            return
        if change.key.startswith(JOB_PREFIX):
            self._add_job(change.value)
        elif change.key.startswith(CANCEL_PREFIX):
            self.cancel(change.key.removeprefix(CANCEL_PREFIX))

    def _add_job(self, value):
        job = decode_job(value)
        if job is not None:
            self.add_job(job)


class Registry(PrefixWatcher):
    """Runners.

    Parameters
    ----------
    set_runner, drop_runner : callable
        Take a `RunnerEntry`, and the identity of a runner without an entry.
    """

    def __init__(self, *, access, set_runner, drop_runner):
        super().__init__(
            access=access, prefix=REGISTRY_PREFIX, pause_s=REGISTRY_PAUSE_S
        )
        self.set_runner = set_runner
        self.drop_runner = drop_runner
        self.listed = set()

    def apply_listing(self, entries):
        """Take all entries and drop the runners that have none."""
        before, self.listed = self.listed, set()
        for entry in entries:
            self._apply_entry(entry)
        for runner_id in before - self.listed:
            self.drop_runner(runner_id)

    def apply_change(self, change):
        """Take an entry that was written or removed."""
        if change.value is not None:
            self._apply_entry(
                Entry(key=change.key, value=change.value, revision=change.revision)
            )
            return
        runner_id = change.key.removeprefix(REGISTRY_PREFIX)
        self.listed.discard(runner_id)
        self.drop_runner(runner_id)

    def _apply_entry(self, entry):
        """Take an entry; one that names no runner leaves the last one in force."""
        runner = decode_runner(entry)
        if runner is None:
            self.listed.discard(entry.key.removeprefix(REGISTRY_PREFIX))
            self.drop_runner(entry.key.removeprefix(REGISTRY_PREFIX))
            return
        self.listed.add(runner.id)
        self.set_runner(runner)
