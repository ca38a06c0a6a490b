"""Tests of the division of quotas among shards."""

import attrs
import pytest

from wasabipaddle.documents import (
    Placement,
    Quota,
    Resources,
    RunPolicy,
    ServiceDocument,
    ServiceKind,
    TeamQuota,
)
from wasabipaddle.measure.cell import make_deployment
from wasabipaddle.runs import ShardQuotas
from wasabipaddle.settings import Settings

CELL_QUOTA = Resources(cpu_milli=90_000, memory_mb=300)


class Documents:
    """Stub of the current documents."""

    def __init__(self, *current):
        self.current = {d.service: d for d in current}

    def get(self, service):
        return self.current.get(service)

    def documents(self):
        return list(self.current.values())


@pytest.fixture
def settings():
    deployment = make_deployment(entries=3, data_centres=3)
    quota = TeamQuota(team="t", quota=Quota(resources=CELL_QUOTA))
    deployment = attrs.evolve(deployment, quotas=(quota,))
    return Settings(process="e00", deployment=deployment)


def document(service, *, cpu_milli, data_centres=()):
    return ServiceDocument(
        service=service,
        team="t",
        kind=ServiceKind.GANG,
        needs=Resources(cpu_milli=cpu_milli, memory_mb=1),
        placement=Placement(data_centres=data_centres),
        quota=Quota(resources=CELL_QUOTA),
        run=RunPolicy(tasks=2),
    )


def test_parts_of_all_shards_add_up_to_the_quota(settings):
    """Guards against a team that gets its full quota in each shard."""
    documents = Documents(document("small", cpu_milli=1000))
    quotas = ShardQuotas(settings=settings, documents=documents)
    part = Resources(cpu_milli=30_000, memory_mb=100)
    assert dict(quotas.of_teams()) == {"t": part}
    assert quotas.of_service("small").resources == part


def test_a_part_is_large_enough_for_one_run(settings):
    """Guards against a part of a quota that is too small for any run to start.

    Also guards against a quota that is divided among shards that may not run the
    service: only one shard may run "local", so its part is the whole quota.
    """
    documents = Documents(
        document("large", cpu_milli=20_000),
        document("local", cpu_milli=1000, data_centres=("dc1",)),
    )
    quotas = ShardQuotas(settings=settings, documents=documents)
    assert quotas.of_service("large").resources.cpu_milli == 40_000
    assert quotas.of_service("local").resources == CELL_QUOTA
    assert dict(quotas.of_teams())["t"].cpu_milli == 40_000
