"""Facts that the roles of a process tell each other."""

import attrs

from wasabipaddle.jobs import CellConfiguration

__all__ = [
    "ConfigurationChanged",
    "DrainStarted",
    "LeaderChanged",
    "MemberOutdated",
    "LeadershipGained",
    "LeadershipLost",
]


@attrs.frozen(kw_only=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: CellConfiguration


@attrs.frozen(kw_only=True)
class DrainStarted:
    """The process has been told to end."""


@attrs.frozen(kw_only=True)
class LeaderChanged:
    """Another process leads; the names are empty while none does.

    Parameters
    ----------
    process, address : str
        Leader and its internal listener.
    epoch : int
        Epoch of its reign.
    """

    process: str
    address: str
    epoch: int = 0


@attrs.frozen(kw_only=True)
class MemberOutdated:
    """A process that greeted this one has an older configuration."""

    process: str


@attrs.frozen(kw_only=True)
class LeadershipGained:
    """The process has become the leader.

    Parameters
    ----------
    epoch : int
        Fencing token of its orders.
    term : int
        Number of the term, one for each leader.
    continued : bool
        Whether nobody else led since this process last did.
    """

    epoch: int
    term: int
    continued: bool


@attrs.frozen(kw_only=True)
class LeadershipLost:
    """The process is the leader no more."""

    reason: str
