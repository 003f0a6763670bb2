"""Short soaks of daemons on the platform stand-in under overlapping faults."""

from pathlib import Path

import pytest

from cardamomdyke_standins.soak import soak_seed

pytestmark = pytest.mark.processes
FAULT_SECONDS = 10.0
# Seeds that once failed stay here, each with its cause, as regression cases.
SEEDS = [1]


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_breaks_no_promise(tmp_path: Path, seed: int) -> None:
    """Guards against runs that are duplicated, lost or were never requested."""
    result = soak_seed(seed, tmp_path, FAULT_SECONDS)
    assert result.accepted > 0
    assert result.violations == (), result
