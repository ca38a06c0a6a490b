"""Errors of decoders, and conversions that they share."""

import json

import msgspec
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = [
    "DECODING_ERRORS",
    "MAX_INTEGER",
    "decode_answer",
    "decode_json",
    "drop_null",
    "ignore_report",
    "integer",
    "number",
    "rounded",
    "text",
    "whole",
]

# What malformed data may raise in a decoder; deeply nested JSON raises RecursionError,
# and the conversion of a number that is too large OverflowError.
DECODING_ERRORS = (
    msgspec.MsgspecError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Largest magnitude of a number; JSON readers that use doubles keep it exactly.
MAX_INTEGER = 2**53 - 1
# Longest name of a runner, pool, label and the like; keys of the store are shorter.
MAX_TEXT_BYTES = 256
MAX_SHOWN = 40


def ignore_report(reason):
    """Discard the report of a part of a record that was left out."""


def decode_answer(decode, answer, *, name, kind=ErrorKind.ANSWER_BROKEN):
    """Return what `decode` makes of an answer, as a `Result`.

    Parameters
    ----------
    name : str
        What the answer is, for the `Err` of a malformed one.
    kind : ErrorKind
        Kind of that `Err`.
    """
    try:
        return Ok(decode(answer))
    except DECODING_ERRORS as error:
        return Err(Failure(kind=kind, detail=f"{name} is malformed: {error!r}"))


def decode_json(data):
    """Return a JSON value whose strings may contain what is not valid Unicode.

    One odd string must not make a whole document unreadable; `text` refuses it, so only
    the row with it is left out. A number that JSON does not have is still refused.
    """
    try:
        return msgspec.json.decode(data)
    except msgspec.DecodeError:
        lenient = bytes(data).decode("utf-8", "surrogateescape")
        return json.loads(lenient, parse_constant=_refuse_constant)


def _refuse_constant(name):
    raise ValueError(f"{name} is not a JSON value")


def drop_null(row):
    """Return the fields of a JSON object that are not null."""
    return {name: value for name, value in row.items() if value is not None}


def whole(value):
    """Return a float without a fraction as an integer, and any other value as it is."""
    is_whole = isinstance(value, float) and value.is_integer()
    return int(value) if is_whole else value


def rounded(value):
    """Return a float as the nearest integer, and any other value as it is."""
    return round(value) if isinstance(value, float) else value


def integer(value, *, least=-MAX_INTEGER, most=MAX_INTEGER) -> int:
    """Return an integral number as an `int`.

    Raises
    ------
    TypeError
        If the value is not an integral number.
    ValueError
        If it is below `least` or above `most`.
    """
    found = whole(value)
    if type(found) is not int:
        raise TypeError(f"{_shorten(value)} is not an integer")
    if not least <= found <= most:
        raise ValueError(f"{_shorten(value)} is out of range")
    return found


def number(value, *, least=-MAX_INTEGER) -> float:
    """Return a finite number; raise `TypeError` or `ValueError` for anything else."""
    if type(value) not in (int, float):
        raise TypeError(f"{_shorten(value)} is not a number")
    if not least <= value <= MAX_INTEGER:
        raise ValueError(f"{_shorten(value)} is out of range")
    return value


def text(value, *, empty=False) -> str:
    """Return a string of at most `MAX_TEXT_BYTES` bytes.

    Raises
    ------
    TypeError
        If the value is not a string.
    ValueError
        If it is too long, cannot be encoded, or is empty unless `empty` is given.
    """
    if type(value) is not str:
        raise TypeError(f"{_shorten(value)} is not a string")
    if not value and not empty:
        raise ValueError("a string is empty")
    if len(value.encode()) > MAX_TEXT_BYTES:
        raise ValueError(f"{_shorten(value)} is too long")
    return value


def _shorten(value):
    """Return a short description of a value for an error message."""
    if isinstance(value, str):
        return repr(value[:MAX_SHOWN])
    if isinstance(value, int | float):
        return repr(value)[:MAX_SHOWN]
    return type(value).__name__
