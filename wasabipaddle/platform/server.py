"""Server side of the platform's HTTP interface, for stand-ins of its services."""

import base64
import functools

import msgspec
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Put, Refusal, StartOrder
from wasabipaddle.platform.runner import END_CAUSES, ENDS_PER_LIST, REFUSALS
from wasabipaddle.platform.tasks import decode_task, encode_task

__all__ = ["advice_routes", "runner_routes", "store_routes"]

MS_PER_S = 1000
CAUSE_NAMES = {cause: name for name, cause in END_CAUSES.items()}
REFUSAL_REASONS = {refusal: reason for reason, refusal in REFUSALS.items()}
REFUSAL_STATUS = {
    Refusal.INVALID: 400,
    Refusal.OTHER_INCARNATION: 421,
    Refusal.UNHEALTHY: 503,
}
STATUS_BY_KIND = {
    ErrorKind.STORE_UNAVAILABLE: 503,
    ErrorKind.STORE_THROTTLED: 429,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.REVISION_MISMATCH: 412,
    ErrorKind.RATE_LIMITED: 429,
}


def _json_response(body, status=200):
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def _error_response(request, failure, body=None):
    """Return the response to a failure.

    A failure without a status, such as a timeout, aborts the connection: the client
    gets no response.
    """
    status = STATUS_BY_KIND.get(failure.kind)
    if status is None:
        status = 500
        if request.transport is not None:
            request.transport.abort()
    return _json_response(body or {}, status)


def _respond(request, result, encode=lambda _: {}):
    """Return the response to a result; `encode` makes the body of that of success."""
    if result.is_err():
        return _error_response(request, result.err())
    return _json_response(encode(result.ok()))


async def _read_body(request):
    return msgspec.json.decode(await request.read() or b"{}")


def store_routes(store):
    """Return the HTTP routes that serve a `TransactionalStore`."""
    return [
        web.get("/kv-key", functools.partial(_read, store)),
        web.get("/kv-range", functools.partial(_list, store)),
        web.get("/kv-watch", functools.partial(_follow, store)),
        web.post("/kv-txn", functools.partial(_commit, store)),
        web.post("/kv-lease", functools.partial(_grant, store)),
        web.post("/kv-keep/{lease}", functools.partial(_renew, store)),
        web.delete("/kv-lease-end/{lease}", functools.partial(_end, store)),
    ]


async def _read(store, request):
    found = await store.get(request.query["key"])
    if found.is_ok() and found.ok() is None:
        return _json_response({}, 404)
    return _respond(request, found, _encode_entry)


async def _list(store, request):
    page = await store.list(
        request.query["prefix"], after=request.query.get("after", "")
    )
    return _respond(request, page, _encode_page)


async def _follow(store, request):
    batch = await store.follow(
        request.query["prefix"],
        after_revision=int(request.query["after"]),
        wait_s=int(request.query["wait_ms"]) / MS_PER_S,
    )
    if batch.is_err() and batch.err().kind is ErrorKind.REVISION_MISMATCH:
        return _json_response({}, 410)
    return _respond(request, batch, _encode_batch)


async def _commit(store, request):
    body = await _read_body(request)
    puts = tuple(
        Put(
            key=row["key"],
            value=base64.b64decode(row["value"]),
            lease=row.get("lease", 0),
        )
        for row in body.get("puts", ())
    )
    conditions = tuple(
        (row["key"], row["revision"]) for row in body.get("expected_rev", ())
    )
    committed = await store.commit(
        conditions=conditions, puts=puts, deletes=tuple(body.get("deletes", ()))
    )
    if committed.is_err():
        body = {"items": [{"key": committed.err().detail}]}
        return _error_response(request, committed.err(), body)
    return _json_response({"revision": committed.ok()})


async def _grant(store, request):
    ttl_ms = (await _read_body(request))["ttl_ms"]
    lease = await store.grant_lease(ttl_ms / MS_PER_S)
    return _respond(request, lease, lambda n: {"lease": n, "ttl_ms": ttl_ms})


async def _renew(store, request):
    renewed = await store.renew_lease(int(request.match_info["lease"]))
    return _respond(request, renewed)


