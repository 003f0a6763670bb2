"""Decisions to accept or refuse a job."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.model.orders import JobOrder, Shape, StepOrder
from cardamomdyke.scheduling.admission import (
    MAX_RETRY_SECONDS,
    MAX_SUMMARY_AGE_SECONDS,
    AdmissionReason,
    AdmissionRequest,
    Arrival,
    ExpectedWait,
    PoolSummary,
    decide_admission,
    find_retry_after,
)

SHAPE = Shape(4000, 1000, 1)
SERVER = Shape(8000, 8000, 8)
STEP = StepOrder(2, SHAPE, 1.0)
JOB = "00000000000000a1"
# Twice the run time plus 1 s; of use until three times that.
REQUEST = AdmissionRequest(JOB, "a", JobOrder("x", (STEP,)), 1, 2.0, 1.0)


def make_summary(wait: float, priority: int = 1, tasks: int = 2) -> PoolSummary:
    item = ExpectedWait(priority, SHAPE, 1, tasks, False, wait, 1.0, 1.0)
    return PoolSummary(1, 0.0, 2, SERVER, SERVER, (item,))


def change_step(**changes: object) -> AdmissionRequest:
    step = replace(STEP, **changes)  # type: ignore[arg-type]
    return replace(REQUEST, order=JobOrder("x", (step,)))


@pytest.mark.parametrize(
    ("wait", "refused"), [(7.9, False), (8.0, False), (8.1, True), (100.0, True)]
)
def test_job_is_refused_when_its_answer_is_worth_nothing(
    wait: float, refused: bool
) -> None:
    """Guards against a job refused that still had a value: 3 x 3 s less 1 s."""
    found = decide_admission(REQUEST, make_summary(wait), 0.0)
    assert (found is not None) is refused
    if found is not None:
        assert found.reason is AdmissionReason.TOO_LATE
        assert found.retry_after_seconds >= 1


@pytest.mark.parametrize(
    "request_",
    [
        replace(REQUEST, may_be_stored=True),
        replace(REQUEST, priority=0, guaranteed=True),
        replace(REQUEST, stretch=1.0, target_seconds=0.0),
        replace(REQUEST, order=replace(REQUEST.order, repetitions=2)),
        change_step(long_running=True),
        change_step(estimated_seconds=0.0),
        change_step(count=1),
        change_step(shape=Shape(2000, 1000, 1)),
    ],
    ids=[
        "may be stored",
        "guaranteed",
        "no objective",
        "scheduled",
        "long-running",
        "no declared time",
        "fewer tasks than those that wait",
        "smaller tasks than those that wait",
    ],
)
def test_job_is_accepted_despite_a_long_wait(request_: AdmissionRequest) -> None:
    """Guards against refusals that are untrue, or of jobs that must be accepted."""
    assert decide_admission(request_, make_summary(100.0, priority=0), 0.0) is None


@pytest.mark.parametrize("age", [-0.1, MAX_SUMMARY_AGE_SECONDS + 0.1, float("inf")])
def test_old_summary_refuses_nothing(age: float) -> None:
    """Guards against refusals by the view of a lost planner, also for size."""
    assert decide_admission(REQUEST, make_summary(100.0), age) is None
    large = change_step(shape=Shape(9000))
    assert decide_admission(large, make_summary(0.0), age) is None
    assert decide_admission(REQUEST, None, 0.0) is None


def test_damaged_summary_raises_no_error() -> None:
    """Guards against 500 for each job of a pool because of one record."""
    assert decide_admission(REQUEST, make_summary(float("nan")), 0.0) is None
    found = decide_admission(REQUEST, make_summary(float("inf")), 0.0)
    assert found is not None
    assert found.retry_after_seconds <= 1.5 * MAX_RETRY_SECONDS + 1


def test_wait_of_less_urgent_work_says_nothing() -> None:
    """Guards against an urgent job refused because bulk work waits."""
    assert decide_admission(REQUEST, make_summary(100.0, priority=2), 0.0) is None


def test_wait_for_a_rack_says_nothing_about_larger_gangs() -> None:
    """Guards against a gang refused for a rack although it is spread over several."""
    gang = change_step(gang=True, rack_sensitive=True)
    (wait,) = make_summary(100.0).waits
    summary = replace(
        make_summary(0.0), waits=(replace(wait, unit_tasks=2, one_rack=True),)
    )
    assert decide_admission(gang, summary, 0.0) is not None
    larger = change_step(gang=True, rack_sensitive=True, count=3)
    assert decide_admission(larger, summary, 0.0) is None
    anywhere = change_step(gang=True)
    assert decide_admission(anywhere, summary, 0.0) is None


def test_margins_are_in_favour_of_the_caller() -> None:
    """Guards against a refusal by a forecast that may be off by a factor."""
    (wait,) = make_summary(16.0).waits
    unsure = replace(wait, spread=1.9)
    summary = replace(make_summary(0.0), waits=(unsure,))
    assert decide_admission(REQUEST, summary, 1.0) is None
    slow = replace(wait, seconds=12.0, runtime_factor=1.9)
    assert decide_admission(REQUEST, replace(summary, waits=(slow,)), 0.0) is None


def test_steps_in_sequence_add_up() -> None:
    """Guards against the objective of a job with steps that follow each other."""
    steps = (STEP, replace(STEP, after=(0,)))
    request = replace(REQUEST, order=JobOrder("x", steps))
    # Critical path 2 s, objective 5 s, of use until 15 s.
    assert decide_admission(request, make_summary(12.9), 0.0) is None
    assert decide_admission(request, make_summary(13.1), 0.0) is not None


@pytest.mark.parametrize(
    ("arrival", "refused"),
    [
        (Arrival(1, "b", replace(STEP, count=8)), True),
        (Arrival(0, "b", replace(STEP, count=8)), True),
        (Arrival(2, "b", replace(STEP, count=8)), False),
        (Arrival(1, "hot", replace(STEP, count=8)), False),
        (Arrival(1, "b", replace(STEP, count=8, gang=True)), False),
        (Arrival(1, "b", replace(STEP, count=8, shape=SERVER)), False),
        (Arrival(1, "b", replace(STEP, count=1)), False),
    ],
    ids=[
        "before",
        "more urgent",
        "less urgent",
        "beyond its share",
        "larger gang",
        "larger tasks",
        "too little",
    ],
)
def test_work_accepted_since_adds_to_the_wait(arrival: Arrival, refused: bool) -> None:
    """Guards against a burst that is accepted between two summaries.

    Eight tasks take the 16 cores of the two servers for 2 s; the job may wait for 8 s.
    """
    summary = replace(make_summary(7.0), beyond_share=("hot",))
    found = decide_admission(REQUEST, summary, 0.0, [arrival])
    assert (found is not None) is refused


@pytest.mark.parametrize("guaranteed", [False, True])
def test_task_larger_than_every_server_is_refused(guaranteed: bool) -> None:
    """Guards against a job that waits for ever, or is refused without servers."""
    request = change_step(shape=Shape(9000), estimated_seconds=0.0)
    request = replace(request, guaranteed=guaranteed, priority=0)
    found = decide_admission(request, make_summary(0.0), 0.0)
    assert found is not None
    assert found.reason is AdmissionReason.TOO_LARGE
    assert "9000 millicores" in found.detail
    empty = replace(make_summary(0.0), servers=0)
    assert decide_admission(request, empty, 0.0) is None


@given(st.integers(0, 2**64 - 1), st.integers(0, 3), st.floats(0.01, 1e6))
def test_retry_after_is_in_whole_seconds_and_bounded(
    number: int, priority: int, excess: float
) -> None:
    """Guards against clients told to wait for hours, or to return at once."""
    job_id = f"{number:016x}"
    usual = find_retry_after(job_id, priority, excess, beyond_share=False)
    beyond = find_retry_after(job_id, priority, excess, beyond_share=True)
    assert 1 <= usual <= 1.5 * MAX_RETRY_SECONDS + priority
    assert beyond >= 1
    assert usual == find_retry_after(job_id, priority, excess, beyond_share=False)


def test_retry_after_spreads_clients_by_urgency_and_share() -> None:
    """Guards against refused clients that all return in the same second."""
    ids = [f"{number * 7919:016x}" for number in range(300)]

    def list_times(priority: int, beyond: bool = False) -> list[int]:
        return [find_retry_after(item, priority, 8.0, beyond) for item in ids]

    urgent, usual, beyond = list_times(0), list_times(1), list_times(1, beyond=True)
    assert set(urgent) == {1, 2}
    assert min(usual) == 8
    assert max(usual.count(second) for second in set(usual)) < len(ids) / 4
    assert min(beyond) == 16
