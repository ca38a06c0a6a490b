"""Queue of runs that wait for placement."""

import collections
import enum
import heapq
import itertools

import attrs
from sortedcontainers import SortedList

from wasabipaddle.documents import Resources, ServiceKind, Urgency
from wasabipaddle.placement.resources import ZERO, leftover_score
from wasabipaddle.placement.work import Work

__all__ = ["PendingQueue", "PendingRun", "QueueState", "ServiceQueue"]

# Parked services inspected per class when resources are released, and services
# inspected for a probe.
WAKE_INSPECTED = 64
# Fraction of the fitting services, counted from the smallest share per weight, among
# which the best fit is chosen.
SMALLEST_SHARES_FRACTION = 0.5
# Most services retried per class in one sweep.
MAX_RETRIED_PER_SWEEP = 8
# A heap is rebuilt when it has more entries than the factor times the number of ready
# services plus the minimum. Each ready service has one valid entry; the rest are stale.
STALE_FACTOR = 4
STALE_MINIMUM = 64


class QueueState(enum.Enum):
    """Whether the head run of a service can be tried, or what it waits for."""

    IDLE = "idle"  # no run waits
    READY = "ready"
    QUOTA = "quota"  # waits until its team or service releases resources
    SPACE = "space"  # waits until a worker has enough free resources
    FLEET = "fleet"  # waits until the set of workers or a quota changes


@attrs.define(kw_only=True, eq=False)
class PendingRun:
    """Waiting tasks of a run.

    Parameters
    ----------
    since : float
        Time in seconds at which the tasks began to wait.
    """

    work: Work
    indices: collections.deque
    since: float
    cancelled: bool = False


@attrs.define(kw_only=True, eq=False)
class ServiceQueue:
    """Waiting runs of one service in one urgency class.

    Parameters
    ----------
    entry_number : int
        Number of the valid heap entry; entries with other numbers are stale.
    need : Resources
        Resources that the head task needs while the service waits for space.
    parked_key : tuple or None
        Sort key among the services that wait for space.
    """

    service: str
    team: str
    urgency: Urgency
    weight: int
    rank: int
    runs: collections.deque = attrs.field(factory=collections.deque)
    state: QueueState = QueueState.IDLE
    entry_number: int = 0
    need: Resources = ZERO
    parked_key: tuple | None = None

    def head(self) -> PendingRun | None:
        """Return the next run, after removing cancelled and empty ones before it."""
        while self.runs and (self.runs[0].cancelled or not self.runs[0].indices):
            self.runs.popleft()
        return self.runs[0] if self.runs else None

    def head_since(self) -> float:
        """Return the time at which the next run began to wait; 0 if no run waits."""
        head = self.head()
        return head.since if head is not None else 0.0


