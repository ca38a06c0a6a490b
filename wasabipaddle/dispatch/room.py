"""Free resources of a runner, and how many tasks fit into them."""

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

    def add(self, spec, count=1):
        """Add what a number of tasks reserve; a negative number takes it away."""
        cpu, memory_mb, gpus = demand(spec)
        self.cpu += cpu * count
        self.memory_mb += memory_mb * count
        self.gpus += gpus * count

    def take(self, other):
        """Take away other amounts."""
        self.cpu -= other.cpu
        self.memory_mb -= other.memory_mb
        self.gpus -= other.gpus

    def count(self, spec) -> int:
        """Return how many tasks of a step fit, at most all of its tasks.

        The limit of tasks on a runner is not considered.
        """
        cpu, memory_mb, gpus = demand(spec)
        most = spec.count
        if cpu:
            most = min(most, int((self.cpu + TOLERANCE) // cpu))
        if memory_mb:
            most = min(most, int((self.memory_mb + TOLERANCE) // memory_mb))
        if gpus:
            most = min(most, int((self.gpus + TOLERANCE) // gpus))
        return max(most, 0)

    def share_of(self, capacity, spec) -> float:
        """Return the smallest part of a capacity that this is.

        Only the resources that a task reserves are considered, and the processors if
        it reserves none.
        """
        cpu, memory_mb, gpus = demand(spec)
        shares = []
        if memory_mb:
            shares.append(self.memory_mb / (capacity.memory_mb or 1))
        if gpus:
            shares.append(self.gpus / (capacity.gpus or 1))
        if cpu or not shares:
            shares.append(self.cpu / (capacity.cpu or 1))
        return min(shares)
