"""Order in which waiting steps get room and advice, by what a delay costs callers."""

import collections
import enum
import heapq
import typing

__all__ = ["Outlook", "Rank", "WorkOrder"]

MS_PER_S = 1000
# A job that ends later than this multiple of its objective is of no use any more.
USEFUL_OBJECTIVES = 3.0
# Part of the expected work that is certainly left, as estimates are too high at times.
CERTAIN_FRACTION = 0.7
# Part of the room of a pool that is kept for each kind of work that waits, so that none
# stands still, and time that a step waits before it gets a part of that room.
FLOOR_SHARE = 0.05
FLOOR_WAIT_S = 1.0
# Interval at which the ranks of all waiting steps are computed anew. A step that
# begins to wait gets its rank at once.
REFRESH_S = 0.25


class Outlook(enum.IntEnum):
    """What the caller can still get from a job."""

    IN_TIME = 0
    LATE = 1
    LOST = 2


class Rank(typing.NamedTuple):
    """Position of a step among others; lower ranks go first.

    Parameters
    ----------
    lost : bool
        Whether the job is of no use any more, so that a delay costs its caller nothing.
    level : int
        Priority of the queue, or one more if the job will be late in any case, since a
        further delay costs its caller less.
    in_excess : bool
        Whether the workspace submitted the job beyond its rate.
    share_level : int
        Level of the workspace by its share of the room.
    outlook : Outlook
        What the caller can still get.
    latest_s : float
        Latest start for an end in time. If that is possible, it is postponed by what
        the step costs others: the time for which the work left in it occupies the pool,
        for each step that waits there. It is advanced in the same way by the work
        already done in the job. With little to do the earliest deadline goes first;
        the more waits, the more small steps go before wide ones, since an order by
        deadlines alone makes nearly all jobs late once not all can be in time.
    """

    lost: bool
    level: int
    in_excess: bool
    share_level: int
    outlook: Outlook
    latest_s: float


class Kind(typing.NamedTuple):
    """Work that has a floor of its own.

    Parameters
    ----------
    priority : int
        Priority of the queue, 0 for all jobs that are of no use any more.
    outlook : Outlook
        What the callers can still get, as of the start of a run.
    """

    priority: int
    outlook: Outlook


