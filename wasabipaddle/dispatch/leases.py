"""Leases of runs on runners: their extension by orders, and their expiry."""

from wasabipaddle.dispatch.model import RemovalReason, RunPhase

__all__ = ["Leases"]

MS_PER_S = 1000


class Leases:
    """Counts the leases that this dispatcher has granted.

    Parameters
    ----------
    state : CellState
        Shared state.
    lifecycle : Lifecycle
        Removes the runs of expired leases.

    Attributes
    ----------
    awaits_proof : bool
        Whether only a later proof of leadership was missing in the last `expire`.
    """

    def __init__(self, *, state, lifecycle):
        self.state = state
        self.lifecycle = lifecycle
        self.awaits_proof = False

    def expire(self, now, *, proved_s):
        """Remove the runs of runners whose leases have certainly expired.

        Runs whose start order is in progress are kept. Suspect runners whose time has
        passed are cleared, so that recovered jobs no longer wait for them. Either needs
        a proof of leadership from after the expiry, since a later leader may have
        extended the leases before.

        Parameters
        ----------
        proved_s : float
            Latest time at which the dispatcher was certainly the leader.
        """
        self.awaits_proof = False
        for runner_id in list(self.state.suspects):
            until_s = self.state.suspected_until_s(runner_id)
            if self._is_over(until_s, now, proved_s):
                del self.state.suspects[runner_id]
                self.state.journal("suspect_cleared", runner=runner_id)
        for runner in self.state.runners.values():
            if not runner.runs or not runner.clock_ms:
                continue
            if not self._is_over(runner.lease_expiry_s, now, proved_s):
                continue
            self.state.journal(
                "leases_expired",
                runner=runner.id,
                runs=len(runner.runs),
                lease_left_ms=runner.lease_left_ms(now),
                inventory_age_ms=int((now - runner.last_inventory_s) * MS_PER_S),
                reading_age_ms=int((now - runner.clock_s) * MS_PER_S),
            )
            for run in list(runner.runs.values()):
                if run.phase is not RunPhase.STARTING:
                    reason = RemovalReason.LEASE_EXPIRED
                    self.lifecycle.remove_run(run, now, reason=reason)

    def _is_over(self, until_s, now, proved_s):
        """Return whether leases that end at a time have certainly ended there."""
        if now >= until_s > proved_s:
            self.awaits_proof = True
        return now >= until_s and proved_s >= until_s

    def extend_by_start(self, runner, now) -> int:
        """Record the lease of a new start order and return its end.

        That is the time on the clock of the runner from which the order is void.
        """
        start_ms = int(self.state.timing.start_s * MS_PER_S)
        until_ms = runner.estimate_clock_ms(now) + start_ms
        runner.start_lease_until_ms = max(runner.start_lease_until_ms, until_ms)
        return until_ms

    def extend_by_inventory(self, runner, now) -> int:
        """Record the lease that the next inventory grants and return its end.

        The end is on the clock of the runner. While that clock is unknown, returns 0,
        which leaves the lease unchanged.
        """
        if not runner.clock_ms:
            return 0
        lease_ms = int(self.state.timing.lease_s * MS_PER_S)
        until_ms = runner.estimate_clock_ms(now) + lease_ms
        runner.inventory_lease_until_ms = max(runner.inventory_lease_until_ms, until_ms)
        return until_ms

    def revert_inventory(self, runner, previous_until_ms):
        """Revert the lease extension of an inventory that did not reach the runner.

        Leases of start orders are kept, since orders sent in the meantime may have
        arrived.

        Parameters
        ----------
        previous_until_ms : int
            End of the inventory lease before the extension.
        """
        runner.inventory_lease_until_ms = previous_until_ms
