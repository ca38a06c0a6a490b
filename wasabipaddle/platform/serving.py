"""Server side of the platform's calls, for stand-ins that speak its wire."""

import base64

import msgspec
from aiohttp import web

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Put, Refusal, StartOrder
from wasabipaddle.platform.runner import CAUSES, REFUSALS
from wasabipaddle.platform.tasks import decode_task, encode_task

__all__ = ["advice_routes", "runner_routes", "store_routes"]

MS_PER_S = 1000
MAX_ENDS = 500
CAUSE_WORDS = {cause: word for word, cause in CAUSES.items()}
REASONS = {refusal: word for word, refusal in REFUSALS.items()}
REFUSAL_STATUS = {
    Refusal.INVALID: 400,
    Refusal.OTHER_INCARNATION: 421,
    Refusal.UNHEALTHY: 503,
}
STORE_STATUS = {
    ErrorKind.STORE_UNAVAILABLE: 503,
    ErrorKind.STORE_THROTTLED: 429,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.REVISION_MISMATCH: 412,
    ErrorKind.RATE_LIMITED: 429,
}


def _json(body, status=200):
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def _failed(request, failure, body=None):
    """Answer a failure; one without an answer loses the connection."""
    status = STORE_STATUS.get(failure.kind)
    if status is None:
        status = 500
        if request.transport is not None:
            request.transport.abort()
    return _json(body or {}, status)


async def _body(request):
    return msgspec.json.decode(await request.read() or b"{}")


def store_routes(store):
    """Return routes that lead to a `TransactionalStore`."""
    calls = _StoreCalls(store=store)
    return [
        web.get("/kv-key", calls.read),
        web.get("/kv-range", calls.list),
        web.get("/kv-watch", calls.follow),
        web.post("/kv-txn", calls.commit),
        web.post("/kv-lease", calls.grant),
        web.post("/kv-keep/{lease}", calls.renew),
        web.delete("/kv-lease-end/{lease}", calls.end),
    ]


class _StoreCalls:
    """Turns calls on the wire into calls of a store.

    Parameters
    ----------
    store : TransactionalStore
        Answers the calls.
    """

    def __init__(self, *, store):
        self.store = store

    async def read(self, request):
        """Answer the entry of one key."""
        found = await self.store.get(request.query["key"])
        if found.is_err():
            return _failed(request, found.err())
        entry = found.ok()
        return _json({}, 404) if entry is None else _json(_item(entry))

    async def list(self, request):
        """Answer one page of a prefix."""
        page = await self.store.list(
            request.query["prefix"], after=request.query.get("after", "")
        )
        if page.is_err():
            return _failed(request, page.err())
        page = page.ok()
        items = [_item(entry) for entry in page.entries]
        more = page.next_after is not None
        return _json({"items": items, "has_more": more, "as_of": page.revision})

    async def follow(self, request):
        """Answer the changes of a prefix as soon as there are any."""
        batch = await self.store.follow(
            request.query["prefix"],
            after_revision=int(request.query["after"]),
            wait_s=int(request.query["wait_ms"]) / MS_PER_S,
        )
        if batch.is_err():
            failure = batch.err()
            if failure.kind is ErrorKind.REVISION_MISMATCH:
                return _json({}, 410)
            return _failed(request, failure)
        batch = batch.ok()
        events = [_event(change) for change in batch.changes]
        return _json({"events": events, "as_of": batch.revision})

    async def commit(self, request):
        """Carry out one commit."""
        body = await _body(request)
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
        done = await self.store.commit(
            conditions=conditions, puts=puts, deletes=tuple(body.get("deletes", ()))
        )
        if done.is_err():
            return _failed(request, done.err(), {"items": [{"key": done.err().detail}]})
        return _json({"revision": done.ok()})

    async def grant(self, request):
        """Create a lease."""
        ttl_ms = (await _body(request))["ttl_ms"]
        lease = await self.store.grant_lease(ttl_ms / MS_PER_S)
        if lease.is_err():
            return _failed(request, lease.err())
        return _json({"lease": lease.ok(), "ttl_ms": ttl_ms})

    async def renew(self, request):
        """Extend a lease."""
        renewed = await self.store.renew_lease(int(request.match_info["lease"]))
        return _failed(request, renewed.err()) if renewed.is_err() else _json({})

    async def end(self, request):
        """End a lease."""
        ended = await self.store.end_lease(int(request.match_info["lease"]))
        return _failed(request, ended.err()) if ended.is_err() else _json({})


