"""Tests of the log stream of jobs with a log service that fails."""

import asyncio
import time

from cardamomdyke.daemon.job_log import (
    MAX_BACKOFF_SECONDS,
    EntryKind,
    JobEntry,
    JobLog,
    choose_append_delay,
)
from cardamomdyke.model.jobs import JobSpecification, JobState, JobStatus
from tests.daemon.stubs import StubLog, make_node

SPECIFICATION = JobSpecification("koffie", "order-desk")
# Limit of one VM for all of its appends.
APPENDS_PER_SECOND = 5


def make_entry(job_id: str, kind: EntryKind = EntryKind.ACCEPTED) -> JobEntry:
    state = JobState.QUEUED if kind is EntryKind.ACCEPTED else JobState.FINISHED
    return JobEntry(kind, JobStatus(job_id, state), SPECIFICATION, 1.0)


def test_callers_wait_a_bounded_time_and_entries_are_recorded_later() -> None:
    """Guards against submissions blocked by a log outage, and against lost entries."""

    async def run() -> None:
        service = StubLog(down=True)
        log = JobLog(make_node(service))
        task = asyncio.create_task(log.append_forever())
        started_at = time.monotonic()
        recorded = await asyncio.gather(
            *(log.record_and_wait(make_entry(f"gent.{i}")) for i in range(50))
        )
        assert recorded == [False] * 50 and time.monotonic() - started_at < 10.0
        service.down, service.lose_answer = False, True
        while log.pending:
            await asyncio.sleep(0.05)
        task.cancel()
        reader = JobLog(make_node(service))
        assert await reader.read_new_records()
        assert len(reader.accepted) == 50 and reader.caught_up
        gaps = zip(service.appended_at, service.appended_at[1:], strict=False)
        assert all(b - a >= 1 / APPENDS_PER_SECOND for a, b in gaps)

    asyncio.run(run())


def test_an_end_is_final_in_any_order() -> None:
    """Guards against an ended job that becomes active after a repeated append."""
    log = JobLog(make_node(StubLog()))
    log.fold_entry(make_entry("gent.1"), 0)
    log.fold_entry(make_entry("gent.1", EntryKind.ENDED), 1)
    log.fold_entry(make_entry("gent.1"), 2)
    log.fold_record(3, b"not json")
    assert not log.accepted and log.ended["gent.1"].state is JobState.FINISHED
    assert log.next_offset == 4


def test_backoff_is_bounded_and_spread() -> None:
    """Guards against all VMs appending at the same time when the log is back."""
    delays = [choose_append_delay(20) for _ in range(200)]
    assert max(delays) <= MAX_BACKOFF_SECONDS
    assert max(delays) > 2 * min(delays)
