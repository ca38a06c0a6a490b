"""Interface to a store with transactions on several keys."""

import abc

import attrs
from result import Result

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

    @abc.abstractmethod
    async def list_all(self, prefix) -> Result[Page, Failure]:
        """Read all pages of a prefix; the revision is that of the first page."""

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