class PendingQueue:
    """Waiting work by urgency class and weighted fair share.

    Services below their guaranteed floor go first, then the most urgent class. Inside
    a class the service with the smallest held share per weight is next. A service
    whose head run cannot be placed is parked until quota or space becomes free, so
    that it blocks no other service.

    Parameters
    ----------
    ledger : ShareLedger
        Source of shares and floors.

    References
    ----------
    Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
    """

    def __init__(self, *, ledger):
        self.ledger = ledger
        self.queues = {}
        self.by_service = {}
        self.by_run = {}
        self.heaps = [[] for _ in Urgency]
        self.ready_counts = [0 for _ in Urgency]
        self.parked_space = [SortedList() for _ in Urgency]
        self.parked_quota = {}
        self.parked_fleet = {}
        self.floor_ready = {}
        self.floor_parked = {}
        self.sequence = itertools.count()

    def __len__(self):
        return len(self.by_run)

    def key_of(self, work):
        """Return the service and urgency class of the queue in which a run waits."""
        return work.service, work.urgency

    def push(self, pending, *, front=False):
        """Queue a run, before the other runs of its service if `front` is set."""
        work = pending.work
        key = self.key_of(work)
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = ServiceQueue(
                service=key[0],
                team=work.team,
                urgency=key[1],
                weight=work.weight,
                rank=key[1].rank,
            )
            self.by_service.setdefault(key[0], []).append(queue)
        queue.weight = max(work.weight, 1)
        if front:
            queue.runs.appendleft(pending)
        else:
            queue.runs.append(pending)
        self.by_run.setdefault(work.run, []).append(pending)
        if queue.state is QueueState.IDLE or (front and queue.head() is pending):
            self.make_ready(queue)

    def cancel(self, run):
        """Drop all waiting parts of a run, each in constant time."""
        for pending in self.by_run.pop(run, ()):
            work = pending.work
            queue = self.queues[self.key_of(work)]
            at_head = bool(queue.runs) and queue.runs[0] is pending
            pending.cancelled = True
            if at_head:
                self.make_ready(queue)

    def take(self, queue, count):
        """Remove `count` tasks of the head run and return their indices."""
        pending = queue.head()
        taken = [pending.indices.popleft() for _ in range(count)]
        if not pending.indices:
            queue.runs.popleft()
            parts = self.by_run[pending.work.run]
            parts.remove(pending)
            if not parts:
                del self.by_run[pending.work.run]
        return taken

    def next_ready(self) -> ServiceQueue | None:
        """Return the service whose head run should be tried next."""
        for queue in list(self.floor_ready.values()):
            if queue.head() is None:
                self._set_state(queue, QueueState.IDLE)
            elif self.ledger.below_floor(queue.service):
                return queue
        for heap in self.heaps:
            while heap:
                entry = heap[0]
                queue = entry[-1]
                if entry[2] == queue.entry_number and queue.state is QueueState.READY:
                    if queue.head() is not None:
                        return queue
                    self._set_state(queue, QueueState.IDLE)
                heapq.heappop(heap)
        return None

    def share_changed(self, service):
        """Update the position of a service whose held resources changed."""
        for queue in self.by_service.get(service, ()):
            if queue.state is QueueState.READY:
                self._push_entry(queue)

    def make_ready(self, queue):
        """Mark a service as ready to be tried."""
        self._set_state(queue, QueueState.READY)
        if queue.service in self.ledger.floors:
            self.floor_ready[queue.service, queue.urgency] = queue
        self._push_entry(queue)

    def park_space(self, queue, need):
        """Park a service until a worker has `need` free."""
        self._set_state(queue, QueueState.SPACE)
        queue.need = need
        queue.parked_key = (need.cpu_milli, next(self.sequence))
        self.parked_space[queue.rank].add((*queue.parked_key, queue))
        if queue.service in self.ledger.floors:
            self.floor_parked[queue.service, queue.urgency] = queue

    def park_quota(self, queue):
        """Park a service until its team releases resources."""
        queue.team = queue.head().work.team
        self._set_state(queue, QueueState.QUOTA)
        self.parked_quota.setdefault(queue.team, {})[id(queue)] = queue

    def park_fleet(self, queue):
        """Park a service until the set of workers or a quota changes."""
        self._set_state(queue, QueueState.FLEET)
        self.parked_fleet[id(queue)] = queue

    def wake_team(self, team):
        """Make the services ready that wait for the quota of a team."""
        for queue in list(self.parked_quota.get(team, {}).values()):
            self.make_ready(queue)

    def floor_changed(self, service):
        """Make a service ready that may benefit from its new floor."""
        for queue in self.by_service.get(service, ()):
            if queue.state in (QueueState.READY, QueueState.SPACE):
                self.make_ready(queue)

    def wake_fleet(self):
        """Make the services ready that wait for the fleet or for space."""
        for queue in list(self.parked_fleet.values()):
            self.make_ready(queue)
        self.wake_all_space()

    def wake_all_space(self):
        """Make all services ready that wait for space."""
        for parked in self.parked_space:
            for entry in list(parked):
                self.make_ready(entry[-1])

    def wake_oldest(self):
        """Make the services ready whose head runs have waited longest for space."""
        for parked in self.parked_space:
            oldest = heapq.nsmallest(
                MAX_RETRIED_PER_SWEEP, parked, key=lambda e: e[-1].head_since()
            )
            for entry in oldest:
                self.make_ready(entry[-1])

    def probe_candidate(self, free) -> ServiceQueue | None:
        """Return a service whose head task can be a probe and fits `free`, or None.

        Only batch tasks that are not urgent are used as probes.
        """
        for queue in itertools.islice(self.queues.values(), WAKE_INSPECTED):
            head = queue.head()
            if head is None or head.work.kind is not ServiceKind.BATCH:
                continue
            if queue.urgency is not Urgency.URGENT and head.work.needs.fits(free):
                return queue
        return None

    def wake_one(self, free, tried) -> bool:
        """Make one service ready that waits for space and fits into `free`.

        Services below their guaranteed floor come first. Otherwise the most urgent
        class with a fitting service is chosen. Among the half of its fitting services
        that have the smallest shares per weight, the one whose need fits `free` best is
        made ready, so that neither processor nor memory is left over alone.

        Parameters
        ----------
        free : Resources
            Resources of one worker that are free or can be used for backfill.
        tried : set of int
            Identities (`id`) of queues that stay parked.

        Returns
        -------
        bool
            Whether a service was made ready.
        """
        below = self._furthest_below_floor(free, tried)
        if below is not None:
            self.make_ready(below)
            return True
        for parked in self.parked_space:
            fitting = parked.irange(maximum=(free.cpu_milli, 1 << 62), reverse=True)
            options = [
                (self._weighted_share(queue), sequence, queue)
                for _, sequence, queue in itertools.islice(fitting, WAKE_INSPECTED)
                if queue.need.fits(free) and id(queue) not in tried
            ]
            if options:
                options.sort(key=lambda option: option[:2])
                first = options[: max(1, int(len(options) * SMALLEST_SHARES_FRACTION))]
                best = min(
                    first, key=lambda option: leftover_score(option[2].need, free)
                )
                self.make_ready(best[2])
                return True
        return False

    def _furthest_below_floor(self, free, tried):
        """Return the parked service furthest below its floor that fits, or None."""
        below = (
            queue
            for queue in self.floor_parked.values()
            if id(queue) not in tried
            and queue.need.fits(free)
            and self.ledger.below_floor(queue.service)
        )
        return min(
            below, key=lambda q: self.ledger.floor_ratio(q.service), default=None
        )

    def _weighted_share(self, queue):
        return self.ledger.share(queue.service) / queue.weight

    def _push_entry(self, queue):
        head = queue.head()
        if head is None:
            self._set_state(queue, QueueState.IDLE)
            return
        queue.entry_number = next(self.sequence)
        rank = queue.rank
        heap = self.heaps[rank]
        heapq.heappush(
            heap, (self._weighted_share(queue), head.since, queue.entry_number, queue)
        )
        if len(heap) > STALE_FACTOR * self.ready_counts[rank] + STALE_MINIMUM:
            heap[:] = [e for e in heap if e[2] == e[-1].entry_number]
            heapq.heapify(heap)

    def _set_state(self, queue, state):
        if queue.state is state:
            return
        rank = queue.rank
        if queue.state is QueueState.READY:
            self.ready_counts[rank] -= 1
            self.floor_ready.pop((queue.service, queue.urgency), None)
        elif queue.state is QueueState.SPACE:
            self.parked_space[rank].remove((*queue.parked_key, queue))
            self.floor_parked.pop((queue.service, queue.urgency), None)
        elif queue.state is QueueState.QUOTA:
            self.parked_quota[queue.team].pop(id(queue), None)
        elif queue.state is QueueState.FLEET:
            self.parked_fleet.pop(id(queue), None)
        if state is QueueState.READY:
            self.ready_counts[rank] += 1
        queue.state = state
