"""In-memory stand-in of the machine service."""

import asyncio

import attrs
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces.machines import MachineService, MaintenanceReply
from wasabipaddle.jobs.maintenance import MachineState

__all__ = ["MachineFaults", "MemoryMachines"]


@attrs.define(kw_only=True)
class MachineFaults:
    """Faults of the machine service.

    Parameters
    ----------
    silent : bool
        Whether no call is answered or carried out.
    refusing : bool
        Whether every call is refused because of the rate.
    delay_s : float or None
        Time after which a maintenance call without an answer is carried out; None for
        calls that are answered.
    """

    silent: bool = False
    refusing: bool = False
    delay_s: float | None = None


class MemoryMachines(MachineService):
    """Machines whose maintenance takes a fixed time.

    Parameters
    ----------
    machines : iterable of Machine
        Machines, all of them up.
    maintenance_s : float
        Time for which a machine is away.
    began, ended : callable
        Called with a machine when its maintenance begins, and when it ends. The
        coroutine function `ended` returns the identifier of the new runner; by default
        the runner comes back.

    Attributes
    ----------
    waves : dict of int to collection of str
        Machines by wave, as far as the service knows them; other waves have all.
    calls : list of tuple of (str, int, str, int)
        Machine, wave, holder and epoch of the calls that have been carried out.
    done : list of tuple of (int, str)
        Waves and machines whose maintenance has begun.
    """

    def __init__(
        self,
        *,
        machines,
        maintenance_s=2.0,
        began=lambda machine: None,
        ended=None,
    ):
        self.machines = {machine.id: machine for machine in machines}
        self.maintenance_s = maintenance_s
        self.began = began
        self.ended = ended
        self.faults = MachineFaults()
        self.waves = {}
        self.epochs = {}
        self.calls = []
        self.done = []
        self.tasks = set()

    async def list_machines(self, *, timeout_s):
        """Return all machines."""
        refusal = await self._refuse(timeout_s)
        return refusal or Ok(tuple(self.machines.values()))

    async def begin_maintenance(self, machine, wave, *, holder, epoch, timeout_s):
        """Begin the maintenance of a machine; a fault may delay it."""
        refusal = await self._refuse(timeout_s)
        if refusal is not None:
            return refusal
        if self.faults.delay_s is None:
            return Ok(self._begin(machine, wave, holder, epoch))
        asyncio.get_running_loop().call_later(
            self.faults.delay_s, self._begin, machine, wave, holder, epoch
        )
        await asyncio.sleep(timeout_s or 0.0)
        return _failure(ErrorKind.TIMEOUT)

    async def _refuse(self, timeout_s):
        if self.faults.silent:
            await asyncio.sleep(timeout_s or 0.0)
            return _failure(ErrorKind.TIMEOUT)
        if self.faults.refusing:
            return _failure(ErrorKind.RATE_LIMITED)
        return None

    def _begin(self, name, wave, holder, epoch):
        self.calls.append((name, wave, holder, epoch))
        machine = self.machines.get(name)
        if machine is None:
            return MaintenanceReply.INVALID
        if epoch < self.epochs.get(name, 0):
            return MaintenanceReply.STALE_EPOCH
        self.epochs[name] = epoch
        if (wave, name) in self.done:
            return MaintenanceReply.ACCEPTED
        if name not in self.waves.get(wave, self.machines):
            return MaintenanceReply.NOT_IN_WAVE
        if machine.state is not MachineState.UP:
            return MaintenanceReply.BUSY
        self.done.append((wave, name))
        away = attrs.evolve(machine, state=MachineState.MAINTENANCE, runner="")
        self.machines[name] = away
        self.began(machine)
        task = asyncio.get_running_loop().create_task(self._end(machine))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return MaintenanceReply.ACCEPTED

    async def _end(self, machine):
        await asyncio.sleep(self.maintenance_s)
        runner = await self.ended(machine) if self.ended else machine.runner
        self.machines[machine.id] = attrs.evolve(machine, runner=runner)


def _failure(kind):
    return Err(Failure(kind=kind, detail="the machine service has a fault"))
