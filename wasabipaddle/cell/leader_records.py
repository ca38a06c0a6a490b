"""Stored records of the leader and the term."""

import attrs

from wasabipaddle.cell.keys import LEADER_KEY, TERM_KEY
from wasabipaddle.messages import decode

__all__ = [
    "UNREADABLE_LEADER",
    "LeaderRecord",
    "TermRecord",
    "decode_leader",
    "decode_term_number",
]


@attrs.frozen(kw_only=True)
class LeaderRecord:
    """Value of the leader key.

    Parameters
    ----------
    process, address : str
        Name of the leader, and host and port of its internal listener.
    life : int
        Start of the process in Unix milliseconds; distinguishes incarnations of a
        process with the same name.
    """

    process: str
    address: str
    life: int


@attrs.frozen(kw_only=True)
class TermRecord:
    """Value of the term key: number of the term and the process that leads in it."""

    number: int
    process: str
    life: int


# Stands for the holder of a leader key whose value cannot be decoded.
UNREADABLE_LEADER = LeaderRecord(process="", address="", life=0)


def decode_leader(entry, unreadable) -> LeaderRecord:
    """Return the record in the leader key, or `UNREADABLE_LEADER`.

    An unreadable key is held, so it is not free for a campaign, but its holder cannot
    be called. It is replaced like a leader presumed dead.

    Parameters
    ----------
    entry : Entry or Change
        Entry of the leader key.
    unreadable : UnreadableRecords
        Records that the key could not be decoded.
    """
    record = decode(entry.value, LeaderRecord)
    if record.is_err():
        unreadable.record("leader", LEADER_KEY, record.err().detail)
    return record.unwrap_or(UNREADABLE_LEADER)


def decode_term_number(entry, unreadable) -> int:
    """Return the number of the last term, or an upper bound if it is unreadable.

    Each term raises the number by one and the revision of the store by at least one, so
    no number is above the revision at which it was written.

    Parameters
    ----------
    entry : Entry
        Entry of the term key.
    unreadable : UnreadableRecords
        Records that the key could not be decoded.
    """
    term = decode(entry.value, TermRecord)
    if term.is_ok() and 0 <= term.ok().number <= entry.revision:
        return term.ok().number
    reason = term.err().detail if term.is_err() else "number out of range"
    unreadable.record("term", TERM_KEY, reason)
    return entry.revision
