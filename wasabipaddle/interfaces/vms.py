"""Interface to the platform's list of VMs, which may be out of date."""

import abc
import enum

import attrs
from result import Result

from wasabipaddle.documents import Resources
from wasabipaddle.exceptions import Failure

__all__ = ["VmEntry", "VmList", "VmRole", "VmStatus"]


class VmRole(enum.Enum):
    """Purpose of a VM."""

    ENTRY = "entry"
    WORKER = "worker"
    ENDPOINT = "endpoint"


class VmStatus(enum.Enum):
    """State of a VM according to the list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen(kw_only=True)
class VmEntry:
    """Entry of one VM in the list.

    Parameters
    ----------
    resources : Resources
        Capacity of a worker; zero for other roles.
    pool : str
        Pool of an endpoint; empty for other roles.
    slots, connections : int
        Largest numbers of requests in progress and of connections of an endpoint.
    """

    vm: str
    role: VmRole
    status: VmStatus
    data_centre: str
    rack: str
    host: str
    port: int
    resources: Resources = Resources()
    pool: str = ""
    slots: int = 0
    connections: int = 0


class VmList(abc.ABC):
    """Client of the platform's list of VMs."""

    @abc.abstractmethod
    async def read(self, *, data_centre=None) -> Result[tuple[VmEntry, ...], Failure]:
        """Return the VMs of one data centre, or of all data centres for None."""

    async def close(self):
        """Close the connections."""
