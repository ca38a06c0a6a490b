"""Ends of heads and of chunked bodies in raw bytes."""

__all__ = ["EMPTY_LINE", "HEAD_END", "SMALL_HEAD_BYTES", "find_head_end"]

EMPTY_LINE = b"\r\n"
HEAD_END = b"\r\n\r\n"
# Size of a head up to which it takes the shorter way if it arrives whole.
SMALL_HEAD_BYTES = 2_000


def find_head_end(last_bytes, data) -> int:
    """Return the number of bytes up to the end of a head, or all if it is not there.

    Parameters
    ----------
    last_bytes : bytes
        The bytes before `data`, without an end of a head.
    """
    if last_bytes:
        end = (last_bytes + data[:3]).find(HEAD_END)
        if end >= 0:
            return end + len(HEAD_END) - len(last_bytes)
    end = data.find(HEAD_END)
    return len(data) if end < 0 else end + len(HEAD_END)
