"""Client of the platform's store."""

import base64
import binascii

from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import (
    Change,
    Entry,
    Page,
    Put,
    TransactionalStore,
    WatchBatch,
)
from wasabipaddle.platform.http import PlatformCaller

__all__ = ["PlatformStore"]

CALL_TIMEOUT_S = 0.9
# An answer may hold a megabyte, which a slow link carries for seconds.
TRANSFER_S = 8.0
# Time beyond the wait of a watch after which its connection is taken as silent.
WATCH_SLACK_S = 1.0
THROTTLE_PAUSE_S = 0.2
MS_PER_S = 1000


class PlatformStore(TransactionalStore):
    """Store over HTTP.

    Parameters
    ----------
    address : str
        Host and port of the store.
    timeout_s : float
        Longest time of a call that does not wait.
    """

    def __init__(self, *, address, timeout_s=CALL_TIMEOUT_S):
        self.calls = PlatformCaller(address=address)
        self.watches = PlatformCaller(address=address)
        self.timeout_s = timeout_s

    async def get(self, key) -> Result[Entry | None, Failure]:
        """Read one key; None if it does not exist."""
        answer = await self._call("GET", "/kv-key", query={"key": key}, plain=(404,))
        if answer.is_err():
            return answer
        answer = answer.ok()
        return Ok(None if answer.status == 404 else _entry(answer.body))

    async def list(self, prefix, *, after="", limit=0) -> Result[Page, Failure]:
        """Read one page of a prefix; the store chooses its size."""
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        answer = await self._call("GET", "/kv-range", query=query)
        if answer.is_err():
            return answer
        body = answer.ok().body
        entries = tuple(_entry(item) for item in body.get("items", ()))
        more = entries and body.get("has_more")
        return Ok(
            Page(
                entries=entries,
                revision=body["as_of"],
                next_after=entries[-1].key if more else None,
            )
        )

    async def list_all(self, prefix) -> Result[Page, Failure]:
        """Read all pages of a prefix; the revision is that of the first page."""
        entries = []
        revision = None
        after = ""
        while after is not None:
            page = await self.list(prefix, after=after)
            if page.is_err():
                return page
            page = page.ok()
            entries.extend(page.entries)
            revision = page.revision if revision is None else revision
            after = page.next_after
        return Ok(Page(entries=tuple(entries), revision=revision))

    async def put(
        self, key, value, *, expected_revision=None, lease=None
    ) -> Result[int, Failure]:
        """Write one key and return its new revision."""
        conditions = () if expected_revision is None else ((key, expected_revision),)
        put = Put(key=key, value=value, lease=lease or 0)
        return await self.commit(conditions=conditions, puts=(put,))

    async def delete(self, key, *, expected_revision=None) -> Result[int, Failure]:
        """Delete one key and return the revision of the deletion."""
        conditions = () if expected_revision is None else ((key, expected_revision),)
        return await self.commit(conditions=conditions, deletes=(key,))

    async def commit(
        self, *, conditions=(), puts=(), deletes=()
    ) -> Result[int, Failure]:
        """Apply all changes if all conditions hold, and return the new revision."""
        body = {
            "expected_rev": [{"key": k, "revision": r} for k, r in conditions],
            "puts": [_put_row(put) for put in puts],
            "deletes": list(deletes),
        }
        answer = await self._call("POST", "/kv-txn", body=body, plain=(404, 412))
        if answer.is_err():
            return answer
        answer = answer.ok()
        if answer.status == 412:
            keys = ", ".join(item.get("key", "") for item in answer.body["items"])
            return _refused(ErrorKind.REVISION_MISMATCH, keys)
        if answer.status == 404:
            return _refused(ErrorKind.NOT_FOUND, "the lease has ended")
        return Ok(answer.body["revision"])

    async def watch(
        self, prefix, *, after_revision, wait_s
    ) -> Result[tuple[Change, ...], Failure]:
        """Wait for changes with a revision above `after_revision`."""
        batch = await self.follow(prefix, after_revision=after_revision, wait_s=wait_s)
        return batch.map(lambda b: b.changes)

    async def follow(
        self, prefix, *, after_revision, wait_s
    ) -> Result[WatchBatch, Failure]:
        """Wait for changes; like `watch`, with the revision to go on from."""
        query = {
            "prefix": prefix,
            "after": after_revision,
            "wait_ms": int(wait_s * MS_PER_S),
        }
        answer = await self._call(
            "GET",
            "/kv-watch",
            query=query,
            plain=(410,),
            timeout_s=wait_s + WATCH_SLACK_S,
            caller=self.watches,
        )
        if answer.is_err():
            return answer
        answer = answer.ok()
        if answer.status == 410:
            return _refused(ErrorKind.REVISION_MISMATCH, "the history is gone")
        events = tuple(_change(event) for event in answer.body.get("events", ()))
        return Ok(WatchBatch(changes=events, revision=answer.body["as_of"]))

    async def grant_lease(self, ttl_s) -> Result[int, Failure]:
        """Create a lease and return its number."""
        body = {"ttl_ms": int(ttl_s * MS_PER_S)}
        answer = await self._call("POST", "/kv-lease", body=body)
        return answer.map(lambda a: a.body["lease"])

    async def renew_lease(self, lease) -> Result[None, Failure]:
        """Extend a lease; an `Err` of kind `not_found` means it ended."""
        answer = await self._call("POST", f"/kv-keep/{lease}", body={}, plain=(404,))
        if answer.is_err():
            return answer
        if answer.ok().status == 404:
            return _refused(ErrorKind.NOT_FOUND, "the lease has ended")
        return Ok(None)

    async def end_lease(self, lease) -> Result[None, Failure]:
        """End a lease and remove its keys."""
        path = f"/kv-lease-end/{lease}"
        answer = await self._call("DELETE", path, plain=(404,))
        return answer.map(lambda _: None)

    async def _call(
        self, method, path, *, plain=(), timeout_s=None, caller=None, **options
    ):
        """Make one call; statuses other than 200 and `plain` become failures."""
        called = await (caller or self.calls).call(
            method,
            path,
            timeout_s=timeout_s or self.timeout_s,
            transfer_s=TRANSFER_S,
            **options,
        )
        if called.is_err():
            failure = called.err()
            if failure.kind is ErrorKind.UNREACHABLE:
                return _refused(ErrorKind.STORE_UNAVAILABLE, failure.detail)
            return called
        answer = called.ok()
        if answer.status == 200 or answer.status in plain:
            return called
        if answer.status == 429:
            return _refused(
                ErrorKind.STORE_THROTTLED, path, retry_after_s=THROTTLE_PAUSE_S
            )
        # 503 says that nothing was done; any other status refuses the call.
        detail = f"{method} {path}: status {answer.status}"
        return _refused(ErrorKind.STORE_UNAVAILABLE, detail)

    async def close(self):
        """Close connections."""
        await self.calls.close()
        await self.watches.close()


def _put_row(put):
    row = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease:
        row["lease"] = put.lease
    return row


def _value(item):
    """Return the bytes of an item; empty if another writer left no base64 text."""
    try:
        return base64.b64decode(item.get("value", ""), validate=True)
    except (binascii.Error, TypeError, ValueError):
        return b""


def _entry(item):
    return Entry(key=item["key"], value=_value(item), revision=item["revision"])


def _change(event):
    value = None if event.get("deleted") else _value(event)
    return Change(key=event["key"], value=value, revision=event["revision"])


def _refused(kind, detail, retry_after_s=None):
    return Err(Failure(kind=kind, detail=detail, retry_after_s=retry_after_s))
