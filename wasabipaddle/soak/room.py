"""Room for a lasting task on the runners of a soak test."""

__all__ = ["Room"]


class Room:
    """Counts the places for a task on the runners that may run it.

    Parameters
    ----------
    platform : SoakPlatform
        Runners and eligibility service.
    """

    def __init__(self, *, platform):
        self.platform = platform

    def places(self, task, step) -> int:
        """Return how many more tasks of a step fit on the eligible runners."""
        return sum(
            _places(step, runner)
            for name, runner in self.platform.runners.items()
            if self._is_eligible(task, step, name, runner)
        )

    def _is_eligible(self, task, step, name, runner):
        entry, label = runner.entry, step.required_label
        if not runner.alive or entry.draining or (label and label not in entry.labels):
            return False
        return self.platform.eligibility.is_eligible(task.job, task.step, name)


def _places(step, runner):
    """Return how many more tasks of a step fit on a runner."""
    runs = [run for run in runner.runs.values() if run.spec is step]
    specs = [run.spec for run in runner.runs.values()]
    capacity = runner.entry.capacity
    cpu = capacity.cpu - sum(spec.cpu for spec in specs if not spec.opportunistic)
    memory_mb = capacity.memory_mb - sum(spec.memory_mb for spec in specs)
    places = min(cpu // max(step.cpu, 1), memory_mb // max(step.memory_mb, 1))
    if step.max_per_runner:
        places = min(places, step.max_per_runner - len(runs))
    return max(places, 0)
