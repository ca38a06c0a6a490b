"""Capacity that is kept free for work that smaller work would starve."""

import attrs

from wasabipaddle.dispatch.claims import needed_together, waiting_since_s
from wasabipaddle.dispatch.placement import within_runner_limit
from wasabipaddle.dispatch.room import Room, demand

__all__ = ["Reservations"]

# Time that a step waits for capacity before runners are reserved for it.
RESERVE_AFTER_S = 2.0
# Longest expected time until a step fits on the runners that are reserved for it. They
# stand idle in part until then.
MAX_DRAIN_S = 4.0
# Factor on the expected time after which a reservation ends, and its least duration.
DRAIN_MARGIN = 2.0
LEAST_RESERVATION_S = 2.0
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
    tried : set of str
        Pools in which runners were looked for in this round.
    """

    def __init__(self, *, state):
        self.state = state
        self.by_pool = {}
        self.pauses_s = {}
        self.waiting = {}
        self.tried = set()

    def begin_round(self, now):
        """End the reservations of steps that have started or have waited too long.

        The same goes for claims on quotas.
        """
        self.state.quotas.claims.begin_round(now)
        self.waiting = {}
        self.tried = set()
        self.pauses_s = {k: t for k, t in self.pauses_s.items() if now < t}
        for pool, reservation in list(self.by_pool.items()):
            step = reservation.step
            if step.key not in self.state.ready:
                self._end(pool, "started")
            elif not self.state.quotas.admits(step, count=needed_together(step)):
                self._end(pool, "quota")
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

    def select_unreserved(self, step, runners):
        """Return those of some runners that are not kept for other work."""
        reserved = self.reserved_for_others(step)
        if not reserved:
            return runners
        return [runner for runner in runners if runner.id not in reserved]

    def reserved_for_others(self, step) -> frozenset:
        """Return the identifiers of the runners that a step may not use."""
        reservation = self.by_pool.get(step.job.queue.pool)
        if reservation is None or reservation.step is step:
            return NO_RUNNERS
        if step.job.queue.priority < reservation.step.job.queue.priority:
            return NO_RUNNERS
        return reservation.runner_ids

    def reserved_for(self, step) -> frozenset:
        """Return the identifiers of the runners that are kept free for a step."""
        reservation = self.by_pool.get(step.job.queue.pool)
        if reservation is None or reservation.step is not step:
            return NO_RUNNERS
        return reservation.runner_ids

    def may_reserve(self, step, now) -> bool:
        """Return whether runners are to be reserved for a step if it is overtaken."""
        pool = step.job.queue.pool
        return (
            pool not in self.by_pool
            and pool not in self.tried
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
        """Reserve runners, or part of a quota, for a step that this start overtakes."""
        self.state.quotas.claims.note_start(step, now)
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
        self.tried.add(pool)
        chosen, drain_s = self.choose_runners(step, runners, now)
        if not chosen:
            self.pauses_s[step.key] = now + RESERVE_AGAIN_S
            return
        self.by_pool[pool] = Reservation(
            step=step,
            runner_ids=frozenset(runner.id for runner in chosen),
            until_s=now + max(DRAIN_MARGIN * drain_s, LEAST_RESERVATION_S),
        )
        self.state.journal(
            "runners_reserved",
            job=step.job.id,
            step=step.position,
            runners=len(chosen),
            drain_ms=int(drain_s * 1000),
            waited_ms=int(_waited_s(step, now) * 1000),
        )

    def choose_runners(self, step, runners, now):
        """Return the runners on which a step fits first, and when it does.

        Returns
        -------
        tuple of (list of RunnerState, float)
            The runners, none if the step does not fit within `MAX_DRAIN_S`, and the
            expected time until it fits, in seconds.
        """
        needed = needed_together(step)
        places = [
            (drain_s, runner.id, count, runner)
            for runner in runners
            for drain_s, count in self._places_s(step, runner, needed, now)
        ]
        places.sort(key=lambda place: place[:2])
        chosen = {}
        for drain_s, runner_id, count, runner in places:
            chosen[runner_id] = runner
            needed -= count
            if needed <= 0:
                return list(chosen.values()), drain_s
        return [], 0.0

    def _places_s(self, step, runner, most, now):
        """Return the times until further tasks fit on a runner, each with their number.

        Runs are expected to end one after the other; times above `MAX_DRAIN_S` are
        left out.
        """
        if not within_runner_limit(step, runner):
            return []
        stop_s = self.state.timing.stop_s
        left_s = sorted(
            (seconds, number, run.task.spec)
            for number, run in enumerate(runner.runs.values())
            if (seconds := run.time_left_s(now, stop_s=stop_s)) <= MAX_DRAIN_S
        )
        needs = demand(step.spec)
        most = min(most, step.spec.max_per_runner or most)
        free = Room.of_runner(runner)
        count = free.count(needs, most)
        places_s = [(0.0, count)] if count else []
        for seconds, _, spec in left_s:
            free.add(demand(spec))
            further = free.count(needs, most) - count
            if further > 0:
                places_s.append((seconds, further))
                count += further
        return places_s


def _waited_s(step, now):
    return now - waiting_since_s(step)
