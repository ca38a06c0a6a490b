"""Decoding of the runners in the platform's registry."""

import re

import msgspec

from wasabipaddle.jobs import RunnerEntry
from wasabipaddle.jobs.addresses import is_callable_address
from wasabipaddle.jobs.decoding import DECODING_ERRORS, integer, number, text
from wasabipaddle.platform.configuration import decode_capacity

__all__ = ["REGISTRY_PREFIX", "decode_runner"]

REGISTRY_PREFIX = "servers/"
# Calls to a runner name it in a header.
RUNNER_ID = re.compile(r"[!-~]+")
MS_PER_S = 1000
STATES = ("ready", "draining")
# Largest number of labels; runners have two. The fleet record has to fit into a value
# of the store.
MAX_LABELS = 16


def decode_runner(entry) -> RunnerEntry | None:
    """Return the runner of a store entry.

    Returns None for an entry that does not describe a runner, as other programs may
    write under the same prefix: a value that is not JSON, fields that are missing or
    of the wrong type, a fraction in place of a whole number, an unknown
    state, or an address that cannot be called.
    """
    try:
        body = msgspec.json.decode(entry.value)
        return _read_runner(entry.key.removeprefix(REGISTRY_PREFIX), body)
    except DECODING_ERRORS:
        return None


def _read_runner(runner_id, body):
    """Return the runner of an entry; raise one of `DECODING_ERRORS` if it has none."""
    if body["state"] not in STATES:
        raise ValueError("the state is unknown")
    if not is_callable_address(body["address"]):
        raise ValueError("the address cannot be called")
    if not RUNNER_ID.fullmatch(runner_id):
        raise ValueError("the identifier cannot be sent in a header")
    labels = body.get("labels", [])
    if not isinstance(labels, list) or len(labels) > MAX_LABELS:
        raise TypeError("the labels are not a list, or too many")
    number(body.get("seq", 0))
    return RunnerEntry(
        id=text(runner_id),
        address=body["address"],
        data_centre=text(body["zone"]),
        pool=text(body["service"]),
        capacity=decode_capacity(body["capacity"]),
        labels=tuple(text(label, empty=True) for label in labels),
        draining=body["state"] == "draining",
        leaves_in_s=number(body.get("drain_remaining_ms", 0)) / MS_PER_S,
        cold_s=number(body.get("cold_remaining_ms", 0)) / MS_PER_S,
        incarnation=integer(body.get("born", 0)),
    )
