"""Concurrent load with random failures, checked for violated guarantees."""

from pathlib import Path

import pytest

from cardamomdyke_standins.fuzz import run_seed


@pytest.mark.processes
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_history_keeps_every_guarantee(seed: int, tmp_path: Path) -> None:
    """Guards against violations that only combined failures cause."""
    result = run_seed(seed, tmp_path)
    print(result)
    assert result.outcomes.get("finished", 0) > 0
    assert result.violations == (), f"seed {seed}"