async def _end(store, request):
    ended = await store.end_lease(int(request.match_info["lease"]))
    return _respond(request, ended)


def _encode_page(page):
    items = [_encode_entry(entry) for entry in page.entries]
    more = page.next_after is not None
    return {"items": items, "has_more": more, "as_of": page.revision}


def _encode_batch(batch):
    events = [_encode_change(change) for change in batch.changes]
    return {"events": events, "as_of": batch.revision}


def _encode_entry(entry):
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
    }


def _encode_change(change):
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "deleted": True}
    return _encode_entry(change)


def runner_routes(runner):
    """Return the HTTP routes that serve a `RunnerClient`."""
    return [
        web.post("/run-start", functools.partial(_start, runner)),
        web.post("/run-stop", functools.partial(_stop, runner)),
        web.post("/pace", functools.partial(_pace, runner)),
        web.post("/hold", functools.partial(_hold, runner)),
    ]


async def _read_order(request):
    """Return what all orders of a task contain, and the whole body."""
    body = await _read_body(request)
    epoch = body.get("fencing_token", 0)
    return {"task": decode_task(body["task"]), "run": body["run"], "epoch": epoch}, body


async def _start(runner, request):
    fields, body = await _read_order(request)
    order = StartOrder(
        payload=body["spec"],
        start_before_ms=body["deadline_ms"],
        checkpoint=body.get("checkpoint", ""),
        ticket=body.get("ticket", ""),
        **fields,
    )
    return _order_response(request, await runner.start(order, timeout_s=None))


async def _stop(runner, request):
    fields, _ = await _read_order(request)
    return _order_response(request, await runner.stop(**fields, timeout_s=None))


async def _pace(runner, request):
    fields, body = await _read_order(request)
    paced = await runner.pace(**fields, percent=body["percent"], timeout_s=None)
    return _order_response(request, paced)


def _order_response(request, result):
    if result.is_err():
        return _error_response(request, result.err())
    reply = result.ok()
    # Only inventories name the incarnation.
    body = {"clock_ms": reply.clock_ms}
    return _json_response(*_add_refusal(body, reply.refusal))


async def _hold(runner, request):
    body = await _read_body(request)
    found = await runner.inventory(
        epoch=body.get("fencing_token", 0),
        acknowledged=body.get("last_seen", 0),
        lease_until_ms=body.get("deadline_ms", 0),
        wait_s=body.get("wait_ms", 0) / MS_PER_S,
        timeout_s=None,
    )
    if found.is_err():
        return _error_response(request, found.err())
    inventory = found.ok()
    response_body = {
        "clock_ms": inventory.clock_ms,
        "born": inventory.incarnation,
        "running": [
            [encode_task(r.task), r.run, r.checkpoint, r.percent, r.load]
            for r in inventory.running
        ],
        "ended": [_encode_ended(e) for e in inventory.ended[:ENDS_PER_LIST]],
    }
    return _json_response(*_add_refusal(response_body, inventory.refusal))


def _encode_ended(e):
    return [e.number, encode_task(e.task), e.run, CAUSE_NAMES[e.cause], e.checkpoint]


def _add_refusal(body, refusal):
    """Return the body and status of a runner's response."""
    if refusal is Refusal.NONE:
        return body, 200
    if refusal in REFUSAL_REASONS:
        return {**body, "reason": REFUSAL_REASONS[refusal]}, 409
    return body, REFUSAL_STATUS[refusal]


def advice_routes(client):
    """Return the HTTP routes that serve an `AdviceClient`."""

    async def advise(request):
        body = await _read_body(request)
        job, occurrence, step = body["step"].split(".")
        advice = await client.ask(
            job=job,
            occurrence=int(occurrence),
            step=int(step),
            runners=body["workers"],
            timeout_s=None,
        )
        return _respond(request, advice, _encode_advice)

    return [web.post("/advise", advise)]


def _encode_advice(advice):
    return {
        "good": [list(row) for row in advice.tickets.items()],
        "valid_ms": int(advice.valid_s * MS_PER_S),
    }
