"""Tests of the answers to callers."""

import asyncio
from dataclasses import replace

import pytest
from msgspec.json import decode, encode

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import CONTACT_TIMEOUT_SECONDS
from cardamomdyke.control.processor import RequestProcessor
from cardamomdyke.jobs.layout import RecordLimits, measure_record
from cardamomdyke.jobs.records import (
    PROGRESS_PREFIX,
    JobPhase,
    JobProgress,
    encode_progress,
)
from cardamomdyke.platform.records import KeyedRecord, StoreFault, StoreFaultKind
from cardamomdyke.platform.settings import StoreSettings
from tests.control.fakes import PREFIX, make_processor, make_request

JOB = "00000000000000a1"
RECORD_BYTES = 2048
STORE = StoreSettings("10.0.0.1:80", RecordLimits(262_144, 2_097_152))
BODY = encode({"specification": "x", "steps": [{"count": 1, "cpu_millicores": 1}]})


async def submit_job(processor: RequestProcessor) -> int:
    answer = await processor.serve(make_request("POST", JOB, BODY))
    await processor.context.work_feed.catch_up()
    return answer.code


def set_phase(processor: RequestProcessor, phase: JobPhase) -> None:
    value = encode_progress(JobProgress(phase, begun=True))
    record = KeyedRecord(PROGRESS_PREFIX + JOB, value)
    processor.context.store.records.append(record)  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        (StoreFaultKind.NOT_DONE, 503),
        (StoreFaultKind.FULL, 503),
        (StoreFaultKind.UNCERTAIN, 504),
    ],
)
def test_refusal_says_what_is_certain(kind: StoreFaultKind, code: int) -> None:
    """Guards against 503 "not run" for a job that the store may have appended."""

    async def scenario() -> None:
        processor = make_processor()
        processor.context.store.faults.append(StoreFault(kind, "down"))  # type: ignore[attr-defined]
        answer = await processor.serve(make_request("POST", JOB, BODY))
        assert answer.code == code
        assert answer.retry_after_seconds >= 1
        assert not answer.reached

    asyncio.run(scenario())


def test_daemon_without_contact_accepts_nothing() -> None:
    """Guards against an append that hangs on a store known to be unreachable."""

    async def scenario() -> None:
        processor = make_processor()
        contact = processor.context.store.contact
        contact.answered_at = read_clock() - CONTACT_TIMEOUT_SECONDS - 0.1
        answer = await processor.serve(make_request("POST", JOB, BODY))
        assert answer.code == 503
        assert not processor.context.store.records  # type: ignore[attr-defined]

    asyncio.run(scenario())


def test_repeated_submission_is_one_job() -> None:
    """Guards against two records of one id, and a cancelled job that comes back."""

    async def scenario() -> None:
        processor = make_processor()
        assert await submit_job(processor) == 200
        assert (await processor.serve(make_request("DELETE", JOB))).code == 200
        await processor.context.work_feed.catch_up()
        assert await submit_job(processor) == 200
        assert len(processor.context.store.records) == 2  # type: ignore[attr-defined]
        answer = await processor.serve(make_request("GET", JOB))
        assert decode(answer.body) == {"state": "cancelled"}

    asyncio.run(scenario())


def test_state_query_waits_for_the_end_of_a_job() -> None:
    """Guards against callers that query just before the end and have to repeat it.

    On the standard days the next state query came 0.26 s later.
    """

    async def scenario() -> None:
        processor = make_processor()
        await submit_job(processor)
        set_phase(processor, JobPhase.RUNNING)
        await processor.context.work_feed.catch_up()
        query = asyncio.ensure_future(processor.serve(make_request("GET", JOB)))
        await asyncio.sleep(0)
        set_phase(processor, JobPhase.COMPLETED)
        await processor.context.work_feed.catch_up()
        assert decode((await query).body) == {"state": "completed"}

    asyncio.run(scenario())


