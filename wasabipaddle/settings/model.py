"""Typed model of the settings file of an entry process.

A settings file describes one process; its `deployment` part is the same for all
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
        IP address on which both listeners listen.
    api_port, internal_port : int
        Port for callers and operators, and port for other entry processes.
    """

    name: str
    data_centre: str
    host: str
    api_port: int
    internal_port: int


@attrs.frozen(kw_only=True)
class DataCentre:
    """One data centre and its number of shards."""

    name: str
    region: str
    shards: int = 1


@attrs.frozen(kw_only=True)
class LinkSettings:
    """Latency and bandwidth of the links between data centres and regions.

    Parameters
    ----------
    data_centre_latency_ms, region_latency_ms, client_latency_ms : float
        One-way latency between data centres, between regions, and to callers.
    region_mbit_per_s : float
        Bandwidth between regions in each direction.
    spill_bytes_per_s : int
        Rate limit of the requests that are forwarded to another region.
    """

    data_centre_latency_ms: float = 1.5
    region_latency_ms: float = 20.0
    client_latency_ms: float = 3.0
    region_mbit_per_s: float = 15.0
    spill_bytes_per_s: int = 500_000


@attrs.frozen(kw_only=True)
class WorkerRack:
    """Workers of one rack, which listen on consecutive ports.

    Parameters
    ----------
    count : int
        Number of workers.
    resources : Resources
        Capacity of each worker.
    """

    rack: str
    data_centre: str
    count: int
    resources: Resources
    host: str
    first_port: int


@attrs.frozen(kw_only=True)
class EndpointGroup:
    """Endpoints of one pool in one rack, which listen on consecutive ports.

    Parameters
    ----------
    count : int
        Number of endpoints.
    slots, connections : int
        Largest numbers of requests in progress and of connections of each endpoint.
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
        Base URLs of the platform's store and VM list.
    racks : tuple of WorkerRack
        Workers, for stand-ins only; processes read the fleet from the VM list.
    endpoints : tuple of EndpointGroup
        Endpoints, for stand-ins only.
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
    """Paths of the files for TLS, which is disabled if they are empty.

    `authority` is the CA certificate that verifies the other entry processes.
    """

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
    """Bearer token of one caller."""

    caller: str
    token: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ApiSettings:
    """Limits and credentials of the API for callers and operators.

    Parameters
    ----------
    max_body_bytes, max_header_bytes : int
        Largest body and largest header section of a request.
    max_connections : int
        Largest number of open connections.
    caller_rate_per_s, caller_burst : float
        Fill rate and capacity of the token bucket of each caller.
    max_wait_s : float
        Longest time for which a read may wait for a change.
    drain_s : float
        Longest duration of a graceful shutdown.
    tokens : tuple of OperatorToken
        Tokens of operators; if there are none, operators may connect from loopback
        addresses only.
    callers : tuple of CallerToken
        Tokens of callers; if there are none, requests need no token.
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
    """Heartbeats and summaries of the members.

    Parameters
    ----------
    heartbeat_s : float
        Period of heartbeats inside a data centre.
    summary_s : float
        Period of summaries to other data centres.
    suspect_s : float
        Time without a sign of life after which a member is no longer considered
        live. It is extended in large data centres, and for members of other data
        centres by some rounds of summaries.
    """

    heartbeat_s: float = 1.0
    summary_s: float = 2.0
    suspect_s: float = 3.0


@attrs.frozen(kw_only=True)
class LeadershipSettings:
    """Leases and clocks of shard leaders.

    Parameters
    ----------
    lease_s : float
        Time without renewal after which another process may take over a shard.
    task_lease_s : float
        Duration of the leases of tasks on workers.
    drift : float
        Largest relative error of the rate of a worker's clock.
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
        Shortest time between two appends to the journal of one shard.
    max_batch_bytes : int
        Largest encoded batch.
    compact_after : int
        Number of appends after which the journal is compacted.
    writes_per_s : float
        Largest number of store writes, deletions included, that the journal of one
        shard may make per second.
    max_queue : int
        Largest number of records that wait for an append; accepted runs may fill only
        a share of it.
    """

    min_interval_s: float = 0.05
    max_batch_bytes: int = 900_000
    compact_after: int = 500
    writes_per_s: float = 20.0
    max_queue: int = 50_000


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Timeouts of the client of the platform's store.

    Parameters
    ----------
    timeout_s : float
        Timeout of one call.
    watch_s : float
        Longest wait of a watch.
    """

    timeout_s: float = 1.0
    watch_s: float = 10.0


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Queues, grants and connections of the request path.

    Parameters
    ----------
    queue_requests, queue_bytes : int
        Largest number of requests, and of bytes of their bodies, in the queue of one
        process.
    grant_s : float
        Validity of a slot grant.
    grant_period_s : float
        Period of grant requests while there is demand.
    grant_idle_period_s : float
        Period of grant requests without demand.
    progress_s : float
        Longest time without received bytes on a connection with a request in
        progress.
    buffer_bytes : int
        Largest answer that is buffered as a whole before its first byte is passed on.
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
        Name of this process, which is one of the entries of the deployment.
    seed : int
        Seed of the jitter; 0 derives one from the start time.
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
        """Entry of this process in the deployment."""
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
