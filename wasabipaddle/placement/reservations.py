"""Resizing of the reservations of running tasks to their measured use."""

from wasabipaddle.placement.resources import ZERO, elementwise_max, elementwise_min
from wasabipaddle.placement.work import Resize

__all__ = ["ReservationResizer"]


class ReservationResizer:
    """Records the measured use of tasks and resizes their reservations.

    Parameters
    ----------
    registry : TaskRegistry
        Registry of placed tasks.
    outbox : collections.deque
        Receives the `Resize` decisions.
    enabled : bool
        Whether the platform can change the reservation of a running task.
    """

    def __init__(self, *, registry, outbox, enabled):
        self.registry = registry
        self.fleet = registry.fleet
        self.estimator = registry.estimator
        self.outbox = outbox
        self.enabled = enabled
        self.deficits = {}

    def observe(self, placed, used, now) -> bool:
        """Record the measured use of a task.

        Returns
        -------
        bool
            Whether a different reservation was wanted for the task.
        """
        first = placed.reports == 0
        placed.reports += 1
        self.estimator.observe(placed.work, used, now, first=first)
        previous = placed.usage
        placed.usage = used
        if not self.enabled or placed.worker not in self.fleet.workers:
            return False
        needs = self.estimator.resized_reservation(placed, previous)
        if needs is None:
            return False
        self._resize(placed, needs)
        return True

    def _resize(self, placed, needs):
        """Change a reservation, as far as the free resources of the worker allow.

        Growth that does not fit is recorded as a deficit. It is granted once resources
        of the worker are released, before new tasks get them. A reservation does not
        grow beyond a quota; use above it is handled as pressure on the worker.
        """
        limit = placed.needs + self.fleet.free_of(placed.worker)
        granted = elementwise_min(needs, limit)
        growth = elementwise_max(granted - placed.needs, ZERO)
        if not self.registry.ledger.within_quota(placed.work, growth):
            granted = needs = elementwise_min(granted, placed.needs)
        if granted != placed.needs and self.registry.resize(placed, granted):
            self.outbox.append(
                Resize(task=placed.task, worker=placed.worker, needs=granted)
            )
        if granted != needs:
            self.deficits.setdefault(placed.worker, {})[placed.task] = needs
        elif placed.worker in self.deficits:
            self.deficits[placed.worker].pop(placed.task, None)

    def grant_deficits(self, worker):
        """Grant released resources to tasks that use more than their reservation.

        The deficits on a worker that has left are dropped.
        """
        if worker not in self.fleet.workers:
            self.deficits.pop(worker, None)
            return
        for task, needs in list(self.deficits.get(worker, {}).items()):
            placed = self.registry.running.get(task)
            if placed is not None and placed.worker == worker:
                self._resize(placed, needs)
            else:
                self.deficits[worker].pop(task)
        if not self.deficits.get(worker, True):
            del self.deficits[worker]
