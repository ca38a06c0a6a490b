"""Messages about the idempotency keys of requests."""

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
    """Asks a member of the group of a key to record who runs the request.

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
    """Who holds the key at one member.

    Parameters
    ----------
    certain : bool
        Whether the member would know of an earlier claim.
    owner, request : str
        Process and request id of the first claim; empty if none is recorded.
    """

    certain: bool
    owner: str = ""
    request: str = ""


@attrs.frozen(kw_only=True)
class ReleaseKey:
    """Removes the claim of a request that was surely not run."""

    sender: str
    key: str
    request: str


@attrs.frozen(kw_only=True)
class QueryKept:
    """Asks the owner of a key how its request ended.

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
    """End of an earlier request, with its answer or its failure."""

    request: str
    body: bytes | None = None
    digest: str = ""
    failure: Failure | None = None


@attrs.frozen(kw_only=True)
class KeyRecord:
    """Claim of one key, as members copy it."""

    key: str
    owner: str
    request: str


@attrs.frozen(kw_only=True)
class KeyRecordsQuery:
    """Asks a member for the records that the sender should hold too.

    Parameters
    ----------
    after : str
        Last key of the previous page, empty for the first page.
    """

    sender: str
    after: str = ""


@attrs.frozen(kw_only=True)
class KeyRecordsPage:
    """Records in the order of their keys.

    Parameters
    ----------
    settled : bool
        Whether the member holds every record that it should hold.
    more : bool
        Whether there are records after the last one.
    """

    records: tuple[KeyRecord, ...]
    settled: bool
    more: bool
