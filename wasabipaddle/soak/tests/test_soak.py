"""A short seeded soak with real processes."""

import pytest

from wasabipaddle.soak import run_soak

SECONDS = 6.0
# Seeds that once broke a promise would be listed here as well, with their causes.
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    """Guards against faults that only real processes and connections show."""
    result = run_soak(seed=seed, seconds=SECONDS, processes=3, runners=6, keep=tmp_path)
    report = (tmp_path / f"seed-{seed}" / "report.txt").read_text()
    assert result.accepted > 0
    assert result.starts > 0
    assert result.holds, report
