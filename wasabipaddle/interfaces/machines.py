"""Interface to the service that manages the machines of the platform."""

import abc
import enum

from result import Result

from wasabipaddle.exceptions import Failure
from wasabipaddle.jobs.maintenance import Machine

__all__ = ["MachineService", "MaintenanceReply"]


class MaintenanceReply(enum.Enum):
    """Answer to a request that the maintenance of a machine begins.

    ACCEPTED means that it has begun, now or earlier. After any other answer nothing has
    been done: BUSY means that the machine is not up or is leaving, NOT_IN_WAVE that the
    service does not count it to the wave, and INVALID that there is no such machine.
    """

    ACCEPTED = "accepted"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    STALE_EPOCH = "stale_epoch"
    INVALID = "invalid"


class MachineService(abc.ABC):
    """Client of the machine service."""

    @abc.abstractmethod
    async def list_machines(self, *, timeout_s) -> Result[tuple[Machine, ...], Failure]:
        """Return all machines; an `Err` if the list is not whole."""

    @abc.abstractmethod
    async def begin_maintenance(
        self, machine, wave, *, holder, epoch, timeout_s
    ) -> Result[MaintenanceReply, Failure]:
        """Begin the maintenance of a machine, as a part of a wave.

        An `Err` of kind `unreachable` or `rate_limited` means that nothing was done.
        After any other `Err`, the request may have been or may yet be carried out.

        Parameters
        ----------
        holder : str
            Name of the calling process.
        epoch : int
            Epoch under which it leads.
        """

    async def close(self):
        """Close the connections."""
