"""Keys of the journal in the store, and creation and reading of its batches."""

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
        """Return the sequence number in a batch key."""
        return int(key.removeprefix(self.batches))


def snapshot_name(sequence, epoch, attempt) -> str:
    """Return the name of a snapshot, unique per attempt of a leader."""
    return f"{sequence:012d}-{epoch:06d}-{attempt:04d}"


def snapshot_epoch(name) -> int:
    """Return the epoch of the leader that wrote a snapshot."""
    return int(name.split("-")[1])


async def create_once(store, key, value, operation):
    """Create the key of a batch; if it exists, check that `operation` created it.

    Parameters
    ----------
    store : Store
        The platform's store.
    key : str
        Key of the batch.
    value : bytes
        Encoded batch.
    operation : str
        Identifier of the append, also contained in `value`.

    Returns
    -------
    result.Result
        An `Ok` if the key holds the batch of `operation`, or an `Err`: `stale_epoch`
        if it holds another batch or was deleted in the meantime,
        `timeout` if the outcome is in doubt, `store_unavailable` or
        `store_throttled` if this call definitely did not create the key.
    """
    result = await store.put(key, value, expected_revision=0)
    if result.is_ok():
        return Ok(None)
    if result.unwrap_err().kind is not ErrorKind.REVISION_MISMATCH:
        return result
    found = await was_created_by(store, key, operation)
    if found.is_ok() and not found.unwrap():
        detail = f"{key} was deleted before it could be read back"
        return Err(Failure(kind=ErrorKind.STALE_EPOCH, detail=detail))
    return found


async def was_created_by(store, key, operation):
    """Return whether a key exists and was created by `operation`.

    Returns
    -------
    result.Result
        True if `operation` created the key, False if the key does not exist, or an
        `Err`: `stale_epoch` if another operation created the key, `timeout` if the
        store could not be read.
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
    detail = f"{key} was written by another leader"
    return Err(Failure(kind=ErrorKind.STALE_EPOCH, detail=detail))


class LogReader:
    """Reads batches in order of their sequence numbers.

    Parameters
    ----------
    store : Store
        The platform's store.
    keys : JournalKeys
        Keys of the shard.

    Attributes
    ----------
    last_key : str
        Key of the last batch read, empty before the first.
    """

    def __init__(self, *, store, keys):
        self.store = store
        self.keys = keys
        self.last_key = ""

    async def read(self):
        """Read the batches that were appended since the last successful call.

        Returns
        -------
        result.Result
            List of (sequence, `Batch`) pairs, or the failure of the store.
        """
        batches = []
        after = self.last_key
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
                self.last_key = after
                return Ok(batches)
            after = page.next_after
