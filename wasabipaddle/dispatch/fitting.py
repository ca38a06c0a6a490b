"""Whether tasks fit on a runner, and the score of a runner for a task."""

from wasabipaddle.dispatch.room import Room, demand

__all__ = [
    "base_score",
    "demand",
    "fits",
    "free_slots",
    "is_permitted",
    "score",
    "slots_when_empty",
    "speed_weight",
    "within_runner_limit",
]

# Weights of the terms in the score of a runner.
URGENT_SPEED_WEIGHT = 3.0
# A queue of priority n weighs the speed by the weight of urgent work over 1 + 4n.
PRIORITY_FACTOR = 4
# Work that lasts gains nothing from a fast runner, which other work can use.
LASTING_SPEED_WEIGHT = -0.3
SLOWED_PENALTY = 1.0
FREE_CPU_WEIGHT = 1.0
PREFERRED_RACK_WEIGHT = 2.0
AVOIDED_PENALTY = 4.0
INTERFERENCE_PENALTY = 1.5


def speed_weight(step) -> float:
    """Return how much the speed of a runner counts for a step.

    Answers runners of unequal speed: urgent work gets the fast ones, and what can wait
    takes the others, so that the fast ones stay free. The most urgent work prefers a
    full fast runner to an empty slow one.
    """
    if step.spec.lasting:
        return LASTING_SPEED_WEIGHT
    return URGENT_SPEED_WEIGHT / (1 + PRIORITY_FACTOR * step.job.queue.priority)


def base_score(runner, weight) -> float:
    """Return the part of the score of a runner that all tasks have in common.

    Parameters
    ----------
    weight : float
        Weight of the speed.
    """
    value = weight * runner.health.speed + FREE_CPU_WEIGHT * runner.free_cpu_fraction
    if runner.health.normal_speed is not None:
        value -= SLOWED_PENALTY
    return value


def score(task, runner) -> float:
    """Return the score of a runner for a task.

    Without the preferred rack it is at most the base score.
    """
    spec = task.spec
    value = base_score(runner, speed_weight(task.step))
    if spec.preferred_rack and spec.preferred_rack == runner.entry.rack:
        value += PREFERRED_RACK_WEIGHT
    if runner.id in task.avoided:
        value -= AVOIDED_PENALTY
    if spec.opportunistic or spec.target_latency_ms:
        value -= INTERFERENCE_PENALTY * _interferes(spec, runner)
    return value


def fits(step, runner) -> bool:
    """Return whether another task of a step fits on a runner now."""
    return runner.fits(step.spec) and within_runner_limit(step, runner)


def within_runner_limit(step, runner) -> bool:
    """Return whether `max_per_runner` of the step admits another task on a runner."""
    limit = step.spec.max_per_runner
    return not limit or runner.step_runs.get(step, 0) < limit


def is_permitted(step, runner) -> bool:
    """Return whether the pool and the labels of a runner admit a step."""
    label = step.spec.required_label
    return (
        runner.entry.pool == step.job.queue.pool
        and step.job.may_run_in(runner.entry.pool)
        and (not label or label in runner.entry.labels)
    )


def free_slots(step, runner) -> int:
    """Return how many more tasks of a step fit on a runner now."""
    slots = Room.of_runner(runner).count(demand(step.spec), step.spec.count)
    if step.spec.max_per_runner:
        slots = min(slots, step.spec.max_per_runner - runner.step_runs.get(step, 0))
    return max(slots, 0)


def slots_when_empty(step, runner) -> int:
    """Return how many tasks of a step would fit if a runner had no runs."""
    slots = Room.of_empty_runner(runner).count(demand(step.spec), step.spec.count)
    return min(slots, step.spec.max_per_runner or slots)


def _interferes(spec, runner):
    """Return whether a task would share a runner with tasks that it interferes with.

    Opportunistic tasks interfere with tasks that have a latency target.
    """
    if spec.opportunistic:
        return any(run.task.spec.target_latency_ms for run in runner.runs.values())
    return any(run.task.spec.opportunistic for run in runner.runs.values())
