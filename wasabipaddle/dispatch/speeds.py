"""Learned speeds of runners, by their ended runs and by those of their kind."""

import math

import attrs

__all__ = ["Speeds", "kind_of"]

# Weight of the latest run in the moving average of a runner and of a kind.
RUNNER_WEIGHT = 0.2
KIND_WEIGHT = 0.05
# Number of runs of a runner that count as much as what is known of its kind.
KIND_RUNS = 3
# Weight of the latest run in the level of all speeds.
LEVEL_WEIGHT = 0.02
# Runs of a kind before it replaces the usual speed for its runners.
LEARNED_RUNS = 10
# Change of the speed of a kind from which its runners are examined anew.
NOTED_CHANGE = 0.05
# A single run changes an average as if its speed were within these bounds.
MIN_SPEED = 0.1
MAX_SPEED = 4.0
USUAL_SPEED = 1.0


@attrs.define(kw_only=True)
class _Kind:
    """Speed of a kind of runner.

    Parameters
    ----------
    speed : float
        Moving average over the runs of its runners.
    runs : int
        Number of runs recorded, at most 1 / `KIND_WEIGHT`.
    noted : float
        Speed that the runners of the kind have last been told.
    """

    speed: float = USUAL_SPEED
    runs: int = 0
    noted: float = USUAL_SPEED


class Speeds:
    """Learns how fast runners are, relative to a runner of usual speed.

    Answers runners of unequal speed. A run shows the speed of its runner by the usual
    duration of its step, which is itself counted at the usual speed: otherwise runners
    that get only slow company would look fast. Until a runner has ended a few runs,
    what is known of its kind counts more than its own runs.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    kinds : dict of tuple to _Kind
        What is known of each kind.
    level : float
        Moving average of the logarithm of the speeds of the runners that end runs. What
        runs show is divided by it, or all speeds would drift together.
    """

    def __init__(self, *, state):
        self.state = state
        self.kinds = {}
        self.level = 0.0

    def record(self, runner, speed):
        """Record the speed that a completed run has shown.

        Runs of a runner that is slowed down say nothing about its usual speed.
        """
        health = runner.health
        if health.normal_speed is not None:
            return
        speed = min(max(speed / math.exp(self.level), MIN_SPEED), MAX_SPEED)
        self.level += LEVEL_WEIGHT * (math.log(health.speed) - self.level)
        health.runs_timed += 1
        weight = max(RUNNER_WEIGHT, 1 / health.runs_timed)
        health.own_speed += weight * (speed - health.own_speed)
        kind = self.kinds.setdefault(kind_of(runner), _Kind())
        kind.runs = min(kind.runs + 1, round(1 / KIND_WEIGHT))
        kind.speed += (speed - kind.speed) / kind.runs
        self.apply(runner)
        if abs(kind.speed - kind.noted) >= NOTED_CHANGE:
            kind.noted = kind.speed
            self._apply_to_kind(kind_of(runner))

    def _apply_to_kind(self, kind):
        for runner in self.state.runners.values():
            if kind_of(runner) == kind:
                self.apply(runner)

    def apply(self, runner):
        """Set the speed of a runner from its own runs and its kind."""
        if runner.health.normal_speed is not None:
            return
        kind = self.kinds.get(kind_of(runner))
        known = kind is not None and kind.runs >= LEARNED_RUNS
        expected = kind.noted if known else USUAL_SPEED
        health = runner.health
        own = health.runs_timed
        health.speed = (KIND_RUNS * expected + own * health.own_speed) / (
            KIND_RUNS + own
        )


def kind_of(runner):
    """Return the pool and the labels of a runner without its rack."""
    return (runner.entry.pool, *runner.entry.labels[:-1])
