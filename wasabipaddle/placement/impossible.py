"""Detection of work that can never run on the present fleet and quotas."""

from wasabipaddle.placement.resources import scaled

__all__ = ["ImpossibleWork"]

# Number of entries at which the cache is cleared.
CACHE_ENTRIES = 10_000

_UNITS = (
    ("cpu_milli", "processor", "thousandths of a core"),
    ("memory_mb", "memory", "MB"),
    ("accelerators", "accelerators", "accelerators"),
)


class ImpossibleWork:
    """Finds the reason why work can never run, and caches it.

    The cache is cleared when a worker is added or removed. Its key includes the
    revision of the document and the quota of the team.

    Parameters
    ----------
    fleet : FleetIndex
        Source of the VM shapes.
    ledger : ShareLedger
        Source of the quotas. All tasks of a gang together must fit into them.
    """

    def __init__(self, *, fleet, ledger):
        self.fleet = fleet
        self.ledger = ledger
        self.cache = {}
        self.cache_version = -1

    def reason(self, work, need) -> str | None:
        """Return why `work` can never run, or None.

        Parameters
        ----------
        need : Resources
            Resources to reserve for one task, learned or declared.
        """
        if self.cache_version != self.fleet.membership_version:
            self.cache.clear()
            self.cache_version = self.fleet.membership_version
        count = work.tasks if work.is_gang else 1
        quota = self.ledger.team_quotas.get(work.team)
        key = (work.service, work.revision, need, count, quota)
        if key not in self.cache:
            if len(self.cache) >= CACHE_ENTRIES:
                self.cache.clear()
            self.cache[key] = self._find_reason(work, need, count)
        return self.cache[key]

    def _find_reason(self, work, need, count):
        allowed = work.placement.data_centres
        if not self.ledger.fits_total_quota(work, scaled(need, count)):
            return f"{count} tasks exceed the quota of the service or team {work.team}"
        if self.fleet.capacity_for(need, count, allowed) >= count:
            return None
        largest = self.fleet.largest_shape(allowed)
        for field, label, unit in _UNITS:
            wanted, available = getattr(need, field), getattr(largest, field)
            if wanted > available:
                return (
                    f"{label}: one task needs {wanted} {unit}, "
                    f"the largest VM has {available}"
                )
        fitting = self.fleet.capacity_for(need, count, allowed)
        if fitting:
            return f"tasks: the gang needs {count}, the fleet can hold {fitting}"
        return (
            "no VM has enough processor, memory and accelerators together; "
            f"the largest VM has {largest.cpu_milli} thousandths of a core, "
            f"{largest.memory_mb} MB and {largest.accelerators} accelerators"
        )
