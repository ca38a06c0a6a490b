"""Workers of a shard and an incremental index of their free resources."""

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.placement.buckets import BucketIndex
from wasabipaddle.placement.resources import (
    ZERO,
    elementwise_max,
    elementwise_min,
    fit_count,
    scaled,
)
from wasabipaddle.placement.state import Hold, Reclaim, Reservation, WorkerState

__all__ = ["FleetIndex"]


class FleetIndex:
    """Workers, their reservations and holds, and an index by free resources.

    Attributes
    ----------
    shapes_version : int
        Increases when the set of shapes (sizes per data centre) changes.
    membership_version : int
        Increases when a worker is added or removed.
    availability_version : int
        Increases when a worker is added or removed, and with each call of
        `set_unavailable` or `set_quarantined` for a known worker.
    total : Resources
        Sum of the sizes of all workers.
    total_free : Resources
        Sum of the free resources of all workers.
    total_reclaimable : Resources
        Sum of the reservations that may be preempted.
    hold_workers : dict of str to list of str
        Workers on which the holds of a `HoldPlan` were created, by key of the plan;
        kept until `drop_holds`.
    """

    def __init__(self):
        self.workers = {}
        self.names = []
        self.names_with_accelerators = []
        self.racks = {}
        self.shapes = {}
        self.reservations = {}
        self.hold_workers = {}
        self.free_index = BucketIndex()
        self.reclaim_indexes = {
            Reclaim.FIRST: BucketIndex(),
            Reclaim.LAST: BucketIndex(),
        }
        self.shapes_version = 0
        self.membership_version = 0
        self.availability_version = 0
        self.total = ZERO
        self.total_free = ZERO
        self.total_reclaimable = ZERO

    def add_worker(self, name, *, rack, data_centre, size):
        """Add a worker, or replace it if its size or rack has changed.

        Replacement releases the reservations and holds on the worker.
        """
        known = self.workers.get(name)
        if known is not None:
            if known.size == size and known.rack == rack:
                return
            self.remove_worker(name)
        worker = WorkerState(
            name=name, rack=rack, data_centre=data_centre, size=size, free=size
        )
        self.workers[name] = worker
        self.names.append(name)
        if size.accelerators:
            self.names_with_accelerators.append(name)
        self.racks.setdefault(rack, {})[name] = worker
        self._record_membership_change((data_centre, size), 1)
        self.total += size
        self.total_free += size
        self._index(worker)

    def remove_worker(self, name) -> tuple[str, ...]:
        """Remove a worker and its reservations.

        Returns
        -------
        tuple of str
            Ids of the tasks that were reserved on it.
        """
        worker = self.workers.get(name)
        if worker is None:
            return ()
        for key in list(worker.holds):
            self._drop_hold(worker, key)
        tasks = tuple(worker.tasks)
        for task in tasks:
            self.release(task)
        del self.workers[name]
        self.names.remove(name)
        if worker.size.accelerators:
            self.names_with_accelerators.remove(name)
        del self.racks[worker.rack][name]
        if not self.racks[worker.rack]:
            del self.racks[worker.rack]
        self.free_index.remove(name)
        for index in self.reclaim_indexes.values():
            index.remove(name)
        self.total -= worker.size
        self.total_free -= worker.size
        self._record_membership_change((worker.data_centre, worker.size), -1)
        return tasks

    def reserve(self, task, worker, amount, *, reclaim=Reclaim.NEVER) -> bool:
        """Reserve resources of a worker for a task.

        Returns
        -------
        bool
            False, with nothing changed, if the task is already reserved, the worker
            is unknown or the resources are not free.
        """
        state = self.workers.get(worker)
        if state is None or task in self.reservations or not amount.fits(state.free):
            return False
        self.reservations[task] = Reservation(
            worker=worker, amount=amount, reclaim=reclaim
        )
        state.tasks[task] = amount
        self._count_reclaimable(state, reclaim, amount)
        self._change_free(state, ZERO - amount)
        return True

    def release(self, task) -> str | None:
        """Release the reservation of a task and return its worker, or None."""
        reservation = self.reservations.pop(task, None)
        if reservation is None:
            return None
        state = self.workers[reservation.worker]
        del state.tasks[task]
        self._count_reclaimable(state, reservation.reclaim, ZERO - reservation.amount)
        self._change_free(state, reservation.amount)
        return reservation.worker

    def resize(self, task, amount) -> bool:
        """Change the reservation of a task, or return False if it does not fit."""
        old = self.reservations.get(task)
        if old is None:
            return False
        state = self.workers[old.worker]
        growth = amount - old.amount
        if not growth.fits(state.free):
            return False
        self.reservations[task] = attrs.evolve(old, amount=amount)
        state.tasks[task] = amount
        self._count_reclaimable(state, old.reclaim, growth)
        self._change_free(state, ZERO - growth)
        return True

    def make_unreclaimable(self, task):
        """Stop counting a task as reclaimable, because it is ending."""
        old = self.reservations.get(task)
        if old is None or old.reclaim is Reclaim.NEVER:
            return
        self.reservations[task] = attrs.evolve(old, reclaim=Reclaim.NEVER)
        state = self.workers[old.worker]
        self._count_reclaimable(state, old.reclaim, ZERO - old.amount)
        self._index(state)

    def free_for_backfill(self, key, worker, amount) -> bool:
        """Release from a hold what a backfill task needs beyond the free resources.

        The caller must reserve the resources at once. The hold collects them again when
        the task releases them.

        Returns
        -------
        bool
            False, with nothing changed, if the worker has no such hold or takes no
            tasks, or the hold has collected too little.
        """
        state = self.workers.get(worker)
        hold = state.holds.get(key) if state is not None else None
        if hold is None or not state.open:
            return False
        missing = elementwise_max(amount - state.free, ZERO)
        if not missing.fits(hold.amount):
            return False
        hold.amount -= missing
        state.free += missing
        self.total_free += missing
        return True

    def free_of(self, worker) -> Resources:
        """Return the resources of a worker that are neither reserved nor held."""
        return self.workers[worker].free

    def largest_shape(self, data_centres=()) -> Resources:
        """Return the maximum size of the workers in each dimension.

        Parameters
        ----------
        data_centres : collection of str
            Only these data centres; empty for all.
        """
        largest = ZERO
        for data_centre, size in self.shapes:
            if not data_centres or data_centre in data_centres:
                largest = elementwise_max(largest, size)
        return largest

    def capacity_for(self, need, limit, data_centres=()) -> int:
        """Return how many tasks the fleet could hold if empty, at most `limit`."""
        count = 0
        for (data_centre, size), workers in self.shapes.items():
            if data_centres and data_centre not in data_centres:
                continue
            count += workers * fit_count(need, size, limit)
            if count >= limit:
                return limit
        return count

    def set_quarantined(self, worker, flag):
        """Set whether a worker is excluded because its tasks fail."""
        state = self.workers.get(worker)
        if state is not None:
            state.quarantined = flag
            self.availability_version += 1
            self._index(state)

    def set_pressured(self, worker, flag):
        """Set whether a worker's measured use leaves no room for new tasks."""
        state = self.workers.get(worker)
        if state is not None and state.pressured != flag:
            state.pressured = flag
            self._index(state)

    def set_unavailable(self, worker, flag):
        """Set whether a worker gets no new tasks; see `WorkerState.unavailable`."""
        state = self.workers.get(worker)
        if state is not None:
            state.unavailable = flag
            self.availability_version += 1
            self._index(state)

    def candidates(self, need, limit) -> list[WorkerState]:
        """Return up to `limit` open workers with `need` free, roughly least free first.

        The search may miss some of them; see `BucketIndex`.
        """
        names = self.free_index.candidates(need, limit)
        return [self.workers[n] for n in names]

    def reclaim_candidates(self, need, limit, reclaim) -> list[WorkerState]:
        """Return up to `limit` workers with `need` free once reclaimable tasks end.

        Parameters
        ----------
        reclaim : Reclaim
            `FIRST` for tasks of this class only, `LAST` for all reclaimable ones.
        """
        names = self.reclaim_indexes[reclaim].candidates(need, limit)
        return [self.workers[n] for n in names]

    def create_hold(self, key, worker, need, count, *, first=False):
        """Create a hold, which collects free resources for tasks that start later.

        Parameters
        ----------
        first : bool
            Whether this hold collects released resources before the existing holds.
        """
        state = self.workers[worker]
        hold = Hold(wanted=scaled(need, count))
        if first:
            state.holds = {key: hold, **state.holds}
        else:
            state.holds[key] = hold
        self.hold_workers.setdefault(key, []).append(worker)
        self._change_free(state, ZERO)

    def claim(self, key, worker, task, amount, *, reclaim=Reclaim.NEVER) -> bool:
        """Turn collected resources of a hold into the reservation of a task.

        Returns
        -------
        bool
            False if the hold has not collected the resources or the task is already
            reserved.
        """
        state = self.workers.get(worker)
        hold = state.holds.get(key) if state is not None else None
        if hold is None or not amount.fits(hold.amount):
            return False
        hold.amount -= amount
        hold.wanted -= amount
        if hold.wanted == ZERO:
            del state.holds[key]
        state.free += amount
        self.total_free += amount
        return self.reserve(task, worker, amount, reclaim=reclaim)

    def drop_holds(self, key) -> list[str]:
        """Remove the holds of a plan and return its workers."""
        names = self.hold_workers.pop(key, [])
        for name in names:
            state = self.workers.get(name)
            if state is not None:
                self._drop_hold(state, key)
        return names

    def holds_complete(self, key) -> bool:
        """Return whether every hold of a plan has collected all it wants."""
        names = self.hold_workers.get(key, ())
        return all(
            n in self.workers
            and key in self.workers[n].holds
            and self.workers[n].holds[key].complete
            for n in names
        )

    def _drop_hold(self, state, key):
        hold = state.holds.pop(key, None)
        if hold is not None:
            self._change_free(state, hold.amount)

    def _change_free(self, state, delta):
        """Change the free resources, then let incomplete holds collect from them."""
        self.total_free += delta
        state.free += delta
        for hold in state.holds.values():
            if hold.complete:
                continue
            taken = elementwise_min(hold.wanted - hold.amount, state.free)
            if taken != ZERO:
                hold.amount += taken
                state.free -= taken
                self.total_free -= taken
        self._index(state)

    def _count_reclaimable(self, state, reclaim, change):
        if reclaim is Reclaim.NEVER:
            return
        self.total_reclaimable += change
        state.reclaimable[Reclaim.LAST] += change
        if reclaim is Reclaim.FIRST:
            state.reclaimable[Reclaim.FIRST] += change

    def _index(self, state):
        if state.open:
            self.free_index.put(state.name, state.free)
            for reclaim, index in self.reclaim_indexes.items():
                index.put(state.name, state.free + state.reclaimable[reclaim])
        else:
            self.free_index.remove(state.name)
            for index in self.reclaim_indexes.values():
                index.remove(state.name)

    def _record_membership_change(self, shape, change):
        self.membership_version += 1
        self.availability_version += 1
        count = self.shapes.get(shape, 0) + change
        if count == 0:
            del self.shapes[shape]
            self.shapes_version += 1
        else:
            if shape not in self.shapes:
                self.shapes_version += 1
            self.shapes[shape] = count
