"""Capacity that is kept free for work that smaller work would starve."""

import attrs

from wasabipaddle.dispatch.placement import free_slots, within_runner_limit

__all__ = ["Reservations"]

# Time that a step waits for capacity before runners are reserved for it.
RESERVE_AFTER_S = 2.0
# Longest duration of a reservation. Runs that are in progress on the runners may take
# longer than that, and other work of the pool must not wait for them for ever.
MAX_RESERVATION_S = 10.0
# Pause before runners are reserved for the same step again.
RESERVE_AGAIN_S = 5.0
# Number of steps of a pool that are examined in a planning round.
MAX_WAITING_STEPS = 4
NO_RUNNERS = frozenset()


@attrs.define(kw_only=True)
class Reservation:
    """Runners of one pool that take no other work until a step has started.

    Parameters
    ----------
    step : Step
        Step that waits.
    runner_ids : frozenset of str
        Reserved runners.
    until_s : float
        Time at which the reservation ends even if the step has not started.
    """

    step: object
    runner_ids: frozenset
    until_s: float


class Reservations:
    """Reserves runners for a gang or a large task that other work overtakes.

    Answers a load of many small tasks: each takes the capacity that has just become
    free, so that there is never enough at once for work that needs more. At most one
    step of a pool has a reservation, so that two gangs cannot wait for each other.
    Steps of a more urgent queue may use the reserved runners nevertheless.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    by_pool : dict of str to Reservation
        Current reservations.
    pauses_s : dict
        Time until which no runners are reserved for a step, by the key of the step.
    waiting : dict of str to dict
        First steps of the planning round that did not fit, by pool, each with the
        runners that may run it by identifier.
    """

    def __init__(self, *, state):
        self.state = state
        self.by_pool = {}
        self.pauses_s = {}
        self.waiting = {}

    def begin_round(self, now):
        """End the reservations of steps that have started or have waited too long."""
        self.waiting = {}
        self.pauses_s = {k: t for k, t in self.pauses_s.items() if now < t}
        for pool, reservation in list(self.by_pool.items()):
            step = reservation.step
            if step.key not in self.state.ready:
                self._end(pool, "started")
            elif now >= reservation.until_s:
                self.pauses_s[step.key] = now + RESERVE_AGAIN_S
                self._end(pool, "expired")

    def _end(self, pool, reason):
        step = self.by_pool.pop(pool).step
        self.state.journal(
            "reservation_ended", job=step.job.id, step=step.position, reason=reason
        )

    def exclude_reserved(self, step, permitted):
        """Return the rows of runners and tickets without those kept for other work."""
        reserved = self.reserved_for_others(step)
        if not reserved:
            return permitted
        return [row for row in permitted if row[0].id not in reserved]

    def reserved_for_others(self, step) -> frozenset:
        """Return the identifiers of the runners that a step may not use."""
        reservation = self.by_pool.get(step.job.queue.pool)
        if reservation is None or reservation.step is step:
            return NO_RUNNERS
        if step.job.queue.priority < reservation.step.job.queue.priority:
            return NO_RUNNERS
        return reservation.runner_ids

    def may_reserve(self, step, now) -> bool:
        """Return whether runners are to be reserved for a step if it is overtaken."""
        pool = step.job.queue.pool
        return (
            pool not in self.by_pool
            and len(self.waiting.get(pool, ())) < MAX_WAITING_STEPS
            and now >= self.pauses_s.get(step.key, 0.0)
            and _waited_s(step, now) >= RESERVE_AFTER_S
        )

    def note_waiting(self, step, runners):
        """Record that a step does not fit in this round.

        Parameters
        ----------
        runners : list of RunnerState
            Runners that may run the step, regardless of free capacity.
        """
        steps = self.waiting.setdefault(step.job.queue.pool, {})
        steps[step.key] = (step, {runner.id: runner for runner in runners})

    def note_start(self, step, runner, now):
        """Reserve runners for a step that waits, if this start overtakes it."""
        pool, priority = step.job.queue.pool, step.job.queue.priority
        for waiting, runners in self.waiting.get(pool, {}).values():
            overtaken = (
                waiting is not step
                and runner.id in runners
                and priority >= waiting.job.queue.priority
            )
            if overtaken:
                self._reserve(waiting, list(runners.values()), now)
                return

    def _reserve(self, step, runners, now):
        pool = step.job.queue.pool
        self.waiting.pop(pool)
        chosen = _choose_runners(step, runners)
        if not chosen:
            self.pauses_s[step.key] = now + RESERVE_AGAIN_S
            return
        self.by_pool[pool] = Reservation(
            step=step,
            runner_ids=frozenset(runner.id for runner in chosen),
            until_s=now + MAX_RESERVATION_S,
        )
        self.state.journal(
            "runners_reserved",
            job=step.job.id,
            step=step.position,
            runners=len(chosen),
            waited_ms=int(_waited_s(step, now) * 1000),
        )


def _waited_s(step, now):
    return now - min(task.waiting_since_s for task in step.pending.values())


def _choose_runners(step, runners):
    """Return the runners that need to end least work until the step fits on them.

    The list is empty if the step does not fit even after all runs that are not
    lasting have ended.
    """
    needed = len(step.pending) if step.spec.gang else 1
    rows = []
    for runner in runners:
        slots = _slots_without_short_runs(step, runner)
        if slots > 0:
            missing = max(min(slots, needed) - free_slots(step, runner), 0)
            rows.append((missing, -slots, runner.id, runner))
    rows.sort(key=lambda row: row[:3])
    chosen = []
    for _, negative_slots, _, runner in rows:
        chosen.append(runner)
        needed += negative_slots
        if needed <= 0:
            return chosen
    return []


def _slots_without_short_runs(step, runner):
    """Return how many tasks of a step fit beside the lasting runs of a runner."""
    spec, capacity = step.spec, runner.entry.capacity
    if not within_runner_limit(step, runner):
        return 0
    lasting = [r.task.spec for r in runner.runs.values() if r.task.spec.lasting]
    slots = spec.max_per_runner or spec.count
    if spec.cpu and not spec.opportunistic:
        held = sum(s.cpu for s in lasting if not s.opportunistic)
        slots = min(slots, (capacity.cpu - held) // spec.cpu)
    if spec.memory_mb:
        held = sum(s.memory_mb for s in lasting)
        slots = min(slots, (capacity.memory_mb - held) // spec.memory_mb)
    if spec.gpus:
        held = sum(s.gpus for s in lasting)
        slots = min(slots, (capacity.gpus - held) // spec.gpus)
    return max(slots, 0)