def test_state_query_of_a_long_job_is_answered() -> None:
    """Guards against a query that waits for the end of a long job."""

    async def scenario() -> None:
        processor = make_processor()
        await submit_job(processor)
        set_phase(processor, JobPhase.RUNNING)
        await processor.context.work_feed.catch_up()
        answer = await processor.serve(make_request("GET", JOB))
        assert decode(answer.body) == {"state": "running"}

    asyncio.run(scenario())


def test_pending_counts_jobs_that_have_not_started() -> None:
    """Guards against a count that includes ended or running jobs."""

    async def scenario() -> None:
        processor = make_processor()
        await submit_job(processor)
        answer = await processor.serve(make_request("GET"))
        assert decode(answer.body) == {"pending": 1}
        set_phase(processor, JobPhase.RUNNING)
        await processor.context.work_feed.catch_up()
        answer = await processor.serve(make_request("GET"))
        assert decode(answer.body) == {"pending": 0}

    asyncio.run(scenario())


def test_unserved_parts_are_refused() -> None:
    """Guards against accepted jobs that never run as specified."""

    async def scenario() -> None:
        processor = make_processor()
        steps = [{"count": 1, "cpu_millicores": 1, "fills": True}]
        body = encode({"specification": "x", "steps": steps})
        answer = await processor.serve(make_request("POST", JOB, body))
        assert answer.code == 503
        assert b"shared backend servers" in answer.body

    asyncio.run(scenario())


def measure_job(processor: RequestProcessor, length: int) -> tuple[int, int]:
    """Return the answer to a job with a specification, and the size of its record."""
    limits = RecordLimits(RECORD_BYTES, 4 * RECORD_BYTES)
    processor.context.settings.store = replace(STORE, limits=limits)  # type: ignore[misc]
    step = {"count": 1, "cpu_millicores": 1}
    body = encode({"specification": "x" * length, "steps": [step]})
    answer = asyncio.run(processor.serve(make_request("POST", JOB, body)))
    if answer.code != 200:
        assert f"the store takes {RECORD_BYTES}".encode() in answer.body
        assert not answer.retry_after_seconds
        return answer.code, 0
    (record,) = processor.context.store.records  # type: ignore[attr-defined]
    return answer.code, measure_record((record.key, record.value))


def test_job_with_a_record_over_the_limit_is_refused() -> None:
    """Guards against 503 "send again" for a job that the store never takes."""
    sizes = []
    for length in range(1000, 2000):
        code, size = measure_job(make_processor(), length)
        if code != 200:
            break
        sizes.append(size)
    assert code == 413
    assert sizes[-1] == RECORD_BYTES


def test_refusal_of_the_store_for_good_is_no_invitation_to_retry() -> None:
    """Guards against callers that send again what the store never takes."""
    processor = make_processor()
    fault = StoreFault(StoreFaultKind.REFUSED, "the store answered 400")
    processor.context.store.faults.append(fault)  # type: ignore[attr-defined]
    answer = asyncio.run(processor.serve(make_request("POST", JOB, BODY)))
    assert answer.code == 400
    assert not answer.retry_after_seconds


@pytest.mark.parametrize(
    ("prefix", "code", "reason"), [("/", 404, "no_queue"), (PREFIX, 410, "bad_id")]
)
def test_refusal_of_a_long_path_is_logged_in_short(
    monkeypatch: pytest.MonkeyPatch, prefix: str, code: int, reason: str
) -> None:
    """Guards against log lines that callers make as long as their headers."""
    processor = make_processor()
    lines: list[dict[str, object]] = []

    def write(kind: str, subject: str, **fields: object) -> None:
        lines.append({"subject": subject, **fields})

    monkeypatch.setattr(processor.context.journal, "write", write)
    request = replace(make_request("GET"), path=prefix + "x" * 60_000)
    answer = asyncio.run(processor.serve(request))
    assert answer.code == code
    (line,) = lines
    assert line["reason"] == reason
    assert len(encode(line)) < 1000
    assert len(answer.body) < 1000
