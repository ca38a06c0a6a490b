"""Keys of the journal in the store, and calls with settled outcomes."""

import attrs
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.journal.codec import decode_batch

__all__ = ["JournalKeys", "LogReader", "create_once"]

PAGE_KEYS = 50


class JournalKeys:
    """Store keys of one shard.

    Parameters
    ----------
    shard : str
        Name of the shard.
    """

    def __init__(self, *, shard):
        self.batches = f"shards/{shard}/journal/"
        self.snapshots = f"shards/{shard}/snapshot/"

    def batch(self, sequence) -> str:
        """Return the key of one batch."""
        return f"{self.batches}{sequence:012d}"

    def part(self, name, index) -> str:
        """Return the key of one part of a snapshot."""
        return f"{self.snapshots}{name}/{index:04d}"

    def sequence(self, key) -> int:
        """Return the sequence of a batch key."""
        return int(key.removeprefix(self.batches))


def snapshot_name(sequence, epoch, attempt) -> str:
    """Return the name of a snapshot; no two attempts share one."""
    return f"{sequence:012d}-{epoch:06d}-{attempt:04d}"


def snapshot_epoch(name) -> int:
    """Return the epoch of the leader that wrote a snapshot."""
    return int(name.split("-")[1])


async def create_once(store, key, value, operation):
    """Create a key that must not exist, or find out who created it.

    Returns
    -------
    result.Result
        None, or an `Err`: `stale_epoch` if another operation holds the key,
        `timeout` if the outcome is in doubt, `store_unavailable` or
        `store_throttled` if the key was surely not created by this call.
    """
    result = await store.put(key, value, expected_revision=0)
    if result.is_ok():
        return Ok(None)
    if result.unwrap_err().kind is not ErrorKind.REVISION_MISMATCH:
        return result
    found = await find_operation(store, key, operation)
    if found.is_ok() and not found.unwrap():
        detail = f"{key} was deleted while it was read back"
        return Err(Failure(kind=ErrorKind.STALE_EPOCH, detail=detail))
    return found


async def find_operation(store, key, operation):
    """Return whether a key exists with `operation`.

    Returns
    -------
    result.Result
        True if it does, False if the key does not exist, an `Err` of kind
        `stale_epoch` if another operation holds it, or `timeout` if unknown.
    """
    result = await store.get(key)
    if result.is_err():
        failure = attrs.evolve(result.unwrap_err(), kind=ErrorKind.TIMEOUT)
        return Err(failure)
    entry = result.unwrap()
    if entry is None:
        return Ok(False)
    if decode_batch(entry.value).operation == operation:
        return Ok(True)
    detail = f"{key} belongs to another leader"
    return Err(Failure(kind=ErrorKind.STALE_EPOCH, detail=detail))


class LogReader:
    """Reads batches in order of their sequence.

    Parameters
    ----------
    store : Store
        The platform's store.
    keys : JournalKeys
        Keys of the shard.
    """

    def __init__(self, *, store, keys):
        self.store = store
        self.keys = keys
        self.after = ""

    async def read(self):
        """Read the batches that were added since the last call.

        Returns
        -------
        result.Result
            List of pairs of sequence and `Batch`, or the failure of the store.
        """
        batches = []
        after = self.after
        while True:
            result = await self.store.list(
                self.keys.batches, after=after, limit=PAGE_KEYS
            )
            if result.is_err():
                return result
            page = result.unwrap()
            for entry in page.entries:
                sequence = self.keys.sequence(entry.key)
                batches.append((sequence, decode_batch(entry.value)))
                after = entry.key
            if page.next_after is None:
                self.after = after
                return Ok(batches)
            after = page.next_after
