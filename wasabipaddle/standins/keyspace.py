"""Keys, revisions, changes and leases of the store stand-in.

All methods are synchronous, and those that depend on time take the current time as an
argument. Latency, faults and allowances are simulated by `MemoryStore`.
"""

import collections

import attrs
from result import Err, Ok
from sortedcontainers import SortedDict

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Change, Entry, Page
from wasabipaddle.interfaces.store import MAX_VALUE_BYTES

__all__ = ["KeySpace"]

MAX_PAGE_ENTRIES = 1000


@attrs.define(kw_only=True)
class _Lease:
    ttl_s: float
    expires_s: float
    keys: set


class KeySpace:
    """Versioned keys with compare-and-swap and leases.

    Parameters
    ----------
    history_limit : int
        Number of changes kept for watches; older ones are compacted.
    """

    def __init__(self, *, history_limit):
        self.entries = SortedDict()
        self.revision = 0
        self.changes = collections.deque(maxlen=history_limit)
        self.leases = {}
        self.lease_of = {}
        self.next_lease = 1
        self.listeners = []

    @property
    def compacted_revision(self) -> int:
        """Highest revision whose change has been compacted."""
        return self.changes[0].revision - 1 if self.changes else self.revision

    def get(self, key):
        """Return the entry of a key, or None."""
        return Ok(self.entries.get(key))

    def list(self, prefix, after, limit):
        """Return one page of the keys with a prefix."""
        limit = max(1, min(limit, MAX_PAGE_ENTRIES))
        first = max(prefix, after)
        found = []
        for key in self.entries.irange(minimum=first):
            if not key.startswith(prefix):
                break
            if key <= after:
                continue
            found.append(self.entries[key])
            if len(found) > limit:
                break
        more = len(found) > limit
        entries = tuple(found[:limit])
        next_after = entries[-1].key if more else None
        return Ok(Page(entries=entries, revision=self.revision, next_after=next_after))

    def put(self, key, value, expected_revision, lease, now):
        """Write one key if `expected_revision` is None or the revision of the key."""
        if len(value) > MAX_VALUE_BYTES:
            detail = f"value of {len(value)} bytes, at most {MAX_VALUE_BYTES}"
            return _err(ErrorKind.BODY_TOO_LARGE, detail)
        if lease is not None and self._live_lease(lease, now) is None:
            return _err(ErrorKind.NOT_FOUND, f"lease {lease} has expired")
        if not self._matches(key, expected_revision):
            return self._mismatch(key, expected_revision)
        self._detach(key)
        if lease is not None:
            self.leases[lease].keys.add(key)
            self.lease_of[key] = lease
        self.revision += 1
        self.entries[key] = Entry(key=key, value=value, revision=self.revision)
        self._publish(key, value)
        return Ok(self.revision)

    def delete(self, key, expected_revision):
        """Delete one key if `expected_revision` is None or the revision of the key."""
        if not self._matches(key, expected_revision):
            return self._mismatch(key, expected_revision)
        if key not in self.entries:
            return _err(ErrorKind.NOT_FOUND, f"no key {key}")
        return Ok(self._remove(key))

    def changes_after(self, prefix, after_revision):
        """Return the changes of a prefix after a revision, oldest first."""
        if after_revision < self.compacted_revision:
            detail = f"revision {after_revision} is compacted"
            return _err(ErrorKind.REVISION_MISMATCH, detail)
        found = []
        for change in reversed(self.changes):
            if change.revision <= after_revision:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return Ok(tuple(reversed(found)))

    def grant_lease(self, ttl_s, now):
        """Create a lease and return its id."""
        lease = f"lease-{self.next_lease}"
        self.next_lease += 1
        self.leases[lease] = _Lease(ttl_s=ttl_s, expires_s=now + ttl_s, keys=set())
        return Ok(lease)

    def renew_lease(self, lease, now):
        """Extend a lease to its full duration from now on."""
        held = self._live_lease(lease, now)
        if held is None:
            return _err(ErrorKind.NOT_FOUND, f"lease {lease} has expired")
        held.expires_s = now + held.ttl_s
        return Ok(None)

    def expire(self, lease, now) -> float:
        """Delete the keys of a lease if it has expired.

        Returns
        -------
        float
            Seconds until the lease expires, 0 if it has expired.
        """
        held = self.leases.get(lease)
        if held is None:
            return 0.0
        if held.expires_s > now:
            return held.expires_s - now
        del self.leases[lease]
        for key in sorted(held.keys):
            self._remove(key)
        return 0.0

    def _live_lease(self, lease, now):
        self.expire(lease, now)
        return self.leases.get(lease)

    def _matches(self, key, expected_revision):
        if expected_revision is None:
            return True
        entry = self.entries.get(key)
        return expected_revision == (entry.revision if entry else 0)

    def _mismatch(self, key, expected_revision):
        entry = self.entries.get(key)
        found = entry.revision if entry else 0
        detail = f"{key} has revision {found}, expected {expected_revision}"
        return _err(ErrorKind.REVISION_MISMATCH, detail)

    def _remove(self, key):
        self._detach(key)
        del self.entries[key]
        self.revision += 1
        self._publish(key, None)
        return self.revision

    def _detach(self, key):
        lease = self.lease_of.pop(key, None)
        if lease in self.leases:
            self.leases[lease].keys.discard(key)

    def _publish(self, key, value):
        change = Change(key=key, value=value, revision=self.revision)
        self.changes.append(change)
        for listener in list(self.listeners):
            listener(change)


def _err(kind, detail):
    return Err(Failure(kind=kind, detail=detail))
