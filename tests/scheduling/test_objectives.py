"""Objectives of jobs, and what a completion is worth."""

from math import isfinite

from hypothesis import given
from hypothesis.strategies import floats, integers, lists, sampled_from

from cardamomdyke.scheduling.objectives import (
    MAX_RUN_SECONDS,
    StepWork,
    estimate_steps,
    estimate_value,
    find_critical_seconds,
    find_remaining_seconds,
    make_objective,
    use_declared,
)

SECONDS = floats(0.001, 1e4)


def test_route_without_an_objective_has_none() -> None:
    """Guards against an order by cost where no route asks for one."""
    assert make_objective(5.0, 1.0, 0.0, 10.0) is None
    assert make_objective(5.0, 3.0, 0.0, 0.0) is None


def test_objective_is_counted_from_the_arrival() -> None:
    """Guards against wrong limits of the full and the partial value."""
    objective = make_objective(100.0, 1.5, 0.25, 2.0)
    assert objective is not None
    assert (objective.due_at, objective.late_until) == (103.25, 109.75)
    assert objective.ages_at == 106.5


@given(SECONDS, SECONDS, lists(floats(0.0, 1e5), min_size=2))
def test_value_never_rises_with_a_delay(
    target: float, run_seconds: float, delays: list[float]
) -> None:
    """Guards against a job that gains by waiting."""
    objective = make_objective(0.0, 0.0, target, 0.0)
    assert objective is not None
    values = [estimate_value(objective, run_seconds, at) for at in sorted(delays)]
    assert values == sorted(values, reverse=True)
    assert 0.0 <= values[-1] <= values[0] <= 1.0


@given(lists(sampled_from([1.0, 2.0, 4.0]), min_size=1, max_size=8), integers(0, 255))
def test_critical_path_is_the_longest_chain(
    run_seconds: list[float], bits: int
) -> None:
    """Guards against a wrong objective of a job with several steps."""
    steps = [
        StepWork(seconds, tuple(n for n in range(number) if bits >> n & 1), 1.0, 1)
        for number, seconds in enumerate(run_seconds)
    ]

    def end(number: int) -> float:
        return run_seconds[number] + max(map(end, steps[number].after), default=0.0)

    longest = max(end(number) for number in range(len(steps)))
    assert find_critical_seconds(steps, run_seconds) == longest
    assert find_remaining_seconds(steps, run_seconds, 0.0) == longest


def test_only_what_is_left_counts_for_a_job_in_progress() -> None:
    """Guards against a job that ranks by work that is done or runs."""
    steps = [
        StepWork(8.0, (), 1.0, 0),
        StepWork(6.0, (0,), 1.0, 0, 4, 100.0),
        StepWork(5.0, (1,), 1.0, 2),
    ]
    assert find_remaining_seconds(steps, [8.0, 6.0, 5.0], 104.0) == 7.0
    assert find_remaining_seconds(steps, [8.0, 6.0, 5.0], 120.0) == 5.0


@given(floats(0.0), floats(0.0))
def test_declared_times_of_any_size_give_finite_run_times(
    declared: float, target: float
) -> None:
    """Guards against an absurd declared time that upsets the order of all jobs."""
    step = StepWork(declared, (), 1.0, 1)
    (seconds,) = estimate_steps([step], "q", target, use_declared)
    assert isfinite(seconds) and 0.0 <= seconds <= MAX_RUN_SECONDS
