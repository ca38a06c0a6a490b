"""Runs, behaviour of tasks and faults of the in-memory stand-in of a runner."""

import math

import attrs

__all__ = ["FULL_PERCENT", "RunnerFaults", "RunnerRun", "TaskBehaviour"]

FULL_PERCENT = 100


@attrs.frozen(kw_only=True)
class TaskBehaviour:
    """Simulated behaviour of a running task.

    Parameters
    ----------
    work_s : float
        Duration on a runner without faults; infinite for a lasting task.
    fails : bool
        Whether the task fails at the end of its work, on any runner.
    mean_life_s : float
        Mean time until a run fails by itself.
    """

    work_s: float
    fails: bool = False
    mean_life_s: float = math.inf


@attrs.define(kw_only=True)
class RunnerFaults:
    """Faults of one runner.

    Parameters
    ----------
    late_share : float
        Share of the start and stop orders that get no answer and are carried out
        later.
    lost_share : float
        Share of the start and stop orders that are carried out but get no answer.
    failing : bool
        Whether every task fails soon after its start.
    stalled : bool
        Whether no task makes progress.
    slowness : float
        Factor on the duration of tasks.
    overtaking_s : float
        Longest delay of a reply, so that replies overtake each other.
    list_gap_s : float
        Longest time between the moments at which the parts of an inventory are read:
        the runs in progress, the ended runs and the clock.
    """

    late_share: float = 0.0
    lost_share: float = 0.0
    failing: bool = False
    stalled: bool = False
    slowness: float = 1.0
    overtaking_s: float = 0.0
    list_gap_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class RunnerRun:
    """One run in progress."""

    task: object
    number: int
    spec: object
    behaviour: TaskBehaviour
    owner: object
    began_s: float
    done_s: float = 0.0
    touched_s: float = 0.0
    stop_at_s: float = math.inf
    life_s: float = math.inf
    pace: int = FULL_PERCENT

    @property
    def percent(self) -> int:
        """Progress in percent."""
        if math.isinf(self.behaviour.work_s):
            return FULL_PERCENT
        share = self.done_s / max(self.behaviour.work_s, 0.001)
        return min(int(FULL_PERCENT * share), FULL_PERCENT)
