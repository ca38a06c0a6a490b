"""What the lists of the machine service say about machines."""

import math

from wasabipaddle.jobs.maintenance import MachineState

__all__ = ["MachineView"]

# Age from which a list says too little for a decision.
MAX_LIST_AGE_S = 3.0
# Time between two lists without a machine, after which it counts as gone.
GONE_S = 2.0


class MachineView:
    """Machines by the latest list.

    Attributes
    ----------
    machines : dict of str to Machine
        Machines by identifier.
    listed_s : float
        Time at which the latest list was requested, minus infinity before the first.
    unchanged_since_s : dict of str to float
        Time of the first of the lists in a row that say the same about a machine.
    missing_since_s : dict of str to float
        Time of the first of the lists in a row without a machine, of those asked about.
    """

    def __init__(self):
        self.machines = {}
        self.listed_s = -math.inf
        self.unchanged_since_s = {}
        self.missing_since_s = {}

    def record(self, machines, requested_s, *, wanted):
        """Record a whole list, unless it is older than the latest.

        Parameters
        ----------
        requested_s : float
            Time at which the list was requested.
        wanted : iterable of str
            Machines whose absence matters.
        """
        if requested_s <= self.listed_s:
            return
        before, self.machines = self.machines, {m.id: m for m in machines}
        since_s, self.unchanged_since_s = self.unchanged_since_s, {}
        for name, machine in self.machines.items():
            same = before.get(name) == machine
            self.unchanged_since_s[name] = since_s[name] if same else requested_s
        self.missing_since_s = {
            name: self.missing_since_s.get(name, requested_s)
            for name in wanted
            if name not in self.machines
        }
        self.listed_s = requested_s

    def is_fresh(self, now) -> bool:
        """Return whether the latest list is young enough for a decision."""
        return now - self.listed_s <= MAX_LIST_AGE_S

    def is_up(self, name) -> bool:
        """Return whether a machine is listed as up."""
        machine = self.machines.get(name)
        return machine is not None and machine.state is MachineState.UP

    def is_away(self, name) -> bool:
        """Return whether a machine is listed as in maintenance."""
        machine = self.machines.get(name)
        return machine is not None and machine.state is MachineState.MAINTENANCE

    def is_gone(self, name) -> bool:
        """Return whether a machine is missing from lists far enough apart."""
        since_s = self.missing_since_s.get(name, math.inf)
        return self.listed_s - since_s >= GONE_S
