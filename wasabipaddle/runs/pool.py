"""Sessions of a shard leader with all its workers."""

import asyncio

import attrs

from wasabipaddle.interfaces import VmRole, VmStatus
from wasabipaddle.runs.workers import WorkerSession

__all__ = ["WorkerPool"]


@attrs.define(kw_only=True)
class _Member:
    entry: object
    session: WorkerSession
    lapse_noted: bool = False


class WorkerPool:
    """Opens and closes sessions as the VM list changes and notices lost workers.

    Parameters
    ----------
    fleet : FleetIndex
        Index that the placer uses; workers that cannot be reached are closed in it.
    make_session : callable
        Function from a `VmEntry` to a `WorkerSession`.
    predecessors_proven : callable
        Whether every earlier leader is proven unable to renew leases.
    lease : LeadershipSettings
        Task lease and drift.
    now : float
        Time at which the leader started, in seconds.
    """

    def __init__(self, *, fleet, make_session, predecessors_proven, lease, now):
        self.fleet = fleet
        self.make_session = make_session
        self.predecessors_proven = predecessors_proven
        self.lease = lease
        self.members = {}
        self.gone = set()
        self.closing = set()
        self.listed = False
        self.proven_at = None
        self.started_at = now

    def update(self, entries):
        """Take over the VM list of the data centre.

        Returns
        -------
        list of str
            Workers that the list says are gone.
        """
        self.listed = True
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
            self._keep(entry)
        return lost

    def _keep(self, entry):
        member = self.members.get(entry.vm)
        if member is None:
            session = self.make_session(entry)
            self.members[entry.vm] = _Member(entry=entry, session=session)
            self.fleet.add_worker(
                entry.vm,
                rack=entry.rack,
                data_centre=entry.data_centre,
                size=entry.resources,
            )
            self.fleet.set_leaving(entry.vm, True)
            session.start()
            return
        member.entry = entry
        self._refresh(entry.vm)

    def _refresh(self, worker):
        member = self.members[worker]
        contact = member.session.contact
        reachable = contact.answered and contact.failures == 0
        open_ = reachable and member.entry.status is VmStatus.LIVE
        self.fleet.set_leaving(worker, not open_)

    def answered(self, worker):
        """Note that a worker has answered."""
        member = self.members.get(worker)
        if member is not None:
            member.lapse_noted = False
            self._refresh(worker)

    def unreachable(self, worker):
        """Note that a worker did not answer."""
        if worker in self.members:
            self._refresh(worker)

    def remove(self, worker):
        """Close the session of a worker that is gone."""
        member = self.members.pop(worker, None)
        self.fleet.remove_worker(worker)
        if member is not None:
            member.session.abandon()
            closing = asyncio.ensure_future(member.session.stop())
            self.closing.add(closing)
            closing.add_done_callback(self.closing.discard)

    def command(self, worker, name, order) -> bool:
        """Queue a command; return False if the worker is not known."""
        member = self.members.get(worker)
        if member is None:
            return False
        member.session.command(name, order)
        return True

    def take_lapsed(self, now) -> list[str]:
        """Return unreachable workers on which every lease has expired.

        A worker is returned once until it answers again.
        """
        self._note_proof(now)
        lapsed = []
        for worker, member in self.members.items():
            if not member.lapse_noted and self._has_lapsed(member, now):
                member.lapse_noted = True
                lapsed.append(worker)
        return lapsed

    def accounted(self, now, recorded) -> bool:
        """Return whether no task of an earlier leader can be unknown.

        Parameters
        ----------
        recorded : set of str
            Workers that the journal names.
        """
        if not self.listed:
            return False
        self._note_proof(now)
        unlisted = recorded - self.members.keys() - self.gone
        if unlisted and not self._earlier_leases_over(now):
            return False
        return all(
            m.session.contact.answered or self._has_lapsed(m, now)
            for m in self.members.values()
        )

    def _note_proof(self, now):
        if self.proven_at is None and self.predecessors_proven():
            self.proven_at = now

    def _earlier_leases_over(self, now):
        if self.proven_at is None:
            return False
        lease_s = self.lease.task_lease_s * (1 + self.lease.drift)
        return now > self.proven_at + lease_s

    def _has_lapsed(self, member, now):
        contact = member.session.contact
        if contact.failures == 0 or now <= contact.lease_may_last_until:
            return False
        return contact.answered or self._earlier_leases_over(now)

    def reset(self, worker):
        """Start the session of a worker anew after its leases have expired."""
        member = self.members.get(worker)
        if member is not None:
            member.session.reset()

    async def close(self):
        """Close all sessions."""
        for worker in list(self.members):
            await self.members.pop(worker).session.stop()
        await asyncio.gather(*self.closing, return_exceptions=True)
