"""Settings of a process of a cell that schedules jobs on the platform's runners."""

import attrs

__all__ = ["CellBounds", "CellPeer", "CellSettings", "PlatformAddresses"]


@attrs.frozen(kw_only=True)
class CellPeer:
    """Address of the internal listener of a process, as `HttpTransport` needs it."""

    host: str
    internal_port: int

    @classmethod
    def parse(cls, address):
        """Return the peer at an address of the form HOST:PORT."""
        host, _, port = address.rpartition(":")
        return cls(host=host, internal_port=int(port))


@attrs.frozen(kw_only=True)
class PlatformAddresses:
    """Addresses of the platform's services, and which of them are used.

    Parameters
    ----------
    store : str
        Host and port of the store.
    eligibility : str
        Host and port of the eligibility service; empty if there is none.
    machines : str
        Host and port of the machine service; empty if there is none.
    serve_maintenance : bool
        Whether waves of maintenance are served, if there is a machine service.
    """

    store: str
    eligibility: str = ""
    machines: str = ""
    serve_maintenance: bool = True


@attrs.frozen(kw_only=True)
class CellBounds:
    """Limits and times that the platform sets.

    Parameters
    ----------
    lease_max_s : float
        Longest lease of a runner.
    stop_s : float
        Longest time that a runner takes to stop a run.
    grace_s : float
        Time from the signal to terminate until a process is killed.
    restore_s : float
        Time that a run takes to resume from a checkpoint.
    store_lease_min_s : float
        Shortest lease of the store.
    keep_final_s : float
        Time for which the final state of a job must be kept.
    remote_slowdown : float
        Factor on the duration of tasks that do not run close to their data.
    drain_s : float
        Time after which no task may start on a runner that has said that it leaves.
    configuration_s : float
        Time within which a stored configuration must be in force.
    cancel_s : float
        Time after which no task of a cancelled job may start.
    revocation_s : float
        Time after which no call with a removed key may be served by any process, in
        contact or not; 0 if removed keys have no such limit.
    maintenance_s : float
        Time for which a machine is away for its maintenance.
    order_pause_s : float
        Time that must pass between calls of two processes for the same machine.
    """

    lease_max_s: float = 6.0
    stop_s: float = 0.5
    grace_s: float = 6.0
    restore_s: float = 0.6
    store_lease_min_s: float = 1.0
    keep_final_s: float = 120.0
    remote_slowdown: float = 1.5
    drain_s: float = 2.5
    configuration_s: float = 2.5
    cancel_s: float = 3.0
    revocation_s: float = 0.0
    maintenance_s: float = 2.0
    order_pause_s: float = 3.0


@attrs.frozen(kw_only=True)
class CellSettings:
    """Settings of one process.

    Parameters
    ----------
    process, data_centre, region : str
        Name of the process, and its data centre and region.
    callers, readiness, internal : str
        Addresses (host and port) of the listeners for callers, for the readiness
        probe of the load balancer, and for other processes of the cell.
    platform : PlatformAddresses
        Addresses of the platform's services.
    bounds : CellBounds
        Limits and times that the platform sets.
    metrics_port : int
        Port on which metrics are served; 0 if they are not served.
    advertised : str
        Address at which other processes reach `internal`; empty if it is the same.
    processor_share, processor_speed : float
        Share of a core that the process may use, and speed of that core relative to
        the usual speed of a core.
    max_job_tasks : int
        Largest number of tasks of a submitted job, over all steps and occurrences.
    memory_mb : int
        Memory of the machine that the process may use, in megabytes; 0 if it is not
        known.
    descriptors : int
        Number of file descriptors that the process may open; 0 if it is not known.
    """

    process: str
    data_centre: str
    region: str
    callers: str
    readiness: str
    internal: str
    platform: PlatformAddresses
    bounds: CellBounds = attrs.field(factory=CellBounds)
    metrics_port: int = 0
    advertised: str = ""
    processor_share: float = 1.0
    processor_speed: float = 1.0
    max_job_tasks: int = 20_000
    memory_mb: int = 0
    descriptors: int = 0

    @property
    def advertised_address(self) -> str:
        """Address of the internal listener that is announced to other processes."""
        return self.advertised or self.internal

    @property
    def processor(self) -> float:
        """Processing power in cores of the usual speed."""
        return self.processor_share * self.processor_speed
