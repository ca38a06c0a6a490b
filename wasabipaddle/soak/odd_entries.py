"""Entries in the store of a soak test that other programs could have written."""

import asyncio

import attrs
import msgspec

from wasabipaddle.interfaces import Put
from wasabipaddle.platform.client import encode_runner
from wasabipaddle.platform.configuration import CONFIGURATION_KEY
from wasabipaddle.platform.registry import REGISTRY_PREFIX

__all__ = ["ODD_VALUES", "OddEntries"]

DEEP_NESTING = 100_000
# Odd entries name no runner, also if the dispatcher takes them for sound: a runner
# with two entries would get the work of two.
CLOSED_ADDRESS = "127.0.0.1:1"
MIN_ENTRIES = 3
MAX_ENTRIES = 10
WRITE_INTERVAL_S = 0.4
MIN_DURATION_S = 10.5
MAX_DURATION_S = 14.0
# Every process reads the registry again when the leader changes.
REVOKE_PROBABILITY = 0.5
# Time without a start, while jobs are accepted, after which entries of the runners
# have not held. Other faults up to SETTLE_S before count as an excuse.
STALL_LIMIT_S = 6.0
SETTLE_S = 4.0


def _changed(**changes):
    """Return a function that encodes the entry of a runner with other fields."""
    return lambda entry: msgspec.json.encode({**entry, **changes})


def _without(field):
    return lambda entry: msgspec.json.encode(
        {key: value for key, value in entry.items() if key != field}
    )


def _with_raw(field, text):
    """Return a function that encodes an entry with a field as raw JSON text."""

    def encode(entry):
        value = msgspec.json.encode(_drop(entry, field))
        return value[:-1] + f',"{field}":{text}}}'.encode()

    return encode


def _drop(entry, field):
    return {key: value for key, value in entry.items() if key != field}


# Encoders of odd entries, each of which gets the fields of a sound entry.
ODD_VALUES = {
    "deep": lambda entry: b"[" * DEEP_NESTING + b"]" * DEEP_NESTING,
    "deep_labels": _with_raw("labels", "[" * 3_000 + "]" * 3_000),
    "invalid_utf8": lambda entry: b'{"service":"\xff\xfe"}',
    "binary": lambda entry: bytes(range(256)),
    "empty": lambda entry: b"",
    "null": lambda entry: b"null",
    "list": lambda entry: b"[1,2,3]",
    "born_fraction": _with_raw("born", "1700000000000.5"),
    "born_large": _with_raw("born", str(2**70)),
    "born_negative": _changed(born=-1),
    "born_infinite": _with_raw("born", "1e999"),
    "born_text": _changed(born="now"),
    "seq_large": _with_raw("seq", str(2**65)),
    "capacity_large": _with_raw("capacity", f'{{"cpu":{2**64},"mem_mb":{2**64}}}'),
    "capacity_fraction": _changed(capacity={"cpu": 1_500.5, "mem_mb": 0.25}),
    "capacity_negative": _changed(capacity={"cpu": -6_000, "mem_mb": -1}),
    "capacity_list": _changed(capacity=[6_000, 16_000, 0]),
    "capacity_text": _changed(capacity={"cpu": "6000", "mem_mb": "16000"}),
    "drain_large": _with_raw("drain_remaining_ms", str(10**400)),
    "cold_infinite": _with_raw("cold_remaining_ms", "1e999"),
    "port_large": _changed(address="127.0.0.1:70000"),
    "port_zero": _changed(address="127.0.0.1:0"),
    "port_digits": _changed(address="127.0.0.1:\u0663\u0664\u0665"),
    "host_spaces": _changed(address="no host:80"),
    "host_bracket": _changed(address="[::1:80"),
    "host_long": _changed(address=f"{'a' * 300}.invalid:80"),
    "host_dots": _changed(address="..:80"),
    "host_nul": _changed(address="127.0.0.1\x00:80"),
    "address_path": _changed(address="127.0.0.1/x@y:80"),
    "address_number": _changed(address=80),
    "labels_numbers": _changed(labels=[1, None, {}]),
    "labels_text": _changed(labels="kind"),
    "zone_missing": _without("zone"),
    "address_missing": _without("address"),
    "state_unknown": _changed(state="asleep"),
    "service_unknown": _changed(service="elsewhere"),
}


class OddEntries:
    """Writes odd entries beside those of the runners, and under `op/`.

    Parameters
    ----------
    platform : SoakPlatform
        Store and runners.
    ledger : SoakLedger
        Counts the starts and records violations.
    random : random.Random
        Random number generator for all choices.
    faults : SoakFaults
        Gives the end of the last disturbance.
    """

    def __init__(self, *, platform, ledger, random, faults):
        self.platform = platform
        self.ledger = ledger
        self.random = random
        self.faults = faults
        self.written = 0

    async def odd_entries(self, seconds):
        """Leave odd entries for some seconds while the entries of runners hold.

        Half of the entries stay until the end of the soak test.
        """
        names = self.random.sample(
            sorted(ODD_VALUES), self.random.randint(MIN_ENTRIES, MAX_ENTRIES)
        )
        keys = []
        for name in names:
            keys.append(self._write(name))
            await asyncio.sleep(WRITE_INTERVAL_S)
        if self.random.random() < REVOKE_PROBABILITY:
            self.platform.revoke_leader()
            self.faults.record_disturbance()
        await self._watch_starts(self.random.uniform(MIN_DURATION_S, MAX_DURATION_S))
        for key in self.random.sample(keys, len(keys) // 2):
            self.platform.memory.remove(key)
        return ",".join(names)

    def _write(self, name):
        runner = self.platform.runners[sorted(self.platform.runners)[0]]
        self.written += 1
        entry = attrs.evolve(
            runner.entry, id=f"odd-{self.written}", address=CLOSED_ADDRESS
        )
        sound = msgspec.json.decode(encode_runner(entry, self.written)[1])
        prefix = self.random.choice((REGISTRY_PREFIX,) * 4 + (CONFIGURATION_KEY,))
        key = f"{prefix}odd-{self.written}-{name}"
        put = Put(key=key, value=ODD_VALUES[name](sound))
        self.platform.memory.apply((), (put,), ())
        return key

    async def _watch_starts(self, seconds):
        """Check that tasks are started while the odd entries are there."""
        await asyncio.sleep(seconds - STALL_LIMIT_S)
        since_s, starts = self.ledger.now(), self.ledger.starts
        await asyncio.sleep(STALL_LIMIT_S)
        disturbed = self.faults.last_disturbance_end_s >= since_s - SETTLE_S
        if not disturbed and self.ledger.starts == starts and self._accepted(since_s):
            self.ledger.add_violation(
                "stalled",
                "none",
                f"no start for {STALL_LIMIT_S:g} s beside odd entries",
            )

    def _accepted(self, since_s):
        """Return whether a job was accepted in the first half of the time to watch."""
        until_s = since_s + STALL_LIMIT_S / 2
        return any(
            since_s <= record.accepted_s <= until_s
            for record in self.ledger.jobs.values()
        )
