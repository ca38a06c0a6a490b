"""Decoding of the runners in the platform's registry."""

import msgspec

from wasabipaddle.jobs import Capacity, RunnerEntry
from wasabipaddle.platform.decoding import DECODING_ERRORS

__all__ = ["REGISTRY_PREFIX", "decode_runner"]

REGISTRY_PREFIX = "servers/"
MS_PER_S = 1000
STATES = ("ready", "draining")
REQUIRED_TEXT_FIELDS = ("service", "address", "zone", "state")
CAPACITY_FIELDS = ("cpu", "mem_mb", "gpu")


def decode_runner(entry) -> RunnerEntry | None:
    """Return the runner of a store entry.

    Returns None for an entry that does not describe a runner, as other programs may
    write under the same prefix: a value that is not JSON, fields that are missing or
    of the wrong type, or an unknown state.
    """
    try:
        body = msgspec.json.decode(entry.value)
    except DECODING_ERRORS:
        return None
    if not _is_valid_runner(body):
        return None
    capacity = body["capacity"]
    return RunnerEntry(
        id=entry.key.removeprefix(REGISTRY_PREFIX),
        address=body["address"],
        data_centre=body["zone"],
        pool=body["service"],
        capacity=Capacity(
            cpu=capacity.get("cpu", 0),
            memory_mb=capacity.get("mem_mb", 0),
            gpus=capacity.get("gpu", 0),
        ),
        labels=tuple(body.get("labels", ())),
        draining=body["state"] == "draining",
        leaves_in_s=body.get("drain_remaining_ms", 0) / MS_PER_S,
        cold_s=body.get("cold_remaining_ms", 0) / MS_PER_S,
        incarnation=body.get("born", 0),
    )


def _is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _is_valid_runner(body):
    if not isinstance(body, dict) or body.get("state") not in STATES:
        return False
    if not all(
        isinstance(body.get(key), str) and body[key] for key in REQUIRED_TEXT_FIELDS
    ):
        return False
    capacity = body.get("capacity")
    if not isinstance(capacity, dict):
        return False
    if not all(_is_number(capacity.get(key, 0)) for key in CAPACITY_FIELDS):
        return False
    optional_numbers = ("drain_remaining_ms", "cold_remaining_ms", "born", "seq")
    if not all(_is_number(body.get(key, 0)) for key in optional_numbers):
        return False
    host, _, port = body["address"].rpartition(":")
    labels = body.get("labels", [])
    return (
        bool(host)
        and port.isdecimal()
        and isinstance(labels, list)
        and all(isinstance(label, str) for label in labels)
    )
