"""Measure `configuration`: time until every process has applied an accepted edit."""

import asyncio
import random

from wasabipaddle.clock import run_virtual
from wasabipaddle.documents import decode_stored, document_key, parse_document
from wasabipaddle.documents.stored import DOCUMENT_PREFIX
from wasabipaddle.interfaces import Store
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.cell import MemoryCell, MemoryProcess
from wasabipaddle.measure.config_edits import (
    SERVICES,
    Operator,
    number_of,
    service_name,
)
from wasabipaddle.messages import RevisionQuery
from wasabipaddle.relay import DocumentApplied

__all__ = ["ConfigurationMeasure"]

ENTRIES, DATA_CENTRES = 10, 5
OPERATORS = 2
FAULT_PERIOD_S = 40.0
PARTITION_S = 30.0
OUTAGE_S = 20.0
RESTART_PERIOD_S = 15.0
LOST_ANSWER_PROBABILITY = 0.2
SETTLE_S = 6.0
# Time after the last fault in which every process has to apply the latest edits.
CATCH_UP_S = 19.0
POLL_S = 0.05
BASELINE_PERIOD_S = 10.0


class ConfigurationMeasure(Measure):
    """Concurrent edits under partitions, outages, restarts and lost store answers."""

    name = "configuration"
    bounds = (
        Bound(figure="in_force_max_s", comparison="<=", value=19),
        Bound(figure="reverts", comparison="==", value=0),
        Bound(figure="lost_edits", comparison="==", value=0),
    )

    def run(self, *, seed, quick):
        """Run the system and the baseline on the same faults."""
        length_s = 150.0 if quick else 1500.0
        figures = run_virtual(_measure(seed, length_s, relayed=True))
        baseline = run_virtual(_measure(seed, length_s, relayed=False))
        sizes = {
            "entries": ENTRIES,
            "data_centres": DATA_CENTRES,
            "length_s": length_s,
            "operators": OPERATORS,
        }
        return self.measurement(
            seed=seed, sizes=sizes, figures=figures, baseline=baseline
        )


class CountedStore(Store):
    """Store client that counts the bytes of the documents that it returns.

    Parameters
    ----------
    inner : Store
        Client that carries out the calls.
    """

    def __init__(self, *, inner):
        self.inner = inner
        self.document_bytes = 0

    async def get(self, key):
        """Read one key."""
        return await self.inner.get(key)

    async def list(self, prefix, *, after="", limit=100):
        """Read keys with a prefix."""
        answer = await self.inner.list(prefix, after=after, limit=limit)
        if answer.is_ok() and prefix == DOCUMENT_PREFIX:
            self.document_bytes += sum(len(e.value) for e in answer.unwrap().entries)
        return answer

    async def put(self, key, value, *, expected_revision=None, lease=None):
        """Write one key."""
        return await self.inner.put(
            key, value, expected_revision=expected_revision, lease=lease
        )

    async def delete(self, key, *, expected_revision=None):
        """Delete one key."""
        return await self.inner.delete(key, expected_revision=expected_revision)

    async def watch(self, prefix, *, after_revision, wait_s):
        """Wait for changes under a prefix."""
        answer = await self.inner.watch(
            prefix, after_revision=after_revision, wait_s=wait_s
        )
        if answer.is_ok():
            self.document_bytes += sum(len(c.value or b"") for c in answer.unwrap())
        return answer

    async def grant_lease(self, ttl_s):
        """Create a lease."""
        return await self.inner.grant_lease(ttl_s)

    async def renew_lease(self, lease):
        """Extend a lease."""
        return await self.inner.renew_lease(lease)


class CountedProcess(MemoryProcess):
    """Process that counts the document bytes it reads and reports applied revisions."""

    def __init__(self, *, settings, cell):
        super().__init__(settings=settings, cell=cell)
        events = self.context.bus.events(DocumentApplied)
        events.subscribe(lambda event: cell.observer.record_applied(self, event))
        self.call = self.transport.call
        self.transport.call = self._counted_call

    async def _counted_call(self, peer, message, reply_type, *, timeout_s):
        answer = await self.call(peer, message, reply_type, timeout_s=timeout_s)
        far = self.cell.region_of(peer) != self.cell.region_of(self.name)
        if isinstance(message, RevisionQuery) and far and answer.is_ok():
            texts = (len(d.text or "") for d in answer.unwrap().documents)
            self.cell.observer.relayed_bytes += sum(texts)
        return answer

    def make_platform(self):
        """Return the platform clients with a counting store client."""
        platform = super().make_platform()
        platform.store = CountedStore(inner=platform.store)
        self.counted = platform.store
        self.cell.counted.append((self.name, platform.store))
        return platform


class CountedCell(MemoryCell):
    """Cell of processes that count the document bytes they read.

    Parameters
    ----------
    relayed : bool
        Whether relays watch the store on behalf of other processes; otherwise every
        process watches it.
    """

    process_type = CountedProcess

    def __init__(self, *, relayed, **kwargs):
        super().__init__(**kwargs)
        self.relayed = relayed
        self.counted = []
        self.observer = Observer(cell=self)

    async def start_process(self, name):
        """Start a process; without relays it watches the store itself."""
        process = await super().start_process(name)
        if not self.relayed:
            process.relay.watches_store = lambda: True
            process.relay._fetch_if_behind = lambda event: None
        return process

    def link_bytes(self) -> int:
        """Return the bytes of documents sent over the link between regions."""
        far = sum(
            store.document_bytes
            for name, store in self.counted
            if self.region_of(name) != self.deployment.store_region
        )
        return far + self.observer.relayed_bytes


