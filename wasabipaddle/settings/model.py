"""Typed model of the settings file of an entry process.

One settings file describes one process; the `deployment` part is the same in all
processes of a cell.
"""

import attrs

from wasabipaddle.documents import Resources, TeamQuota

__all__ = [
    "ApiSettings",
    "CallerToken",
    "DataCentre",
    "Deployment",
    "EndpointGroup",
    "JournalSettings",
    "LeadershipSettings",
    "LinkSettings",
    "MembershipSettings",
    "OperatorToken",
    "Peer",
    "RoutingSettings",
    "Settings",
    "StoreSettings",
    "TlsSettings",
    "WorkerRack",
]


@attrs.frozen(kw_only=True)
class Peer:
    """One entry process of the cell.

    Parameters
    ----------
    name : str
        Name of the process.
    data_centre : str
        Data centre of its VM.
    host : str
        IP address of both listeners.
    api_port, internal_port : int
        Ports for callers and operators, and for other entry processes.
    """

    name: str
    data_centre: str
    host: str
    api_port: int
    internal_port: int


@attrs.frozen(kw_only=True)
class DataCentre:
    """One data centre and its shards."""

    name: str
    region: str
    shards: int = 1


@attrs.frozen(kw_only=True)
class LinkSettings:
    """Latency and bandwidth between places, one way.

    Parameters
    ----------
    data_centre_latency_ms, region_latency_ms, client_latency_ms : float
        One-way latency between data centres, between regions, and to clients.
    region_mbit_per_s : float
        Bandwidth between regions in each direction.
    spill_bytes_per_s : int
        Allowance for requests sent to another region.
    """

    data_centre_latency_ms: float = 1.5
    region_latency_ms: float = 20.0
    client_latency_ms: float = 3.0
    region_mbit_per_s: float = 15.0
    spill_bytes_per_s: int = 500_000


@attrs.frozen(kw_only=True)
class WorkerRack:
    """Workers of one rack, with consecutive ports.

    Parameters
    ----------
    count : int
        Number of workers.
    resources : Resources
        Size of each worker.
    """

    rack: str
    data_centre: str
    count: int
    resources: Resources
    host: str
    first_port: int


@attrs.frozen(kw_only=True)
class EndpointGroup:
    """Endpoints of one pool in one rack, with consecutive ports.

    Parameters
    ----------
    count : int
        Number of endpoints.
    slots, connections : int
        Limits of each endpoint.
    """

    pool: str
    rack: str
    data_centre: str
    count: int
    slots: int
    connections: int
    host: str
    first_port: int


@attrs.frozen(kw_only=True)
class Deployment:
    """The cell: data centres, entry processes, fleet and quotas.

    Parameters
    ----------
    name : str
        Name of the cell.
    store_region : str
        Region in which the platform's store runs.
    store_url, vm_list_url : str
        Addresses of the platform's store and VM list.
    racks : tuple of WorkerRack
        Workers, for stand-ins; processes learn the fleet from the VM list.
    endpoints : tuple of EndpointGroup
        Endpoints, for stand-ins.
    """

    name: str
    store_region: str
    store_url: str
    vm_list_url: str
    data_centres: tuple[DataCentre, ...]
    entries: tuple[Peer, ...]
    link: LinkSettings = LinkSettings()
    quotas: tuple[TeamQuota, ...] = ()
    racks: tuple[WorkerRack, ...] = ()
    endpoints: tuple[EndpointGroup, ...] = ()


