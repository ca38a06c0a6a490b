"""Settings of a process of a cell on the users' platform."""

import attrs

__all__ = ["CellBounds", "CellPeer", "CellSettings", "PlatformAddresses"]


@attrs.frozen(kw_only=True)
class CellPeer:
    """Internal listener of a process, as `HttpTransport` needs it."""

    host: str
    internal_port: int

    @classmethod
    def parse(cls, address):
        """Return the peer of a host and port."""
        host, _, port = address.rpartition(":")
        return cls(host=host, internal_port=int(port))


@attrs.frozen(kw_only=True)
class PlatformAddresses:
    """Services of the platform.

    Parameters
    ----------
    store : str
        Host and port of the store.
    eligibility : str
        Host and port of the eligibility service; empty if there is none.
    machines : str
        Host and port of the machine service; empty if there is none.
    """

    store: str
    eligibility: str = ""
    machines: str = ""


@attrs.frozen(kw_only=True)
class CellBounds:
    """Bounds that the platform sets.

    Parameters
    ----------
    lease_max_s : float
        Longest lease of a runner.
    stop_s : float
        Longest time of a stop.
    grace_s : float
        Time between a request to end and the end by force.
    restore_s : float
        Time to resume from a checkpoint.
    store_lease_min_s : float
        Shortest lease of the store.
    keep_final_s : float
        Time for which the final state of a job is kept.
    remote_slowdown : float
        Factor on the duration of tasks away from their data.
    """

    lease_max_s: float = 6.0
    stop_s: float = 0.5
    grace_s: float = 6.0
    restore_s: float = 0.6
    store_lease_min_s: float = 1.0
    keep_final_s: float = 120.0
    remote_slowdown: float = 1.5


@attrs.frozen(kw_only=True)
class CellSettings:
    """Settings of one process.

    Parameters
    ----------
    process, data_centre, region : str
        Name and place of the process.
    callers, readiness, internal : str
        Addresses (host and port) of the listeners for callers, for the probe of the
        balancer, and for other processes of the cell.
    platform : PlatformAddresses
        Services of the platform.
    bounds : CellBounds
        Bounds that the platform sets.
    metrics_port : int
        Port of the metrics page, 0 for none.
    advertised : str
        Address at which other processes reach `internal`; empty if it is the same.
    processor_share, processor_speed : float
        Part of a core that the process may use, and how fast that core is.
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

    @property
    def reachable_at(self) -> str:
        """Address that other processes are told."""
        return self.advertised or self.internal

    @property
    def processor(self) -> float:
        """Processing power, in cores of the usual speed."""
        return self.processor_share * self.processor_speed
