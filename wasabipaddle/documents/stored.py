"""Encoding of service documents in the platform's store."""

import attrs
import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs.decoding import DECODING_ERRORS

__all__ = [
    "DOCUMENT_PREFIX",
    "HISTORY_PREFIX",
    "StoredDocument",
    "decode_stored",
    "document_key",
    "encode_stored",
    "history_key",
    "history_prefix",
]

DOCUMENT_PREFIX = "documents/"
HISTORY_PREFIX = "documents-history/"


@attrs.frozen(kw_only=True)
class StoredDocument:
    """Value of the key of a document.

    The key of a deleted document keeps a value without a text, so that a process that
    lists the store after an outage sees the deletion and its revision.

    Parameters
    ----------
    operation : str
        Id of the edit. If the response to a write is lost, the editor compares it to
        find out whether the write took effect.
    editor : str
        Team of the operator who made the edit.
    team : str
        Team that owns the document.
    text : str or None
        YAML text, None if the document was deleted.
    """

    operation: str
    editor: str
    team: str
    text: str | None


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(StoredDocument)


def encode_stored(stored) -> bytes:
    """Encode the value of a document key."""
    return _ENCODER.encode(stored)


def decode_stored(value) -> Result[StoredDocument, Failure]:
    """Decode the value of a document key."""
    try:
        return Ok(_DECODER.decode(value))
    except DECODING_ERRORS as error:
        detail = f"the stored document cannot be decoded: {error}"
        return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT, detail=detail))


def document_key(service) -> str:
    """Return the key of the document of a service."""
    return f"{DOCUMENT_PREFIX}{service}"


def history_prefix(service) -> str:
    """Return the prefix of the keys of the earlier revisions of a document."""
    return f"{HISTORY_PREFIX}{service}/"


def history_key(service, revision) -> str:
    """Return the key of an earlier revision of a document.

    The revision is padded, so that the keys sort by revision.
    """
    return f"{history_prefix(service)}{revision:012d}"
