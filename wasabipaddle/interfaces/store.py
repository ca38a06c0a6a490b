"""Interface to the platform's key-value store."""

import abc

import attrs
from result import Result

from wasabipaddle.exceptions import Failure

__all__ = ["Change", "Entry", "Page", "Store"]

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen(kw_only=True)
class Entry:
    """One key with its value.

    Parameters
    ----------
    key : str
        Key.
    value : bytes
        Value of at most one megabyte.
    revision : int
        Store-wide revision of the last change of the key.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen(kw_only=True)
class Change:
    """One change seen by a watch; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen(kw_only=True)
class Page:
    """Part of a listing.

    Parameters
    ----------
    entries : tuple of Entry
        Entries in key order.
    revision : int
        Store revision at which the page was read.
    next_after : str or None
        Key after which the next page starts; None if this is the last page.
    """

    entries: tuple[Entry, ...]
    revision: int
    next_after: str | None = None


class Store(abc.ABC):
    """Client of the platform's key-value store.

    Every method returns an `Err` of kind `store_unavailable` if the call certainly had
    no effect, `timeout` if there was no response (a write may have taken effect), and
    `store_throttled` with `retry_after_s` if the rate limit of the store was exceeded.
    """

    @abc.abstractmethod
    async def get(self, key) -> Result[Entry | None, Failure]:
        """Read one key; None if it does not exist."""

    @abc.abstractmethod
    async def list(self, prefix, *, after="", limit=100) -> Result[Page, Failure]:
        """Read one page of the keys with `prefix`, in order, after the key `after`."""

    @abc.abstractmethod
    async def put(
        self, key, value, *, expected_revision=None, lease=None
    ) -> Result[int, Failure]:
        """Write one key and return its new revision.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New value.
        expected_revision : int or None
            Revision that the key must have, or 0 if it must not exist. If None, the
            write is unconditional.
        lease : str or None
            Store lease at whose expiry the key is deleted.

        Returns
        -------
        result.Result
            New revision, or an `Err` of kind `revision_mismatch`.
        """

    @abc.abstractmethod
    async def delete(self, key, *, expected_revision=None) -> Result[int, Failure]:
        """Delete one key and return the revision of the deletion."""

    @abc.abstractmethod
    async def watch(
        self, prefix, *, after_revision, wait_s
    ) -> Result[tuple[Change, ...], Failure]:
        """Wait up to `wait_s` for changes with a revision above `after_revision`.

        A watch counts as one read, however long it waits. The result is empty if
        nothing changes within `wait_s`. An `Err` of kind `revision_mismatch` means
        that the revision has been compacted and the prefix must be listed again.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s) -> Result[str, Failure]:
        """Create a store lease and return its id."""

    @abc.abstractmethod
    async def renew_lease(self, lease) -> Result[None, Failure]:
        """Extend a store lease; an `Err` of kind `not_found` means that it expired."""

    async def close(self):
        """Close the connections."""
