"""Measure `keys`: claims of idempotency keys in a cell in virtual time.

`wasabipaddle measure keys --json` prints the calls, bytes and waiting time that a key
adds to a request, and how many repeated keys run twice while members fail.
"""

import asyncio

import attrs

from wasabipaddle.api.idempotency import AnswerCache
from wasabipaddle.clock import ManualClock, run_virtual
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.outcomes import percentile
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.messages import ClaimKey, encode
from wasabipaddle.routing.key_records import key_digest
from wasabipaddle.transport.http import REQUEST_HEADER_BYTES, RESPONSE_HEADER_BYTES

__all__ = ["KeyClaimsMeasure"]

SETTLE_S = 45.0
PAUSE_S = 0.05
FINGERPRINT = "00" * 32
HEADER_BYTES = REQUEST_HEADER_BYTES + RESPONSE_HEADER_BYTES


@attrs.frozen(kw_only=True)
class _Size:
    entries: int = 8
    data_centres: int = 3
    keys: int = 1_000


class KeyClaimsMeasure(Measure):
    """Half of the keys are claimed and repeated, the other half claimed only once.

    Before the repeats and the second half are claimed, one process is replaced and
    another one is suspended. In the baseline, only the process that claimed a key
    knows it.
    """

    name = "keys"
    bounds = (Bound(figure="ran_twice", comparison="==", value=0),)

    def run(self, *, seed, quick):
        """Claim and repeat keys in the system and in the baseline."""
        size = _Size(keys=200 if quick else 1_000)
        figures = run_virtual(_Claims(seed, size).run())
        return self.measurement(
            seed=seed,
            sizes=attrs.asdict(size),
            figures=figures,
            baseline={"ran_twice": _count_baseline_repeats(size)},
        )


def _count_baseline_repeats(size) -> int:
    """Return how many keys run twice if each process knows only its own keys."""
    clock = ManualClock()
    caches = [AnswerCache(clock=clock) for _ in range(size.entries)]
    twice = 0
    for i in range(size.keys // 2):
        found = [caches[(i + k) % size.entries].begin(str(i), b"") for k in range(2)]
        twice += all(f.is_ok() and f.unwrap() is None for f in found)
    return twice


class _Claims:
    def __init__(self, seed, size):
        self.size = size
        cell_size = CellSize(
            entries=size.entries,
            data_centres=size.data_centres,
            workers=1,
            endpoints=1,
        )
        self.cell = WholeCell(size=cell_size, seed=seed)
        self.waits_ms = []
        self.granted = {}
        self.calls = self.bytes = 0

    async def run(self):
        await self.cell.start()
        await asyncio.sleep(SETTLE_S)
        names = sorted(self.cell.processes)
        half = self.size.keys // 2
        for process in self.cell.processes.values():
            self._count_claim_calls(process.transport)
        for i in range(half):
            await self._claim(i, names[i % len(names)])
        traffic = self.calls, self.bytes
        waits_before_faults = list(self.waits_ms)
        replaced, suspended = names[0], names[1]
        await self.cell.kill(replaced)
        await self.cell.start_process(replaced)
        await self.cell.processes[suspended].pause()
        remaining = [n for n in names if n not in (replaced, suspended)]
        for i in range(self.size.keys):
            await self._claim(i, remaining[(i + 1) % len(remaining)])
        refused = self.size.keys - len(self.granted)
        return self._figures(traffic, half, waits_before_faults, refused)

    def _figures(self, traffic, half, waits_before_faults, refused):
        calls, size = traffic
        return {
            "ran_twice": sum(n > 1 for n in self.granted.values()),
            "refused_unknown": refused,
            "calls_per_key": calls / half,
            "body_bytes_per_key": size / half,
            "wire_bytes_per_key": (size + calls * HEADER_BYTES) / half,
            "wait_median_ms": percentile(waits_before_faults, 0.5),
            "wait_p99_ms": percentile(waits_before_faults, 0.99),
            "wait_max_ms": max(waits_before_faults),
        }

    async def _claim(self, number, name):
        key = key_digest("caller", "service", f"key-{number}")
        process = self.cell.processes[name]
        keys = process.context.plugins["keys"]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        result = await process.run(keys.claim(key, f"{name}.{number}", FINGERPRINT))
        self.waits_ms.append((loop.time() - started_at) * 1000)
        if result.is_ok() and result.unwrap() is None:
            self.granted[number] = self.granted.get(number, 0) + 1
        await asyncio.sleep(PAUSE_S)

    def _count_claim_calls(self, transport):
        """Count the claim calls of a transport and the bytes of calls and replies."""
        call = transport.call

        async def counted(peer, message, reply_type, *, timeout_s):
            reply = await call(peer, message, reply_type, timeout_s=timeout_s)
            if isinstance(message, ClaimKey):
                self.calls += 1
                self.bytes += len(encode(message))
                self.bytes += len(encode(reply.unwrap())) if reply.is_ok() else 0
            return reply

        transport.call = counted
