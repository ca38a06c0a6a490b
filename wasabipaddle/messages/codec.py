"""JSON codec for `attrs` classes."""

import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["decode", "encode"]

_ENCODER = msgspec.json.Encoder()
_DECODERS = {}


def encode(message) -> bytes:
    """Encode an `attrs` instance, or a list of them, as JSON."""
    return _ENCODER.encode(message)


def decode(data, message_type) -> Result[object, Failure]:
    """Decode and check JSON of one message type.

    Returns
    -------
    result.Result
        The message, or an `Err` of kind `invalid_request` that names the field.
    """
    decoder = _DECODERS.get(message_type)
    if decoder is None:
        decoder = _DECODERS[message_type] = msgspec.json.Decoder(message_type)
    try:
        return Ok(decoder.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=str(error)))
