"""Usual duration of the tasks of a step."""

import bisect

import attrs

__all__ = ["COMPARED_RUNS", "UsualDuration", "median"]

# Least number of runs of a step from which the usual duration is computed.
COMPARED_RUNS = 3


def median(ordered) -> float:
    """Return the median of values in rising order, in constant time."""
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


@attrs.define(kw_only=True, eq=False)
class UsualDuration:
    """Median duration of the runs of a step, computed once for many comparisons.

    All durations are scaled to the usual speed of runners.

    Parameters
    ----------
    durations_s : list of float
        Durations in rising order, with projected ones of running tasks if few runs
        have completed.
    projected_s : dict of Run to float
        Projected durations among them.
    """

    durations_s: list
    projected_s: dict = attrs.field(factory=dict)

    def seconds(self, *, without=None) -> float | None:
        """Return the median, None for too few runs.

        Parameters
        ----------
        without : Run or None
            Running task to leave out.
        """
        left_out_s = self.projected_s.get(without)
        count = len(self.durations_s) - (left_out_s is not None)
        if count < COMPARED_RUNS:
            return None
        if left_out_s is None:
            return median(self.durations_s)
        position = bisect.bisect_left(self.durations_s, left_out_s)
        low, high = (count - 1) // 2, count // 2
        low += low >= position
        high += high >= position
        return (self.durations_s[low] + self.durations_s[high]) / 2

    def exclude(self, run):
        """Leave out a running task from now on."""
        left_out_s = self.projected_s.pop(run, None)
        if left_out_s is not None:
            del self.durations_s[bisect.bisect_left(self.durations_s, left_out_s)]
