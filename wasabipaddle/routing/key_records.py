"""Replicated records of idempotency keys."""

import collections
import hashlib
import heapq

import attrs
import xxhash

from wasabipaddle.messages import ClaimReply, KeyRecord, KeyRecordsPage

__all__ = ["KeyRecords", "key_digest", "majority_of"]

GROUP_SIZE = 3
RETENTION_S = 600.0
MAX_RECORDS = 50_000  # a record takes about 430 bytes
PAGE_RECORDS = 1_000
# When a whole cell starts, its processes finish their first copies at different times.
# Each reports itself as unsettled for this long after it has found the last peer to be
# new, so that its peers also count it as new.
COLD_START_S = 30.0


def key_digest(*parts) -> str:
    """Return the digest under which a key is recorded, as 32 hexadecimal digits."""
    text = "\0".join(parts).encode()
    return hashlib.sha256(text).hexdigest()[:32]


def majority_of(group) -> int:
    """Return the number of members that form a majority of a group."""
    return len(group) // 2 + 1


@attrs.frozen(kw_only=True)
class _StoredRecord:
    record: KeyRecord
    group: tuple[str, ...]
    expires: float


class KeyRecords:
    """First claims of idempotency keys at one process, kept for a limited time.

    The group of processes that record a key is chosen by rendezvous hashing over the
    configured processes, not over the live ones: two processes with different views of
    the live members would otherwise ask different groups. A process that starts without
    records is not certain for a group until it has copied the records of all other
    members of the group, has found all of them to be new too, or has run for
    `retention_s`.

    Parameters
    ----------
    process : str
        Name of this process.
    names : iterable of str
        Names of all configured entry processes of the cell.
    now : float
        Start time of the process in seconds.
    retention_s : float
        Time in seconds for which a record is kept after it was claimed or copied here.
    max_records : int
        Number of records at which new claims are refused. Copies of records of other
        members are always added, and no record is evicted before it expires.

    References
    ----------
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
    """

    def __init__(
        self,
        *,
        process,
        names,
        now,
        retention_s=RETENTION_S,
        max_records=MAX_RECORDS,
    ):
        self.process = process
        self.names = tuple(sorted(names))
        self.started_at = now
        self.retention_s = retention_s
        self.max_records = max_records
        self.stored = collections.OrderedDict()
        self.copied = set()
        self.new_peers = set()
        self.cold_start_until = now

    def group(self, key) -> tuple[str, ...]:
        """Return the names of the processes that record a key."""

        def weight(name):
            return xxhash.xxh64_intdigest(f"{key}/{name}".encode())

        return tuple(heapq.nsmallest(GROUP_SIZE, self.names, key=weight))

    # Claims

    def claim(self, message, now) -> ClaimReply:
        """Record a claim unless its key is claimed already; return the first claim.

        Returns
        -------
        ClaimReply
            The first claim of the key. The reply names no owner and is not certain if
            the claim could not be recorded because the store is full.
        """
        self._expire(now)
        group = self.group(message.key)
        certain = self.is_certain(group, now)
        stored = self.stored.get(message.key)
        if stored is None:
            if len(self.stored) >= self.max_records:
                return ClaimReply(certain=False)
            record = KeyRecord(
                key=message.key, owner=message.sender, request=message.request
            )
            stored = self._store(record, group, now)
        record = stored.record
        return ClaimReply(certain=certain, owner=record.owner, request=record.request)

    def release(self, message):
        """Remove the claim of a request that is known not to have run."""
        stored = self.stored.get(message.key)
        if stored is None:
            return
        if (stored.record.owner, stored.record.request) == (
            message.sender,
            message.request,
        ):
            del self.stored[message.key]

    # Copies

    def page(self, sender, after, now) -> KeyRecordsPage:
        """Return the next records of keys whose group includes `sender`.

        Parameters
        ----------
        after : str
            Last key of the previous page; an empty string requests the first page.
        """
        self._expire(now)
        keys = (k for k, h in self.stored.items() if k > after and sender in h.group)
        found = heapq.nsmallest(PAGE_RECORDS + 1, keys)
        return KeyRecordsPage(
            records=tuple(self.stored[k].record for k in found[:PAGE_RECORDS]),
            settled=self.is_settled(now),
            more=len(found) > PAGE_RECORDS,
        )

    def merge(self, records, now):
        """Add records of another member; claims that are already recorded stay."""
        for record in records:
            if record.key not in self.stored:
                self._store(record, self.group(record.key), now)

    def finish_copy(self, peer, *, settled, now):
        """Record that all records of a peer have been merged.

        Parameters
        ----------
        settled : bool
            Whether the peer had every record that it should have.
        """
        if settled:
            self.copied.add(peer)
            return
        if peer not in self.new_peers:
            self.cold_start_until = now + COLD_START_S
        self.new_peers.add(peer)

    def is_certain(self, group, now) -> bool:
        """Return whether this process knows every earlier claim of a group.

        This is so if each other member was copied while it was settled, if all of them
        were as new as this process, as when a cell starts, or if every claim made
        before the start of this process has expired.
        """
        if now - self.started_at >= self.retention_s:
            return True
        others = {n for n in group if n != self.process}
        return others <= self.copied or others <= self.new_peers

    def is_settled(self, now) -> bool:
        """Return whether this process has every record that it should have.

        If all processes of the cell started without records, each of them counts as
        settled after the cold start.
        """
        if now - self.started_at >= self.retention_s:
            return True
        others = {n for n in self.names if n != self.process}
        if others <= self.copied:
            return True
        return others <= self.new_peers and now >= self.cold_start_until

    def peers_to_copy(self, now) -> list[str]:
        """Return the peers whose records remain to be copied."""
        if now - self.started_at >= self.retention_s:
            return []
        others = (n for n in self.names if n != self.process)
        return [n for n in others if n not in self.copied]

    def _store(self, record, group, now):
        expires = now + self.retention_s
        stored = _StoredRecord(record=record, group=group, expires=expires)
        self.stored[record.key] = stored
        return stored

    def _expire(self, now):
        while self.stored and next(iter(self.stored.values())).expires <= now:
            self.stored.popitem(last=False)
