"""Calls between entry processes over HTTP with JSON."""

import asyncio

import aiohttp
from aiohttp import web
from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.ingress import read_body
from wasabipaddle.messages import decode, encode, encode_sparse
from wasabipaddle.transport.base import Transport
from wasabipaddle.transport.connections import ConnectionPool, read_response

__all__ = ["HttpTransport"]

PATH = "/internal/v1/{name}"
CONNECT_TIMEOUT_S = 1.0
MAX_REPLY_BYTES = 4_000_000

# Approximate header sizes for `wire_bytes`; the actual ones depend on the host and
# the message type.
REQUEST_HEADER_BYTES = 84
RESPONSE_HEADER_BYTES = 145

# Headers that no peer reads. They would double the size of a small call.
OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class HttpTransport(Transport):
    """Transport over `aiohttp`.

    Parameters
    ----------
    peers : dict of str to Peer
        Addresses of the entry processes.
    ssl : ssl.SSLContext or None
        TLS context for calls to peers; None for plain HTTP.
    """

    def __init__(self, *, peers, ssl=None):
        super().__init__()
        self.peers = peers
        self.ssl = ssl
        self.pools = {}

    def routes(self):
        """Return the `aiohttp` route that receives the messages of peers."""
        return [web.post(PATH, self._receive)]

    async def call(self, peer, message, reply_type, *, timeout_s):
        """Post the message to the internal listener of the peer."""
        address = self.peers[peer]
        name = type(message).__name__
        scheme = "https" if self.ssl else "http"
        path = PATH.format(name=name)
        url = f"{scheme}://{address.host}:{address.internal_port}{path}"
        body = encode_sparse(message)
        self.count_body_bytes(message, len(body))
        self.count_wire_bytes(name, REQUEST_HEADER_BYTES + len(body))
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with (
                self._find_pool(peer).session(timeout_s=timeout_s) as session,
                session.post(
                    url, data=body, timeout=timeout, ssl=self.ssl or True
                ) as response,
            ):
                data = await read_response(response, MAX_REPLY_BYTES)
            self.count_wire_bytes(name, RESPONSE_HEADER_BYTES + len(data))
        except aiohttp.ClientConnectorError as error:
            return Err(Failure(kind=ErrorKind.UNREACHABLE, detail=str(error)))
        except (TimeoutError, aiohttp.ClientError) as error:
            detail = f"no reply to {name} from {peer}: {type(error).__name__}"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
        if response.status != 200:
            return _decode_failure(data)
        return decode(data, reply_type)

    async def close(self):
        """Close the connections to peers."""
        await asyncio.gather(*(pool.close() for pool in self.pools.values()))

    def _find_pool(self, peer):
        if peer not in self.pools:
            self.pools[peer] = ConnectionPool(open_session=_open_session)
        return self.pools[peer]

    async def _receive(self, request):
        body = await read_body(request)
        if body.is_err():
            return _build_response(body)
        data = body.ok()
        name = request.match_info["name"]
        if name in self.handlers:
            self.count_wire_bytes(name, REQUEST_HEADER_BYTES + len(data))
        response = _build_response(await self.serve(name, data))
        if name in self.handlers:
            self.count_wire_bytes(name, RESPONSE_HEADER_BYTES + len(response.body))
        return response


def _build_response(reply):
    """Return the response with an encoded reply or a failure."""
    status, body = 200, reply.unwrap_or(None)
    if reply.is_err():
        failure = reply.unwrap_err()
        status, body = failure.response.status, encode(failure)
    return web.Response(status=status, body=body, content_type="application/json")


def _open_session():
    return aiohttp.ClientSession(skip_auto_headers=OMITTED_HEADERS)


def _decode_failure(data):
    failure = decode(data, Failure)
    if failure.is_err():
        detail = "peer replied with an error status and an unreadable body"
        return Err(Failure(kind=ErrorKind.INTERNAL, detail=detail))
    return Err(failure.unwrap())
