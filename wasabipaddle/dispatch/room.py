"""Free resources of a runner, and how many tasks fit into them."""

import math

import attrs

__all__ = ["Room", "demand"]

# Rounding error of sums of fractions that is ignored.
TOLERANCE = 1e-6


def demand(spec):
    """Return the processors, memory and accelerators that a task reserves."""
    return (0 if spec.opportunistic else spec.cpu, spec.memory_mb, spec.gpus)


@attrs.define(kw_only=True)
class Room:
    """Amounts of resources on a runner; `cpu` in thousandths of a core."""

    cpu: float = 0
    memory_mb: float = 0
    gpus: float = 0

    @classmethod
    def of_runner(cls, runner):
        """Return what is free on a runner now."""
        capacity = runner.entry.capacity
        return cls(
            cpu=capacity.cpu - runner.cpu,
            memory_mb=capacity.memory_mb - runner.memory_mb,
            gpus=capacity.gpus - runner.gpus,
        )

    @classmethod
    def of_empty_runner(cls, runner):
        """Return what would be free on a runner without runs."""
        capacity = runner.entry.capacity
        return cls(cpu=capacity.cpu, memory_mb=capacity.memory_mb, gpus=capacity.gpus)

    def add(self, needs, count=1):
        """Add the needs of a number of tasks.

        Parameters
        ----------
        needs : tuple of (int, int, int)
            What a task reserves, as by `demand`.
        """
        cpu, memory_mb, gpus = needs
        self.cpu += cpu * count
        self.memory_mb += memory_mb * count
        self.gpus += gpus * count

    def subtract(self, other):
        """Take away the amounts of another `Room`."""
        self.cpu -= other.cpu
        self.memory_mb -= other.memory_mb
        self.gpus -= other.gpus

    def count(self, needs, most) -> int:
        """Return how many tasks fit, at most a given number.

        The limit of the tasks of a step on a runner is not considered.
        """
        cpu, memory_mb, gpus = needs
        if cpu:
            most = min(most, int((self.cpu + TOLERANCE) // cpu))
        if memory_mb:
            most = min(most, int((self.memory_mb + TOLERANCE) // memory_mb))
        if gpus:
            most = min(most, int((self.gpus + TOLERANCE) // gpus))
        return max(most, 0)

    def share_of(self, capacity, needs) -> float:
        """Return the smallest part of a capacity that this is.

        Only the resources that a task reserves are considered, and the processors if
        it reserves none.
        """
        cpu, memory_mb, gpus = needs
        share = math.inf
        if memory_mb:
            share = self.memory_mb / (capacity.memory_mb or 1)
        if gpus:
            share = min(share, self.gpus / (capacity.gpus or 1))
        if cpu or share == math.inf:
            share = min(share, self.cpu / (capacity.cpu or 1))
        return share
