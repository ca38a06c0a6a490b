"""In-memory store with faults for the tests of the HTTP interface."""

from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Entry, Page, Store

__all__ = ["FakeStore", "lost"]


def lost():
    """Return the result of a store call that timed out without a response."""
    return Err(Failure(kind=ErrorKind.TIMEOUT, detail="no answer"))


class FakeStore(Store):
    """In-memory store in which the next writes of documents can fail.

    Attributes
    ----------
    faults : list of str
        Faults of the next writes of documents, one each: "lost call" (not written, no
        response), "lost answer" (written, no response), "down" (refused), or empty for
        no fault.
    after_put : callable or None
        Coroutine function that runs once, after a write with the fault "lost answer".
    """

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.faults = []
        self.after_put = None

    async def get(self, key):
        """Read one key."""
        return Ok(self.entries.get(key))

    async def list(self, prefix, *, after="", limit=100):
        """Read one page."""
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        entries = tuple(self.entries[k] for k in keys[:limit])
        more = keys[limit - 1] if len(keys) > limit else None
        return Ok(Page(entries=entries, revision=self.revision, next_after=more))

    async def put(self, key, value, *, expected_revision=None, lease=None):
        """Write one key."""
        fault = ""
        if key.startswith("documents/") and self.faults:
            fault = self.faults.pop(0)
        if fault == "down":
            return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE))
        if fault == "lost call":
            return lost()
        current = self.entries[key].revision if key in self.entries else 0
        if expected_revision not in (None, current):
            return Err(Failure(kind=ErrorKind.REVISION_MISMATCH))
        self.revision += 1
        self.entries[key] = Entry(key=key, value=value, revision=self.revision)
        if fault != "lost answer":
            return Ok(self.revision)
        if self.after_put is not None:
            action, self.after_put = self.after_put, None
            await action()
        return lost()

    async def delete(self, key, *, expected_revision=None):
        """Delete one key."""
        self.revision += 1
        self.entries.pop(key, None)
        return Ok(self.revision)

    async def watch(self, prefix, *, after_revision, wait_s):
        """Return no changes; watching is not simulated."""
        return Ok(())

    async def grant_lease(self, ttl_s):
        """Return a fixed lease id; leases do not expire."""
        return Ok("lease")

    async def renew_lease(self, lease):
        """Accept every renewal."""
        return Ok(None)