class WorkOrder:
    """The one order of steps, used for room, advice and preemption.

    It answers a load that is larger than the room; where there is room for all, the
    order changes little.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    ranks : dict of tuple to Rank
        Ranks of the waiting steps by their keys.
    sequence : list of Step
        Waiting steps in their order.
    line : list of tuple
        Heap of the steps that have not had their turn in this round, by rank.
    gave_way : bool
        Whether the step that has its turn has given way to another one.
    by_kind : dict of (str, Kind) to list of Step
        Steps in their order by pool and kind of work, as of the last computation of
        the ranks.
    refreshed_s : float or None
        Time at which the ranks were last computed.
    room : dict of str to int
        Processors of the runners of each pool, in thousandths of a core.
    measured_runners : int
        Number of runners that `room` covers.
    waiting_steps : collections.Counter
        Number of steps that waited for each pool when the ranks were last computed.
    in_use : dict of (str, Kind) to int
        Processors reserved by pool and kind of work, in thousandths of a core.
    counted : dict of Run to (str, Kind)
        Pool and kind under which each run counts.
    """

    def __init__(self, *, state):
        self.state = state
        self.line = []
        self.gave_way = False
        self.ranks = {}
        self.sequence = []
        self.by_kind = {}
        self.refreshed_s = None
        self.room = {}
        self.measured_runners = 0
        self.waiting_steps = collections.Counter()
        self.in_use = {}
        self.counted = {}

    def take(self, run):
        """Count the processors of a run that may exist from now on."""
        kind = self.kind(run.task.step)
        key = (run.runner.entry.pool, kind)
        self.counted[run] = key
        self.in_use[key] = self.in_use.get(key, 0) + _reserved_cpu(run.task.spec)

    def release(self, run):
        """Count the processors of a run no longer."""
        key = self.counted.pop(run, None)
        if key is not None:
            self.in_use[key] -= _reserved_cpu(run.task.spec)

    def kind(self, step) -> Kind:
        """Return the kind of work of a step, as of its latest rank."""
        rank = self.ranks.get(step.key)
        outlook = Outlook.IN_TIME if rank is None else rank.outlook
        lost = outlook is Outlook.LOST
        return Kind(0 if lost else step.job.queue.priority, outlook)

    def due_s(self, step) -> float:
        """Return the time objective of the occurrence that a step belongs to."""
        job, spec = step.job, step.job.job.spec
        if not spec.first_due_ms:
            return job.due_s
        due_ms = spec.first_due_ms + step.occurrence * spec.interval_ms
        return due_ms / MS_PER_S - self.state.wall_offset_s + job.objective_s

    def outlook(self, step, now, *, certain_fraction=CERTAIN_FRACTION) -> Outlook:
        """Return what the caller of a step can still get from its job.

        Work that lasts is useful whenever it starts.

        Parameters
        ----------
        certain_fraction : float
            Part of the expected work that is taken as certainly left.
        """
        if step.spec.lasting:
            return Outlook.IN_TIME
        end_s = now + certain_fraction * self.state.durations.remaining_s(step)
        return self.outlook_at(step, end_s)

    def outlook_at(self, step, end_s) -> Outlook:
        """Return what the caller gets from a job that ends at a time."""
        due_s = self.due_s(step)
        if end_s <= due_s:
            return Outlook.IN_TIME
        grace_s = (USEFUL_OBJECTIVES - 1) * step.job.objective_s
        return Outlook.LATE if end_s <= due_s + grace_s else Outlook.LOST

    def rank(self, step, now) -> Rank:
        """Return the rank of a step."""
        outlook = self.outlook(step, now)
        durations = self.state.durations
        latest_s = self.due_s(step) - durations.remaining_s(step)
        if outlook is Outlook.IN_TIME:
            work = len(step.pending) * step.spec.cpu * durations.task_s(step)
            weight = self.work_weight(step.job.queue.pool)
            latest_s += weight * (work - step.job.work_done)
        return Rank(
            lost=outlook is Outlook.LOST,
            level=step.job.queue.priority + (outlook is Outlook.LATE),
            in_excess=step.job.in_excess,
            share_level=self.state.shares.level(step, now),
            outlook=outlook,
            latest_s=latest_s,
        )

    def work_weight(self, pool) -> float:
        """Return by how much work postpones a step, in seconds for each unit of work.

        Work is in thousandths of a core times seconds.
        """
        return max(self.waiting_steps.get(pool, 0), 1) / (self.room.get(pool) or 1)

    def waiting(self, now):
        """Return the waiting steps in their order."""
        self.state.shares.rank_new_jobs(now)
        ready = self.state.ready
        if self.refreshed_s is None or now - self.refreshed_s >= REFRESH_S:
            self._refresh(now)
        else:
            for step in self.sequence:
                if not step.pending:
                    self.ranks.pop(step.key, None)
            self.sequence = [step for step in self.sequence if step.pending]
        if len(self.sequence) < len(ready):
            new = [step for key, step in ready.items() if key not in self.ranks]
            self.ranks |= {step.key: self.rank(step, now) for step in new}
            self.sequence = sorted(
                [*self.sequence, *new], key=lambda step: self.ranks[step.key]
            )
        return self.sequence

    def turns(self, now):
        """Yield the waiting steps in their order, once each unless they give way."""
        self.line = [
            (self.ranks[step.key], number, step)
            for number, step in enumerate(self.waiting(now))
        ]
        heapq.heapify(self.line)
        while self.line:
            _, number, step = heapq.heappop(self.line)
            self.gave_way = False
            if step.pending and not self.gives_way(step, now):
                yield step
            if self.gave_way:
                heapq.heappush(self.line, (self.ranks[step.key], number, step))

    def gives_way(self, step, now) -> bool:
        """Return whether another step comes first by now.

        The level of a workspace rises with each start of one of its tasks.
        """
        rank = self.ranks[step.key]
        share_level = self.state.shares.level(step, now)
        if share_level == rank.share_level:
            return False
        self.ranks[step.key] = rank._replace(share_level=share_level)
        self.gave_way = bool(self.line) and self.ranks[step.key] > self.line[0][0]
        return self.gave_way

    def _refresh(self, now):
        self.refreshed_s = now
        self._measure_room()
        ready = self.state.ready
        self.waiting_steps = collections.Counter(
            step.job.queue.pool for step in ready.values()
        )
        self.ranks = {key: self.rank(step, now) for key, step in ready.items()}
        self.sequence = sorted(ready.values(), key=lambda step: self.ranks[step.key])
        self.by_kind = {}
        for step in self.sequence:
            key = (step.job.queue.pool, self.kind(step))
            self.by_kind.setdefault(key, []).append(step)

    def pool_room(self, pool) -> int:
        """Return the processors of a pool, also before the first plan.

        A new dispatcher knows its runners before its jobs.
        """
        if self.measured_runners != len(self.state.runners):
            self._measure_room()
        return self.room.get(pool, 0)

    def _measure_room(self):
        self.measured_runners = len(self.state.runners)
        self.room = {}
        for runner in self.state.runners.values():
            pool = runner.entry.pool
            self.room[pool] = self.room.get(pool, 0) + runner.entry.capacity.cpu

    def count(self, outlook) -> int:
        """Return the number of waiting steps with an outlook."""
        return sum(rank.outlook is outlook for rank in self.ranks.values())

    def floor_turns(self, now):
        """Return the steps that go before all others, each with a number of tasks.

        These are the first ones of each kind of work that uses less than its floor,
        unless it is the first kind that waits for its pool.
        """
        self.waiting(now)
        turns, first = [], {}
        for (pool, kind), steps in self.by_kind.items():
            if first.setdefault(pool, kind) == kind:
                continue
            left = self._floor(pool) - self.in_use.get((pool, kind), 0)
            for step in steps:
                if left <= 0:
                    break
                count = self._floor_tasks(step, left, now)
                if count:
                    left -= count * _reserved_cpu(step.spec)
                    turns.append((step, count))
        return turns

    def _floor_tasks(self, step, left, now) -> int:
        """Return how many tasks of a step may go before others.

        Parameters
        ----------
        left : float
            Unused part of the floor, in thousandths of a core.
        """
        task = next(iter(step.pending.values()), None)
        if task is None or now - task.waiting_since_s < FLOOR_WAIT_S:
            return 0
        cpu, count = _reserved_cpu(step.spec), len(step.pending)
        together = count if step.spec.gang else 1
        if self.state.suspected_runs.may_include(step.job):
            return 0
        if not self.state.quotas.admits(step, count=together):
            return 0
        if not cpu or step.spec.gang:
            return count
        return min(max(int(left // cpu), 1), count)

    def _floor(self, pool):
        return FLOOR_SHARE * self.room.get(pool, 0)

    def may_preempt(self, step, now) -> bool:
        """Return whether a step is worth the loss of work of others."""
        return self.outlook(step, now) is not Outlook.LOST

    def level(self, step, now) -> int:
        """Return the priority of a step, one more if its job will be late."""
        return step.job.queue.priority + (self.outlook(step, now) is Outlook.LATE)

    def loses_less(self, run, level) -> bool:
        """Return whether a run may be stopped so that a task starts.

        Its step has to come later in the order by its priority, and its kind of work
        keeps its floor.

        Parameters
        ----------
        level : int
            Level of the step of the task.
        """
        if run.task.step.job.queue.priority <= level:
            return False
        key = self.counted.get(run)
        return key is not None and self.in_use[key] > self._floor(key[0])


def _reserved_cpu(spec):
    """Return the processors that a task reserves, in thousandths of a core."""
    return 0 if spec.opportunistic else spec.cpu
