"""JSON codec for `attrs` classes."""

import attrs
import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs.decoding import DECODING_ERRORS

__all__ = ["decode", "encode", "encode_sparse"]

_ENCODER = msgspec.json.Encoder()
_DECODERS = {}
_DEFAULTS = {}


def encode(message) -> bytes:
    """Encode an `attrs` instance, or a list of them, as JSON."""
    return _ENCODER.encode(message)


def encode_sparse(message) -> bytes:
    """Encode an `attrs` instance without the fields that have their default value.

    Most fields of periodic messages, such as heartbeats, have their default value.
    Fields whose default comes from a factory are always encoded.
    """
    defaults = _DEFAULTS.get(type(message))
    if defaults is None:
        fields = attrs.fields(type(message))
        defaults = _DEFAULTS[type(message)] = [(f.name, f.default) for f in fields]
    values = ((name, getattr(message, name), default) for name, default in defaults)
    return _ENCODER.encode(
        {n: value for n, value, default in values if value != default}
    )


def decode(data, message_type) -> Result[object, Failure]:
    """Decode JSON as a message type and check the types of its fields.

    Returns
    -------
    result.Result
        The message, or an `Err` of kind `invalid_request` whose detail says what is
        wrong.
    """
    decoder = _DECODERS.get(message_type)
    if decoder is None:
        decoder = _DECODERS[message_type] = msgspec.json.Decoder(message_type)
    try:
        return Ok(decoder.decode(data))
    except DECODING_ERRORS as error:
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=str(error)))
