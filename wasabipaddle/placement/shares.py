"""Resources held by each team and service, quotas and guaranteed floors."""

from wasabipaddle.documents import Resources
from wasabipaddle.placement.resources import ZERO, dominant_share, elementwise_max

__all__ = ["ShareLedger"]


class ShareLedger:
    """Accounts for the resources held by tasks and by planned starts.

    Parameters
    ----------
    fleet : FleetIndex
        Its total size is the basis of shares and floors.
    """

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.team_quotas = {}
        self.team_use = {}
        self.service_use = {}
        self.floors = {}
        self.unmet = {}
        self.unmet_total = ZERO
        self.unmet_version = -1

    def set_quota(self, team, resources):
        """Set the quota of a team, or remove it if `resources` is None."""
        if resources is None:
            self.team_quotas.pop(team, None)
        else:
            self.team_quotas[team] = resources

    def set_floor(self, service, guaranteed, *, accelerators=False):
        """Guarantee a fraction of the fleet to a service, or remove its floor if 0.

        Parameters
        ----------
        accelerators : bool
            Whether the floor covers accelerators too.
        """
        if guaranteed > 0:
            self.floors[service] = (guaranteed, accelerators)
        else:
            self.floors.pop(service, None)
        self.unmet_version = -1

    def within_quota(self, work, amount) -> bool:
        """Return whether `amount` fits into what the quotas leave unused."""
        quota = self.team_quotas.get(work.team)
        if quota is not None:
            used = self.team_use.get(work.team, ZERO)
            if not (used + amount).fits(quota):
                return False
        if work.quota == ZERO:
            return True
        return (self.service_use.get(work.service, ZERO) + amount).fits(work.quota)

    def fits_total_quota(self, work, amount) -> bool:
        """Return whether `amount` fits into the quotas if nothing else is in use."""
        quota = self.team_quotas.get(work.team)
        if quota is not None and not amount.fits(quota):
            return False
        return work.quota == ZERO or amount.fits(work.quota)

    def charge(self, work, amount):
        """Add `amount` to what the team and service hold."""
        self._add(work, amount)

    def release(self, work, amount):
        """Subtract `amount` from what the team and service hold."""
        self._add(work, ZERO - amount)

    def share(self, service) -> float:
        """Return the dominant share of the fleet that a service holds."""
        used = self.service_use.get(service)
        return dominant_share(used, self.fleet.total) if used else 0.0

    def below_floor(self, service) -> bool:
        """Return whether a service holds less than its guaranteed fraction."""
        floor = self.floors.get(service)
        return floor is not None and self.share(service) < floor[0]

    def floor_ratio(self, service) -> float:
        """Return the share of a service relative to its guaranteed fraction."""
        return self.share(service) / self.floors[service][0]

    def respects_floors(self, work, amount, *, reclaimable) -> bool:
        """Return whether other services can reach their floors if `amount` is taken.

        Reclaimable work may use the resources that floors keep free, because it can be
        preempted for the services that are entitled to them.
        """
        if reclaimable or not self.floors:
            return True
        self._refresh_unmet()
        others = self.unmet_total - self.unmet.get(work.service, ZERO)
        if others == ZERO:
            return True
        available = self.fleet.total_free + self.fleet.total_reclaimable
        return (others + amount).fits(available)

    def _add(self, work, amount):
        self.team_use[work.team] = self.team_use.get(work.team, ZERO) + amount
        used = self.service_use.get(work.service, ZERO) + amount
        if used == ZERO:
            self.service_use.pop(work.service, None)
        else:
            self.service_use[work.service] = used
        if work.service in self.floors and self.unmet_version >= 0:
            self._set_unmet(work.service)

    def _refresh_unmet(self):
        if self.unmet_version == self.fleet.membership_version:
            return
        self.unmet_version = self.fleet.membership_version
        self.unmet = {}
        self.unmet_total = ZERO
        for service in self.floors:
            self._set_unmet(service)

    def _set_unmet(self, service):
        """Record the resources that a service lacks to reach its floor."""
        fraction, accelerators = self.floors[service]
        total = self.fleet.total
        floor = Resources(
            cpu_milli=int(total.cpu_milli * fraction),
            memory_mb=int(total.memory_mb * fraction),
            accelerators=int(total.accelerators * fraction) if accelerators else 0,
        )
        used = self.service_use.get(service, ZERO)
        unmet = elementwise_max(floor - used, ZERO)
        if used != ZERO and dominant_share(used, total) >= fraction:
            unmet = ZERO
        self.unmet_total += unmet - self.unmet.get(service, ZERO)
        self.unmet[service] = unmet
