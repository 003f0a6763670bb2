"""Plays seeds one after another from the command line."""

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Protocol


class SeedResult(Protocol):
    """What a seed showed."""

    @property
    def violations(self) -> tuple[object, ...]:
        """Breaks of what must always hold."""


def play_seeds(
    name: str, first: int, count: int, play: Callable[[int, Path], SeedResult]
) -> None:
    """Play seeds, print what each showed, and exit with 1 after a violation.

    Parameters
    ----------
    name : str
        Part of the names of the directories with the processes' logs.
    first : int
        First seed.
    count : int
        Number of seeds.
    play : callable
        Plays a seed with its logs in a directory.
    """
    failed = False
    for seed in range(first, first + count):
        directory = Path(tempfile.mkdtemp(prefix=f"cardamomdyke-{name}{seed}-"))
        result = play(seed, directory)
        print(result, f"logs in {directory}", flush=True)
        failed = failed or bool(result.violations)
    sys.exit(1 if failed else 0)
