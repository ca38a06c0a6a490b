"""Keys of the callers of a soak test, and calls with keys that were removed."""

import asyncio

from wasabipaddle.jobs import Workspace
from wasabipaddle.soak.platform import CELL, STORE
from wasabipaddle.soak.queues import QUEUES

__all__ = ["REVOCATION_S", "WORKSPACES", "KeyRemovals", "SoakKeys"]

# Time after which no process may admit a call with a removed key.
REVOCATION_S = 5.0
WORKSPACES = ("w1", "w2", "w3")
# Time for a new key to be known to all processes.
ADDED_S = 1.5
# Time for which a process is out of contact after the removal of a key.
MIN_OUT_S = 4.0
MAX_OUT_S = 10.0
# Time for which calls go on after that.
AFTER_S = 2.0
CALL_INTERVAL_S = 0.2
# Job that does not exist; a process that admits the call answers with status 410.
NO_JOB = "0" * 16
ADMITTED_STATUSES = frozenset({200, 410})


class SoakKeys:
    """Keys of workspaces: one for each that stays, and others that come and go.

    Parameters
    ----------
    names : iterable of str
        Names of the workspaces; without any, calls need no key.
    removal_limited : bool
        Whether removed keys have a time limit.

    Attributes
    ----------
    added : dict of str to str
        Workspaces of the additional keys.
    """

    def __init__(self, *, names=WORKSPACES, removal_limited=True):
        self.names = tuple(names)
        self.removal_limited = removal_limited
        self.added = {}
        self.count = 0

    def choose(self, job_id) -> str:
        """Return the workspace of the caller of a job, empty if there is none."""
        if not self.names:
            return ""
        return self.names[int(job_id, 16) % len(self.names)]

    def key_of(self, workspace) -> str:
        """Return the key with which the callers of a workspace call."""
        return f"key-of-{workspace}" if workspace else ""

    def issue(self) -> str:
        """Add a key to a workspace and return it."""
        self.count += 1
        key = f"added-key-{self.count}"
        self.added[key] = self.names[self.count % len(self.names)]
        return key

    @property
    def workspaces(self):
        """Workspaces by name, without their keys."""
        return {name: Workspace(name=name) for name in self.names}

    @property
    def by_workspace(self):
        """Keys by the name of their workspace."""
        found = {name: [self.key_of(name)] for name in self.names}
        for key, name in self.added.items():
            found[name].append(key)
        return found


class KeyRemovals:
    """Removes keys while a process is out of contact, and calls it with them.

    Parameters
    ----------
    platform : SoakPlatform
        Store, links, and the keys that the configuration contains.
    cell : CellProcesses
        Processes.
    ledger : SoakLedger
        Clock of the soak test; receives the violations.
    random : random.Random
        Random number generator for all choices.
    call : callable
        Asks a process for the phase of a job with a key; returns a `CallResult`.
    """

    def __init__(self, *, platform, cell, ledger, random, call):
        self.platform = platform
        self.cell = cell
        self.ledger = ledger
        self.random = random
        self.call = call

    async def keys_removed(self, seconds):
        """Remove a key while one process is cut off, paused, or restarted in a cut."""
        keys = self.platform.keys
        key = keys.issue()
        self.platform.configure(self.platform.queues)
        await asyncio.sleep(ADDED_S)
        name = self.random.choice(self.platform.processes)
        how = self.random.choice(("cut", "store_cut", "paused", "restarted"))
        seconds = self.random.uniform(MIN_OUT_S, MAX_OUT_S)
        async with asyncio.TaskGroup() as group:
            separated = group.create_task(self._separate(name, how, seconds))
            await asyncio.sleep(CALL_INTERVAL_S)
            del keys.added[key]
            self.platform.configure(self.platform.queues)
            removed_s = self.ledger.now()
            while not separated.done() or self.ledger.now() < removed_s + seconds:
                await self._call_all(group, key, removed_s)
            until_s = self.ledger.now() + AFTER_S
            while self.ledger.now() < until_s:
                await self._call_all(group, key, removed_s)
        return f"{name} {how} for {seconds:.1f} s,"

    async def _separate(self, name, how, seconds):
        """Keep a process out of contact with the store for some seconds."""
        if how == "paused":
            await self.cell.pause(name, seconds)
            return
        either = self.random.choice(((STORE,), (STORE, CELL)))
        places = {"cut": (STORE, CELL), "store_cut": (STORE,)}.get(how, either)
        for place in places:
            self.platform.link.cut(name, place)
        if how == "restarted":
            self.cell.kill(name)
        await asyncio.sleep(seconds)
        if name in self.platform.processes:
            for place in places:
                self.platform.link.restore(name, place)

    async def _call_all(self, group, key, removed_s):
        """Start a call with a removed key to every process, then pause."""
        for name in list(self.platform.processes):
            group.create_task(self._check_call(name, key, removed_s))
        await asyncio.sleep(CALL_INTERVAL_S)

    async def _check_call(self, name, key, removed_s):
        """Call a process; it must not admit the key after the bound."""
        sent_s = self.ledger.now()
        result = await self.call(name, QUEUES[0], NO_JOB, key=key)
        late_s = sent_s - removed_s - REVOCATION_S
        if late_s > 0 and result.status in ADMITTED_STATUSES:
            detail = f"admitted by {name} {late_s:.3f} s after the bound"
            self.ledger.add_violation("key", key, detail)
