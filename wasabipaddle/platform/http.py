"""HTTP calls with JSON bodies that the clients of the platform share."""

import aiohttp
import attrs
import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["Answer", "PlatformCaller"]

CONNECT_TIMEOUT_S = 0.6
# Below the time after which a listener of the platform closes an idle connection.
KEEPALIVE_S = 25.0
UNUSED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


@attrs.frozen(kw_only=True)
class Answer:
    """Status and decoded body of an answer; the body is {} if there is none."""

    status: int
    body: dict


class PlatformCaller:
    """HTTP session to one address.

    Parameters
    ----------
    address : str
        Host and port.
    connections : int
        Largest number of open connections.
    """

    def __init__(self, *, address, connections=64):
        self.address = address
        self.connections = connections
        self.session = None

    async def call(
        self,
        method,
        path,
        *,
        timeout_s,
        transfer_s=0.0,
        body=None,
        query=None,
        headers=None,
    ) -> Result[Answer, Failure]:
        """Make one call.

        Parameters
        ----------
        timeout_s : float
            Longest time without a byte of the answer.
        transfer_s : float
            Time beyond that for an answer that goes on arriving.

        Returns
        -------
        result.Result
            The answer, an `Err` of kind `unreachable` if the call was surely not
            delivered, or of kind `timeout` if it may be carried out.
        """
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers = {"Content-Type": "application/json", **(headers or {})}
        timeout = aiohttp.ClientTimeout(
            total=timeout_s + transfer_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=timeout_s if transfer_s else None,
        )
        url = f"http://{self.address}{path}"
        try:
            async with self._open().request(
                method, url, params=query, data=data, headers=headers, timeout=timeout
            ) as response:
                raw = await response.read()
                status = response.status
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return _failed(ErrorKind.UNREACHABLE, method, path, error)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _failed(ErrorKind.TIMEOUT, method, path, error)
        return _decode(status, raw, method, path)

    def _open(self):
        if self.session is None:
            connector = aiohttp.TCPConnector(
                limit=self.connections,
                keepalive_timeout=KEEPALIVE_S,
                use_dns_cache=False,
            )
            self.session = aiohttp.ClientSession(
                connector=connector,
                skip_auto_headers=UNUSED_HEADERS,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self.session

    async def close(self):
        """Close the connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None


def _decode(status, raw, method, path):
    if not raw:
        return Ok(Answer(status=status, body={}))
    try:
        body = msgspec.json.decode(raw)
    except msgspec.MsgspecError as error:
        if status == 200:
            return _failed(ErrorKind.TIMEOUT, method, path, error)
        body = {}
    return Ok(Answer(status=status, body=body if isinstance(body, dict) else {}))


def _failed(kind, method, path, error):
    detail = f"{method} {path}: {type(error).__name__} {error}"
    return Err(Failure(kind=kind, detail=detail))
