"""Runners in the platform's registry."""

import msgspec

from wasabipaddle.jobs import Capacity, RunnerEntry

__all__ = ["REGISTRY_PREFIX", "decode_runner"]

REGISTRY_PREFIX = "servers/"
MS_PER_S = 1000
STATES = ("ready", "draining")
TEXTS = ("service", "address", "zone", "state")
NUMBERS = ("cpu", "mem_mb", "gpu")


def decode_runner(entry) -> RunnerEntry | None:
    """Return the runner of a store entry.

    None stands for an entry of another writer: bytes that cannot be read, fields
    that are missing or of another type, an unknown state.
    """
    try:
        body = msgspec.json.decode(entry.value)
    except msgspec.MsgspecError:
        return None
    if not _is_runner(body):
        return None
    room = body["capacity"]
    return RunnerEntry(
        id=entry.key.removeprefix(REGISTRY_PREFIX),
        address=body["address"],
        data_centre=body["zone"],
        pool=body["service"],
        capacity=Capacity(
            cpu=room.get("cpu", 0),
            memory_mb=room.get("mem_mb", 0),
            gpus=room.get("gpu", 0),
        ),
        labels=tuple(body.get("labels", ())),
        draining=body["state"] == "draining",
        leaves_in_s=body.get("drain_remaining_ms", 0) / MS_PER_S,
        cold_s=body.get("cold_remaining_ms", 0) / MS_PER_S,
        incarnation=body.get("born", 0),
    )


def _is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _is_runner(body):
    if not isinstance(body, dict) or body.get("state") not in STATES:
        return False
    if not all(isinstance(body.get(key), str) and body[key] for key in TEXTS):
        return False
    room = body.get("capacity")
    if not isinstance(room, dict):
        return False
    if not all(_is_number(room.get(key, 0)) for key in NUMBERS):
        return False
    optional = ("drain_remaining_ms", "cold_remaining_ms", "born", "seq")
    if not all(_is_number(body.get(key, 0)) for key in optional):
        return False
    host, _, port = body["address"].rpartition(":")
    labels = body.get("labels", [])
    return (
        bool(host)
        and port.isdecimal()
        and isinstance(labels, list)
        and all(isinstance(label, str) for label in labels)
    )
