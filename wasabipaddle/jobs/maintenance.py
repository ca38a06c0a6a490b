"""Waves of maintenance, the machines of the platform, and the stored record of a wave.

A machine hosts one runner at a time. All work on it ends when its maintenance begins.
"""

import enum

import attrs
import msgspec

from wasabipaddle.jobs.decoding import (
    DECODING_ERRORS,
    ignore_report,
    integer,
    text,
)

__all__ = [
    "Machine",
    "MachineState",
    "MaintenanceWave",
    "WaveRecord",
    "decode_wave_record",
    "encode_wave_record",
]


class MachineState(enum.Enum):
    """State of a machine in the list of the machine service."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class Machine:
    """One machine of the platform.

    Parameters
    ----------
    id, pool, data_centre, rack : str
        Identifier, and the pool, data centre and rack of the machine.
    state : MachineState
        Current state.
    runner : str
        Identifier of the runner on the machine, empty if there is none.
    """

    id: str
    pool: str
    state: MachineState
    data_centre: str = ""
    rack: str = ""
    runner: str = ""


@attrs.frozen(kw_only=True)
class MaintenanceWave:
    """Request of the operator that some machines have their maintenance.

    Parameters
    ----------
    number : int
        Number of the wave.
    machines : tuple of str
        Identifiers of the machines, each once.
    duration_s : float
        Time within which each machine should have begun its maintenance, in seconds.
    cap : int
        Largest number of machines that may be in maintenance at once.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    cap: int


@attrs.frozen(kw_only=True)
class WaveRecord:
    """Stored progress of a wave.

    Parameters
    ----------
    first_seen_ms : int
        Unix time in milliseconds at which a dispatcher first saw the wave.
    asked : dict of str to str
        Machines that the service may have been asked to begin with, without a known
        outcome, and the runner of each.
    begun : tuple of str
        Machines whose maintenance has begun.
    absent : tuple of str
        Machines that were gone.
    completed : bool
        Whether the wave was completed.
    """

    first_seen_ms: int = 0
    asked: dict[str, str] = attrs.field(factory=dict)
    begun: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()
    completed: bool = False


def encode_wave_record(record) -> bytes:
    """Encode a `WaveRecord` for the store."""
    return msgspec.json.encode(record)


def decode_wave_record(data, *, report=ignore_report) -> WaveRecord | None:
    """Decode a stored record; return None if it is unreadable.

    Parameters
    ----------
    report : callable
        Called with the reason if it is.
    """
    try:
        body = msgspec.json.decode(data)
        asked = body.get("asked", {})
        begun, absent = body.get("begun", []), body.get("absent", [])
        if not isinstance(begun, list) or not isinstance(absent, list):
            raise TypeError("the machines are not a list")
        return WaveRecord(
            first_seen_ms=integer(body.get("first_seen_ms", 0), least=0),
            asked={text(m): text(r, empty=True) for m, r in asked.items()},
            begun=tuple(map(text, begun)),
            absent=tuple(map(text, absent)),
            completed=bool(body.get("completed")),
        )
    except DECODING_ERRORS as error:
        report(repr(error))
        return None
