"""Election of the leader of one shard."""

import asyncio

import attrs
from reactivex.subject import Subject
from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.leadership.events import LeaderElected, LeaderSteppedDown
from wasabipaddle.leadership.record import (
    EarlierLeader,
    LeaderRecord,
    decode_leader_record,
    leader_key,
)
from wasabipaddle.messages import encode

__all__ = ["ShardElection"]

TICKS_PER_LEASE = 10
RENEWALS_PER_LEASE = 3
# Fraction of the lease. A longer gap between ticks counts as a pause of this process;
# after a longer silence of the leader, every candidate polls the record.
PAUSE_LEASE_FRACTION = 0.5
STANDBY_READERS = 1  # candidates that poll the record while the leader is live
RANK_DELAY_LEASE_FRACTION = 0.1  # delay of a takeover per rank


class ShardElection:
    """Acquires and renews the leadership of one shard on behalf of one process.

    Safety depends on the epoch alone: it is raised by compare-and-swap, and workers,
    endpoints and the journal reject lower epochs. The lease only determines when a
    candidate tries to take over.

    Parameters
    ----------
    shard : str
        Name of the shard.
    process : str
        Name of this process.
    incarnation : int
        Incarnation of this process.
    store : Store
        The platform's store.
    clock : Clock
        Source of time.
    settings : LeadershipSettings
        Duration of the leader lease.
    membership_view : MembershipView
        What the membership service knows about the other processes.

    Attributes
    ----------
    changes : reactivex.Subject
        Emits `LeaderElected` and `LeaderSteppedDown`.
    proved_at : float
        Latest monotonic time for which the store has confirmed that this process led,
        in seconds. Any later leader was elected after it.
    """

    def __init__(
        self, *, shard, process, incarnation, store, clock, settings, membership_view
    ):
        self.shard = shard
        self.process = process
        self.incarnation = incarnation
        self.store = store
        self.clock = clock
        self.membership_view = membership_view
        self.lease_s = settings.lease_s
        self.key = leader_key(shard)
        self.changes = Subject()
        self.record = None
        self.revision = 0
        self.leading = False
        self.must_verify = False
        self.renewal_in_doubt = False
        self.unconfirmed_revision = None
        self.next_renewal = 0.0
        self.next_read = 0.0
        self.proved_at = 0.0
        self.observed = None
        self.observed_revision = -1
        self.observed_at = 0.0
        self.handover_received = False
        self.epoch_floor = 0
        self.last_tick = clock.now()
        self.step_lock = asyncio.Lock()

    # State

    @property
    def epoch(self) -> int:
        """Epoch under which this process leads, or 0 if it does not lead."""
        return self.record.epoch if self.leading else 0

    def may_command(self) -> bool:
        """Return whether commands other than lease renewals may be sent now.

        After a pause of the process this is false until the leader record has been
        read.
        """
        self._detect_pause()
        return self.leading and not self.must_verify

    def predecessors_stopped(self) -> bool:
        """Return whether no earlier leader can still renew leases on workers."""
        return self.leading and all(self._has_stopped(e) for e in self.record.unproven)

    def forget_predecessors(self):
        """Clear the list of earlier leaders once none of their tasks is in doubt."""
        if self.leading:
            self.record = attrs.evolve(self.record, unproven=())

    def note_epoch(self, epoch):
        """Record an epoch claimed by another process; step down if it is higher."""
        self.epoch_floor = max(self.epoch_floor, epoch)
        if self.leading and self.record.epoch < epoch:
            self._step_down(f"epoch {epoch} exists")

    def accept_handover(self, epoch):
        """Let the next `step` try to take over the shard released under `epoch`."""
        self.epoch_floor = max(self.epoch_floor, epoch)
        self.handover_received = True
        self.next_read = 0.0

    def tick(self):
        """Detect a pause of the process.

        Must be called at intervals shorter than half of the lease.
        """
        self._detect_pause()

    def _detect_pause(self):
        now = self.clock.now()
        if now - self.last_tick > self.lease_s * PAUSE_LEASE_FRACTION:
            self.must_verify = True
        self.last_tick = now

    def _has_stopped(self, earlier):
        return self.membership_view.has_stopped(
            earlier.leader, earlier.incarnation, self.shard, self.epoch
        )

    # Tasks

    async def run(self):
        """Run the periodic `tick` and `step` calls until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_ticks())
            group.create_task(self._run_steps())

    async def _run_ticks(self):
        while True:
            self.tick()
            await asyncio.sleep(self.lease_s / TICKS_PER_LEASE)

    async def _run_steps(self):
        while True:
            await self.step()
            await asyncio.sleep(self.lease_s / TICKS_PER_LEASE)

    async def step(self):
        """Renew, verify or try to acquire the leadership, whichever is due."""
        async with self.step_lock:
            self._detect_pause()
            if self.leading:
                await self._lead()
            else:
                await self._seek_leadership()

    async def release(self):
        """Give up the shard so that a candidate can take over without delay.

        Returns
        -------
        result.Result
            The released epoch, 0 if this process did not lead, or the failure of the
            store. This process no longer leads in any of these cases.
        """
        async with self.step_lock:
            if not self.leading:
                return Ok(0)
            epoch = self.record.epoch
            released = attrs.evolve(self.record, released=True)
            self._step_down("released")
            result = await self._put(released, self.revision)
            return Ok(epoch) if result.is_ok() else result

    # Leader

    async def _lead(self):
        if self.must_verify:
            await self._verify_record()
        elif self.clock.now() >= self.next_renewal:
            self.next_renewal = self.clock.now() + self.lease_s / RENEWALS_PER_LEASE
            await (self._verify_record() if self.renewal_in_doubt else self._renew())

    async def _renew(self):
        record = attrs.evolve(self.record, renewal=self.record.renewal + 1)
        self.renewal_in_doubt = True  # holds if the task is cancelled during the call
        sent_at = self.clock.now()
        result = await self._put(record, self.revision)
        if not self.leading:
            return
        if result.is_ok():
            self.record = attrs.evolve(self.record, renewal=record.renewal)
            self.revision = result.unwrap()
            self.renewal_in_doubt = False
            self.proved_at = sent_at
            return
        kind = result.unwrap_err().kind
        if kind is ErrorKind.REVISION_MISMATCH:
            # A delayed earlier renewal by this process changes the revision as well.
            # Only a record with another leader or epoch deposes this process.
            self.must_verify = True
            await self._verify_record()
        self.renewal_in_doubt = kind is ErrorKind.TIMEOUT

    async def _verify_record(self):
        sent_at = self.clock.now()
        result = await self.store.get(self.key)
        if result.is_err() or not self.leading:
            return
        entry = result.unwrap()
        stored = None if entry is None else decode_leader_record(entry)
        if stored is None or not stored.is_same_term(self.record) or stored.released:
            self._step_down("the leader record was replaced, released or deleted")
            return
        self.revision = entry.revision
        self.record = attrs.evolve(
            self.record, renewal=max(stored.renewal, self.record.renewal)
        )
        self.renewal_in_doubt = False
        self.must_verify = False
        self.proved_at = sent_at

    def _step_down(self, reason):
        epoch = self.record.epoch
        self.leading = False
        self.renewal_in_doubt = False
        self.epoch_floor = max(self.epoch_floor, epoch)
        self.observed_revision = -1
        self.next_read = self.clock.now() + self.lease_s / RENEWALS_PER_LEASE
        event = LeaderSteppedDown(shard=self.shard, epoch=epoch, reason=reason)
        self.changes.on_next(event)

    # Candidate

    async def _seek_leadership(self):
        rank = self.membership_view.rank(self.shard)
        now = self.clock.now()
        if rank is None or now < self.next_read:
            return
        if (
            rank >= STANDBY_READERS
            and not self.handover_received
            and self.unconfirmed_revision is None
            and self._heard_from_leader()
        ):
            return
        self.next_read = now + self.lease_s / RENEWALS_PER_LEASE
        result = await self.store.get(self.key)
        if result.is_err():
            return
        self._observe(result.unwrap())
        if self.observed_revision != self.unconfirmed_revision:
            self.unconfirmed_revision = None
        if self._is_unconfirmed_acquisition():
            self._become_leader(self.observed, self.observed_revision, now)
        elif self._may_take_over(rank):
            await self._acquire()

    def _heard_from_leader(self):
        if self.observed is None or self.observed.released:
            return False
        silence = self.membership_view.silence_s(
            self.observed.leader, self.observed.incarnation
        )
        return silence < self.lease_s * PAUSE_LEASE_FRACTION

    def _observe(self, entry):
        revision = 0 if entry is None else entry.revision
        if revision == self.observed_revision:
            return
        self.observed_revision = revision
        self.observed_at = self.clock.now()
        self.observed = None
        if entry is not None:
            self.observed = decode_leader_record(entry)

    def _is_unconfirmed_acquisition(self):
        observed = self.observed
        return (
            observed is not None
            and (observed.leader, observed.incarnation)
            == (self.process, self.incarnation)
            and not observed.released
            and observed.epoch > self.epoch_floor
        )

    def _may_take_over(self, rank):
        """Return whether to take over now; if not, set the time of the next read."""
        now = self.clock.now()
        if self._is_own_abandoned_term():
            return True
        if self.handover_received and (self.observed is None or self.observed.released):
            return True
        delay = rank * RANK_DELAY_LEASE_FRACTION * self.lease_s
        if self.observed is None or self.observed.released:
            ready_at = self.observed_at + delay
        else:
            silence = self.membership_view.silence_s(
                self.observed.leader, self.observed.incarnation
            )
            silent_at = now + self.lease_s - silence
            ready_at = max(silent_at, self.observed_at + self.lease_s) + delay
        if now >= ready_at:
            return True
        self.next_read = min(max(ready_at, now), self.next_read)
        return False

    def _is_own_abandoned_term(self):
        """Return whether the record names this process although it stepped down.

        The other candidates would wait forever, because this process still sends
        heartbeats.
        """
        observed = self.observed
        return (
            observed is not None
            and not observed.released
            and (observed.leader, observed.incarnation)
            == (self.process, self.incarnation)
        )

    async def _acquire(self):
        self.handover_received = False
        observed = self.observed
        last = 0 if observed is None else observed.epoch
        record = LeaderRecord(
            leader=self.process,
            incarnation=self.incarnation,
            epoch=max(last, self.epoch_floor) + 1,
            unproven=self._unproven(),
        )
        self.next_read = 0.0
        # Without an answer, the write may take effect as long as the record has this
        # revision, and only a read shows whether it has.
        self.unconfirmed_revision = self.observed_revision
        sent_at = self.clock.now()
        result = await self._put(record, self.observed_revision)
        if result.is_ok():
            self.unconfirmed_revision = None
            self._become_leader(record, result.unwrap(), sent_at)

    def _unproven(self):
        observed = self.observed
        if observed is None:
            return ()
        last = EarlierLeader(leader=observed.leader, incarnation=observed.incarnation)
        earlier = dict.fromkeys(observed.unproven)
        if not observed.released:
            earlier[last] = None
        epoch = observed.epoch + 1
        return tuple(
            e
            for e in earlier
            if not self.membership_view.has_stopped(
                e.leader, e.incarnation, self.shard, epoch
            )
        )

    def _become_leader(self, record, revision, proved_at):
        if record.epoch <= self.epoch_floor:
            return
        self._detect_pause()
        self.record = record
        self.revision = revision
        self.proved_at = proved_at
        self.leading = True
        self.renewal_in_doubt = False
        self.next_renewal = self.clock.now() + self.lease_s / RENEWALS_PER_LEASE
        self.changes.on_next(LeaderElected(shard=self.shard, epoch=record.epoch))

    async def _put(self, record, expected_revision):
        return await self.store.put(
            self.key, encode(record), expected_revision=expected_revision
        )
