"""Registry of runs and placed tasks, which keeps the fleet and shares up to date."""

from wasabipaddle.documents import Urgency
from wasabipaddle.placement.running import RunEntry, RunningTask
from wasabipaddle.placement.state import Reclaim
from wasabipaddle.placement.work import task_id

__all__ = ["TaskRegistry", "reclaim_class"]


class TaskRegistry:
    """Runs that have not ended and their placed tasks.

    Parameters
    ----------
    fleet : FleetIndex
        Stores the reservations.
    ledger : ShareLedger
        Accounts for the resources held by each team and service.
    queue : PendingQueue
        Notified when the share of a service changes or a team releases resources.
    scoring : ScoringPolicy
        Notified of the racks in which tasks start and end.
    estimator : UsageEstimator
        Source of the expected end of each task.
    """

    def __init__(self, *, fleet, ledger, queue, scoring, estimator):
        self.fleet = fleet
        self.ledger = ledger
        self.queue = queue
        self.scoring = scoring
        self.estimator = estimator
        self.runs = {}
        self.running = {}

    def open_run(self, work) -> RunEntry:
        """Return the entry of a run, creating it if the run is not registered."""
        entry = self.runs.get(work.run)
        if entry is None:
            entry = RunEntry(work=work, remaining=set(range(work.tasks)))
            self.runs[work.run] = entry
        return entry

    def place(self, work, index, worker, needs, now, *, claim=None) -> RunningTask:
        """Reserve resources for a task and register it as running.

        Parameters
        ----------
        claim : str or None
            Key of the plan whose hold becomes the reservation. The ledger was already
            charged when the hold was made.

        Returns
        -------
        RunningTask or None
            None if the resources cannot be reserved.
        """
        task = task_id(work.run, index)
        entry = self.open_run(work)
        history = entry.history_of(index)
        reclaim = reclaim_class(work, history)
        if claim is None:
            reserved = self.fleet.reserve(task, worker, needs, reclaim=reclaim)
        else:
            reserved = self.fleet.claim(claim, worker, task, needs, reclaim=reclaim)
        if not reserved:
            return None
        placed = RunningTask(
            work=work,
            index=index,
            task=task,
            worker=worker,
            needs=needs,
            started_at=now,
            expected_end=now + self.estimator.run_time(work, now).high_s,
            history=history,
            reclaim=reclaim,
        )
        self.running[task] = placed
        entry.running[index] = placed
        self.scoring.record_placement(work, self.fleet.workers[worker].rack)
        if claim is None:
            self.ledger.charge(work, needs)
            self.queue.share_changed(work.service)
        return placed

    def remove(self, task) -> RunningTask | None:
        """Release the resources of a task and unregister it, or return None."""
        placed = self.running.pop(task, None)
        if placed is None:
            return None
        state = self.fleet.workers.get(placed.worker)
        if state is not None:
            self.scoring.record_end(placed.work, state.rack)
        self.fleet.release(task)
        self.ledger.release(placed.work, placed.needs)
        self.queue.share_changed(placed.work.service)
        self.queue.wake_team(placed.work.team)
        entry = self.runs.get(placed.work.run)
        if entry is not None:
            entry.running.pop(placed.index, None)
        return placed

    def resize(self, placed, needs) -> bool:
        """Change the reservation of a placed task if the new amount fits."""
        if not self.fleet.resize(placed.task, needs):
            return False
        self.ledger.release(placed.work, placed.needs)
        self.ledger.charge(placed.work, needs)
        placed.needs = needs
        self.queue.share_changed(placed.work.service)
        return True

    def close_if_done(self, entry):
        """Unregister a run if none of its tasks is running or will run.

        None will run if the run is cancelled or has no remaining tasks.
        """
        if not entry.running and (entry.cancelled or not entry.remaining):
            self.runs.pop(entry.work.run, None)


def reclaim_class(work, history) -> Reclaim:
    """Return the class in which a task may be preempted.

    Urgent work, services and tasks that have reached their limit of preemptions are
    never preempted to make room for other work.
    """
    if work.urgency is Urgency.URGENT or work.is_service:
        return Reclaim.NEVER
    if history.preemptions >= work.max_preemptions:
        return Reclaim.NEVER
    return Reclaim.FIRST if work.urgency is Urgency.DEFERRABLE else Reclaim.LAST
