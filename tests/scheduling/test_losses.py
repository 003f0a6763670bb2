"""Loss and cost of a stop."""

from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.scheduling.losses import (
    MAX_REPEATS,
    RECENT_STOP_SECONDS,
    REPEAT_COST_FACTOR,
    StopTimes,
    count_repeats,
    estimate_loss,
)

TIMES = StopTimes(0.4, 0.1)
SECONDS = st.floats(0.0, 1000.0)


@given(unsaved=SECONDS, saves=st.booleans(), repeats=st.integers(0, MAX_REPEATS))
def test_cost_never_falls_below_the_loss(
    unsaved: float, saves: bool, repeats: int
) -> None:
    """Guards against stops that seem free although they hold capacity or lose work."""
    loss = estimate_loss(15.0, unsaved, saves, TIMES, repeats)
    assert loss.cost > loss.lost >= 0
    assert estimate_loss(15.0, unsaved, True, TIMES, repeats).cost <= loss.cost


@given(stops=st.integers(0, 100), since=SECONDS)
def test_only_repeated_stops_count_and_not_without_bound(
    stops: int, since: float
) -> None:
    """Guards against one stop long ago that counts, and work that becomes exempt."""
    repeats = count_repeats(stops, since)
    assert repeats <= min(stops, MAX_REPEATS)
    assert bool(repeats) == (stops > 1 or (stops == 1 and since <= RECENT_STOP_SECONDS))


@given(unsaved=SECONDS, factor=st.floats(0.0, 0.99 * REPEAT_COST_FACTOR))
def test_repeated_victim_costs_more_than_one_that_costs_about_as_much(
    unsaved: float, factor: float
) -> None:
    """Guards against a victim twice in a row while other work costs about as much."""
    repeated = estimate_loss(15.0, unsaved, False, TIMES, repeats=1)
    other = estimate_loss(15.0 * factor, unsaved, False, TIMES)
    assert other.cost < repeated.cost
