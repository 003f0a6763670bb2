"""Runs the seeds of a randomised test from the command line."""

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Protocol


class SeedResult(Protocol):
    """Result of one seed."""

    @property
    def violations(self) -> tuple[object, ...]:
        """Violated invariants; empty when the seed passed."""


def run_seeds(
    name: str, first: int, count: int, run_one: Callable[[int, Path], SeedResult]
) -> None:
    """Run seeds one after another, print the results, and exit; 1 after a violation.

    Parameters
    ----------
    name : str
        Part of the names of the log directories.
    first : int
        First seed.
    count : int
        Number of seeds.
    run_one : callable
        Runs a seed, with its logs in the given directory.
    """
    failed = False
    for seed in range(first, first + count):
        directory = Path(tempfile.mkdtemp(prefix=f"cardamomdyke-{name}{seed}-"))
        result = run_one(seed, directory)
        print(result, f"logs in {directory}", flush=True)
        failed = failed or bool(result.violations)
    sys.exit(1 if failed else 0)
