"""Entries of runners in the registry of the platform."""

import attrs

__all__ = ["Capacity", "RecordedRunner", "RunnerEntry"]


@attrs.frozen(kw_only=True)
class Capacity:
    """Capacity of a runner: `cpu` in thousandths of a core, `memory_mb`, and `gpus`."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def holds(self, cpu, memory_mb, gpus) -> bool:
        """Return whether a reservation fits into the whole capacity."""
        return self.cpu >= cpu and self.memory_mb >= memory_mb and self.gpus >= gpus


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """One runner in the registry.

    Parameters
    ----------
    id, address, data_centre, pool : str
        Identifier, address as `host:port`, data centre and pool.
    capacity : Capacity
        Capacity of the runner.
    labels : tuple of str
        Labels of the runner, such as its kind; the last one is its rack.
    draining : bool
        Whether the runner is about to exit and gets no new work.
    leaves_in_s : float
        Least time until a draining runner exits, in seconds.
    cold_s : float
        Remaining time for which the runner is slow after its start, in seconds.
    incarnation : int
        Start time of the runner in Unix milliseconds, which identifies the incarnation.
    """

    id: str
    address: str
    data_centre: str
    pool: str
    capacity: Capacity
    labels: tuple[str, ...] = ()
    draining: bool = False
    leaves_in_s: float = 0.0
    cold_s: float = 0.0
    incarnation: int = 0

    @property
    def rack(self) -> str:
        """Rack of the runner, empty if it has no labels."""
        return self.labels[-1] if self.labels else ""


@attrs.frozen(kw_only=True)
class RecordedRunner(RunnerEntry):
    """Runner in the stored fleet record.

    Parameters
    ----------
    wait_s : float or None
        For a runner that has not answered the dispatcher which wrote the record: time
        in seconds until the leases of earlier dispatchers have certainly expired.
        None if the runner may have work of that dispatcher.
    term : int
        Term of the dispatcher that recorded the wait. The dispatcher of a later term
        may have given the runner work without a new record, if it is of another build.
    """

    wait_s: float | None = None
    term: int = 0

    @classmethod
    def create(cls, entry, *, wait_s=None, term=0):
        """Return the record of a runner with this registry entry."""
        return cls(**_entry_fields(entry), wait_s=wait_s, term=term)

    @property
    def entry(self) -> RunnerEntry:
        """Registry entry of the runner."""
        return RunnerEntry(**_entry_fields(self))


def _entry_fields(entry):
    return {f.name: getattr(entry, f.name) for f in attrs.fields(RunnerEntry)}
