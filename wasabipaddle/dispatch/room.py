"""Free resources of a runner, and how many tasks fit into them."""

import attrs

__all__ = ["Room"]


@attrs.define(kw_only=True)
class Room:
    """Resources of a runner that are free, or will be; `cpu` in thousandths."""

    cpu: float
    memory_mb: float
    gpus: float

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

    def give_back(self, spec):
        """Add what a task reserves."""
        self.cpu += 0 if spec.opportunistic else spec.cpu
        self.memory_mb += spec.memory_mb
        self.gpus += spec.gpus

    def count(self, spec) -> int:
        """Return how many tasks of a step fit, at most all of its tasks.

        The limit of tasks on a runner is not considered.
        """
        most = spec.count
        if spec.cpu and not spec.opportunistic:
            most = min(most, int(self.cpu // spec.cpu))
        if spec.memory_mb:
            most = min(most, int(self.memory_mb // spec.memory_mb))
        if spec.gpus:
            most = min(most, int(self.gpus // spec.gpus))
        return max(most, 0)
