"""Role `cell_election`: election of the leader, the process that dispatches."""

import asyncio

import msgspec
from result import Err

from wasabipaddle.cell.events import (
    DrainStarted,
    LeaderChanged,
    LeadershipGained,
    LeadershipLost,
)
from wasabipaddle.cell.keys import LEADER_KEY, TERM_KEY
from wasabipaddle.cell.leader_records import (
    UNREADABLE_LEADER,
    LeaderRecord,
    TermRecord,
    decode_leader,
    decode_term_number,
)
from wasabipaddle.cell.proof import LeadershipProof
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.cell.watch import StoreWatch
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Put
from wasabipaddle.kernel import Plugin
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["FAR_LATENCY_S", "ElectionPlugin"]

# Duration of the lease of the leader key.
LEASE_S = 1.6
RENEW_S = 0.4
# Time within which a change of the leader key must be known: to the leader, which makes
# no progress durable without the key, and to other processes, which check the key when
# the leader does not respond.
LEADER_BOUND_S = 2.5
FOLLOWER_BOUND_S = 10.0
# Shortest time between two such checks.
CHECK_PAUSE_S = 1.0
RETRY_S = 0.2
# Candidates campaign after a random delay. Those far from the store, by its latency,
# wait longer, so that nearer ones win.
CAMPAIGN_JITTER_S = 0.05
FAR_LATENCY_S = 0.025
FAR_DELAY_S = 0.4
# Additional delay of candidates on VMs that may be too small to dispatch, longer than
# that of distant candidates.
WEAK_DELAY_S = 0.8
# Minimum time between two attempts to replace a leader: a process that is cut off from
# a live leader must not take the key from it over and over.
REPLACE_PAUSE_S = 10.0


