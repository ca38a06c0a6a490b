"""Runners as the platform's registry tells of them."""

import attrs

__all__ = ["Capacity", "RunnerEntry"]


@attrs.frozen(kw_only=True)
class Capacity:
    """Processors in thousandths of a core, memory in MB, accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def holds(self, cpu, memory_mb, gpus) -> bool:
        """Return whether a reservation fits."""
        return self.cpu >= cpu and self.memory_mb >= memory_mb and self.gpus >= gpus


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """One runner in the registry.

    Parameters
    ----------
    id, address, data_centre, pool : str
        Identity, host and port, place and pool.
    capacity : Capacity
        What the runner can hold.
    labels : tuple of str
        Kind of the runner and its rack.
    draining : bool
        Whether the runner is leaving and gets no new work.
    leaves_in_s : float
        Least time until a draining runner exits.
    cold_s : float
        How much longer the runner is slow after its start.
    incarnation : int
        Start of this life of the runner, in Unix milliseconds.
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
        """Rack of the runner."""
        return self.labels[-1] if self.labels else ""
