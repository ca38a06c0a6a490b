"""Time objective of jobs."""

import math

__all__ = ["measure_objective_s"]

# Number of runners that a call for advice is taken to name.
ADVISED_RUNNERS = 30
# A step wider than this part of its pool is expected to run in several waves.
WIDE_SHARE = 0.25


def measure_objective_s(queue, spec, *, room=0, quota=0) -> float:
    """Return the time in which a job should end, in seconds.

    It follows from the longest chain of steps, each with an answer of the eligibility
    service, and in waves if it is wider than the room for it.

    Parameters
    ----------
    room, quota : int
        Processors of the pool, and quota of the workspace, in thousandths of a core; 0
        if there is none or it is not known.
    """
    answer_s = 0.0
    if queue.advice is not None:
        answer_s = queue.advice.base_s + ADVISED_RUNNERS * queue.advice.per_runner_s
    limits = [limit for limit in (WIDE_SHARE * room, quota) if limit > 0]
    ends_s = []
    for step in spec.steps:
        waves = 1
        # The tasks of a gang run all at once.
        if limits and not (step.opportunistic or step.gang):
            waves = max(math.ceil(step.count * step.cpu / min(limits)), 1)
        begin_s = max((ends_s[n] for n in step.after), default=0.0)
        ends_s.append(begin_s + answer_s + waves * step.estimate_s)
    return queue.target_s + queue.stretch * max(ends_s, default=0.0)
