"""In-memory stand-in of the platform's list of VMs, which lags behind changes."""

import asyncio
import collections

import attrs
from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import VmList
from wasabipaddle.standins.exchange import fail
from wasabipaddle.standins.faults import change_faults

__all__ = ["MemoryVmList", "VmListFaults"]

UNAVAILABLE_WAIT_S = 1.0


@attrs.define(kw_only=True)
class VmListFaults:
    """Faults of the list.

    Parameters
    ----------
    down : bool
        Fail every call as unreachable.
    """

    down: bool = False


class MemoryVmList(VmList):
    """List of VMs that shows each change after a lag.

    Parameters
    ----------
    lag_s : float
        Time from a change to its appearance in the list.
    latency_s : float
        Round-trip time of a call.
    """

    def __init__(self, *, lag_s=5.0, latency_s=0.004):
        self.lag_s = lag_s
        self.latency_s = latency_s
        self.faults = VmListFaults()
        self.entries = {}
        self.visible = {}
        self.pending = collections.deque()
        self.reads = 0

    def set_faults(self, **changes):
        """Set faults by name."""
        change_faults(self.faults, changes)

    def add(self, entry, *, at_once=False):
        """Add or replace one VM.

        Parameters
        ----------
        entry : VmEntry
            The VM.
        at_once : bool
            Whether the list shows the entry without the lag, as for initial content.
        """
        self.entries[entry.vm] = entry
        if at_once:
            self.visible[entry.vm] = entry
            return
        due_s = asyncio.get_running_loop().time() + self.lag_s
        self.pending.append((due_s, entry))

    def set_status(self, vm, status):
        """Change the status of one VM."""
        self.add(attrs.evolve(self.entries[vm], status=status))

    async def read(self, *, data_centre=None):
        """Return the entries, as of `lag_s` ago, of one data centre or of all."""
        if self.faults.down:
            await asyncio.sleep(UNAVAILABLE_WAIT_S)
            return fail(ErrorKind.UNREACHABLE, "the list of VMs is down")
        await asyncio.sleep(self.latency_s)
        self.reads += 1
        return Ok(self.current_entries(data_centre=data_centre))

    def current_entries(self, *, data_centre=None):
        """Return the entries that the list shows now, sorted by name."""
        now = asyncio.get_running_loop().time()
        while self.pending and self.pending[0][0] <= now:
            entry = self.pending.popleft()[1]
            self.visible[entry.vm] = entry
        return tuple(
            self.visible[vm]
            for vm in sorted(self.visible)
            if data_centre in (None, self.visible[vm].data_centre)
        )
