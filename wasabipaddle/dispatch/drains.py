"""Drains: freeing the runners of machines that await maintenance."""

import enum

from wasabipaddle.dispatch.availability import permits_interruption
from wasabipaddle.dispatch.evacuation import evacuate
from wasabipaddle.dispatch.fitting import fits
from wasabipaddle.dispatch.model import RunPhase

__all__ = ["Drains", "Obstacle"]

# Processor time, in core seconds per core, that the move of a saved run costs.
MOVE_COST_S = 0.5
# Processor time that the move of a lasting task costs its users.
LASTING_COST_S = 2.0
MILLICORES = 1000


class Obstacle(enum.Enum):
    """Why work cannot leave a runner now."""

    ALLOWANCE = "allowance"
    ROOM = "room"
    TAKEOVER = "takeover"
    LEAVING = "leaving"


class Drains:
    """Frees runners without breaking the allowance of a step.

    Parameters
    ----------
    state : CellState
        Shared state.
    lifecycle : Lifecycle
        Ends gangs.
    placement : Placement
        Knows which runners may run a step.
    """

    def __init__(self, *, state, lifecycle, placement):
        self.state = state
        self.lifecycle = lifecycle
        self.placement = placement

    def cordon(self, runner_ids):
        """Keep new work from these runners, and from no others."""
        cordoned = frozenset(runner_ids)
        for runner_id in cordoned ^ self.state.cordoned:
            runner = self.state.runners.get(runner_id)
            if runner is not None:
                runner.cordoned = runner_id in cordoned
        self.state.cordoned = cordoned

    def is_empty(self, runner_id) -> bool:
        """Return whether nothing runs on a runner and all ended runs are durable."""
        if runner_id in self.state.suspects:
            return False
        runner = self.state.runners.get(runner_id)
        if runner is None:
            return True
        return (
            not runner.runs
            and not runner.lists_unknown_tasks
            and not runner.pending_acknowledgements
            and runner.acknowledged >= runner.processed_end
        )

    def advance(self, runner, until_s, now):
        """Stop the runs that may be stopped now; others end by themselves.

        After `until_s`, all are stopped that no allowance protects.

        Parameters
        ----------
        until_s : float
            Time until which runs may end by themselves.
        """
        moved, pressed = False, now >= until_s
        for run in list(runner.runs.values()):
            if run.phase is not RunPhase.RUNNING or run.task.completed:
                continue
            if not run.task.spec.lasting:
                if not _ends_in_time(run, until_s, now):
                    self._stop(run, until_s, now)
            # One at a time, so that the next one finds the room that is left.
            elif not moved and self._find_lasting_obstacle(run, now, pressed) is None:
                self._stop(run, until_s, now)
                moved = True

    def find_obstacle(self, runner, now, *, pressed) -> Obstacle | None:
        """Return why the work on a runner could not leave now, None if it could.

        Parameters
        ----------
        pressed : bool
            Whether there is no time to wait for room for work without an allowance.
        """
        if runner.id in self.state.suspects:
            return Obstacle.TAKEOVER
        if runner.entry.draining:
            return Obstacle.LEAVING
        for run in runner.runs.values():
            if run.task.spec.lasting:
                obstacle = self._find_lasting_obstacle(run, now, pressed)
                if obstacle is not None:
                    return obstacle
            elif not pressed and not self._has_room(run, now):
                return Obstacle.ROOM
        return None

    def cost(self, runner, until_s, now) -> float:
        """Return the processor time that is lost if a runner is drained, in core s."""
        return sum(_cost(run, until_s, now) for run in runner.runs.values())

    def _find_lasting_obstacle(self, run, now, pressed):
        """Return why a run of a lasting task may not be stopped now, or None.

        A task of the step that waits for a runner would take the room.
        """
        step = run.task.step
        if not permits_interruption(step, _members(run), now):
            return Obstacle.ALLOWANCE
        if pressed and step.spec.disruption_allowance < 0:
            return None
        if step.pending or not self._has_room(run, now):
            return Obstacle.ROOM
        return None

    def _has_room(self, run, now):
        """Return whether another runner could take a task now."""
        step = run.task.step
        reserved = self.placement.reservations.reserved_for_others(step)
        return any(
            runner is not run.runner
            and runner.id not in reserved
            and fits(step, runner)
            and not step.eligibility.is_ineligible(runner)
            and self.placement.admits(step, runner, now)
            for runner in self.state.runners.values()
        )

    def _stop(self, run, until_s, now):
        evacuate(self.state, run, now, leaves_at_s=until_s)
        if run.task.spec.gang:
            self.lifecycle.break_gang(run.task.step, run.number, now)


def _members(run):
    """Return the tasks that a stop of a run interrupts."""
    if not run.task.spec.gang:
        return (run.task,)
    return tuple(
        task
        for task in run.task.step.tasks
        if any(member.number == run.number for member in task.runs)
    )


def _ends_in_time(run, until_s, now):
    return now < until_s and now + run.projected_left_s(now) <= until_s


def _cost(run, until_s, now):
    spec = run.task.spec
    cores = spec.cpu / MILLICORES
    if spec.lasting:
        return cores * LASTING_COST_S
    if _ends_in_time(run, until_s, now):
        return 0.0
    lost_s = 0.0 if spec.checkpoints else now - run.started_s
    return cores * (MOVE_COST_S + lost_s)
