"""Records and batches on their way into the journal."""

import asyncio

import attrs

__all__ = ["AppendAttempt", "QueuedRecord"]


@attrs.define(kw_only=True)
class QueuedRecord:
    """Record that waits for its batch, its encoded form, and the future result."""

    record: object
    data: bytes
    done: asyncio.Future


@attrs.define(kw_only=True)
class AppendAttempt:
    """Batch that is being written to the store.

    Parameters
    ----------
    in_doubt : bool
        Whether an earlier write of the batch may have created its key.
    """

    items: list
    operation: str
    value: bytes
    in_doubt: bool = False
