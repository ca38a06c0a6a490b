"""Division of quotas among the shards of a cell.

Every shard enforces its part independently. Quotas therefore hold for the whole cell
without communication between shards, also while data centres are partitioned, apart
from the excess that `ShardQuotas` describes.
"""

import math

from wasabipaddle.documents import Quota, Resources, minimal_run_resources

__all__ = ["ShardQuotas", "allowed_shards"]


def allowed_shards(settings, document) -> list[str]:
    """Return the shards that may accept runs of a document."""
    placement = document.placement
    allowed = []
    for centre in settings.deployment.data_centres:
        if placement.data_centres and centre.name not in placement.data_centres:
            continue
        if placement.regions and centre.region not in placement.regions:
            continue
        allowed.extend(settings.shards_of(centre.name))
    return allowed


class ShardQuotas:
    """Part of each quota that one shard enforces.

    A part is at least what one run needs, up to the whole quota, since the shard could
    otherwise never start a run. If a quota is only enough for a few runs, the cell as
    a whole can therefore exceed it, by at most one run per shard.

    Parameters
    ----------
    settings : Settings
        Settings of the process, with the quotas of the teams.
    documents : object
        Has `get(service)` and `documents()`.
    """

    def __init__(self, *, settings, documents):
        self.settings = settings
        self.documents = documents

    def of_service(self, service) -> Quota | None:
        """Return the part of the quota of a service, or None without a document."""
        document = self.documents.get(service)
        if document is None:
            return None
        parts = len(allowed_shards(self.settings, document))
        minimum = minimal_run_resources(document)
        return Quota(resources=_part(document.quota.resources, parts, minimum))

    def of_teams(self):
        """Yield each team that has a quota, with the part for this shard."""
        centres = self.settings.deployment.data_centres
        parts = sum(c.shards for c in centres)
        for entry in self.settings.deployment.quotas:
            minimum = self._largest_run(entry.team)
            yield entry.team, _part(entry.quota.resources, parts, minimum)

    def _largest_run(self, team):
        needs = [
            minimal_run_resources(d)
            for d in self.documents.documents()
            if d.team == team
        ]
        return Resources(
            cpu_milli=max((n.cpu_milli for n in needs), default=0),
            memory_mb=max((n.memory_mb for n in needs), default=0),
            accelerators=max((n.accelerators for n in needs), default=0),
        )


def _part(quota, parts, minimum):
    return Resources(
        cpu_milli=_divide(quota.cpu_milli, parts, minimum.cpu_milli),
        memory_mb=_divide(quota.memory_mb, parts, minimum.memory_mb),
        accelerators=_divide(quota.accelerators, parts, minimum.accelerators),
    )


def _divide(amount, parts, minimum):
    return min(amount, max(math.ceil(amount / max(parts, 1)), minimum))
