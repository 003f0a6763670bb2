"""Estimate of when a run ends by itself."""

from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.scheduling.endings import (
    MAX_OVERDUE_SECONDS,
    MIN_PERCENT,
    ends_within,
    estimate_remaining,
    update_progress,
)


@given(
    duration=st.floats(1.0, 60.0),
    first=st.floats(0.0, 0.5),
    last=st.floats(0.55, 0.99),
    age=st.floats(0.0, 1.0),
)
def test_estimate_follows_the_reported_rate(
    duration: float, first: float, last: float, age: float
) -> None:
    """Guards against runs that are waited for although they go on, such as stragglers.

    The work of a run that resumed is counted from what its first report says.
    """
    progress = None
    for share in (first, (first + last) / 2, last):
        # Servers report whole percents.
        progress = update_progress(progress, 100 * share // 1, share * duration)
    now = last * duration + age
    remaining = estimate_remaining(progress, now)
    if 100 * last < MIN_PERCENT:
        assert remaining is None
    if remaining is not None:
        # Both whole percents together are off by less than 2 of at least 20.
        assert abs(remaining - (duration - now)) <= 0.1 * duration


def test_run_without_reported_progress_is_not_waited_for() -> None:
    """Guards against a rate from one report, as after a takeover."""
    progress = update_progress(None, 95.0, 10.0)
    assert estimate_remaining(None, 10.0) is None
    assert estimate_remaining(update_progress(progress, 96.0, 10.1), 10.1) is None


@given(seconds=st.floats(0.0, 10.0), late=st.floats(0.0, 10.0))
def test_overdue_run_is_not_waited_for(seconds: float, late: float) -> None:
    """Guards against waits for a run that stands still close to its end."""
    progress = update_progress(update_progress(None, 0.0, 0.0), 96.0, 9.6)
    awaited = ends_within(progress, seconds, 10.0 + late)
    if late > MAX_OVERDUE_SECONDS + 1e-6:
        assert not awaited
    elif late < MAX_OVERDUE_SECONDS - 1e-6:
        assert awaited


def test_report_of_a_slower_member_changes_nothing() -> None:
    """Guards against gangs whose progress seems to go back and forth."""
    progress = update_progress(update_progress(None, 0.0, 0.0), 90.0, 9.0)
    assert update_progress(progress, 85.0, 9.1) is progress
