"""Encoding of journal batches and snapshot parts."""

import attrs
import msgspec

from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError
from wasabipaddle.journal.records import RECORD_TYPES
from wasabipaddle.messages import decode, encode

__all__ = ["Batch", "decode_batch", "encode_batch", "encode_record", "split"]


@attrs.frozen(kw_only=True)
class TaggedRecord:
    """One encoded record and the tag of its type."""

    tag: str
    body: msgspec.Raw


@attrs.frozen(kw_only=True)
class EncodedBatch:
    """Value of one journal batch key or snapshot part."""

    operation: str
    epoch: int
    records: tuple[TaggedRecord, ...]


@attrs.frozen(kw_only=True)
class Batch:
    """Records that were committed atomically under one key.

    Parameters
    ----------
    operation : str
        Identifier by which a writer recognises its own append. In a part of a
        snapshot it is the name of the snapshot.
    epoch : int
        Epoch of the writer.
    """

    operation: str
    epoch: int
    records: tuple


def encode_record(record) -> bytes:
    """Encode one record together with the tag of its type."""
    return encode(TaggedRecord(tag=record.tag, body=msgspec.Raw(encode(record))))


def encode_batch(operation, epoch, encoded_records) -> bytes:
    """Encode a batch from the outputs of `encode_record`."""
    head = f'{{"operation":"{operation}","epoch":{epoch},"records":['.encode()
    return head + b",".join(encoded_records) + b"]}"


def decode_batch(data) -> Batch:
    """Decode a batch.

    Raises
    ------
    WasabipaddleError
        If the value is not a batch of known records.
    """
    encoded = _unwrap(decode(data, EncodedBatch))
    return Batch(
        operation=encoded.operation,
        epoch=encoded.epoch,
        records=tuple(_decode_record(r) for r in encoded.records),
    )


def split(encoded_records, max_bytes):
    """Yield the encoded records in lists of at most `max_bytes` each.

    A record larger than `max_bytes` is yielded in a list of its own. If there are no
    records, one empty list is yielded.
    """
    part, size = [], 0
    for data in encoded_records:
        if part and size + len(data) + 1 > max_bytes:
            yield part
            part, size = [], 0
        part.append(data)
        size += len(data) + 1
    yield part


def _decode_record(tagged):
    record_type = RECORD_TYPES.get(tagged.tag)
    if record_type is None:
        detail = f"unknown journal record type {tagged.tag!r}"
        raise WasabipaddleError(Failure(kind=ErrorKind.INTERNAL, detail=detail))
    return _unwrap(decode(tagged.body, record_type))


def _unwrap(result):
    if result.is_err():
        raise WasabipaddleError(result.unwrap_err())
    return result.unwrap()