class ElectionPlugin(Plugin):
    """Campaigns for the leader key, keeps it, and publishes who holds it.

    The epoch of a leader is the store revision at which its record was written. A
    leader that gets no response from the store keeps its role, but may only grant
    leases and start tasks for as long as its proof of leadership is young enough: a
    successor may lead by then, and waits for no longer.

    Attributes
    ----------
    epoch : int
        Epoch of this process while it leads, else 0.
    proof : LeadershipProof
        Proof that this process leads.
    leader : LeaderRecord or None
        Holder of the leader key as last read or written, None if there was none.
    draining : bool
        Whether this process is shutting down and no longer campaigns.
    weak : bool
        Whether a live process has much more processing power than this one.
    """

    name = "cell_election"
    requires = (CellStorePlugin.name,)

    def __init__(self, *, context):
        super().__init__(context=context)
        settings = context.settings
        self.record = LeaderRecord(
            process=settings.process,
            address=settings.advertised_address,
            life=context.clock.wall_ms(),
        )
        self.epoch = 0
        self.lease = 0
        self.leader = None
        self.leader_revision = 0
        self.last_replacement_s = -REPLACE_PAUSE_S
        self.last_check_s = -CHECK_PAUSE_S
        self.term_revision = 0
        self.draining = False
        self.weak = False
        self.tasks = TaskSet()
        self.proof = LeadershipProof(election=self)

    async def start(self):
        """Start to watch the leader key and to renew the lease."""
        self.store_plugin = self.context.plugins[CellStorePlugin.name]
        self.store = self.store_plugin.store
        self.context.metrics.gauge("leader_proof_age_s", self.proof.age_s)
        self.watch = StoreWatch(
            store_plugin=self.store_plugin,
            name="leader",
            prefix=LEADER_KEY,
            bound_s=FOLLOWER_BOUND_S,
        )
        self.context.bus.events(DrainStarted).subscribe(self._on_drain)
        self.tasks.keep_running(self._follow)
        self.tasks.keep_running(self._renew)
        self.tasks.keep_running(self.proof.read_periodically)

    def _on_drain(self, event):
        """Stop campaigning; a leader hands over or resigns during the drain."""
        self.draining = True

    async def drain(self):
        """Resign, unless a peer has already taken over."""
        await self.resign("process is draining")

    async def resign(self, reason):
        """End the leadership and its lease, so that a successor can follow at once."""
        if self.epoch:
            lease = self.lease
            self._stop_leading(reason)
            await self.store_plugin.call(self.store.end_lease(lease))

    async def stop(self):
        """Stop watching the key and renewing the lease."""
        await self.tasks.close()

    async def _follow(self):
        while True:
            known = await self._update()
            if not known:
                await asyncio.sleep(RETRY_S)
            elif not self.leader_revision:
                await self._campaign_after_delay()
            elif self._held_by_earlier_incarnation():
                await self.replace_leader()
            elif self.leader == UNREADABLE_LEADER:
                jitter_s = CAMPAIGN_JITTER_S * self.context.random.random()
                await asyncio.sleep(LEASE_S + jitter_s)
                await self.replace_leader()

    async def _update(self) -> bool:
        """Read the leader key or wait for its next change; return whether it is known.

        A process that campaigns reads the key, as no change would be reported if the
        campaign had no effect.
        """
        if self.watch.revision is None or not self.leader_revision:
            page = await self.watch.list()
            if page.is_err():
                return False
            entries = [e for e in page.ok().entries if e.key == LEADER_KEY]
            self._observe(entries[0] if entries else None)
            return True
        batch = await self.watch.follow()
        if batch.is_err():
            return False
        changes = [c for c in batch.ok().changes if c.key == LEADER_KEY]
        if changes:
            self._observe(None if changes[-1].value is None else changes[-1])
        return True

    def _held_by_earlier_incarnation(self):
        """Return whether an earlier incarnation of this process holds the key."""
        return (
            self.leader is not None
            and self.leader.process == self.record.process
            and self.leader.life != self.record.life
        )

    def check_leader(self):
        """Read the leader key soon, because the leader does not respond.

        The watch may not report that the key is free.
        """
        now = self.context.clock.now()
        if now - self.last_check_s >= CHECK_PAUSE_S:
            self.last_check_s = now
            self.watch.expire()

    async def confirm(self):
        """Read the leader key and stop leading if another process holds it."""
        self.watch.expire()
        await self.watch.fresh.wait()

    async def replace_leader(self) -> bool:
        """Take the key from a leader presumed dead; return whether this process leads.

        If that leader is alive, this is safe: once the key has been taken, the store
        and the runners that the new leader has called refuse the earlier epoch.
        """
        now = self.context.clock.now()
        may_try = now - self.last_replacement_s >= REPLACE_PAUSE_S
        if (
            self.epoch
            or self.draining
            or self.store_plugin.health.unavailable
            or not may_try
        ):
            return False
        self.last_replacement_s = now
        self.context.journal(
            "leader_replaced",
            leader=self.leader.process if self.leader else "",
            revision=self.leader_revision,
        )
        return await self.campaign(replaces=self.leader_revision)

    def _observe(self, entry):
        """Record who holds the leader key; stop leading if another process does."""
        record = None
        if entry is not None:
            record = decode_leader(entry, self.store_plugin.unreadable)
        if self.epoch and entry is not None and record != self.record:
            self._stop_leading(f"leader key is held by {record.process}")
        self.leader_revision = entry.revision if entry else 0
        if record != self.leader:
            self.leader = record
            self.context.journal(
                "leader_seen",
                leader=record.process if record else "",
                revision=entry.revision if entry else 0,
            )
            process, address = (record.process, record.address) if record else ("", "")
            self.context.bus.publish(
                LeaderChanged(
                    process=process, address=address, epoch=self.leader_revision
                )
            )

    async def _campaign_after_delay(self):
        """Campaign for the free leader key, later if other processes are better suited.

        A leader that has lost the key, but has seen no successor, campaigns at once.
        """
        if self.draining:
            await asyncio.sleep(RETRY_S)
            return
        delay_s = CAMPAIGN_JITTER_S * self.context.random.random()
        if self.store_plugin.health.latency_s > FAR_LATENCY_S:
            delay_s += FAR_DELAY_S
        if self.weak:
            delay_s += WEAK_DELAY_S
        await asyncio.sleep(0.0 if self.epoch else delay_s)
        if not await self.campaign():
            await asyncio.sleep(RETRY_S)

    async def campaign(self, *, replaces=0) -> bool:
        """Try to take the leader key; return whether this process now leads.

        Parameters
        ----------
        replaces : int
            Revision that the key must have, 0 if it must not exist.
        """
        lease, term = await asyncio.gather(
            self.store_plugin.call(self.store.grant_lease(LEASE_S)),
            self.store_plugin.call(self.store.get(TERM_KEY)),
        )
        if lease.is_err() or term.is_err():
            return False
        lease, term_entry = lease.ok(), term.ok()
        number, term_revision = 0, 0
        if term_entry is not None:
            number = decode_term_number(term_entry, self.store_plugin.unreadable)
            term_revision = term_entry.revision
        continued = bool(self.epoch) and term_revision == self.term_revision
        began_s = self.context.clock.boot_s()
        taken = await self._commit_campaign(lease, replaces, term_revision, number + 1)
        if taken.is_err() and taken.err().kind is ErrorKind.TIMEOUT:
            taken = await self._resolve_unanswered(term_revision)
        if taken.is_err():
            await self.store_plugin.call(self.store.end_lease(lease))
            mismatch = taken.err().kind is ErrorKind.REVISION_MISMATCH
            if self.epoch and not replaces and mismatch:
                self._stop_leading("another process took the leader key")
            return False
        self.proof.proved_s = began_s
        self._start_leading(taken.ok(), lease, number + 1, continued)
        return True

    async def _commit_campaign(self, lease, replaces, term_revision, number):
        term = TermRecord(
            number=number, process=self.record.process, life=self.record.life
        )
        record = msgspec.json.encode(self.record)
        return await self.store_plugin.call(
            self.store.commit(
                conditions=((LEADER_KEY, replaces), (TERM_KEY, term_revision)),
                puts=(
                    Put(key=LEADER_KEY, value=record, lease=lease),
                    Put(key=TERM_KEY, value=msgspec.json.encode(term)),
                ),
            )
        )

    async def _resolve_unanswered(self, term_revision):
        """Return the revision of a campaign whose commit timed out.

        Returns an `Err` if the commit had no effect, or if the store does not respond.
        """
        found = await self.store_plugin.call(self.store.get(LEADER_KEY))
        if found.is_err():
            return found
        entry = found.ok()
        is_own = (
            entry is not None
            and decode_leader(entry, self.store_plugin.unreadable) == self.record
        )
        if is_own and entry.revision > term_revision:
            return found.map(lambda e: e.revision)
        detail = "campaign for the leader key had no effect"
        return Err(Failure(kind=ErrorKind.REVISION_MISMATCH, detail=detail))

    def _start_leading(self, epoch, lease, term, continued):
        self.epoch = self.term_revision = epoch
        self.lease = lease
        self.leader = self.record
        self.watch.bound_s = LEADER_BOUND_S
        self.watch.expire()
        self.context.journal("reign_began", epoch=epoch, term=term, continued=continued)
        self.context.bus.publish(
            LeaderChanged(
                process=self.record.process, address=self.record.address, epoch=epoch
            )
        )
        self.context.bus.publish(
            LeadershipGained(epoch=epoch, term=term, continued=continued)
        )

    def _stop_leading(self, reason):
        self.context.journal("reign_ended", epoch=self.epoch, reason=reason)
        self.epoch = self.lease = 0
        self.watch.bound_s = FOLLOWER_BOUND_S
        self.context.bus.publish(LeadershipLost(reason=reason))

    def step_down(self, reason, *, epoch):
        """Stop leading under an epoch, as a runner or a peer reported a later leader.

        A report on an earlier epoch says nothing about the present one.
        """
        if epoch and epoch == self.epoch:
            self._stop_leading(reason)

    async def _renew(self):
        while True:
            await asyncio.sleep(RENEW_S)
            if not self.lease:
                continue
            lease = self.lease
            renewed = await self.store_plugin.call(self.store.renew_lease(lease))
            lost = renewed.is_err() and renewed.err().kind is ErrorKind.NOT_FOUND
            if lost and lease == self.lease:
                self.context.journal("leadership_lease_lost", epoch=self.epoch)
