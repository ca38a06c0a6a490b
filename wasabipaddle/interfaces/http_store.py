"""HTTP client of a key-value store."""

import attrs

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces.http import HttpClient
from wasabipaddle.interfaces.store import Change, Entry, Page, Store

__all__ = ["CLIENT_HEADER", "HttpStore", "StoreCall"]

CLIENT_HEADER = "X-Client"
DEFAULT_TIMEOUT_S = 1.0


@attrs.frozen(kw_only=True)
class StoreCall:
    """Arguments of one call, posted to `{url}/store/v1/{operation}`.

    An operation uses the fields that are parameters of the `Store` method of that name.
    """

    key: str = ""
    prefix: str = ""
    value: bytes = b""
    after: str = ""
    limit: int = 100
    expected_revision: int | None = None
    lease: str | None = None
    after_revision: int = 0
    wait_s: float = 0.0
    ttl_s: float = 0.0


class HttpStore(Store):
    """HTTP client of a key-value store.

    Parameters
    ----------
    url : str
        Base URL of the store.
    client : str
        Name under which the store counts the calls of this client.
    timeout_s : float
        Timeout of a call, in addition to the `wait_s` of a watch.
    """

    def __init__(self, *, url, client, timeout_s=DEFAULT_TIMEOUT_S):
        self.url = url.rstrip("/")
        self.headers = {CLIENT_HEADER: client}
        self.timeout_s = timeout_s
        self.http_client = HttpClient(undelivered_kind=ErrorKind.STORE_UNAVAILABLE)

    async def get(self, key):
        """Read one key."""
        return await self._call("get", StoreCall(key=key), Entry | None)

    async def list(self, prefix, *, after="", limit=100):
        """Read one page of keys."""
        call = StoreCall(prefix=prefix, after=after, limit=limit)
        return await self._call("list", call, Page)

    async def put(self, key, value, *, expected_revision=None, lease=None):
        """Write one key."""
        call = StoreCall(
            key=key, value=value, expected_revision=expected_revision, lease=lease
        )
        return await self._call("put", call, int)

    async def delete(self, key, *, expected_revision=None):
        """Delete one key."""
        call = StoreCall(key=key, expected_revision=expected_revision)
        return await self._call("delete", call, int)

    async def watch(self, prefix, *, after_revision, wait_s):
        """Wait for changes under a prefix."""
        call = StoreCall(prefix=prefix, after_revision=after_revision, wait_s=wait_s)
        return await self._call("watch", call, tuple[Change, ...], wait_s=wait_s)

    async def grant_lease(self, ttl_s):
        """Create a lease."""
        return await self._call("grant_lease", StoreCall(ttl_s=ttl_s), str)

    async def renew_lease(self, lease):
        """Extend a lease."""
        return await self._call("renew_lease", StoreCall(lease=lease), None)

    async def close(self):
        """Close the connections."""
        await self.http_client.close()

    async def _call(self, operation, call, response_type, *, wait_s=0.0):
        return await self.http_client.call(
            "POST",
            f"{self.url}/store/v1/{operation}",
            response_type,
            timeout_s=self.timeout_s + wait_s,
            body=call,
            headers=self.headers,
        )
