"""Whether work is stopped before its server leaves."""

import pytest

from cardamomdyke.scheduling.departures import (
    estimate_left,
    is_short_notice,
    must_move,
)


@pytest.mark.parametrize(
    ("percent", "elapsed", "age", "expected", "left"),
    [
        (50.0, 2.0, 0.5, 100.0, 1.5),
        (5.0, 2.0, 0.5, 10.0, 7.5),
        (0.0, 0.0, 0.0, 0.0, 0.0),
        (100.0, 2.0, 0.1, 9.0, 0.0),
    ],
)
def test_progress_counts_before_the_expected_time(
    percent: float, elapsed: float, age: float, expected: float, left: float
) -> None:
    """Guards against stops of runs that would end in time."""
    assert estimate_left(percent, elapsed, age, expected) == left


def test_only_short_notices_move_work() -> None:
    """Guards against work lost to a server that serves on for many seconds."""
    assert is_short_notice(1.5)
    assert not is_short_notice(4.0)
    assert not is_short_notice(None)
    assert must_move(2.0, 1.4)
    assert not must_move(1.0, 1.4)
