"""Client of the HTTP interface for the command line."""

import json
import os
import pathlib
import ssl

import aiohttp
import attrs

from wasabipaddle.commands.action import UsageError
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError

__all__ = ["ApiClient", "ApiReply", "Connection", "connection"]

SERVER_VARIABLE = "WASABIPADDLE_SERVER"
TOKEN_VARIABLE = "WASABIPADDLE_TOKEN"
TOKEN_FILE_VARIABLE = "WASABIPADDLE_TOKEN_FILE"
AUTHORITY_VARIABLE = "WASABIPADDLE_AUTHORITY"
CONNECT_TIMEOUT_S = 3.0
CALL_TIMEOUT_S = 20.0


@attrs.frozen(kw_only=True)
class Connection:
    """Where and as whom calls are made.

    Parameters
    ----------
    token : str
        Bearer token, which is never printed; empty for none.
    authority : str
        File with the certificate authority; empty for that of the system.
    """

    server: str
    token: str = attrs.field(default="", repr=False)
    authority: str = ""


@attrs.frozen(kw_only=True)
class ApiReply:
    """Successful answer of the interface."""

    status: int
    headers: dict
    body: object


def connection(*, server="", token_file="", authority="") -> Connection:
    """Return the connection that flags and environment variables describe."""
    server = server or os.environ.get(SERVER_VARIABLE, "")
    if not server.startswith(("http://", "https://")):
        raise UsageError(f"give --server URL or set {SERVER_VARIABLE}")
    token_file = token_file or os.environ.get(TOKEN_FILE_VARIABLE, "")
    token = os.environ.get(TOKEN_VARIABLE, "")
    if token_file:
        try:
            token = pathlib.Path(token_file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"the token file cannot be read: {token_file}") from error
    token = token.strip()
    if not (token.isascii() and (token.isprintable() or not token)):
        raise UsageError("the token is not printable ASCII")
    authority = authority or os.environ.get(AUTHORITY_VARIABLE, "")
    return Connection(server=server.rstrip("/"), token=token, authority=authority)


class ApiClient:
    """Makes calls to one server.

    Parameters
    ----------
    connection : Connection
        Where and as whom calls are made.
    """

    def __init__(self, *, connection):
        self.connection = connection
        self.session = None

    async def __aenter__(self):
        headers = {}
        if self.connection.token:
            headers["Authorization"] = f"Bearer {self.connection.token}"
        connector = aiohttp.TCPConnector(ssl=self._ssl())
        self.session = aiohttp.ClientSession(headers=headers, connector=connector)
        return self

    async def __aexit__(self, *error):
        await self.session.close()

    async def call(
        self, method, path, *, headers=None, data=None, params=None, wait_s=0.0
    ) -> ApiReply:
        """Make one call.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        headers, data, params : dict, bytes, dict or None
            Parts of the call.
        wait_s : float
            Time by which the server may delay the answer.

        Raises
        ------
        WasabipaddleError
            The failure that the server answered, `unreachable` if the call was not
            made, or `outcome_unknown` if its answer is missing.
        """
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + wait_s, sock_connect=CONNECT_TIMEOUT_S
        )
        url = self.connection.server + path
        try:
            async with self.session.request(
                method, url, headers=headers, data=data, params=params, timeout=timeout
            ) as response:
                body = await response.read()
                status, found = response.status, dict(response.headers)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise _error(ErrorKind.UNREACHABLE, f"{url}: {error}") from error
        except (TimeoutError, aiohttp.ClientError) as error:
            # A read has no effect, so that a missing answer leaves nothing unknown.
            is_read = method == "GET"
            kind = ErrorKind.UNREACHABLE if is_read else ErrorKind.OUTCOME_UNKNOWN
            detail = f"no answer from {url}: {type(error).__name__}"
            raise _error(kind, detail) from error
        value = _parse(body)
        if status >= 400:
            raise WasabipaddleError(_failure_of(status, value))
        return ApiReply(status=status, headers=found, body=value)

    def _ssl(self):
        if not self.connection.authority:
            return True
        try:
            return ssl.create_default_context(cafile=self.connection.authority)
        except OSError as error:
            detail = f"the authority cannot be read: {self.connection.authority}"
            raise UsageError(detail) from error


def _parse(body):
    try:
        return json.loads(body) if body else None
    except ValueError:
        return None


def _failure_of(status, value):
    """Return the failure in an error answer; anything else came from a proxy."""
    try:
        return Failure(
            kind=ErrorKind(value["kind"]),
            detail=str(value["detail"]),
            retry_after_s=value["retry_after_s"],
        )
    except (KeyError, TypeError, ValueError):
        detail = f"the server answered {status} without a known error"
        return Failure(kind=ErrorKind.INTERNAL, detail=detail)


def _error(kind, detail):
    return WasabipaddleError(Failure(kind=kind, detail=detail))
