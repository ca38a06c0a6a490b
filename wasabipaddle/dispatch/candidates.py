"""Index of the runners that may get work."""

import heapq

import attrs

from wasabipaddle.dispatch.capacity_tree import CapacityTree
from wasabipaddle.dispatch.fitting import base_score, demand, speed_weight

__all__ = ["CandidateIndex"]

# Slots of a tree beyond the number of runners, as a fraction of it, for runners that
# are added later.
SPARE_SLOTS_FRACTION = 0.25
# Number of slots of removed runners above which the slots are assigned anew.
MAX_GAPS = 64


@attrs.define(kw_only=True, eq=False)
class _Group:
    """Admitted runners of one pool and label, in a tree.

    Parameters
    ----------
    pool, label : str
        Pool, and label that the runners have; an empty one stands for any.
    speed_weight : float
        Weight of the speed in the scores.
    tree : CapacityTree
        Scores and free capacities by slot of the index.
    stale : set of int
        Slots that have changed since the last search.
    members : list of RunnerState or None
        Runners in the order of their slots, None if they have changed.
    """

    pool: str
    label: str
    speed_weight: float
    tree: CapacityTree
    stale: set
    members: list | None = None

    def contains(self, runner) -> bool:
        """Return whether an admitted runner belongs to the group."""
        entry = runner.entry
        return entry.pool == self.pool and (
            not self.label or self.label in entry.labels
        )


# Group of a label that no runner has.
NO_RUNNERS = _Group(
    pool="",
    label="",
    speed_weight=0.0,
    tree=CapacityTree(slots=1),
    stale=set(),
    members=[],
)


class CandidateIndex:
    """Runners that may get work, kept by pool, label, score and free capacity.

    Runners note their own changes in `CellState.changed_runners`, so that a decision
    only costs the work for what has changed since the last one. What changes with time
    alone, the end of a pause or of a quarantine, is kept in a heap.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    slots : dict of str to int
        Slot by runner, in the order of `state.runners`.
    runners : list of RunnerState or None
        Runner by slot.
    facts : dict of str to tuple
        What the groups of a runner depend on: whether it may get work, its incarnation
        and its registry entry.
    racks : dict of str to set of int
        Slots by rack.
    labels : set of str
        Labels of all runners.
    version : int
        Grows whenever `facts` change.
    fit_cache : dict of tuple to bool
        Whether a task may fit somewhere, by pool, label and demand, as long as no
        runner changes. Many waiting steps have the same demand.
    """

    def __init__(self, *, state):
        self.state = state
        self.slots = {}
        self.runners = []
        self.facts = {}
        self.racks = {}
        self.labels = set()
        self.groups = {}
        self.wakeups = []
        self.version = 0
        self.fit_cache = {}

    def refresh(self, now):
        """Take account of all changes until now."""
        changed = self.state.changed_runners
        while self.wakeups and self.wakeups[0][0] <= now:
            changed[heapq.heappop(self.wakeups)[1]] = None
        if changed:
            names = list(changed)
            changed.clear()
            self.fit_cache.clear()
            for runner_id in names:
                self._update(runner_id, now)
        gaps = len(self.runners) - len(self.slots)
        if len(self.slots) != len(self.state.runners) or gaps > MAX_GAPS:
            self._rebuild(now)

    def _rebuild(self, now):
        self.slots, self.runners, self.racks, self.labels = {}, [], {}, set()
        self.groups.clear()
        self.wakeups.clear()
        self.facts.clear()
        self.fit_cache.clear()
        for runner_id in self.state.runners:
            self._update(runner_id, now)

    def _update(self, runner_id, now):
        runner = self.state.runners.get(runner_id)
        if runner is None:
            self._remove(runner_id)
            return
        slot = self.slots.get(runner_id)
        if slot is None:
            slot = self.slots[runner_id] = len(self.runners)
            self.runners.append(runner)
        self.runners[slot] = runner
        starts_s = [run.started_s for run in runner.runs.values()]
        admitted = runner.usable(now) and runner.health.admits_task(now, starts_s)
        if not admitted:
            at_s = runner.next_change_s(now)
            if at_s is not None:
                heapq.heappush(self.wakeups, (at_s, runner_id))
        facts = (admitted, runner.incarnation, runner.entry)
        if self.facts.get(runner_id) != facts:
            self._set_facts(runner_id, slot, facts)
        for group in self.groups.values():
            group.stale.add(slot)

    def _set_facts(self, runner_id, slot, facts):
        previous = self.facts.get(runner_id)
        if previous is not None:
            self.racks[previous[2].rack].discard(slot)
        self.facts[runner_id] = facts
        self.racks.setdefault(facts[2].rack, set()).add(slot)
        self.labels.update(facts[2].labels)
        self._change_members()

    def _change_members(self):
        self.version += 1
        for group in self.groups.values():
            group.members = None

    def _remove(self, runner_id):
        slot = self.slots.pop(runner_id, None)
        if slot is None:
            return
        self.runners[slot] = None
        self.racks[self.facts.pop(runner_id)[2].rack].discard(slot)
        self._change_members()
        for group in self.groups.values():
            group.stale.add(slot)

    def admits(self, runner, now) -> bool:
        """Return whether a runner may get work, regardless of free capacity."""
        self.refresh(now)
        facts = self.facts.get(runner.id)
        return facts is not None and facts[0]

    def group(self, step, now) -> _Group:
        """Return the group of the runners that may run a step, up to date."""
        self.refresh(now)
        label = step.spec.required_label
        if label and label not in self.labels:
            return NO_RUNNERS
        key = (step.job.queue.pool, label, speed_weight(step))
        group = self.groups.get(key)
        if group is None or group.tree.size < len(self.runners):
            slots = int(len(self.runners) * (1 + SPARE_SLOTS_FRACTION))
            group = self.groups[key] = _Group(
                pool=key[0],
                label=key[1],
                speed_weight=key[2],
                tree=CapacityTree(slots=slots),
                stale=set(range(len(self.runners))),
            )
        for slot in group.stale:
            self._refill(group, slot)
        group.stale.clear()
        return group

    def _refill(self, group, slot):
        runner = self.runners[slot]
        if runner is None or not self.facts[runner.id][0] or not group.contains(runner):
            group.tree.clear(slot)
            return
        capacity = runner.entry.capacity
        group.tree.fill(
            slot,
            base_score(runner, group.speed_weight),
            capacity.cpu - runner.cpu,
            capacity.memory_mb - runner.memory_mb,
            capacity.gpus - runner.gpus,
        )

    def members(self, step, now):
        """Return the runners that may run a step, regardless of free capacity."""
        return list(self._members(step, now))

    def has_member_outside(self, step, runner_ids, now) -> bool:
        """Return whether a runner besides some may run a step, whatever its room."""
        return any(r.id not in runner_ids for r in self._members(step, now))

    def _members(self, step, now):
        if not step.job.may_run_in(step.job.queue.pool):
            return []
        group = self.group(step, now)
        if group.members is None:
            group.members = [
                runner
                for runner in self.runners
                if runner is not None
                and self.facts[runner.id][0]
                and group.contains(runner)
            ]
        return group.members

    def may_fit(self, step, now) -> bool:
        """Return whether a task of a step may fit on a runner; False is certain."""
        self.refresh(now)
        needed = demand(step.spec)
        key = (step.job.queue.pool, step.spec.required_label, needed)
        found = self.fit_cache.get(key)
        if found is None:
            found = self.group(step, now).tree.may_hold(*needed)
            self.fit_cache[key] = found
        return found
