"""Choice of tasks to throttle or checkpoint in favour of other tasks."""

import abc

import attrs

from wasabipaddle.documents import ServiceKind, Urgency
from wasabipaddle.interfaces import Usage
from wasabipaddle.placement.resources import fit_count, scaled
from wasabipaddle.placement.running import TaskState
from wasabipaddle.placement.work import Checkpoint, Throttle, Unthrottle

__all__ = [
    "LeastLossPreemption",
    "NoPreemption",
    "PreemptionPlan",
    "PreemptionPolicy",
]

# Workers compared when room is made for one task.
CANDIDATES = 8
# Expected processor use of a throttled task, as a fraction of its use before.
THROTTLED_USE_FRACTION = 0.5
# Measured use of a VM, as a fraction of its size: at or above RELIEF_THRESHOLD tasks
# are throttled or checkpointed, at or above CLOSE_THRESHOLD the worker gets no new
# tasks, and below UNTHROTTLE_THRESHOLD throttled tasks resume.
RELIEF_THRESHOLD = 1.0
CLOSE_THRESHOLD = 0.98
UNTHROTTLE_THRESHOLD = 0.9
# Most checkpoints ordered on one worker after one usage report. The next report shows
# whether more are needed.
CHECKPOINTS_PER_REPORT = 2


@attrs.frozen(kw_only=True)
class PreemptionPlan:
    """Tasks to checkpoint so that others can start.

    Parameters
    ----------
    counts : dict of str to int
        Number of tasks to start on each worker.
    victims : tuple of RunningTask
        Tasks to checkpoint.
    """

    counts: dict
    victims: tuple


# Within an urgency class, batch tasks are preempted before gangs, because ending one
# task of a gang ends all of them.
_URGENCY_RANKS = {u: u.rank for u in Urgency}
_KIND_RANKS = {ServiceKind.BATCH: 0, ServiceKind.GANG: 1, ServiceKind.SERVICE: 2}


class PreemptionPolicy(abc.ABC):
    """Makes room for work that does not fit, and relieves overloaded workers."""

    @abc.abstractmethod
    def plan_preemption(self, fleet, running, work, need, count, now, classes):
        """Return a `PreemptionPlan` that makes room for `count` tasks, or None.

        Parameters
        ----------
        classes : sequence of Reclaim
            Classes of tasks that may be preempted, in the order in which to try them.
        """

    @abc.abstractmethod
    def relieve(self, fleet, running, worker, usage, now):
        """Return decisions that lower the use of a worker or lift a throttle.

        Parameters
        ----------
        worker : WorkerState
            The worker that reported.
        usage : Usage
            Measured use of the worker.
        """


class NoPreemption(PreemptionPolicy):
    """Baseline policy: preempts nothing and leaves overloaded workers as they are."""

    def plan_preemption(self, fleet, running, work, need, count, now, classes):
        """Return None."""
        return None

    def relieve(self, fleet, running, worker, usage, now):
        """Return no decision."""
        return ()


