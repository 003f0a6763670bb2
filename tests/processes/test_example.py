"""End-to-end runs of the shipped examples, each with separate processes."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]


@pytest.mark.processes
@pytest.mark.parametrize("example", ["federation", "trust"])
def test_example_runs_to_a_clean_stop(example: str, tmp_path: Path) -> None:
    """Guards against faults anywhere between callers and backend servers."""
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "cardamomdyke_standins.example",
            example,
            f"--logs={tmp_path}",
            "--free_ports",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=300,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert "finished, 16 answers" in result.stdout
    assert "exit codes [0]" in result.stdout
