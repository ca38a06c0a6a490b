"""Readiness of a drained machine for its maintenance."""

__all__ = ["Readiness"]

# Time after the end of a drain at which it is given up if runs are left.
STUCK_S = 5.0
# Time for which a runner must have been empty, so that it learns that its ended runs
# are durable.
QUIET_S = 0.5


class Readiness:
    """Tells whether the maintenance of a machine would end no work.

    Parameters
    ----------
    state : CellState
        Shared state.
    drains : Drains
        Tells whether a runner is empty.
    view : MachineView
        Machines by the latest list.
    """

    def __init__(self, *, state, drains, view):
        self.state = state
        self.drains = drains
        self.view = view

    def is_ready(self, operation, now) -> bool:
        """Return whether the runner is empty and still the one on the machine.

        Only a list that was requested after the runner became empty tells that: a new
        runner of the machine may have work.
        """
        quiet = self._is_quiet(operation, now)
        machine = self.view.machines.get(operation.machine)
        return (
            quiet
            and self.view.is_fresh(now)
            and self.view.listed_s > operation.quiet_since_s
            and self.view.is_up(operation.machine)
            and machine.runner == operation.runner
        )

    def _is_quiet(self, operation, now):
        """Return whether the runner has been empty for long enough.

        The time starts anew when the registry no longer lists the runner.
        """
        runner = self.state.runners.get(operation.runner)
        registered = runner is not None and runner.listed
        changed = registered is not operation.registered
        operation.registered = registered
        if not self.drains.is_empty(operation.runner):
            operation.quiet_since_s = None
            return False
        if operation.quiet_since_s is None or changed:
            operation.quiet_since_s = now
        return now - operation.quiet_since_s >= QUIET_S

    def is_stuck(self, operation, now) -> bool:
        """Return whether runs are left that cannot leave."""
        late = now > operation.drain_until_s + STUCK_S
        return late and not self.drains.is_empty(operation.runner)
