"""Choice of the runner for each task of a step within one plan."""

import abc
import heapq

from wasabipaddle.dispatch.fitting import demand, fits, score, within_runner_limit

__all__ = ["FleetChoice", "FullFleetChoice", "RunnerChoice", "TicketChoice"]


class RunnerChoice(abc.ABC):
    """Choice of the runner for each task of a step within one plan.

    Parameters
    ----------
    step : Step
        Step of the tasks.
    may_order_start : callable
        Returns whether a runner may get another start order of the step now.
    reserved : frozenset of str
        Runners that are reserved for other steps.
    """

    def __init__(self, *, step, may_order_start, reserved):
        self.step = step
        self.may_order_start = may_order_start
        self.reserved = reserved

    def select_unreserved(self, runners):
        """Return those of some runners that are not reserved for other steps."""
        if not self.reserved:
            return runners
        return [runner for runner in runners if runner.id not in self.reserved]

    @abc.abstractmethod
    def __bool__(self):
        """Whether any runner may start tasks of the step, regardless of capacity."""

    @abc.abstractmethod
    def best(self, task):
        """Return the runner of highest score and its ticket.

        Returns None if no runner fits or may get a start order now. Of runners with
        equal scores, the first one counts.
        """

    @abc.abstractmethod
    def waits_for_replies(self) -> bool:
        """Return whether a task fits, once replies to start orders arrive.

        To be called after `best` has returned None.
        """

    @abc.abstractmethod
    def runners(self):
        """Return the runners that may start tasks, regardless of capacity."""


class TicketChoice(RunnerChoice):
    """Choice among a list of runners, scored once.

    Parameters
    ----------
    permitted : list of tuple of (RunnerState, str)
        Runners that may start the step, each with its ticket.
    admits : callable
        Returns whether a runner may still get work; the start of a probe ends that.
    """

    def __init__(self, *, permitted, admits, **options):
        super().__init__(**options)
        self.permitted = [row for row in permitted if row[0].id not in self.reserved]
        self.admits = admits
        self.heap = None
        self.waiting = False

    def __bool__(self):
        return bool(self.permitted)

    def best(self, task):
        """Return the best runner; see the base class."""
        if task.avoided:
            return self.scan(task)
        if self.heap is None:
            self.heap = [
                (-score(task, runner), position)
                for position, (runner, _) in enumerate(self.permitted)
                if fits(self.step, runner)
            ]
            heapq.heapify(self.heap)
        while self.heap:
            value, position = self.heap[0]
            runner = self.permitted[position][0]
            if not self._is_open(runner):
                heapq.heappop(self.heap)
                continue
            current = -score(task, runner)
            if current == value:
                return self.permitted[position]
            # A start has changed the score of this runner only.
            heapq.heapreplace(self.heap, (current, position))
        return None

    def _is_open(self, runner):
        """Return whether a runner fits and may get a start order."""
        if not fits(self.step, runner) or not self.admits(runner):
            return False
        if self.may_order_start(self.step, runner):
            return True
        self.waiting = True
        return False

    def scan(self, task):
        """Return the best runner like `best`, with the scores of all runners."""
        best, best_score = None, None
        for runner, ticket in self.permitted:
            if not self._is_open(runner):
                continue
            value = score(task, runner)
            if best is None or value > best_score:
                best, best_score = (runner, ticket), value
        return best

    def waits_for_replies(self) -> bool:
        """Return whether replies may make room; see the base class."""
        return self.waiting

    def runners(self):
        """Return the runners of the list."""
        return [runner for runner, _ in self.permitted if self.admits(runner)]


class FleetChoice(RunnerChoice):
    """Choice among all candidates of a step, by a search of the index.

    Parameters
    ----------
    index : CandidateIndex
        Runners that may get work.
    now : float
        Time of the plan.
    """

    def __init__(self, *, index, now, **options):
        super().__init__(**options)
        self.index = index
        self.now = now
        self.waiting = False

    def __bool__(self):
        return self.index.has_member_outside(self.step, self.reserved, self.now)

    def best(self, task):
        """Return the best runner; see the base class."""
        self.waiting = False
        group = self.index.group(self.step, self.now)

        def evaluate(slot):
            return self._evaluate(task, self.index.runners[slot])

        # The preferred rack raises the score above the one in the tree.
        best, best_slot = float("-inf"), -1
        for slot in self._preferred_slots(group):
            value = evaluate(slot)
            if value is not None and value > best:
                best, best_slot = value, slot
        slot = group.tree.find(
            demand(self.step.spec), evaluate, best=best, best_slot=best_slot
        )
        return None if slot < 0 else (self.index.runners[slot], "")

    def _preferred_slots(self, group):
        rack = self.step.spec.preferred_rack
        slots = sorted(self.index.racks.get(rack, ())) if rack else ()
        return [
            slot
            for slot in slots
            if group.tree.score[group.tree.size + slot] > float("-inf")
            and self.index.runners[slot].fits(self.step.spec)
        ]

    def _evaluate(self, task, runner):
        """Return the score of a runner with enough capacity, None if excluded."""
        if runner.id in self.reserved or not within_runner_limit(self.step, runner):
            return None
        if not self.may_order_start(self.step, runner):
            self.waiting = True
            return None
        return score(task, runner)

    def waits_for_replies(self) -> bool:
        """Return whether replies may make room; see the base class."""
        return self.waiting

    def runners(self):
        """Return all candidates."""
        return self.select_unreserved(self.index.members(self.step, self.now))


class FullFleetChoice(RunnerChoice):
    """Choice for a step whose tasks fit on no runner at present.

    Parameters
    ----------
    find_permitted : callable
        Returns an iterator over the runners that may start the step, with their
        tickets; examined only as far as necessary.
    """

    def __init__(self, *, find_permitted, **options):
        super().__init__(**options)
        self.find_permitted = find_permitted

    def __bool__(self):
        rows = self.find_permitted()
        return any(runner.id not in self.reserved for runner, _ in rows)

    def best(self, task):
        """Return None, as no runner fits."""
        return

    def waits_for_replies(self) -> bool:
        """Return False, as a reply frees no capacity."""
        return False

    def runners(self):
        """Return the runners that may start the step."""
        return self.select_unreserved([runner for runner, _ in self.find_permitted()])
