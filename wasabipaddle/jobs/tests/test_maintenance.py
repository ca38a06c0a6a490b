"""Stored record of a wave."""

import pytest

from wasabipaddle.jobs.maintenance import (
    WaveRecord,
    decode_wave_record,
    encode_wave_record,
)

RECORD = WaveRecord(
    first_seen_ms=17, asked={"a": "r"}, begun=("b",), absent=("c",), completed=True
)


def test_record_is_read_back():
    assert decode_wave_record(encode_wave_record(RECORD)) == RECORD
    assert decode_wave_record(b"{}") == WaveRecord()


@pytest.mark.parametrize(
    "value", [b"", b"[]", b'{"asked":["a"]}', b'{"begun":"b"}', b'{"absent":[1]}']
)
def test_unreadable_record_is_reported(value):
    reasons = []
    assert decode_wave_record(value, report=reasons.append) is None
    assert len(reasons) == 1
