"""Limits of submitted jobs."""

from cardamomdyke.jobs.admission import MAX_TASKS, check_order
from cardamomdyke.jobs.records import (
    JobPhase,
    JobProgress,
    MemberRecord,
    UnitRecord,
    encode_progress,
)
from cardamomdyke.model.orders import JobOrder, Shape, StepOrder

# Largest record that the platform's store accepts.
RECORD_BYTES = 262_144


def make_order(tasks: int) -> JobOrder:
    return JobOrder("x", (StepOrder(tasks, Shape(1, 1, 1)),))


def test_progress_of_the_largest_job_fits_into_a_record() -> None:
    """Guards against accepting a job whose progress the planner can never record."""
    instance = 1_781_794_038_002
    units = tuple(
        UnitRecord(
            0,
            1,
            index,
            False,
            300,
            (1, 2, 3),
            "0" * 16,
            (MemberRecord(index, "i-0123456789", instance),),
            1_781_794_038.002,
        )
        for index in range(MAX_TASKS)
    )
    progress = JobProgress(JobPhase.RUNNING, True, 0.0, units)
    assert len(encode_progress(progress)) < RECORD_BYTES


def test_larger_job_is_refused() -> None:
    """Guards against accepting a job whose progress does not fit into one record."""
    assert check_order(make_order(MAX_TASKS)).is_ok()
    assert check_order(make_order(MAX_TASKS + 1)).is_error()
