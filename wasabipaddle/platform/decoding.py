"""Errors of decoders, and conversions that they share."""

from wasabipaddle.jobs.decoding import (
    DECODING_ERRORS,
    decode_json,
    ignore_report,
    integer,
    number,
    rounded,
    text,
    whole,
)

__all__ = [
    "DECODING_ERRORS",
    "decode_json",
    "ignore_report",
    "integer",
    "number",
    "rounded",
    "text",
    "whole",
]
