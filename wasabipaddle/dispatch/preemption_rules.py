"""Rules by which runs may be stopped for tasks that fit on no runner."""

import abc
import itertools

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.order import Outlook
from wasabipaddle.dispatch.shares import upper_share

__all__ = ["URGENT_DELAY_S", "LentRoom", "LessUrgentRuns", "PreemptionRule"]

URGENT_PRIORITY = 0
# Time that a task waits for free capacity before runs are stopped for it, if it is
# urgent, and if its workspace is below its share.
URGENT_DELAY_S = 0.1
SHARE_DELAY_S = 0.5
# A run with at least this progress is not preempted, since it will end soon.
PREEMPTION_LIMIT_PERCENT = 85
# Time before its latest start at which a task gets room back, as a multiple of the time
# that a stop takes: a stop, the rounds before and after it, and a late start.
STOPS_BEFORE_LATEST_START = 3.0
# Tasks for which the runs of all runners are examined in one planning round to return
# lent room.
SEARCHES_PER_ROUND = 8
# Time after which runs are looked for again for a workspace for which none were found.
SEARCH_AGAIN_S = 0.5
# Least time left of a run that is stopped to return lent room: the room of shorter ones
# comes back nearly as soon by itself.
LEAST_TIME_LEFT_S = 2.0


