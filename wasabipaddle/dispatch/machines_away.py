"""Machines of a wave that are away, or on their way out."""

from wasabipaddle.dispatch.operations import OperationPhase

__all__ = ["MachinesAway"]


class MachinesAway:
    """Tells which machines count against the cap of a wave.

    Parameters
    ----------
    view : MachineView
        Machines by the latest list.
    operations : dict of str to Operation
        Operations by machine.
    """

    def __init__(self, *, view, operations):
        self.view = view
        self.operations = operations

    def operations_of(self, number, machines=()):
        """Return the operations of a wave, and those of some machines."""
        return [
            operation
            for operation in self.operations.values()
            if operation.wave == number or operation.machine in machines
        ]

    def list_away(self, progress):
        """Return the machines of a wave, past ones included, in maintenance."""
        names = {*progress.wave.machines, *progress.begun}
        return {name for name in names if self.view.is_away(name)}

    def list_claimed(self, progress):
        """Return the machines of a wave in maintenance or with an operation."""
        wave = progress.wave
        claimed = {o.machine for o in self.operations_of(wave.number, wave.machines)}
        return claimed | self.list_away(progress)

    def count_others(self, progress, operation, now) -> int:
        """Return the number of other machines that are or may soon be in maintenance.

        A call without an answer counts as long as it may come late.
        """
        down = self.list_away(progress) - {operation.machine}
        for other in self.operations_of(progress.number, progress.wave.machines):
            begun = other.phase is OperationPhase.BEGUN
            if other is not operation and (begun or other.may_begin(now)):
                down.add(other.machine)
        return len(down)
