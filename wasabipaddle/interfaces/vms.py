"""Interface to the platform's lagging list of VMs."""

import abc
import enum

import attrs
from result import Result

from wasabipaddle.documents import Resources
from wasabipaddle.exceptions import Failure

__all__ = ["VmEntry", "VmList", "VmRole", "VmStatus"]


class VmRole(enum.Enum):
    """What a VM is used for."""

    ENTRY = "entry"
    WORKER = "worker"
    ENDPOINT = "endpoint"


class VmStatus(enum.Enum):
    """State of a VM as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen(kw_only=True)
class VmEntry:
    """One VM of the list.

    Parameters
    ----------
    resources : Resources
        Size of a worker.
    pool : str
        Pool of an endpoint.
    slots, connections : int
        Limits of an endpoint.
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
    """Client of the platform's list of live and leaving VMs."""

    @abc.abstractmethod
    async def read(self, *, data_centre=None) -> Result[tuple[VmEntry, ...], Failure]:
        """Return the list, of one data centre or of all."""

    async def close(self):
        """Close connections."""
