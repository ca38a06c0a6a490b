"""Watches of the store for jobs, cancellations and runners."""

import asyncio

from absl import logging

from wasabipaddle.cell.keys import CANCEL_PREFIX, INTAKE_PREFIX, JOB_PREFIX
from wasabipaddle.cell.watch import StoreWatch
from wasabipaddle.interfaces import Entry
from wasabipaddle.jobs import decode_job
from wasabipaddle.platform import REGISTRY_PREFIX, decode_runner

__all__ = ["IntakeWatcher", "RegistryWatcher"]

RETRY_S = 0.2
# Shortest time between two listings because of changes that could not be applied.
RELIST_PERIOD_S = 5.0
# Pauses between two calls of a watch, so that each call returns several changes. The
# longer pause is acceptable for jobs and cancellations because the process that stores
# one also notifies the dispatcher.
INTAKE_PAUSE_S = 0.5
REGISTRY_PAUSE_S = 0.1


class PrefixWatcher:
    """Lists a prefix and follows its changes; lists again if the watch fails.

    Parameters
    ----------
    store_plugin : CellStorePlugin
        Plugin that owns the client of the store.
    name, prefix : str
        Name of the watch in logs and metrics, and prefix of the keys.
    bound_s : float
        Time within which a change must take effect.
    pause_s : float
        Pause between two calls of the watch.
    """

    def __init__(self, *, store_plugin, name, prefix, bound_s, pause_s):
        self.watch = StoreWatch(
            store_plugin=store_plugin, name=name, prefix=prefix, bound_s=bound_s
        )
        self.unreadable = store_plugin.unreadable
        self.pause_s = pause_s
        self.failed = False
        self.relist_after_s = 0.0

    async def load(self):
        """List the prefix, with retries until the store responds."""
        while True:
            page = await self.watch.list()
            if page.is_ok():
                self.apply_listing(page.ok().entries)
                return
            await asyncio.sleep(RETRY_S)

    async def follow(self):
        """Follow changes until cancelled."""
        while True:
            if self.watch.revision is None:
                await self.load()
            batch = await self.watch.follow()
            if batch.is_err():
                await self.load()
                await asyncio.sleep(RETRY_S)
                continue
            for change in batch.ok().changes:
                self.attempt(self.apply_change, change)
            self._relist_after_failure()
            await asyncio.sleep(self.pause_s)

    def _relist_after_failure(self):
        now = self.watch.context.clock.now()
        if self.failed and now >= self.relist_after_s:
            self.failed = False
            self.relist_after_s = now + RELIST_PERIOD_S
            self.watch.revision = None

    def attempt(self, function, *args):
        """Call a function; after an error in it, the prefix is listed again.

        An entry that raises must not hide the others.
        """
        try:
            function(*args)
        except Exception:
            logging.exception("change under %s not applied", self.watch.prefix)
            self.failed = True

    def apply_listing(self, entries):
        """Apply a complete listing of the prefix."""
        raise NotImplementedError

    def apply_change(self, change):
        """Apply one change."""
        raise NotImplementedError


class IntakeWatcher(PrefixWatcher):
    """Watch of jobs and cancellations.

    Parameters
    ----------
    add_job, cancel : callable
        Called with a `Job`, and with the identifier of a cancelled job.
    """

    def __init__(self, *, store_plugin, add_job, cancel):
        bounds = store_plugin.context.settings.bounds
        super().__init__(
            store_plugin=store_plugin,
            name="intake",
            prefix=INTAKE_PREFIX,
            bound_s=bounds.cancel_s,
            pause_s=INTAKE_PAUSE_S,
        )
        self.add_job = add_job
        self.cancel = cancel

    def apply_listing(self, entries):
        """Add all jobs, then apply all cancellations, which need the jobs."""
        for entry in entries:
            if entry.key.startswith(JOB_PREFIX):
                self.attempt(self._add_job, entry)
        for entry in entries:
            if entry.key.startswith(CANCEL_PREFIX):
                self.attempt(self.cancel, entry.key.removeprefix(CANCEL_PREFIX))

    def apply_change(self, change):
        """Apply a job or cancellation that was written; removals are ignored."""
        if change.value is None:
            return
        if change.key.startswith(JOB_PREFIX):
            self._add_job(change)
        elif change.key.startswith(CANCEL_PREFIX):
            self.cancel(change.key.removeprefix(CANCEL_PREFIX))

    def _add_job(self, entry):
        job = decode_job(entry.value)
        if job is None or JOB_PREFIX + job.id != entry.key:
            self.unreadable.record("job", entry.key)
            return
        self.add_job(job)


class RegistryWatcher(PrefixWatcher):
    """Watch of the registered runners.

    Parameters
    ----------
    set_runner, mark_unlisted : callable
        Called with a `RunnerEntry`, and with the identifier of a runner that no longer
        has a readable entry.
    """

    def __init__(self, *, store_plugin, set_runner, mark_unlisted):
        bounds = store_plugin.context.settings.bounds
        super().__init__(
            store_plugin=store_plugin,
            name="registry",
            prefix=REGISTRY_PREFIX,
            bound_s=bounds.drain_s,
            pause_s=REGISTRY_PAUSE_S,
        )
        self.set_runner = set_runner
        self.mark_unlisted = mark_unlisted
        self.listed = set()

    def apply_listing(self, entries):
        """Apply all entries; mark the runners that no longer have one as unlisted."""
        before, self.listed = self.listed, set()
        for entry in entries:
            self.attempt(self._apply_entry, entry)
        for runner_id in before - self.listed:
            self.mark_unlisted(runner_id)

    def apply_change(self, change):
        """Apply an entry that was written or removed."""
        if change.value is not None:
            self._apply_entry(
                Entry(key=change.key, value=change.value, revision=change.revision)
            )
            return
        runner_id = change.key.removeprefix(REGISTRY_PREFIX)
        self.listed.discard(runner_id)
        self.mark_unlisted(runner_id)

    def _apply_entry(self, entry):
        """Pass the runner of a store entry to `set_runner`.

        If the entry is unreadable, a runner that was listed is marked as unlisted.
        """
        runner = decode_runner(entry)
        if runner is None:
            self.unreadable.record("registry", entry.key)
            runner_id = entry.key.removeprefix(REGISTRY_PREFIX)
            if runner_id in self.listed:
                self.listed.discard(runner_id)
                self.mark_unlisted(runner_id)
            return
        self.listed.add(runner.id)
        self.set_runner(runner)