class PreemptionRule(abc.ABC):
    """Decides which runs may be stopped for which tasks.

    Parameters
    ----------
    state : CellState
        Shared state.
    """

    def __init__(self, *, state):
        self.state = state

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Name of the rule in the log."""

    @abc.abstractmethod
    def allows(self, task, now) -> bool:
        """Return whether runs may be stopped for a task."""

    @abc.abstractmethod
    def candidates(self, task, runner, now) -> list:
        """Return the runs of a runner each of which may be stopped for a task."""

    def runners(self, task, runners) -> list:
        """Return those of some runners on which room may become free for a task."""
        return runners

    def further_tasks(self, task) -> list:
        """Return the tasks that may get room in the same round as a task."""
        return []

    def may_add(self, run, victims) -> bool:
        """Return whether a candidate may be stopped besides other ones."""
        return True

    def note_stop(self, run, task):
        """Record that a run is stopped for a task."""

    def note_failure(self, task, now):
        """Record that no runs were found whose end would make room for a task."""

    def begin_round(self):
        """Forget what was computed in the previous planning round."""


class LessUrgentRuns(PreemptionRule):
    """Lets urgent tasks stop runs of less urgent queues.

    Attributes
    ----------
    levels : dict of tuple to int
        Levels of steps in this round, by their keys.
    """

    name = "less_urgent"

    def __init__(self, *, state):
        super().__init__(state=state)
        self.levels = {}

    def begin_round(self):
        """Forget the levels of the previous planning round."""
        self.levels = {}

    def allows(self, task, now) -> bool:
        """Return whether a task is urgent and has waited long enough.

        A task of a job in excess preempts nothing.
        """
        entry = task.step.job
        urgent = entry.queue.priority == URGENT_PRIORITY and not entry.in_excess
        if not urgent or now - task.waiting_since_s < URGENT_DELAY_S:
            return False
        return self.state.order.may_preempt(task.step, now)

    def candidates(self, task, runner, now) -> list:
        """Return the less urgent runs whose kind of work keeps its floor."""
        order, step = self.state.order, task.step
        if step.key not in self.levels:
            self.levels[step.key] = order.level(step, now)
        level, priority = self.levels[step.key], step.job.queue.priority
        return [
            run
            for run in runner.runs.values()
            if run.task.step.job.queue.priority > priority
            and is_stoppable(run)
            and order.loses_less(run, level)
        ]


class LentRoom(PreemptionRule):
    """Takes room that one workspace holds beyond its share back for another one.

    Both have work of the same priority. The task can only just end in time, and its
    workspace stays within its share by it. The other workspace has to be above the
    upper bound of its share, and keeps its share, so that neither can take the room
    back at once. A task makes others stop once, and is stopped once. No run is stopped
    whose job would be late because of it, unless it was submitted beyond the rate.

    Attributes
    ----------
    returning : list of tuple of (Run, Task)
        Runs that are being stopped, and the tasks that get their room.
    borrowers : dict of int to dict of str to float
        Fair shares of the workspaces that are far above them, by priority.
    searches : int
        Number of tasks for which runs were looked for in this round.
    search_again_s : dict of str to float
        Time from which runs are looked for again, by workspace.
    """

    name = "lent_room"

    def __init__(self, *, state):
        super().__init__(state=state)
        self.returning = []
        self.borrowers = {}
        self.searches = 0
        self.search_again_s = {}

    def begin_round(self):
        """Forget the runs that have ended, and who held too much."""
        self.borrowers = {}
        self.searches = 0
        configured = self.state.configuration.workspaces
        self.search_again_s = {
            name: at_s
            for name, at_s in self.search_again_s.items()
            if name in configured
        }
        self.returning = [
            (run, task) for run, task in self.returning if run.key in run.runner.runs
        ]

    def allows(self, task, now) -> bool:
        """Return whether a task waits for room that others hold beyond their share."""
        step, entry = task.step, task.step.job
        if entry.in_excess or now - task.waiting_since_s < SHARE_DELAY_S:
            return False
        if task.got_room:
            return any(waiting is task for _, waiting in self.returning)
        if self.searches >= SEARCHES_PER_ROUND:
            return False
        if now < self.search_again_s.get(entry.job.workspace, 0.0):
            return False
        if not self._find_borrowers(entry.job.policy.priority):
            return False
        stop_s, order = self.state.timing.stop_s, self.state.order
        latest_s = order.due_s(step) - self.state.durations.remaining_s(step)
        if now < latest_s - STOPS_BEFORE_LATEST_START * stop_s:
            return False
        if order.outlook(step, now + stop_s) is not Outlook.IN_TIME:
            return False
        return self._stays_within_share(task)

    def _stays_within_share(self, task):
        shares, job = self.state.shares, task.step.job.job
        usage = shares.usage(job.workspace, job.policy.priority)
        usage.add(task.spec, 1)
        for other in {served for _, served in self.returning}:
            if other.step.job.job.workspace == job.workspace:
                usage.add(other.spec, 1)
        return shares.dominant_share(usage) <= shares.fair_share(job.workspace)

    def _find_borrowers(self, priority):
        """Return the shares of the workspaces above the upper bound of theirs."""
        found = self.borrowers.get(priority)
        if found is None:
            shares = self.state.shares
            found = self.borrowers[priority] = {}
            for name in shares.in_use:
                share = shares.fair_share(name)
                held = shares.dominant_share(self._kept_usage(name, priority, ()))
                if share and held > upper_share(share):
                    found[name] = share
        return found

    def _kept_usage(self, name, priority, victims):
        """Return what a workspace holds without runs that are being stopped."""
        usage = self.state.shares.usage(name, priority)
        for run in [*(run for run, _ in self.returning), *victims]:
            job = run.task.step.job.job
            if job.workspace == name and job.policy.priority <= priority:
                usage.add(run.task.spec, -1)
        return usage

    def candidates(self, task, runner, now) -> list:
        """Return the runs of other workspaces that hold lent room."""
        if task.got_room:
            return []
        entry = task.step.job
        borrowers = self._find_borrowers(entry.job.policy.priority)
        starts_again_s = now + self.state.durations.task_s(task.step)
        return [
            run
            for run in runner.runs.values()
            if run.task.step.job.job.workspace in borrowers
            and run.task.step.job.job.workspace != entry.job.workspace
            and run.task.step.job.queue.priority == entry.queue.priority
            and not run.task.gave_room
            and is_stoppable(run)
            and (left_s := run.time_left_s(now, stop_s=0.0)) >= LEAST_TIME_LEFT_S
            and not self._costs_its_caller(run, left_s, starts_again_s, now)
        ]

    def _costs_its_caller(self, run, left_s, starts_again_s, now):
        """Return whether the caller of a run gets less if it is stopped.

        Parameters
        ----------
        left_s, starts_again_s : float
            Time that the run needs, and time at which the next one may start.
        """
        step, order = run.task.step, self.state.order
        if step.job.in_excess:
            return False
        durations = self.state.durations
        later_s = durations.remaining_s(step) - durations.task_s(step)
        again_s = left_s if step.spec.checkpoints else durations.task_s(step)
        kept = order.outlook_at(step, now + left_s + later_s)
        return order.outlook_at(step, starts_again_s + again_s + later_s) > kept

    def runners(self, task, runners) -> list:
        """Return the runners to search, and count a search of all of them."""
        if not task.got_room:
            self.searches += 1
            return runners
        return list({run.runner: None for run, t in self.returning if t is task})

    def further_tasks(self, task) -> list:
        """Return other waiting tasks of the step; one by one they would be late."""
        others = itertools.islice(task.step.pending.values(), SEARCHES_PER_ROUND)
        return [other for other in others if other is not task]

    def may_add(self, run, victims) -> bool:
        """Return whether the workspace of a run keeps its share without it."""
        job = run.task.step.job.job
        shares = self.state.shares
        usage = self._kept_usage(job.workspace, job.policy.priority, [*victims, run])
        return shares.dominant_share(usage) >= shares.fair_share(job.workspace)

    def note_stop(self, run, task):
        """Record a stop, which happens once for a task and once to a task."""
        run.task.gave_room = task.got_room = True
        self.returning.append((run, task))
        self.borrowers = {}

    def note_failure(self, task, now):
        """Look for runs for the workspace of a task again after a while."""
        if not task.got_room:
            name = task.step.job.job.workspace
            self.search_again_s[name] = now + SEARCH_AGAIN_S


def is_stoppable(run) -> bool:
    """Return whether a run can be stopped without breaking others or much work."""
    spec = run.task.spec
    return (
        run.phase is RunPhase.RUNNING
        and not spec.lasting
        and not spec.gang
        and run.percent < PREEMPTION_LIMIT_PERCENT
    )
