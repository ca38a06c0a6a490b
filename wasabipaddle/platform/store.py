"""HTTP client of the platform's store."""

import base64
import binascii

from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Change, Entry, Page, TransactionalStore, WatchBatch
from wasabipaddle.jobs.decoding import decode_answer, integer
from wasabipaddle.transport.json_client import JsonHttpClient

__all__ = ["PlatformStore"]

CALL_TIMEOUT_S = 0.9
# A response may hold a megabyte, whose transfer over a slow link takes seconds.
TRANSFER_S = 8.0
# Margin beyond the wait of a watch after which its connection counts as dead.
WATCH_MARGIN_S = 1.0
THROTTLE_PAUSE_S = 0.2
# Calls and watches share their connections, so that a timeout of one replaces both.
CONNECTIONS = 128
# A watch returns all changes since its revision at once.
MAX_RESPONSE_BYTES = 16_000_000
MS_PER_S = 1000


class PlatformStore(TransactionalStore):
    """Store behind the platform's HTTP interface.

    Parameters
    ----------
    address : str
        Host and port of the store.
    timeout_s : float
        Longest wait for the next bytes of a response, the wait of a watch excluded.
    """

    def __init__(self, *, address, timeout_s=CALL_TIMEOUT_S):
        self.client = JsonHttpClient(
            address=address,
            connections=CONNECTIONS,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )
        self.timeout_s = timeout_s

    async def get(self, key) -> Result[Entry | None, Failure]:
        """Read one key; None if it does not exist."""
        response = await self._call(
            "GET",
            "/kv-key",
            query={"key": key},
            accepted_statuses=(404,),
            hedged=True,
        )
        if response.is_ok() and response.ok().status == 404:
            return Ok(None)
        return _decode(response, _decode_entry)

    async def list(self, prefix, *, after="", limit=0) -> Result[Page, Failure]:
        """Read one page of a prefix; the store chooses its size and ignores `limit`."""
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        response = await self._call("GET", "/kv-range", query=query, hedged=True)
        return _decode(response, _decode_page)

    async def commit(
        self, *, conditions=(), puts=(), deletes=()
    ) -> Result[int, Failure]:
        """Apply all changes if all conditions hold, and return the new revision."""
        body = {
            "expected_rev": [{"key": k, "revision": r} for k, r in conditions],
            "puts": [_encode_put(put) for put in puts],
            "deletes": list(deletes),
        }
        response = await self._call(
            "POST", "/kv-txn", body=body, accepted_statuses=(404, 412)
        )
        status = response.ok().status if response.is_ok() else 0
        if status == 412:
            keys = _read_keys(response.ok().body)
            return _failure(ErrorKind.REVISION_MISMATCH, ", ".join(keys))
        if status == 404:
            return _failure(ErrorKind.NOT_FOUND, "the lease has ended")
        return _decode(response, lambda body: integer(body["revision"]))

    async def follow(
        self, prefix, *, after_revision, wait_s
    ) -> Result[WatchBatch, Failure]:
        """Wait for changes like `watch`, and return the revision to continue from."""
        query = {
            "prefix": prefix,
            "after": after_revision,
            "wait_ms": int(wait_s * MS_PER_S),
        }
        response = await self._call(
            "GET",
            "/kv-watch",
            query=query,
            accepted_statuses=(410,),
            timeout_s=wait_s + WATCH_MARGIN_S,
            once=True,
        )
        if response.is_ok() and response.ok().status == 410:
            return _failure(
                ErrorKind.REVISION_MISMATCH, "the revision has been compacted"
            )
        return _decode(response, _decode_batch)

    async def grant_lease(self, ttl_s) -> Result[int, Failure]:
        """Create a lease and return its number."""
        body = {"ttl_ms": int(ttl_s * MS_PER_S)}
        response = await self._call("POST", "/kv-lease", body=body)
        return _decode(response, lambda body: integer(body["lease"]))

    async def renew_lease(self, lease) -> Result[None, Failure]:
        """Extend a lease; an `Err` of kind `not_found` means that it has ended."""
        response = await self._call(
            "POST",
            f"/kv-keep/{lease}",
            body={},
            accepted_statuses=(404,),
            hedged=True,
        )
        if response.is_err():
            return response
        if response.ok().status == 404:
            return _failure(ErrorKind.NOT_FOUND, "the lease has ended")
        return Ok(None)

    async def end_lease(self, lease) -> Result[None, Failure]:
        """End a lease and delete its keys."""
        path = f"/kv-lease-end/{lease}"
        response = await self._call("DELETE", path, accepted_statuses=(404,))
        return response.map(lambda _: None)

    async def _call(
        self,
        method,
        path,
        *,
        accepted_statuses=(),
        timeout_s=None,
        hedged=False,
        **options,
    ):
        """Make one call.

        A status other than 200 and `accepted_statuses` becomes a failure.
        """
        send = self.client.call_hedged if hedged else self.client.call
        result = await send(
            method,
            path,
            timeout_s=timeout_s or self.timeout_s,
            transfer_s=TRANSFER_S,
            **options,
        )
        if result.is_err():
            failure = result.err()
            if failure.kind is ErrorKind.UNREACHABLE:
                return _failure(ErrorKind.STORE_UNAVAILABLE, failure.detail)
            return result
        response = result.ok()
        if response.status == 200 or response.status in accepted_statuses:
            return result
        if response.status == 429:
            return _failure(
                ErrorKind.STORE_THROTTLED, path, retry_after_s=THROTTLE_PAUSE_S
            )
        # Status 503 means that nothing was done, and so does any refusal of the call.
        unknown = response.status >= 500 and response.status != 503
        kind = ErrorKind.TIMEOUT if unknown else ErrorKind.STORE_UNAVAILABLE
        return _failure(kind, f"{method} {path}: status {response.status}")

    @property
    def connection_generation(self) -> int:
        """Number of times that the connections to the store have been replaced."""
        return self.client.pool.generation

    def replace_connections(self, generation):
        """Use new connections for later calls, if those of `generation` are in use."""
        self.client.pool.replace(generation)

    async def close(self):
        """Close the connections."""
        await self.client.close()


