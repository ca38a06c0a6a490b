"""HTTP client of one runner."""

from result import Err, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import (
    EndCause,
    EndedTask,
    Inventory,
    OrderReply,
    Refusal,
    RunnerClient,
    RunningTask,
)
from wasabipaddle.jobs.decoding import decode_answer, integer, number
from wasabipaddle.platform.tasks import decode_task, encode_task
from wasabipaddle.transport.json_client import JsonHttpClient

__all__ = ["PlatformRunner"]

MS_PER_S = 1000
# Largest number of open connections to a runner.
CONNECTIONS = 32
# A runner lists at most this many ended runs at a time.
ENDS_PER_LIST = 500
REFUSALS = {
    "fence": Refusal.STALE_EPOCH,
    "old": Refusal.OLD_RUN,
    "late": Refusal.TOO_LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}
STATUS_REFUSALS = {
    400: Refusal.INVALID,
    421: Refusal.OTHER_INCARNATION,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}
END_CAUSES = {
    "done": EndCause.COMPLETED,
    "failed": EndCause.FAILED,
    "stopped": EndCause.STOPPED,
    "lapsed": EndCause.LEASE_EXPIRED,
    "broken": EndCause.GANG_BROKEN,
    "alone": EndCause.GANG_INCOMPLETE,
}


class PlatformRunner(RunnerClient):
    """Runner behind the platform's HTTP interface.

    Parameters
    ----------
    runner : str
        Identity of the runner.
    address : str
        Host and port.
    """

    def __init__(self, *, runner, address):
        self.client = JsonHttpClient(address=address, connections=CONNECTIONS)
        self.headers = {"Expect-Instance": runner}

    async def start(self, order, *, timeout_s) -> Result[OrderReply, Failure]:
        """Send a `StartOrder`."""
        body = _encode_order(order.task, order.run, order.epoch)
        body["spec"] = order.payload
        body["deadline_ms"] = order.start_before_ms
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._send_order("/run-start", body, timeout_s)

    async def stop(self, task, run, *, epoch, timeout_s) -> Result[OrderReply, Failure]:
        """Stop a run, or cancel one that has not begun."""
        body = _encode_order(task, run, epoch)
        return await self._send_order("/run-stop", body, timeout_s)

    async def pace(
        self, task, run, *, percent, epoch, timeout_s
    ) -> Result[OrderReply, Failure]:
        """Limit a run to a percentage of its full speed."""
        body = {**_encode_order(task, run, epoch), "percent": percent}
        return await self._send_order("/pace", body, timeout_s)

    async def inventory(
        self, *, epoch, acknowledged, lease_until_ms, wait_s, timeout_s
    ) -> Result[Inventory, Failure]:
        """Read the running and ended tasks, and extend the lease of the runner."""
        body = {"fencing_token": epoch, "last_seen": acknowledged}
        if lease_until_ms:
            body["deadline_ms"] = lease_until_ms
        if wait_s:
            body["wait_ms"] = int(wait_s * MS_PER_S)
        broken = ErrorKind.ANSWER_BROKEN
        return await self._call("/hold", body, timeout_s, _decode_inventory, broken)

    async def _send_order(self, path, body, timeout_s):
        # Whether the order has been carried out is unknown.
        return await self._call(path, body, timeout_s, _decode_reply, ErrorKind.TIMEOUT)

    async def _call(self, path, body, timeout_s, decode, broken):
        """Make a call; a response that is malformed gives an `Err` of kind `broken`."""
        result = await self.client.call(
            "POST", path, body=body, headers=self.headers, timeout_s=timeout_s
        )
        if result.is_err():
            return result
        response = result.ok()
        if response.status in (502, 504):
            detail = f"{path}: status {response.status}"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
        return decode_answer(decode, response, name=f"response to {path}", kind=broken)

    async def close(self):
        """Close the connections."""
        await self.client.close()


def _encode_order(task, run, epoch):
    return {"task": encode_task(task), "run": run, "fencing_token": epoch}


def _decode_reply(response):
    return OrderReply(
        clock_ms=integer(response.body.get("clock_ms", 0), least=0),
        refusal=_decode_refusal(response),
        incarnation=integer(response.body.get("born", 0), least=0),
    )


def _decode_inventory(response):
    body = response.body
    ended = tuple(map(_decode_ended, body.get("ended", ())))
    return Inventory(
        clock_ms=integer(body.get("clock_ms", 0), least=0),
        incarnation=integer(body.get("born", 0), least=0),
        running=tuple(map(_decode_running, body.get("running", ()))),
        ended=ended,
        refusal=_decode_refusal(response),
        complete=len(ended) < ENDS_PER_LIST,
    )


def _decode_refusal(response):
    if response.status == 200:
        return Refusal.NONE
    if response.status == 409:
        return REFUSALS.get(response.body.get("reason"), Refusal.INVALID)
    return STATUS_REFUSALS.get(response.status, Refusal.INVALID)


def _decode_running(row):
    load = row[4] if len(row) > 4 and row[4] is not None else 0.0
    return RunningTask(
        task=decode_task(row[0]),
        run=integer(row[1], least=0),
        checkpoint=_decode_checkpoint(row[2]),
        percent=integer(row[3]),
        load=float(number(load)),
    )


def _decode_ended(row):
    return EndedTask(
        number=integer(row[0], least=0),
        task=decode_task(row[1]),
        run=integer(row[2], least=0),
        cause=END_CAUSES[row[3]],
        checkpoint=_decode_checkpoint(row[4]),
    )


def _decode_checkpoint(checkpoint):
    if checkpoint is not None and not isinstance(checkpoint, str):
        raise TypeError("the checkpoint is not a string")
    return checkpoint or ""
