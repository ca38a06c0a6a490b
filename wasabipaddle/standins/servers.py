"""HTTP routes of the in-memory store, workers and list of VMs."""

import msgspec
import xxhash
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import WorkerSync
from wasabipaddle.interfaces.http_store import CLIENT_HEADER, StoreCall
from wasabipaddle.standins.listener import failure_response, hang, result_response

__all__ = ["read_message", "store_routes", "vms_routes", "worker_routes"]

# Clients have their own timeouts; this one only limits the handlers of the server.
SERVER_TIMEOUT_S = 60.0


def store_routes(store):
    """Return the routes of a store.

    Parameters
    ----------
    store : MemoryStore
        The store.
    """
    operations = {
        "get": lambda v, c: v.get(c.key),
        "list": lambda v, c: v.list(c.prefix, after=c.after, limit=c.limit),
        "put": lambda v, c: v.put(
            c.key, c.value, expected_revision=c.expected_revision, lease=c.lease
        ),
        "delete": lambda v, c: v.delete(c.key, expected_revision=c.expected_revision),
        "watch": lambda v, c: v.watch(
            c.prefix, after_revision=c.after_revision, wait_s=c.wait_s
        ),
        "grant_lease": lambda v, c: v.grant_lease(c.ttl_s),
        "renew_lease": lambda v, c: v.renew_lease(c.lease),
    }

    async def serve(request):
        operation = operations.get(request.match_info["operation"])
        if operation is None:
            return failure_response(Failure(kind=ErrorKind.NOT_FOUND))
        call, refusal = await read_message(request, StoreCall)
        if refusal is not None:
            return refusal
        name = request.headers.get(CLIENT_HEADER, "")
        view = store.client(name, timeout_s=SERVER_TIMEOUT_S)
        return await result_response(request, await operation(view, call))

    return [web.post("/store/v1/{operation}", serve)]


def worker_routes(worker):
    """Return the routes of a worker.

    Parameters
    ----------
    worker : MemoryWorker
        The worker.
    """
    view = worker.client(timeout_s=SERVER_TIMEOUT_S)

    async def serve(request):
        command, refusal = await read_message(request, WorkerSync)
        if refusal is not None:
            return refusal
        result = await view.sync(command)
        if result.is_err() and result.unwrap_err().kind is ErrorKind.UNREACHABLE:
            await hang(request)
        return await result_response(request, result)

    return [web.post(f"/worker/v1/{worker.name}/sync", serve)]


def vms_routes(vms):
    """Return the routes of a list of VMs.

    Parameters
    ----------
    vms : MemoryVmList
        The list.
    """

    async def serve(request):
        centre = request.query.get("data_centre")
        response = await result_response(request, await vms.read(data_centre=centre))
        if response.status != 200:
            return response
        etag = f'"{xxhash.xxh3_64_hexdigest(response.body)}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        response.headers["ETag"] = etag
        return response

    return [web.get("/vms/v1", serve)]


async def read_message(request, message_type):
    """Return the decoded body and None, or None and an error response."""
    try:
        message = msgspec.json.decode(await request.read(), type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        failure = Failure(kind=ErrorKind.INVALID_REQUEST, detail=str(error))
        return None, failure_response(failure)
    return message, None
