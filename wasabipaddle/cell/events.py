"""Events that the roles of a process publish on its bus."""

import attrs

from wasabipaddle.jobs import CellConfiguration

__all__ = [
    "ConfigurationChanged",
    "DrainStarted",
    "LeaderChanged",
    "LeadershipGained",
    "LeadershipLost",
    "MemberOutdated",
]


@attrs.frozen(kw_only=True)
class ConfigurationChanged:
    """The process has applied a newer configuration."""

    configuration: CellConfiguration


@attrs.frozen(kw_only=True)
class DrainStarted:
    """The process has been told to shut down and begins to drain."""


@attrs.frozen(kw_only=True)
class LeaderChanged:
    """The known holder of the leader key has changed.

    Parameters
    ----------
    process, address : str
        Name of the leader, and host and port of its internal listener; both are empty
        while the key is not held.
    epoch : int
        Epoch of the leader, 0 while the key is not held.
    """

    process: str
    address: str
    epoch: int = 0


@attrs.frozen(kw_only=True)
class MemberOutdated:
    """A process that sent a `MemberHello` has an older configuration than this one."""

    process: str


@attrs.frozen(kw_only=True)
class LeadershipGained:
    """The process has won the leadership, or won it again.

    Parameters
    ----------
    epoch : int
        Fencing token of the orders that the dispatcher sends from now on.
    term : int
        Number of the term, higher by one with each successful campaign.
    continued : bool
        Whether this process was the leader until now and no other led in between.
    """

    epoch: int
    term: int
    continued: bool


@attrs.frozen(kw_only=True)
class LeadershipLost:
    """The process is no longer the leader."""

    reason: str
