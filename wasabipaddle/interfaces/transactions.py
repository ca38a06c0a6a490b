"""Interface to a store with transactions on several keys."""

import abc

import attrs
from result import Ok, Result

from wasabipaddle.exceptions import Failure
from wasabipaddle.interfaces.store import Change, Page, Store

__all__ = ["Put", "TransactionalStore", "WatchBatch"]


@attrs.frozen(kw_only=True)
class Put:
    """One key to write.

    Parameters
    ----------
    key : str
        Key.
    value : bytes
        New value.
    lease : int
        Lease at whose end the key is deleted; 0 if the key has no lease.
    """

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen(kw_only=True)
class WatchBatch:
    """Changes under a prefix, and the revision from which to continue the watch."""

    changes: tuple[Change, ...]
    revision: int


class TransactionalStore(Store):
    """Store with transactions that may have conditions on several keys.

    Errors are those of `Store`: `store_unavailable` and `store_throttled` if the call
    certainly had no effect, `timeout` if it may have taken effect or may still do so,
    and `revision_mismatch` if a condition does not hold.
    """

    @abc.abstractmethod
    async def commit(
        self, *, conditions=(), puts=(), deletes=()
    ) -> Result[int, Failure]:
        """Apply all changes if all conditions hold, and return the new revision.

        Parameters
        ----------
        conditions : sequence of tuple of (str, int)
            Keys and the revisions that they must have; 0 if the key must not exist.
        puts : sequence of Put
            Keys to write.
        deletes : sequence of str
            Keys to delete.
        """

    @abc.abstractmethod
    async def follow(
        self, prefix, *, after_revision, wait_s
    ) -> Result[WatchBatch, Failure]:
        """Wait for changes like `watch`, and return the revision to continue from."""

    async def put(
        self, key, value, *, expected_revision=None, lease=None
    ) -> Result[int, Failure]:
        """Write one key and return its new revision."""
        conditions = () if expected_revision is None else ((key, expected_revision),)
        put = Put(key=key, value=value, lease=lease or 0)
        return await self.commit(conditions=conditions, puts=(put,))

    async def delete(self, key, *, expected_revision=None) -> Result[int, Failure]:
        """Delete one key and return the revision of the deletion."""
        conditions = () if expected_revision is None else ((key, expected_revision),)
        return await self.commit(conditions=conditions, deletes=(key,))

    async def watch(
        self, prefix, *, after_revision, wait_s
    ) -> Result[tuple[Change, ...], Failure]:
        """Wait for changes with a revision above `after_revision`."""
        batch = await self.follow(prefix, after_revision=after_revision, wait_s=wait_s)
        return batch.map(lambda b: b.changes)

    async def list_all(self, prefix) -> Result[Page, Failure]:
        """Read all pages of a prefix; the revision is that of the first page."""
        entries = []
        revision = None
        after = ""
        while after is not None:
            page = await self.list(prefix, after=after)
            if page.is_err():
                return page
            page = page.ok()
            entries.extend(page.entries)
            revision = page.revision if revision is None else revision
            after = page.next_after
        return Ok(Page(entries=tuple(entries), revision=revision))

    @property
    def connection_generation(self) -> int:
        """Number of times that the connections to the store have been replaced."""
        return 0

    def replace_connections(self, generation):
        """Use new connections for later calls, if those of `generation` are in use.

        Callers with time limits of their own report with it that a call has timed out.
        """

    @abc.abstractmethod
    async def end_lease(self, lease) -> Result[None, Failure]:
        """End a lease and delete its keys."""
