"""Slot quotas of services and teams."""

import collections

__all__ = ["QuotaLedger"]


class QuotaLedger:
    """Counts the slots in use and enforces this process's part of the quotas.

    Quotas apply to the whole cell. Each process enforces the part that `local_share`
    returns, so the request path needs no call between processes. A quota of 0 slots
    means that the number is not limited.
    """

    def __init__(self):
        self.team_quotas = {}
        self.rank = 0
        self.processes = 1
        self.team_in_use = collections.Counter()
        self.service_in_use = collections.Counter()

    def set_quotas(self, quotas, *, rank, processes):
        """Replace the team quotas and the position of this process.

        Parameters
        ----------
        quotas : sequence of TeamQuota
            Quotas of the cell.
        rank, processes : int
            Index of this process among the live ones, from 0, and their number.
        """
        self.team_quotas = {q.team: q.quota.slots for q in quotas}
        self.rank = rank
        self.processes = max(processes, 1)

    def local_share(self, slots) -> int:
        """Return the part of a quota that this process may use, at least 1.

        The parts add up to the quota unless it has fewer slots than there are
        processes.
        """
        part, rest = divmod(slots, self.processes)
        return max(part + (self.rank < rest), 1)

    def team_allows(self, team) -> bool:
        """Return whether the team may use one more slot."""
        quota = self.team_quotas.get(team, 0)
        return quota <= 0 or self.team_in_use[team] < self.local_share(quota)

    def allows(self, document) -> bool:
        """Return whether the service and its team may use one more slot."""
        quota = document.quota.slots
        if quota > 0:
            used = self.service_in_use[document.service]
            if used >= self.local_share(quota):
                return False
        return self.team_allows(document.team)

    def take(self, document):
        """Count one more slot in use by the service and its team."""
        self.service_in_use[document.service] += 1
        self.team_in_use[document.team] += 1

    def release(self, document):
        """Count one slot less in use by the service and its team."""
        self.service_in_use[document.service] -= 1
        self.team_in_use[document.team] -= 1
