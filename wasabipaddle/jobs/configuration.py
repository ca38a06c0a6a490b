"""Queues, pools and limits that the operator configures."""

import functools

import attrs

__all__ = ["AdvicePolicy", "CellConfiguration", "Limits", "Pool", "Queue"]


@attrs.frozen(kw_only=True)
class AdvicePolicy:
    """Cost and validity of eligibility answers of one queue.

    Parameters
    ----------
    base_s : float
        Time that each call takes.
    per_runner_s : float
        Time that each named runner adds.
    valid_s : float
        How long a ticket holds.
    """

    base_s: float
    per_runner_s: float
    valid_s: float


@attrs.frozen(kw_only=True)
class Queue:
    """A queue of jobs and the policy for them.

    Parameters
    ----------
    name, host, prefix : str
        Name, and the host and path prefix that select the queue.
    pool : str
        Pool whose runners run the tasks.
    priority : int
        Urgency; 0 comes first.
    max_attempts : int
        Runs of one task that may fail.
    stretch : float
        Objective as a multiple of the longest chain of work.
    target_s : float
        Time added to the objective.
    advice : AdvicePolicy or None
        Policy of a queue whose steps need eligibility answers.
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


@attrs.frozen(kw_only=True)
class Pool:
    """Runners of one service.

    Parameters
    ----------
    name : str
        Name of the pool.
    enforces_capacity : bool
        Whether its runners refuse what does not fit.
    spare : bool
        Whether its machines are off.
    """

    name: str
    enforces_capacity: bool = False
    spare: bool = False


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on calls of callers."""

    max_body_bytes: int = 262_144
    idle_s: float = 15.0


@attrs.frozen(kw_only=True)
class CellConfiguration:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Version; only a higher one replaces this one.
    queues : tuple of Queue
        Queues.
    pools : dict of str to Pool
        Pools by name.
    limits : Limits
        Limits on calls.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: dict = attrs.field(factory=dict)
    limits: Limits = attrs.field(factory=Limits)

    @functools.cached_property
    def by_host(self) -> dict[str, list[Queue]]:
        """Queues by host, those with the longest prefix first."""
        found = {}
        for queue in sorted(self.queues, key=lambda q: -len(q.prefix)):
            found.setdefault(queue.host, []).append(queue)
        return found

    @functools.cached_property
    def by_name(self) -> dict[str, Queue]:
        """Queues by name."""
        return {queue.name: queue for queue in self.queues}

    def match(self, host, path) -> Queue | None:
        """Return the queue with the longest prefix of `path` on `host`."""
        queues = self.by_host.get(host, ())
        return next((q for q in queues if path.startswith(q.prefix)), None)

    def queue(self, name) -> Queue | None:
        """Return the queue of that name."""
        return self.by_name.get(name)
