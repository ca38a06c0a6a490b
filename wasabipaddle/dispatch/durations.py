"""Learned durations of tasks, since the estimates of callers are rough."""

import math

from wasabipaddle.dispatch.model import COMPARED_RUNS, median

__all__ = ["Durations"]

# Weight of the latest run in the moving average of an image.
LEARNING_WEIGHT = 0.05
# Runs of an image before its average replaces the estimate.
LEARNED_RUNS = 20
# Largest factor by which one run, and thus the average, differs from the estimate.
MAX_FACTOR = 8.0
# Images that are remembered; callers choose their names.
MAX_KINDS = 10_000
# Shorter estimates and durations count as this one, to bound the factor.
MIN_S = 0.01


class Durations:
    """Duration of tasks relative to their estimates, by queue and image.

    Attributes
    ----------
    logarithms : dict of (str, str) to float
        Moving average of the logarithm of that factor, by queue and image. It is that
        of the usual task: the average of the factor itself would follow the few tasks
        that take very long.
    runs : dict of (str, str) to int
        Number of runs that were recorded, at most `LEARNED_RUNS`.
    """

    def __init__(self):
        self.logarithms = {}
        self.runs = {}

    def record(self, step, elapsed_s):
        """Record the duration of a completed run, in seconds."""
        if step.spec.estimate_s <= 0:
            return
        key = _kind(step)
        if key not in self.runs and len(self.runs) >= MAX_KINDS:
            oldest = next(iter(self.runs))
            del self.runs[oldest], self.logarithms[oldest]
        factor = max(elapsed_s, MIN_S) / max(step.spec.estimate_s, MIN_S)
        factor = min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)
        runs = self.runs[key] = min(self.runs.get(key, 0) + 1, LEARNED_RUNS)
        known = self.logarithms.get(key, 0.0)
        weight = max(LEARNING_WEIGHT, 1 / runs)
        self.logarithms[key] = known + weight * (math.log(factor) - known)

    def factor(self, step) -> float:
        """Return the usual duration of tasks like those of a step over the estimate.

        It is 1 until enough runs have been recorded.
        """
        key = _kind(step)
        if self.runs.get(key, 0) < LEARNED_RUNS:
            return 1.0
        return math.exp(self.logarithms[key])

    def task_s(self, step) -> float:
        """Return the expected duration of a task of a step, in seconds."""
        if len(step.durations_s) >= COMPARED_RUNS:
            return median(step.durations_s)
        return step.spec.estimate_s * self.factor(step)

    def remaining_s(self, step) -> float:
        """Return the expected time until the job ends if the step starts now.

        This is the work left on the longest chain of steps that begins with this one,
        without waiting times.
        """
        tail_s = step.job.job.spec.tails_s[step.position]
        return self.task_s(step) + tail_s * self.factor(step)


def _kind(step):
    return (step.job.queue.name, step.spec.image)
