"""Rules for the order of waiting jobs, compared on a list of jobs."""

import pytest

from cardamomdyke_measurements.order import (
    ACCOUNTS,
    CHOSEN,
    Variant,
    draw_jobs,
    run_jobs,
    summarize_jobs,
)

SECONDS = 100.0


def measure(variant: Variant, load: float) -> dict[str, float]:
    jobs = draw_jobs(1, load, SECONDS)
    run_jobs(jobs, variant)
    assert not any(job.unstarted for job in jobs)
    return summarize_jobs(jobs)


@pytest.mark.parametrize("load", [0.8, 1.0])
def test_chosen_order_serves_callers_better_than_that_of_arrival(load: float) -> None:
    """Guards against an order that delays work which costs callers more."""
    chosen = measure(Variant(CHOSEN, 1.0), load)
    arrival = measure(Variant("arrival"), load)
    for name in ("value", "value by work"):
        assert chosen[name] >= arrival[name], name


def test_no_account_pays_for_the_others_under_overload() -> None:
    """Guards against an order that serves one account with the capacity of others."""
    chosen = measure(Variant(CHOSEN, 1.0), 1.0)
    arrival = measure(Variant("arrival"), 1.0)
    for name in ACCOUNTS:
        assert chosen[name] >= arrival[name], name
