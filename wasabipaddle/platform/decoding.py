"""Errors of decoders, and conversions that they share."""

import msgspec

__all__ = ["DECODING_ERRORS", "integer", "rounded", "whole"]

# What malformed data may raise in a decoder; deeply nested JSON raises RecursionError.
DECODING_ERRORS = (
    msgspec.MsgspecError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def whole(value):
    """Return a float without a fraction as an integer, and any other value as it is."""
    is_whole = isinstance(value, float) and value.is_integer()
    return int(value) if is_whole else value


def rounded(value):
    """Return a float as the nearest integer, and any other value as it is."""
    return round(value) if isinstance(value, float) else value


def integer(value) -> int:
    """Return an integral number as an `int`; raise `TypeError` for anything else."""
    number = whole(value)
    if type(number) is not int:
        raise TypeError(f"{value!r} is not an integer")
    return number