def _encode_put(put):
    row = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease:
        row["lease"] = put.lease
    return row


def _decode(response, decode):
    """Decode the body of a response; its outcome is unknown if it is malformed."""
    if response.is_err():
        return response
    body = response.ok().body
    return decode_answer(decode, body, name="the response", kind=ErrorKind.TIMEOUT)


def _read_keys(body):
    """Return the keys of the readable items in the response to a conflict."""
    items = body.get("items")
    items = items if isinstance(items, list) else []
    return [str(item.get("key", "")) for item in items if isinstance(item, dict)]


def _decode_page(body):
    entries = tuple(_decode_entry(item) for item in body.get("items", ()))
    more = entries and body.get("has_more")
    return Page(
        entries=entries,
        revision=integer(body["as_of"]),
        next_after=entries[-1].key if more else None,
    )


def _decode_batch(body):
    changes = tuple(_decode_change(event) for event in body.get("events", ()))
    return WatchBatch(changes=changes, revision=integer(body["as_of"]))


def _decode_value(item):
    """Return the bytes of an item; empty if they are not valid base64."""
    try:
        return base64.b64decode(item.get("value", ""), validate=True)
    except (binascii.Error, TypeError, ValueError):
        return b""


def _decode_entry(item):
    return Entry(
        key=_decode_key(item),
        value=_decode_value(item),
        revision=integer(item["revision"]),
    )


def _decode_change(event):
    value = None if event.get("deleted") else _decode_value(event)
    return Change(
        key=_decode_key(event), value=value, revision=integer(event["revision"])
    )


def _decode_key(item):
    key = item["key"]
    if not isinstance(key, str):
        raise TypeError("the key is not a string")
    return key


def _failure(kind, detail, retry_after_s=None):
    return Err(Failure(kind=kind, detail=detail, retry_after_s=retry_after_s))