def _item(entry):
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
    }


def _event(change):
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "deleted": True}
    return _item(change)


def runner_routes(runner):
    """Return routes that lead to a `RunnerClient`."""
    calls = _RunnerCalls(runner=runner)
    return [
        web.post("/run-start", calls.start),
        web.post("/run-stop", calls.stop),
        web.post("/pace", calls.pace),
        web.post("/hold", calls.hold),
    ]


class _RunnerCalls:
    """Turns calls on the wire into calls of a runner.

    Parameters
    ----------
    runner : RunnerClient
        Answers the calls.
    """

    def __init__(self, *, runner):
        self.runner = runner

    async def start(self, request):
        """Start a run."""
        body = await _body(request)
        order = StartOrder(
            task=decode_task(body["task"]),
            run=body["run"],
            payload=body["spec"],
            start_before_ms=body["deadline_ms"],
            epoch=body.get("fencing_token", 0),
            checkpoint=body.get("checkpoint", ""),
            ticket=body.get("ticket", ""),
        )
        return self._order(request, await self.runner.start(order, timeout_s=None))

    async def stop(self, request):
        """Stop a run."""
        body = await _body(request)
        stopped = await self.runner.stop(
            decode_task(body["task"]),
            body["run"],
            epoch=body.get("fencing_token", 0),
            timeout_s=None,
        )
        return self._order(request, stopped)

    async def pace(self, request):
        """Change the pace of a run."""
        body = await _body(request)
        paced = await self.runner.pace(
            decode_task(body["task"]),
            body["run"],
            percent=body["percent"],
            epoch=body.get("fencing_token", 0),
            timeout_s=None,
        )
        return self._order(request, paced)

    def _order(self, request, result):
        if result.is_err():
            return _failed(request, result.err())
        reply = result.ok()
        body = {"clock_ms": reply.clock_ms, "born": reply.incarnation}
        return _json(*_refused(body, reply.refusal))

    async def hold(self, request):
        """Extend the lease and answer the lists of runs."""
        body = await _body(request)
        found = await self.runner.inventory(
            epoch=body.get("fencing_token", 0),
            acknowledged=body.get("last_seen", 0),
            lease_until_ms=body.get("deadline_ms", 0),
            wait_s=body.get("wait_ms", 0) / MS_PER_S,
            timeout_s=None,
        )
        if found.is_err():
            return _failed(request, found.err())
        lists = found.ok()
        answer = {
            "clock_ms": lists.clock_ms,
            "born": lists.incarnation,
            "running": [
                [encode_task(r.task), r.run, r.checkpoint, r.percent, r.load]
                for r in lists.running
            ],
            "ended": [
                [
                    e.number,
                    encode_task(e.task),
                    e.run,
                    CAUSE_WORDS[e.cause],
                    e.checkpoint,
                ]
                for e in lists.ended[:MAX_ENDS]
            ],
        }
        return _json(*_refused(answer, lists.refusal))


def _refused(body, refusal):
    """Return the body and status of an answer of a runner."""
    if refusal is Refusal.NONE:
        return body, 200
    if refusal in REASONS:
        return {**body, "reason": REASONS[refusal]}, 409
    return body, REFUSAL_STATUS[refusal]


def advice_routes(client):
    """Return routes that lead to an `AdviceClient`."""

    async def advise(request):
        body = await _body(request)
        job, occurrence, step = body["step"].split(".")
        advice = await client.ask(
            job=job,
            occurrence=int(occurrence),
            step=int(step),
            runners=body["workers"],
            timeout_s=None,
        )
        if advice.is_err():
            return _failed(request, advice.err())
        advice = advice.ok()
        return _json(
            {
                "good": [list(row) for row in advice.tickets.items()],
                "valid_ms": int(advice.valid_s * MS_PER_S),
            }
        )

    return [web.post("/advise", advise)]
