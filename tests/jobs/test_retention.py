"""Removal of the records of ended jobs from the store."""

from cardamomdyke.jobs.ledger import Ledger, apply_record
from cardamomdyke.jobs.records import (
    CANCELLATION_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    JobPhase,
    JobProgress,
    JobRecord,
    encode_job,
    encode_progress,
)
from cardamomdyke.jobs.retention import (
    MAX_BATCH_REMOVALS,
    RETENTION_MARGIN_SECONDS,
    Retention,
    list_keys,
    make_retention,
)
from cardamomdyke.model.orders import JobOrder

STATUS_SECONDS = 120.0
KEPT_SECONDS = STATUS_SECONDS + RETENTION_MARGIN_SECONDS
JOB = "00000000000000a1"


def make_record(job_id: str) -> JobRecord:
    order = JobOrder("x", ())
    return JobRecord(job_id, "q", "a", "p", 1, 1, 1.0, 0.0, 0.0, order)


def apply_change(
    ledger: Ledger, retention: Retention, key: str, value: bytes, now: float
) -> None:
    retention.handle_change(ledger, apply_record(ledger, key, value), now)


def add_ended_job(
    ledger: Ledger, retention: Retention, job_id: str, now: float
) -> None:
    apply_change(
        ledger, retention, JOB_PREFIX + job_id, encode_job(make_record(job_id)), now
    )
    progress = JobProgress(JobPhase.COMPLETED, True, 0.0)
    key = PROGRESS_PREFIX + job_id
    apply_change(ledger, retention, key, encode_progress(progress), now)


def test_state_of_ended_job_stays_readable_for_its_time() -> None:
    """Guards against answer 410 for a job that ended less than `status_s` ago."""
    ledger, retention = Ledger(), make_retention(STATUS_SECONDS)
    add_ended_job(ledger, retention, JOB, 10.0)
    assert retention.take_due(10.0 + STATUS_SECONDS) == []
    assert retention.take_due(10.0 + KEPT_SECONDS) == [JOB]


def test_running_job_is_never_removed() -> None:
    """Guards against removing a running job because it was accepted long ago."""
    ledger, retention = Ledger(), make_retention(STATUS_SECONDS)
    value = encode_job(make_record(JOB))
    apply_change(ledger, retention, JOB_PREFIX + JOB, value, 0.0)
    progress = JobProgress(JobPhase.RUNNING, True, 0.0)
    apply_change(
        ledger, retention, PROGRESS_PREFIX + JOB, encode_progress(progress), 0.0
    )
    assert retention.take_due(1e9) == []


def test_every_key_of_a_job_is_removed_the_job_first() -> None:
    """Guards against leftover keys that fill the store, and against a second run.

    A daemon that reads a job without its progress would start its tasks again.
    """
    ledger, retention = Ledger(), make_retention(STATUS_SECONDS)
    add_ended_job(ledger, retention, JOB, 0.0)
    apply_change(ledger, retention, CANCELLATION_PREFIX + JOB, b"{}", 0.0)
    keys = list_keys(ledger, JOB)
    assert keys == [JOB_PREFIX + JOB, CANCELLATION_PREFIX + JOB, PROGRESS_PREFIX + JOB]
    for key in keys:
        apply_change(ledger, retention, key, b"", KEPT_SECONDS)
    assert ledger == Ledger()
    assert retention.ended == {}


def test_removal_that_was_not_recorded_is_repeated() -> None:
    """Guards against keys that stay in the store when a planner's term ends early."""
    ledger, retention = Ledger(), make_retention(STATUS_SECONDS)
    add_ended_job(ledger, retention, JOB, 0.0)
    assert retention.take_due(KEPT_SECONDS) == [JOB]
    assert retention.take_due(KEPT_SECONDS + 1.0) == []
    assert retention.take_due(2 * KEPT_SECONDS) == [JOB]


def test_removals_are_bounded() -> None:
    """Guards against one huge append when many jobs have ended at the same time."""
    ledger, retention = Ledger(), make_retention(STATUS_SECONDS)
    for number in range(MAX_BATCH_REMOVALS + 5):
        add_ended_job(ledger, retention, f"{number:016x}", 0.0)
    assert len(retention.take_due(KEPT_SECONDS)) == MAX_BATCH_REMOVALS
    assert len(retention.take_due(KEPT_SECONDS)) == 5
