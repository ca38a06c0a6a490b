"""Configuration of queues, pools, workspaces and limits by the operator."""

import functools
import hashlib

import attrs

from wasabipaddle.jobs.fleet import Capacity

__all__ = [
    "AdvicePolicy",
    "CellConfiguration",
    "Limits",
    "Pool",
    "Queue",
    "Workspace",
    "digest_key",
]


@attrs.frozen(kw_only=True)
class AdvicePolicy:
    """Response time and validity of the eligibility answers for one queue.

    Parameters
    ----------
    base_s : float
        Fixed response time of a call, in seconds.
    per_runner_s : float
        Additional response time for each runner named, in seconds.
    valid_s : float
        Validity of a ticket, in seconds.
    """

    base_s: float
    per_runner_s: float
    valid_s: float


@attrs.frozen(kw_only=True)
class Queue:
    """A queue of jobs and its scheduling policy.

    Parameters
    ----------
    name, host, prefix : str
        Name, and the host and path prefix that select the queue.
    pool : str
        Pool whose runners run the tasks.
    priority : int
        Priority; 0 is the most urgent.
    max_attempts : int
        Number of failed runs of one task at which its job fails.
    stretch : float
        Part of the time objective of a job, as a multiple of the estimated duration of
        its longest chain of steps.
    target_s : float
        Constant part of the time objective, in seconds.
    advice : AdvicePolicy or None
        Policy for eligibility answers; None if the steps need none.
    public : bool
        Whether calls need no key even where the configuration has workspaces.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    advice: AdvicePolicy | None = None
    public: bool = False


@attrs.frozen(kw_only=True)
class Pool:
    """A pool: the runners of one service.

    Parameters
    ----------
    name : str
        Name of the pool.
    enforces_capacity : bool
        Whether its runners refuse tasks that exceed their capacity.
    spare : bool
        Whether the VMs of the pool are spare and switched off.
    """

    name: str
    enforces_capacity: bool = False
    spare: bool = False


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on requests and connections of callers.

    Parameters
    ----------
    max_body_bytes : int
        Largest size of a request body.
    idle_s : float
        Idle timeout of connections, in seconds.
    max_header_bytes : int
        Largest size of the head of a request.
    header_s : float
        Time within which the head of a request must arrive, in seconds.
    """

    max_body_bytes: int = 262_144
    idle_s: float = 15.0
    max_header_bytes: int = 16_384
    header_s: float = 3.0


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer of the cell: its keys, its quota and its share.

    Parameters
    ----------
    name : str
        Name of the workspace.
    key_digests : frozenset of bytes
        Digests of the keys with which callers act for the workspace; see `digest_key`.
    weight : float
        Share of the workspace when all capacity is in use, and the number of jobs a
        second that it is expected to submit at most.
    quota : Capacity
        Resources that its runs may hold in the whole cell; 0 for no limit.
    """

    name: str
    key_digests: frozenset[bytes] = attrs.field(default=frozenset(), repr=False)
    weight: float = 1.0
    quota: Capacity = attrs.field(factory=Capacity)


def digest_key(key) -> bytes:
    """Return the digest under which the key of a caller is looked up.

    Keys are kept as digests only, so that no log line or message can contain one.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


@attrs.frozen(kw_only=True)
class CellConfiguration:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Version number; only a higher version replaces this one.
    queues : tuple of Queue
        All queues.
    pools : dict of str to Pool
        Pools by name.
    limits : Limits
        Limits on requests of callers.
    workspaces : dict of str to Workspace
        Workspaces by name.
    requires_keys : bool
        Whether calls to queues that are not public need a key. It holds as soon as the
        operator configures workspaces, even if none of them can be decoded.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: dict = attrs.field(factory=dict)
    limits: Limits = attrs.field(factory=Limits)
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    requires_keys: bool = False

    @functools.cached_property
    def by_host(self) -> dict[str, list[Queue]]:
        """Queues by host in lower case, sorted by descending length of the prefix."""
        found = {}
        for queue in sorted(self.queues, key=lambda q: -len(q.prefix)):
            found.setdefault(queue.host.lower(), []).append(queue)
        return found

    @functools.cached_property
    def by_name(self) -> dict[str, Queue]:
        """Queues by name."""
        return {queue.name: queue for queue in self.queues}

    @functools.cached_property
    def by_key_digest(self) -> dict[bytes, Workspace]:
        """Workspaces by the digest of each of their keys."""
        return {
            digest: workspace
            for workspace in self.workspaces.values()
            for digest in workspace.key_digests
        }

    def match(self, host, path) -> Queue | None:
        """Return the queue with the longest matching prefix of `path` on `host`.

        Names of hosts are compared without regard to case, as HTTP does.
        """
        queues = self.by_host.get(host.lower(), ())
        return next((q for q in queues if path.startswith(q.prefix)), None)

    def queue(self, name) -> Queue | None:
        """Return the queue called `name`, or None."""
        return self.by_name.get(name)