@attrs.frozen(kw_only=True)
class TlsSettings:
    """Files for TLS; empty strings disable it."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen(kw_only=True)
class OperatorToken:
    """Bearer token of the operators of one team."""

    team: str
    token: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class CallerToken:
    """Bearer token of one caller of requests."""

    caller: str
    token: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ApiSettings:
    """Limits of the interface for callers and operators.

    Parameters
    ----------
    max_body_bytes, max_header_bytes : int
        Largest body and header section of a call.
    max_connections : int
        Largest number of open connections.
    caller_rate_per_s, caller_burst : float
        Token bucket per caller.
    max_wait_s : float
        Longest waiting read.
    drain_s : float
        Longest graceful shutdown.
    tokens : tuple of OperatorToken
        Operators; without any, only loopback addresses may operate the cell.
    callers : tuple of CallerToken
        Callers of requests; without any, requests need no token.
    """

    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16_384
    max_connections: int = 2_000
    caller_rate_per_s: float = 2_000.0
    caller_burst: float = 4_000.0
    max_wait_s: float = 30.0
    drain_s: float = 30.0
    tokens: tuple[OperatorToken, ...] = ()
    callers: tuple[CallerToken, ...] = ()
    tls: TlsSettings = TlsSettings()


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Heartbeats.

    Parameters
    ----------
    heartbeat_s : float
        Time between heartbeats inside a data centre.
    summary_s : float
        Time between summaries to other data centres.
    suspect_s : float
        Silence after which a member is no longer considered live.
    """

    heartbeat_s: float = 1.0
    summary_s: float = 2.0
    suspect_s: float = 3.0


@attrs.frozen(kw_only=True)
class LeadershipSettings:
    """Shard leadership.

    Parameters
    ----------
    lease_s : float
        Time without renewal after which a candidate may take over.
    task_lease_s : float
        Lease of tasks on workers.
    drift : float
        Largest relative error of a worker's clock.
    """

    lease_s: float = 2.0
    task_lease_s: float = 20.0
    drift: float = 0.01


@attrs.frozen(kw_only=True)
class JournalSettings:
    """Group commit of the shard journal.

    Parameters
    ----------
    min_interval_s : float
        Shortest time between two appends of one shard.
    max_batch_bytes : int
        Largest encoded batch.
    compact_after : int
        Appends after which the journal is compacted.
    writes_per_s : float
        Store writes that one shard's journal may make per second, deletions
        included.
    max_queue : int
        Largest number of records that wait for an append.
    """

    min_interval_s: float = 0.05
    max_batch_bytes: int = 900_000
    compact_after: int = 500
    writes_per_s: float = 20.0
    max_queue: int = 50_000


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Client of the platform's store.

    Parameters
    ----------
    timeout_s : float
        Longest wait for one answer.
    watch_s : float
        Longest waiting watch.
    """

    timeout_s: float = 1.0
    watch_s: float = 10.0


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Queues, grants and connections of the request path.

    Parameters
    ----------
    queue_requests, queue_bytes : int
        Bounds of the queue of one process.
    grant_s : float
        Life of a slot grant.
    grant_period_s : float
        Time between two grant requests while there is demand.
    grant_idle_period_s : float
        Time between two grant requests without demand.
    progress_s : float
        Longest silence of a connection with a request in progress.
    buffer_bytes : int
        Largest answer that is buffered before its first byte is passed on.
    """

    queue_requests: int = 2_000
    queue_bytes: int = 33_554_432
    grant_s: float = 4.0
    grant_period_s: float = 0.5
    grant_idle_period_s: float = 1.5
    progress_s: float = 1.0
    buffer_bytes: int = 65_536


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one entry process.

    Parameters
    ----------
    process : str
        Name of this process; one of the entries of the deployment.
    seed : int
        Seed of jitter; 0 takes one from the start time.
    """

    process: str
    deployment: Deployment
    seed: int = 0
    api: ApiSettings = ApiSettings()
    membership: MembershipSettings = MembershipSettings()
    leadership: LeadershipSettings = LeadershipSettings()
    journal: JournalSettings = JournalSettings()
    store: StoreSettings = StoreSettings()
    routing: RoutingSettings = RoutingSettings()

    @property
    def peer(self) -> Peer:
        """The entry of this process in the deployment."""
        return next(p for p in self.deployment.entries if p.name == self.process)

    @property
    def data_centre(self) -> str:
        """Data centre of this process."""
        return self.peer.data_centre

    @property
    def region(self) -> str:
        """Region of this process."""
        return self.region_of(self.data_centre)

    def region_of(self, data_centre) -> str:
        """Return the region of a data centre."""
        centres = self.deployment.data_centres
        return next(d.region for d in centres if d.name == data_centre)

    def shards_of(self, data_centre) -> tuple[str, ...]:
        """Return the names of the shards of a data centre."""
        centres = self.deployment.data_centres
        count = next(d.shards for d in centres if d.name == data_centre)
        return tuple(f"{data_centre}-{i}" for i in range(count))