class LeastLossPreemption(PreemptionPolicy):
    """Preempts the least urgent tasks, first those that lose least progress."""

    def __init__(self):
        self.throttled_workers = set()

    def plan_preemption(self, fleet, running, work, need, count, now, classes):
        """Return the plan with the least lost progress among a few candidates.

        A later class is tried only if the earlier ones do not make enough room.
        """
        for reclaim in classes:
            plan = self._plan_for_class(fleet, running, work, need, count, now, reclaim)
            if plan is not None:
                return plan
        return None

    def _plan_for_class(self, fleet, running, work, need, count, now, reclaim):
        limit = CANDIDATES if count == 1 else count
        allowed = work.placement.data_centres
        options = []
        for worker in fleet.reclaim_candidates(need, limit, reclaim):
            if allowed and worker.data_centre not in allowed:
                continue
            available = worker.free + worker.reclaimable[reclaim]
            fitting = fit_count(need, available, count)
            amount = scaled(need, fitting)
            victims = self._victims(worker, running, amount, now, reclaim)
            if victims is not None:
                loss = sum(_lost_progress(v, now) for v in victims)
                options.append((loss / fitting, len(options), worker, fitting, victims))
        options.sort(key=lambda option: option[:2])
        counts, chosen = {}, []
        for _, _, worker, fitting, victims in options:
            used = min(fitting, count)
            if used < fitting:
                amount = scaled(need, used)
                victims = self._victims(worker, running, amount, now, reclaim)
            counts[worker.name] = used
            chosen.extend(victims)
            count -= used
            if count == 0:
                return PreemptionPlan(counts=counts, victims=tuple(chosen))
        return None

    def relieve(self, fleet, running, worker, usage, now):
        """Throttle tasks on processor pressure, checkpoint them on memory pressure.

        Tasks are also checkpointed on processor pressure if none can be throttled.
        """
        cpu = usage.cpu_milli / max(worker.size.cpu_milli, 1)
        memory = usage.memory_mb / max(worker.size.memory_mb, 1)
        if max(cpu, memory) < CLOSE_THRESHOLD and not worker.pressured:
            if (
                max(cpu, memory) < UNTHROTTLE_THRESHOLD
                and worker.name in self.throttled_workers
            ):
                return self._unthrottle_one(running, worker)
            return ()
        usage = _usage_without_ending(running, worker, usage)
        cpu = usage.cpu_milli / max(worker.size.cpu_milli, 1)
        memory = usage.memory_mb / max(worker.size.memory_mb, 1)
        fleet.set_pressured(worker.name, max(cpu, memory) >= CLOSE_THRESHOLD)
        if max(cpu, memory) < UNTHROTTLE_THRESHOLD:
            return self._unthrottle_one(running, worker)
        if max(cpu, memory) < RELIEF_THRESHOLD or not _any_exceeds_reservation(
            running, worker
        ):
            return ()
        tasks = self._by_loss(worker, running, now)
        if memory >= RELIEF_THRESHOLD:
            excess = usage.memory_mb - CLOSE_THRESHOLD * worker.size.memory_mb
            return self._checkpoint(tasks, excess, "memory_mb", "memory pressure")
        excess = usage.cpu_milli - CLOSE_THRESHOLD * worker.size.cpu_milli
        throttles = self._throttle(tasks, excess)
        if throttles:
            return throttles
        return self._checkpoint(tasks, excess, "cpu_milli", "processor pressure")

    def _victims(self, worker, running, wanted, now, reclaim):
        """Return tasks, none superfluous, whose end makes `wanted` free, or None."""
        free = worker.free
        chosen = []
        for placed in self._by_loss(worker, running, now):
            if wanted.fits(free):
                break
            if placed.reclaim >= reclaim:
                chosen.append(placed)
                free = free + placed.needs
        if not wanted.fits(free):
            return None
        for placed in list(reversed(chosen)):
            without = free - placed.needs
            if wanted.fits(without):
                chosen.remove(placed)
                free = without
        return chosen

    def _by_loss(self, worker, running, now):
        tasks = [running[t] for t in worker.tasks if t in running]
        tasks = [t for t in tasks if t.preemptible]
        tasks.sort(
            key=lambda t: (
                -_URGENCY_RANKS[t.work.urgency],
                _KIND_RANKS[t.work.kind],
                _lost_progress(t, now),
            )
        )
        return tasks

    def _unthrottle_one(self, running, worker):
        throttled = [
            running[t]
            for t in worker.tasks
            if t in running and running[t].state is TaskState.THROTTLED
        ]
        if not throttled:
            self.throttled_workers.discard(worker.name)
            return ()
        first = min(throttled, key=lambda t: t.work.urgency.rank)
        first.state = TaskState.RUNNING
        return (Unthrottle(task=first.task, worker=worker.name),)

    def _throttle(self, tasks, excess):
        decisions = []
        for placed in tasks:
            if excess <= 0:
                break
            if placed.state is not TaskState.RUNNING or _is_urgent(placed):
                continue
            use = placed.usage.cpu_milli if placed.usage else placed.needs.cpu_milli
            excess -= use * (1 - THROTTLED_USE_FRACTION)
            placed.state = TaskState.THROTTLED
            self.throttled_workers.add(placed.worker)
            decisions.append(Throttle(task=placed.task, worker=placed.worker))
        return tuple(decisions)

    def _checkpoint(self, tasks, excess, field, reason):
        """Checkpoint up to CHECKPOINTS_PER_REPORT tasks that use `excess` together.

        Among the tasks of one urgency and kind, the first that alone covers the excess
        is chosen, else the one with the largest use.
        """
        decisions = []
        tasks = list(tasks)
        while tasks and excess > 0 and len(decisions) < CHECKPOINTS_PER_REPORT:
            first = (tasks[0].work.urgency, tasks[0].work.kind)
            group = [t for t in tasks if (t.work.urgency, t.work.kind) == first]
            covering = (t for t in group if _measured_or_reserved(t, field) >= excess)
            largest = max(group, key=lambda t: _measured_or_reserved(t, field))
            placed = next(covering, largest)
            tasks.remove(placed)
            excess -= _measured_or_reserved(placed, field)
            decisions.append(
                Checkpoint(task=placed.task, worker=placed.worker, reason=reason)
            )
        return tuple(decisions)


def _usage_without_ending(running, worker, usage):
    """Return the use of a worker without the tasks that were ordered to end."""
    cpu, memory = usage.cpu_milli, usage.memory_mb
    for task in worker.tasks:
        placed = running.get(task)
        if placed is not None and placed.state is TaskState.ENDING and placed.usage:
            cpu -= placed.usage.cpu_milli
            memory -= placed.usage.memory_mb
    return Usage(cpu_milli=max(cpu, 0), memory_mb=max(memory, 0))


def _measured_or_reserved(placed, field) -> int:
    return getattr(placed.usage or placed.needs, field)


def _is_urgent(placed):
    return placed.work.urgency.rank == 0


def _lost_progress(placed, now) -> float:
    """Return a measure of the progress that is lost if the task ends now.

    The measure is the reserved processor time since the start, over all tasks of a
    gang, plus the reserved memory, which decides between tasks that have just started.
    """
    elapsed = max(now - placed.started_at, 0.0)
    tasks = placed.work.tasks if placed.work.is_gang else 1
    return tasks * elapsed * max(placed.needs.cpu_milli, 1) + placed.needs.memory_mb


def _any_exceeds_reservation(running, worker):
    """Return whether a task on the worker uses more than its reservation.

    Reservations never exceed the size of a worker, so a worker that is full of tasks
    within their reservations is well packed and not under pressure.
    """
    placed = (running[t] for t in worker.tasks if t in running)
    return any(
        p.usage is not None
        and (
            p.usage.cpu_milli > p.needs.cpu_milli
            or p.usage.memory_mb > p.needs.memory_mb
        )
        for p in placed
    )
