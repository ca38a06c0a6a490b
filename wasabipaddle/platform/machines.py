"""Waves of maintenance, and the HTTP client of the machine service."""

import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces.machines import MachineService, MaintenanceReply
from wasabipaddle.jobs.decoding import (
    DECODING_ERRORS,
    decode_answer,
    integer,
    number,
    text,
)
from wasabipaddle.jobs.maintenance import Machine, MachineState, MaintenanceWave
from wasabipaddle.transport.json_client import JsonHttpClient

__all__ = ["WAVE_PREFIX", "PlatformMachines", "decode_wave", "encode_wave_status"]

WAVE_PREFIX = "op/wave/"
STATUS_PREFIX = "status/wave/"
STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}
REPLIES_BY_STATUS = {200: MaintenanceReply.ACCEPTED, 400: MaintenanceReply.INVALID}
REPLIES_BY_REASON = {
    "fence": MaintenanceReply.STALE_EPOCH,
    "busy": MaintenanceReply.BUSY,
    "wave": MaintenanceReply.NOT_IN_WAVE,
}
# Largest number of pages of the list; more of them mean that it does not end.
MAX_PAGES = 1_000


def decode_wave(entry) -> Result[MaintenanceWave, Failure]:
    """Return the wave of a store entry."""
    return decode_answer(_read_wave, entry, name="the wave")


def _read_wave(entry):
    body = msgspec.json.decode(entry.value)
    wave = MaintenanceWave(
        number=integer(body["wave"], least=0),
        machines=tuple(dict.fromkeys(map(text, body["machines"]))),
        duration_s=number(body["duration_s"], least=0),
        cap=integer(body["cap"], least=0),
    )
    if entry.key != f"{WAVE_PREFIX}{wave.number}":
        raise ValueError("the key has another number")
    return wave


def encode_wave_status(wave, *, completed) -> tuple[str, bytes]:
    """Return the key and value of the status of a wave."""
    status = {"state": "completed" if completed else "running"}
    return f"{STATUS_PREFIX}{wave}", msgspec.json.encode(status)


class PlatformMachines(MachineService):
    """Machine service behind the platform's HTTP interface, at `address`."""

    def __init__(self, *, address):
        self.client = JsonHttpClient(address=address)

    async def list_machines(self, *, timeout_s) -> Result[tuple[Machine, ...], Failure]:
        """Return all machines, of all pages; each page may take `timeout_s`."""
        machines, query = [], None
        for _ in range(MAX_PAGES):
            page = await self._call(
                "GET", "/machines", _decode_page, query=query, timeout_s=timeout_s
            )
            if page.is_err():
                return page
            rows, token = page.ok()
            machines += rows
            if not token:
                return Ok(tuple(machines))
            query = {"page_token": token}
        return Err(Failure(kind=ErrorKind.ANSWER_BROKEN, detail="the list is endless"))

    async def begin_maintenance(
        self, machine, wave, *, holder, epoch, timeout_s
    ) -> Result[MaintenanceReply, Failure]:
        """Begin the maintenance of a machine, as a part of a wave."""
        headers = {"Lease-Holder": holder, "Fencing-Token": str(epoch)}
        options = {"headers": headers, "timeout_s": timeout_s}
        body = {"machine": machine, "wave": wave}
        path = "/machine-upkeep"
        return await self._call("POST", path, _decode_reply, body=body, **options)

    async def _call(self, method, path, decode, **options):
        result = await self.client.call(method, path, **options)
        if result.is_err():
            return result
        status = result.ok().status
        if status in (200, 400, 409):
            name, kind = "the answer of the machine service", ErrorKind.TIMEOUT
            return decode_answer(decode, result.ok(), name=name, kind=kind)
        kind = ErrorKind.RATE_LIMITED if status == 429 else ErrorKind.TIMEOUT
        return Err(Failure(kind=kind, detail=f"{path}: status {status}"))

    async def close(self):
        """Close the connections."""
        await self.client.close()


def _decode_reply(response):
    if response.status == 409:
        return REPLIES_BY_REASON[response.body["reason"]]
    return REPLIES_BY_STATUS[response.status]


def _decode_page(response):
    rows, token = response.body["machines"], response.body.get("next_token")
    return [_decode_machine(row) for row in rows], token


def _decode_machine(row):
    """Return a machine; one of which only the name is readable counts as down."""
    name, labels = text(row["machine"]), row.get("labels") or [""]
    try:
        return Machine(
            id=name,
            pool=text(row.get("pool", ""), empty=True),
            state=STATES.get(row["state"], MachineState.DOWN),
            data_centre=text(row.get("zone", ""), empty=True),
            rack=text(labels[-1], empty=True),
            runner=text(row.get("id") or "", empty=True),
        )
    except DECODING_ERRORS:
        return Machine(id=name, pool="", state=MachineState.DOWN)
