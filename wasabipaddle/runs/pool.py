"""Sessions of a shard leader with all its workers."""

import asyncio

import attrs

from wasabipaddle.interfaces import VmRole, VmStatus
from wasabipaddle.runs.workers import WorkerSession

__all__ = ["WorkerPool"]


@attrs.define(kw_only=True)
class _PooledWorker:
    entry: object
    session: WorkerSession
    expiry_reported: bool = False


class WorkerPool:
    """Opens and closes sessions as the VM list changes, and detects lost workers.

    Parameters
    ----------
    fleet : FleetIndex
        Index that the placer uses; unreachable workers are marked as leaving in it.
    make_session : callable
        Function from a `VmEntry` to a `WorkerSession`.
    predecessors_stopped : callable
        Returns whether every earlier leader is proven unable to renew leases.
    leadership_settings : LeadershipSettings
        Duration of a task lease and clock drift.
    now : float
        Monotonic time at which the leader started, in seconds.
    """

    def __init__(
        self, *, fleet, make_session, predecessors_stopped, leadership_settings, now
    ):
        self.fleet = fleet
        self.make_session = make_session
        self.predecessors_stopped = predecessors_stopped
        self.leadership_settings = leadership_settings
        self.workers = {}
        self.gone = set()
        self.closing = set()
        self.list_received = False
        self.abandoned = False
        self.predecessors_stopped_at = None
        self.started_at = now

    def update(self, entries, read_at):
        """Apply the entries of the shard in the VM list of the data centre.

        A list that was read before the leader started may lack workers on which an
        earlier leader has started tasks, so it does not complete the recovery.

        Parameters
        ----------
        read_at : float
            Monotonic time at which the read of the list began, in seconds.

        Returns
        -------
        list of str
            Workers that the list newly marks as gone.
        """
        self.list_received = self.list_received or read_at >= self.started_at
        if self.abandoned:
            return []
        lost = []
        for entry in entries:
            if entry.role is not VmRole.WORKER:
                continue
            if entry.status is VmStatus.GONE:
                if entry.vm not in self.gone:
                    lost.append(entry.vm)
                    self.gone.add(entry.vm)
                continue
            self.gone.discard(entry.vm)
            self._add_or_update(entry)
        return lost

    def _add_or_update(self, entry):
        pooled = self.workers.get(entry.vm)
        if pooled is None:
            session = self.make_session(entry)
            self.workers[entry.vm] = _PooledWorker(entry=entry, session=session)
            self.fleet.add_worker(
                entry.vm,
                rack=entry.rack,
                data_centre=entry.data_centre,
                size=entry.resources,
            )
            self.fleet.set_unavailable(entry.vm, True)
            session.start()
            return
        pooled.entry = entry
        self._update_availability(entry.vm)

    def _update_availability(self, worker):
        pooled = self.workers[worker]
        contact = pooled.session.contact
        reachable = contact.answered and contact.failures == 0
        available = reachable and pooled.entry.status is VmStatus.LIVE
        self.fleet.set_unavailable(worker, not available)

    def on_answered(self, worker):
        """Update the availability of a worker that has answered.

        If its leases expire after this, `take_expired` returns the worker again.
        """
        pooled = self.workers.get(worker)
        if pooled is not None:
            pooled.expiry_reported = False
            self._update_availability(worker)

    def on_unreachable(self, worker):
        """Update the availability of a worker that did not answer."""
        if worker in self.workers:
            self._update_availability(worker)

    def remove(self, worker):
        """Close the session of a worker that is gone."""
        pooled = self.workers.pop(worker, None)
        self.fleet.remove_worker(worker)
        if pooled is not None:
            pooled.session.abandon()
            closing = asyncio.ensure_future(pooled.session.stop())
            self.closing.add(closing)
            closing.add_done_callback(self.closing.discard)

    def command(self, worker, name, order) -> bool:
        """Queue a command for the field `name` of `WorkerSync`.

        Returns
        -------
        bool
            False if the worker is unknown.
        """
        pooled = self.workers.get(worker)
        if pooled is None:
            return False
        pooled.session.command(name, order)
        return True

    def request_inventory(self, worker):
        """Request the complete inventory of a worker with the next call to it."""
        pooled = self.workers.get(worker)
        if pooled is not None:
            pooled.session.request_inventory()

    def take_expired(self, now) -> list[str]:
        """Return unreachable workers on which every lease has expired.

        A worker is returned only once until it answers again.
        """
        self._detect_predecessors_stopped(now)
        expired = []
        for worker, pooled in self.workers.items():
            if not pooled.expiry_reported and self._leases_expired(pooled, now):
                pooled.expiry_reported = True
                expired.append(worker)
        return expired

    def all_workers_accounted_for(self, now, recorded_workers) -> bool:
        """Return whether no unknown task of an earlier leader can be running.

        Parameters
        ----------
        recorded_workers : set of str
            Workers on which tasks may still run according to the journal.
        """
        if not self.list_received:
            return False
        self._detect_predecessors_stopped(now)
        unlisted = recorded_workers - self.workers.keys() - self.gone
        if unlisted and not self._predecessor_leases_expired(now):
            return False
        return all(
            pooled.session.contact.answered or self._leases_expired(pooled, now)
            for pooled in self.workers.values()
        )

    def _detect_predecessors_stopped(self, now):
        if self.predecessors_stopped_at is None and self.predecessors_stopped():
            self.predecessors_stopped_at = now

    def _predecessor_leases_expired(self, now):
        if self.predecessors_stopped_at is None:
            return False
        lease_s = self.leadership_settings.task_lease_s * (
            1 + self.leadership_settings.drift
        )
        return now > self.predecessors_stopped_at + lease_s

    def _leases_expired(self, pooled, now):
        contact = pooled.session.contact
        if contact.failures == 0 or now <= contact.leases_expire_by:
            return False
        return contact.answered or self._predecessor_leases_expired(now)

    def reset(self, worker):
        """Restart the session of a worker after its leases have expired."""
        pooled = self.workers.get(worker)
        if pooled is not None and not self.abandoned:
            pooled.session.reset()

    def abandon(self):
        """End the calls of all sessions at once, and open no further session.

        Called when the leadership ends, since a successor counts the leases from the
        time at which this leader has stopped, and closing the clients takes longer.
        """
        self.abandoned = True
        for pooled in self.workers.values():
            pooled.session.abandon()

    async def close(self):
        """Close all sessions."""
        for worker in list(self.workers):
            await self.workers.pop(worker).session.stop()
        await asyncio.gather(*self.closing, return_exceptions=True)
