"""Messages that replicate the claims of idempotency keys of requests."""

import attrs

from wasabipaddle.exceptions import Failure

__all__ = [
    "ClaimKey",
    "ClaimReply",
    "KeptReply",
    "KeyRecord",
    "KeyRecordsPage",
    "KeyRecordsQuery",
    "QueryKept",
    "ReleaseKey",
]


@attrs.frozen(kw_only=True)
class ClaimKey:
    """Asks a member of the group of a key to record which process runs the request.

    Parameters
    ----------
    key : str
        Digest of caller, service and idempotency key.
    request : str
        Request id of the attempt.
    """

    sender: str
    key: str
    request: str


@attrs.frozen(kw_only=True)
class ClaimReply:
    """Claim of a key that one member has recorded.

    Parameters
    ----------
    certain : bool
        Whether the member is certain to know every earlier claim of the key.
    owner, request : str
        Process and request id of the first claim; empty if none is recorded.
    """

    certain: bool
    owner: str = ""
    request: str = ""


@attrs.frozen(kw_only=True)
class ReleaseKey:
    """Removes the claim of a request that was certainly not run."""

    sender: str
    key: str
    request: str


@attrs.frozen(kw_only=True)
class QueryKept:
    """Asks the owner of a key for the outcome of its request.

    Parameters
    ----------
    fingerprint : str
        Digest of the request body in hexadecimal digits.
    """

    sender: str
    key: str
    fingerprint: str


@attrs.frozen(kw_only=True)
class KeptReply:
    """Outcome of an earlier request: its answer or its failure."""

    request: str
    body: bytes | None = None
    digest: str = ""
    failure: Failure | None = None


@attrs.frozen(kw_only=True)
class KeyRecord:
    """Claim of one key, as copied between members."""

    key: str
    owner: str
    request: str


@attrs.frozen(kw_only=True)
class KeyRecordsQuery:
    """Asks a member for those of its records that the sender should hold as well.

    Parameters
    ----------
    after : str
        Last key of the previous page; an empty string requests the first page.
    """

    sender: str
    after: str = ""


@attrs.frozen(kw_only=True)
class KeyRecordsPage:
    """Page of records in the order of their keys.

    Parameters
    ----------
    settled : bool
        Whether the member holds every record that it should hold.
    more : bool
        Whether there are records after this page.
    """

    records: tuple[KeyRecord, ...]
    settled: bool
    more: bool
