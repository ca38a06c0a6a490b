"""Server side of the machine service, for tests over HTTP."""

import msgspec
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.platform.machines import REPLIES_BY_REASON, REPLIES_BY_STATUS, STATES

PAGE_ROWS = 2
STATE_NAMES = {state: name for name, state in STATES.items()}
REASONS = {
    reply: key for key, reply in {**REPLIES_BY_STATUS, **REPLIES_BY_REASON}.items()
}


def machine_routes(service):
    """Return the HTTP routes that serve a `MachineService`."""

    async def show(request):
        listed = await service.list_machines(timeout_s=None)
        if listed.is_err():
            return _fail(request, listed.err())
        first = int(request.query.get("page_token", 0))
        rows = [_encode(machine) for machine in listed.ok()]
        last = first + PAGE_ROWS
        token = str(last) if last < len(rows) else ""
        return _respond({"machines": rows[first:last], "next_token": token})

    async def begin(request):
        body = msgspec.json.decode(await request.read())
        result = await service.begin_maintenance(
            body["machine"],
            body["wave"],
            holder=request.headers["Lease-Holder"],
            epoch=int(request.headers["Fencing-Token"]),
            timeout_s=None,
        )
        if result.is_err():
            return _fail(request, result.err())
        reason = REASONS[result.ok()]
        if isinstance(reason, int):
            return _respond({}, reason)
        return _respond({"reason": reason}, 409)

    return [web.get("/machines", show), web.post("/machine-upkeep", begin)]


def _encode(machine):
    return {
        "machine": machine.id,
        "pool": machine.pool,
        "state": STATE_NAMES[machine.state],
        "zone": machine.data_centre,
        "labels": ["kind", machine.rack],
        "id": machine.runner,
    }


def _respond(body, status=200):
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def _fail(request, failure):
    """Refuse a call, or close its connection without an answer."""
    if failure.kind is not ErrorKind.RATE_LIMITED:
        request.transport.abort()
    return _respond({}, 429)