class Observer:
    """Records how long edits take to apply and whether a revision goes backwards.

    The delay of an edit in a process counts from the time at which the process can
    be reached: from its start, or from the end of its partition or of the outage.

    Parameters
    ----------
    cell : CountedCell
        Cell to observe.
    """

    def __init__(self, *, cell):
        self.cell = cell
        self.edits = []
        self.reverts = 0
        self.delays_s = [0.0]
        self.relayed_bytes = 0
        self.reachable_since = {}

    def record_applied(self, process, event):
        """Count a revert if a revision is not higher than the last one applied."""
        last = process.__dict__.setdefault("revisions", {})
        if event.revision <= last.get(event.service, 0):
            self.reverts += 1
        last[event.service] = event.revision

    def mark_reachable(self, names, now):
        """Count delays of these processes from `now` on."""
        for name in names:
            self.reachable_since[name] = now

    def mark_unreachable(self, names):
        """Count no delays of these processes until they can be reached."""
        for name in names:
            self.reachable_since[name] = None

    def poll(self, now):
        """Record the delays of edits that processes applied since the last call."""
        for edit in list(self.edits):
            for name in list(edit.waiting):
                process = self.cell.processes.get(name)
                if process is None:
                    continue
                if process.relay.revision_of(edit.service) >= edit.revision:
                    edit.waiting.discard(name)
                    self._record_delay(edit, name, now)
            if not edit.waiting:
                self.edits.remove(edit)

    def _record_delay(self, edit, name, now):
        since = self.reachable_since.get(name, 0.0)
        if since is not None:
            self.delays_s.append(now - max(edit.due_from, since))

    def finish(self, now):
        """Record edits that a process has not applied as delayed until `now`."""
        for edit in self.edits:
            for name in edit.waiting:
                self._record_delay(edit, name, now)


async def _measure(seed, length_s, *, relayed):
    cell = CountedCell(
        relayed=relayed,
        entries=ENTRIES,
        data_centres=DATA_CENTRES,
        seed=seed,
        random=random.Random(seed),
    )
    await cell.start()
    await asyncio.sleep(SETTLE_S)
    cell.store.faults.lost_answer = LOST_ANSWER_PROBABILITY
    operators = [Operator(cell=cell, number=n, seed=seed) for n in range(OPERATORS)]
    tasks = [asyncio.create_task(o.run(length_s)) for o in operators]
    faults = [
        asyncio.create_task(_partition_and_outage(cell, seed)),
        asyncio.create_task(_restart(cell, seed)),
    ]
    poll = asyncio.create_task(_poll(cell))
    await asyncio.gather(*tasks)
    for task in faults:
        task.cancel()
    await _heal(cell)
    await asyncio.sleep(CATCH_UP_S)
    poll.cancel()
    loop = asyncio.get_running_loop()
    cell.observer.poll(loop.time())
    cell.observer.finish(loop.time())
    figures = await _figures(cell, operators)
    await cell.stop()
    return figures


async def _figures(cell, operators):
    accepted = sum(o.accepted for o in operators)
    unknown = sum(o.unknown for o in operators)
    cell.store.faults.lost_answer = 0.0
    written = 0
    for number in range(SERVICES):
        key = document_key(service_name(number))
        entry = (await cell.store.get(key)).unwrap()
        if entry is not None:
            written += number_of(_parse(entry.value)) + 1
    return {
        "in_force_max_s": round(max(cell.observer.delays_s), 2),
        "reverts": cell.observer.reverts,
        "lost_edits": max(accepted - written, 0),
        "link_bytes_per_change": round(cell.link_bytes() / max(written, 1)),
        "edits_accepted": accepted,
        "edits_refused": sum(o.refused for o in operators),
        "edits_unknown": unknown,
        "unexplained_edits": max(written - accepted - unknown, 0),
    }


def _parse(value):
    text = decode_stored(value).unwrap().text
    return parse_document(text, "measure").unwrap()


async def _partition_and_outage(cell, seed):
    rng = random.Random(f"{seed}/faults")
    far = [n for n in cell.data_centre_of if cell.region_of(n) == "far"]
    near = [n for n in cell.data_centre_of if n not in far]
    while True:
        await asyncio.sleep(FAULT_PERIOD_S * rng.uniform(0.8, 1.2))
        cell.cut(far, near)
        cell.set_store_partition(far, True)
        cell.observer.mark_unreachable(far)
        await asyncio.sleep(PARTITION_S)
        await _heal(cell)
        await asyncio.sleep(FAULT_PERIOD_S * rng.uniform(0.8, 1.2))
        cell.store.faults.down = True
        cell.observer.mark_unreachable(cell.data_centre_of)
        await asyncio.sleep(OUTAGE_S)
        await _heal(cell)


async def _heal(cell):
    cell.network.heal()
    cell.set_store_partition(list(cell.data_centre_of), False)
    cell.store.faults.down = False
    now = asyncio.get_running_loop().time()
    blocked = [n for n, s in cell.observer.reachable_since.items() if s is None]
    cell.observer.mark_reachable(blocked, now)


async def _restart(cell, seed):
    rng = random.Random(f"{seed}/restarts")
    while True:
        await asyncio.sleep(RESTART_PERIOD_S * rng.uniform(0.5, 1.5))
        name = rng.choice(sorted(cell.processes))
        await cell.kill(name)
        await asyncio.sleep(1.0)
        await cell.start_process(name)
        since = cell.observer.reachable_since.get(name, 0.0)
        if since is not None:
            now = asyncio.get_running_loop().time()
            cell.observer.mark_reachable([name], now)


async def _poll(cell):
    loop = asyncio.get_running_loop()
    while True:
        cell.observer.poll(loop.time())
        await asyncio.sleep(POLL_S)
