"""Elections and journals of one shard on a store with fault injection, for tests."""

import asyncio
import math
import random

from wasabipaddle.clock import LoopClock
from wasabipaddle.documents import ServiceKind
from wasabipaddle.interfaces import Store
from wasabipaddle.journal import Journal, RunAccepted, decode_batch
from wasabipaddle.leadership import LeaderElected, MembershipView, ShardElection
from wasabipaddle.settings import JournalSettings, LeadershipSettings

SHARD = "dc0-0"
CALLS = ("get", "list", "put", "delete", "watch", "grant_lease", "renew_lease")


def accepted(name):
    return RunAccepted(
        run=name,
        service="pages",
        team="t",
        key=name,
        payload="{}",
        accepted_ms=0,
        revision=1,
        kind=ServiceKind.BATCH,
    )


def make_journal(store, process, *, incarnation=1, **settings):
    settings.setdefault("compact_after", 5)
    return Journal(
        shard=SHARD,
        process=process,
        incarnation=incarnation,
        store=store,
        clock=LoopClock(),
        settings=JournalSettings(**settings),
        random=random.Random(process),
    )


class PausableStore(Store):
    """Store client that holds calls and their results while its process is paused."""

    def __init__(self, inner):
        self.inner = inner
        self.running = asyncio.Event()
        self.running.set()


def _pausable(name):
    async def call(self, *args, **kwargs):
        await self.running.wait()
        result = await getattr(self.inner, name)(*args, **kwargs)
        await self.running.wait()
        return result

    return call


for _name in CALLS:
    setattr(PausableStore, _name, _pausable(_name))
PausableStore.__abstractmethods__ = frozenset()


class Process(MembershipView):
    """One candidate with its election and the journal of its latest term as leader."""

    def __init__(self, shard, name):
        self.shard_model = shard
        self.name = name
        self.incarnation = shard.next_incarnation()
        self.store = PausableStore(shard.store.client(name))
        self.election = ShardElection(
            shard=SHARD,
            process=name,
            incarnation=self.incarnation,
            store=self.store,
            clock=LoopClock(),
            settings=LeadershipSettings(),
            membership_view=self,
        )
        self.election.changes.subscribe(self._changed)
        self.journal = None
        self.tasks = [asyncio.create_task(self.election.run())]

    def rank(self, shard):
        return self.shard_model.names.index(self.name)

    def silence_s(self, name, incarnation):
        return self.shard_model.silence_s(name, incarnation)

    def has_stopped(self, name, incarnation, shard, epoch):
        return False

    def pause(self):
        self.store.running.clear()
        self.tasks[0].cancel()

    def resume(self):
        self.store.running.set()
        self.tasks[0] = asyncio.create_task(self.election.run())

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.journal is not None:
            await self.journal.close()

    def _changed(self, event):
        if isinstance(event, LeaderElected):
            self.journal = make_journal(
                self.store, self.name, incarnation=self.incarnation
            )
            self.tasks.append(asyncio.create_task(self.journal.recover(event.epoch)))


class Shard:
    """Candidates of one shard, and every batch that was ever stored."""

    def __init__(self, store, names):
        self.store = store
        self.names = names
        self.incarnations = 0
        self.batches = []
        self.silent_since = {}
        store.keys.listeners.append(self._record)
        self.processes = {n: Process(self, n) for n in names}

    def next_incarnation(self):
        self.incarnations += 1
        return self.incarnations

    def silence_s(self, name, incarnation):
        process = self.processes.get(name)
        if process is None or process.incarnation != incarnation:
            return math.inf
        since = self.silent_since.get(name)
        return 0.0 if since is None else LoopClock().now() - since

    def _record(self, change):
        if "/journal/" in change.key and change.value is not None:
            self.batches.append((change.key, decode_batch(change.value)))
