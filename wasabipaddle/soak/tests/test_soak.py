"""Short soak tests with real processes and fixed seeds."""

import attrs
import pytest

from wasabipaddle.soak import REGRESSIONS, Regression, run_soak

SHORT = Regression(seed=1, seconds=6.0, cause="", processes=3, runners=6)
# Quotas of workspaces change.
WORKSPACES = attrs.evolve(SHORT, seed=7, seconds=9.0, workspaces=True)
# A process is cut off while a key is removed.
KEYS = Regression(seed=3, seconds=4.0, cause="", processes=3, faults=("keys_removed",))
# The store refuses the leader and others while queues are added.
REFUSED = Regression(
    seed=5,
    seconds=4.0,
    cause="",
    processes=6,
    faults=("versions_refused",),
    removal_limited=False,
)


@pytest.mark.parametrize(
    "case", [SHORT, KEYS, WORKSPACES, REFUSED, *REGRESSIONS], ids=lambda case: case.seed
)
def test_no_guarantee_is_violated(case, tmp_path):
    """Guards against guarantees that real processes violate under injected faults."""
    result = run_soak(
        seed=case.seed,
        seconds=case.seconds,
        processes=case.processes,
        runners=case.runners,
        faults=case.faults,
        workspaces=case.workspaces,
        memory_bound=case.memory_bound,
        removal_limited=case.removal_limited,
        keep=tmp_path,
    )
    report = (tmp_path / f"seed-{case.seed}" / "report.txt").read_text()
    assert result.accepted > 0
    assert result.starts > 0
    assert result.passed, report
