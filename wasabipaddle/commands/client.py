"""Client of the HTTP API for the command line."""

import json
import os
import pathlib
import ssl

import aiohttp
import attrs

from wasabipaddle.commands.action import UsageError
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError

__all__ = ["ApiClient", "ApiResponse", "Connection", "connection"]

SERVER_VARIABLE = "WASABIPADDLE_SERVER"
TOKEN_VARIABLE = "WASABIPADDLE_TOKEN"
TOKEN_FILE_VARIABLE = "WASABIPADDLE_TOKEN_FILE"
AUTHORITY_VARIABLE = "WASABIPADDLE_AUTHORITY"
CONNECT_TIMEOUT_S = 3.0
CALL_TIMEOUT_S = 20.0


@attrs.frozen(kw_only=True)
class Connection:
    """Server address and credentials of API calls.

    Parameters
    ----------
    server : str
        Base URL without a trailing slash.
    token : str
        Bearer token; empty for none. It is left out of the representation.
    authority : str
        File with the certificates of the authority that signs the server's
        certificate; empty uses the system's authorities.
    """

    server: str
    token: str = attrs.field(default="", repr=False)
    authority: str = ""


@attrs.frozen(kw_only=True)
class ApiResponse:
    """Successful response of the API.

    Parameters
    ----------
    body : object
        Decoded JSON; None if the response is empty or not JSON.
    """

    status: int
    headers: dict
    body: object


def connection(*, server="", token_file="", authority="") -> Connection:
    """Return the connection given by flags, or else by environment variables."""
    server = server or os.environ.get(SERVER_VARIABLE, "")
    if not server.startswith(("http://", "https://")):
        raise UsageError(
            f"no http(s) server URL: give --server URL or set {SERVER_VARIABLE}"
        )
    token_file = token_file or os.environ.get(TOKEN_FILE_VARIABLE, "")
    token = os.environ.get(TOKEN_VARIABLE, "")
    if token_file:
        try:
            token = pathlib.Path(token_file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"cannot read the token file {token_file}") from error
    token = token.strip()
    if not (token.isascii() and (token.isprintable() or not token)):
        raise UsageError("the token contains characters other than printable ASCII")
    authority = authority or os.environ.get(AUTHORITY_VARIABLE, "")
    return Connection(server=server.rstrip("/"), token=token, authority=authority)


class ApiClient:
    """Asynchronous context manager that calls the API of one server.

    Parameters
    ----------
    connection : Connection
        Server address and credentials.
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
    ) -> ApiResponse:
        """Make one call.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        headers, data, params : dict, bytes, dict or None
            Headers, body and query of the request.
        wait_s : float
            Time for which the server may hold the request open; it extends the
            timeout of the call.

        Raises
        ------
        WasabipaddleError
            The failure that the server returned; `unreachable` if no connection was
            made or a GET got no response; `outcome_unknown` if another method got no
            response.
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
                status, response_headers = response.status, dict(response.headers)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise _make_error(ErrorKind.UNREACHABLE, f"{url}: {error}") from error
        except (TimeoutError, aiohttp.ClientError) as error:
            # A GET has no side effects: without a response, nothing is left in doubt.
            is_read = method == "GET"
            kind = ErrorKind.UNREACHABLE if is_read else ErrorKind.OUTCOME_UNKNOWN
            detail = f"no response from {url}: {type(error).__name__}"
            raise _make_error(kind, detail) from error
        value = _parse(body)
        if status >= 400:
            raise WasabipaddleError(_failure_of(status, value))
        return ApiResponse(status=status, headers=response_headers, body=value)

    def _ssl(self):
        if not self.connection.authority:
            return True
        try:
            return ssl.create_default_context(cafile=self.connection.authority)
        except OSError as error:
            detail = f"cannot read the authority file {self.connection.authority}"
            raise UsageError(detail) from error


def _parse(body):
    try:
        return json.loads(body) if body else None
    except ValueError:
        return None


def _failure_of(status, value):
    """Return the failure in an error response.

    A body without a known failure, for example from a proxy, becomes `internal`.
    """
    try:
        return Failure(
            kind=ErrorKind(value["kind"]),
            detail=str(value["detail"]),
            retry_after_s=value["retry_after_s"],
        )
    except (KeyError, TypeError, ValueError):
        detail = f"the server returned status {status} without a known error"
        return Failure(kind=ErrorKind.INTERNAL, detail=detail)


def _make_error(kind, detail):
    return WasabipaddleError(Failure(kind=kind, detail=detail))
