"""Refusals for lack of capacity, and what an entry VM knows when it decides."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any, cast

import pytest
from expression import Ok, Result
from msgspec.json import decode, encode
from prometheus_client import generate_latest

from cardamomdyke.control import feeds
from cardamomdyke.control.answers import NOT_KNOWN, CallerAnswer, make_answer
from cardamomdyke.control.app import connect_ledger
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import CONTACT_TIMEOUT_SECONDS, Context
from cardamomdyke.control.feeds import TopicFeed
from cardamomdyke.control.forecasting import list_summaries
from cardamomdyke.control.metrics import Gauges, GaugesCollector
from cardamomdyke.control.processor import RequestProcessor
from cardamomdyke.control.relay import RequestReceiver
from cardamomdyke.jobs.records import (
    PROGRESS_PREFIX,
    JobPhase,
    JobProgress,
    encode_progress,
)
from cardamomdyke.membership.peers import HEARTBEAT_KEY, Peer
from cardamomdyke.model.orders import Shape
from cardamomdyke.model.queues import Account, make_queue_tables
from cardamomdyke.planner.forecasts import SummaryPublisher
from cardamomdyke.planner.summaries import SUMMARY_PREFIX, encode_summary
from cardamomdyke.platform.records import (
    KeyedRecord,
    RecordPage,
    StoreFault,
    StoreFaultKind,
)
from cardamomdyke.protocol.gen.ttypes import RelayCall
from cardamomdyke.scheduling.admission import ExpectedWait, PoolSummary
from tests.control.fakes import KEY, ROUTE, make_context, make_request
from tests.control.test_driver import make_term

JOB, OTHER_JOB = "00000000000000a1", "00000000000000b2"
POOL = ROUTE.pool
FENCE = 7
SHAPE = Shape(1000, 100, 1)
SERVER = Shape(8000, 8000, 8)
FULL = PoolSummary(
    FENCE, 0.0, 2, SERVER, SERVER, (ExpectedWait(0, SHAPE, 1, 1, False, 900.0),)
)
SUMMARY = KeyedRecord(SUMMARY_PREFIX + POOL, encode_summary(FULL))
HEARTBEAT = KeyedRecord(HEARTBEAT_KEY, str(FENCE).encode())


def make_body(**changes: object) -> bytes:
    step = {
        "count": 1,
        "cpu_millicores": 1000,
        "task_memory_mb": 100,
        "accelerators": 1,
    }
    step |= {"estimated_ms": 1000, **changes}
    return encode({"specification": "x", "steps": [step]})


BODY = make_body()


def connect(context: Context) -> Context:
    """Connect the daemon to its feed, as when it starts."""
    runner = SimpleNamespace(
        candidacy=SimpleNamespace(record_heartbeat=lambda: None),
        handle_change=lambda change: None,
    )
    connect_ledger(context, cast(Any, runner), Peer("vm", "10.0.0.1:1", "gent"))
    return context


def make_processor(*records: KeyedRecord, age: float = 0.0) -> RequestProcessor:
    """Return a daemon that has read some records, appended up to an age ago."""
    context = connect(make_context())
    read(context, *records, age=age)
    return RequestProcessor(context)


def read(context: Context, *records: KeyedRecord, age: float = 0.0) -> None:
    context.work_feed.current_since = read_clock() - age
    for record in records:
        context.work_feed.apply(record)


def submit(processor: RequestProcessor, body: bytes = BODY) -> CallerAnswer:
    return asyncio.run(processor.serve(make_request("POST", JOB, body)))


def count_stored(processor: RequestProcessor) -> int:
    return len(cast(Any, processor.context.store).records)


@pytest.mark.parametrize(
    ("body", "reason"),
    [(BODY, "too_late"), (make_body(accelerators=9), "no_server_large_enough")],
)
def test_worthless_job_is_refused_before_anything_is_stored(
    body: bytes, reason: str
) -> None:
    """Guards against a refusal that is untrue, or that names no time."""
    processor = make_processor(SUMMARY, HEARTBEAT)
    answer = submit(processor, body)
    assert answer.code == 429
    assert answer.retry_after_seconds >= 1
    assert answer.reached
    assert b"the request has not run" in answer.body
    assert count_stored(processor) == 0
    assert processor.context.journal.counts[f"admission.{reason}"] == 1


@pytest.mark.parametrize(
    ("records", "age"),
    [
        ([], 0.0),
        ([HEARTBEAT], 0.0),
        ([SUMMARY, HEARTBEAT], 5.0),
        ([SUMMARY, HEARTBEAT], float("inf")),
        ([SUMMARY, KeyedRecord(SUMMARY.key, b"")], 0.0),
        ([SUMMARY, KeyedRecord(SUMMARY.key, b"\xff")], 0.0),
    ],
    ids=[
        "nothing read",
        "before the first",
        "old",
        "full read",
        "withdrawn",
        "malformed",
    ],
)
def test_job_is_accepted_without_a_summary_in_force(
    records: list[KeyedRecord], age: float
) -> None:
    """Guards against refusals by a view that nobody vouches for."""
    processor = make_processor(*records, age=age)
    assert submit(processor).code == 200
    assert processor.context.journal.counts["admission.without_summary"] == 1


def test_loss_of_the_planner_ends_refusals_after_three_seconds() -> None:
    """Guards against a successor with empty books that confirms an old summary."""
    processor = make_processor(SUMMARY, HEARTBEAT, age=2.5)
    assert submit(processor).code == 429
    successor = KeyedRecord(HEARTBEAT_KEY, str(FENCE + 1).encode())
    processor = make_processor(SUMMARY, HEARTBEAT, age=3.1)
    read(processor.context, successor)
    assert submit(processor).code == 200
    # The successor's own summary is in force at once.
    summary = replace(FULL, fence=FENCE + 1)
    processor = make_processor(SUMMARY, HEARTBEAT, age=3.1)
    read(processor.context, KeyedRecord(SUMMARY.key, encode_summary(summary)))
    assert submit(processor).code == 429


@dataclass
class FakePages:
    """Store whose answers to reads arrive at prepared times."""

    clock: list[float]
    pages: list[tuple[float, Sequence[KeyedRecord]]]
    offset: int = 0

    async def read_records(
        self, topic: str, offset: int, wait_seconds: float
    ) -> Result[RecordPage, StoreFault]:
        at, records = self.pages.pop(0)
        self.clock[0] = at
        self.offset += len(records)
        return Ok(RecordPage(self.offset, self.offset, tuple(records)))


def test_burst_on_a_daemon_with_a_view_of_five_seconds_ago(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a daemon that was paused and takes what it reads for new."""
    clock = [100.0]
    pages = FakePages(
        clock,
        [
            (100.1, []),
            # The daemon is paused here, with this answer in its socket.
            (105.2, [SUMMARY, HEARTBEAT]),
            (105.3, []),
            (105.5, [HEARTBEAT]),
        ],
    )
    monkeypatch.setattr(feeds, "read_clock", lambda: clock[0])
    context = make_context()
    feed = TopicFeed(
        cast(Any, pages), "t", context.journal, cast(Any, None), cast(Any, None),
        lambda: None, wait_seconds=1.0, next_offset=0,
    )  # fmt: skip
    context.work_feed = feed
    connect(context)
    ages: list[float] = []
    while pages.pages:
        asyncio.run(feed.read_once(1.0))
        ages.append(context.admission.summaries.find(POOL, clock[0])[1])
    # The last heartbeat was appended after the read before it was sent, at 105.2.
    assert ages == pytest.approx([float("inf"), 5.2, 5.3, 0.3])


def test_repeat_of_a_known_job_gets_its_state() -> None:
    """Guards against 429 "has not run" for a job that runs."""
    processor = make_processor()
    assert submit(processor).code == 200
    read(processor.context, SUMMARY, HEARTBEAT)
    # Its record is in the store, but was not read yet.
    assert JOB not in processor.context.ledger.jobs
    answer = submit(processor)
    assert (answer.code, decode(answer.body)) == (200, {"state": "queued"})
    assert count_stored(processor) == 1
    assert submit(processor).code == 200


def test_uncertain_append_is_never_refused_for_capacity() -> None:
    """Guards against 429 "has not run" after 504 for the same job."""
    processor = make_processor()
    fault = StoreFault(StoreFaultKind.UNCERTAIN, "down")
    cast(Any, processor.context.store).faults.append(fault)
    assert submit(processor).code == 504
    read(processor.context, SUMMARY, HEARTBEAT)
    assert submit(processor).code == 200


def test_relayed_append_without_an_answer_is_never_refused_for_capacity() -> None:
    """Guards against the same where a peer may have stored the job."""
    processor = make_processor(SUMMARY, HEARTBEAT)
    context = processor.context

    async def forward(request: object) -> list[CallerAnswer]:
        return [make_answer(NOT_KNOWN)]

    receiver = RequestReceiver(
        context, processor, cast(Any, SimpleNamespace(forward=forward))
    )
    context.store.contact.answered_at = read_clock() - CONTACT_TIMEOUT_SECONDS - 0.1
    request = make_request("POST", JOB, BODY)
    assert asyncio.run(receiver.serve(request)).code == 504
    context.store.contact.answered_at = read_clock()
    assert asyncio.run(receiver.serve(request)).code == 200


def test_relayed_submission_is_never_refused_for_capacity() -> None:
    """Guards against 429 for a job whose append another daemon still awaits."""
    processor = make_processor(SUMMARY, HEARTBEAT)
    receiver = RequestReceiver(processor.context, processor, cast(Any, None))
    request = make_request("POST", JOB, BODY)
    call = RelayCall(
        method=request.method,
        host=request.host,
        path=request.path,
        key=request.key,
        body=request.body,
    )
    assert asyncio.run(receiver.serve_peer(call)).code == 200


@pytest.mark.parametrize("reads", [False, True], ids=["contact", "reads"])
def test_store_away_during_overload_refuses_as_usual(reads: bool) -> None:
    """Guards against refusals by a view that cannot be checked with the store."""
    processor = make_processor(SUMMARY, HEARTBEAT)
    context = processor.context
    if reads:
        fault = StoreFault(StoreFaultKind.NOT_DONE, "down")
        cast(Any, context.store).faults.append(fault)

        async def fail() -> bool:
            return False

        cast(Any, context.work_feed).catch_up = fail
    else:
        context.store.contact.answered_at = read_clock() - CONTACT_TIMEOUT_SECONDS - 0.1
    answer = submit(processor)
    assert answer.code == 503
    assert not answer.reached
    assert answer.retry_after_seconds == 1
    assert not context.journal.counts["admission.too_late"]


def make_urgent_processor(guaranteed: int) -> RequestProcessor:
    """Return a daemon whose queue is urgent, for an account with a guarantee."""
    context = connect(make_context())
    context.operator.tables = make_queue_tables(
        1,
        (replace(ROUTE, priority=0),),
        {},
        (Account("account", frozenset({KEY}), guaranteed),),
        100_000,
    )
    read(context, SUMMARY, HEARTBEAT)
    return RequestProcessor(context)


def test_urgent_jobs_are_accepted_up_to_the_guarantee() -> None:
    """Guards against guaranteed jobs refused, and a guarantee without a limit."""
    assert submit(make_urgent_processor(0)).code == 429
    processor = make_urgent_processor(1)
    assert submit(processor).code == 200
    record = cast(Any, processor.context.store).records[0]
    read(processor.context, record, SUMMARY, HEARTBEAT)

    def submit_other() -> int:
        request = make_request("POST", OTHER_JOB, BODY)
        return asyncio.run(processor.serve(request)).code

    assert submit_other() == 429
    assert processor.context.admission.urgent == {"account": {JOB: None}}
    ended = encode_progress(JobProgress(JobPhase.COMPLETED, begun=True))
    read(processor.context, KeyedRecord(PROGRESS_PREFIX + JOB, ended))
    assert submit_other() == 200
    assert processor.context.admission.urgent == {}


def test_uncertain_ids_are_bounded() -> None:
    """Guards against memory that grows with each failed append."""
    ids = make_context().admission.uncertain
    for number in range(30_000):
        ids.add(f"{number:016x}", 0.0)
    assert len(ids.added_at) <= 20_000
    ids.add(JOB, 61.0)
    assert list(ids.added_at) == [JOB]


def test_summaries_are_appended_with_the_heartbeat() -> None:
    """Guards against a summary of its own append, or one with each heartbeat."""
    term = make_term()
    term.state.tables = term.context.operator.tables
    assert [item.key for item in term.list_heartbeats()] == ["t", SUMMARY.key]
    term.heartbeat_at = 0.0
    assert [item.key for item in term.list_heartbeats()] == ["t"]


def test_failed_forecast_withdraws_the_summaries() -> None:
    """Guards against a heartbeat that confirms what is no longer computed."""
    context = make_context()
    publisher = SummaryPublisher(published={POOL: FULL})
    records = list_summaries(context, publisher, cast(Any, None), 1.0)
    assert records == [KeyedRecord(SUMMARY.key, b"")]
    assert context.journal.counts["task.crashed"] == 1


def test_expected_waits_are_shown_while_they_are_in_force() -> None:
    """Guards against a gauge that goes on after the planner is lost."""
    context = make_processor(SUMMARY, HEARTBEAT).context

    def read_gauges() -> Gauges:
        waits = context.admission.summaries.list_waits(read_clock())
        return Gauges(0, 0.0, 0, 0, 0, expected_waits=tuple(waits))

    context.metrics.registry.register(GaugesCollector(read_gauges))
    line = b'cardamomdyke_expected_wait_seconds{pool="pool",priority="0"} 900.0'
    assert line in generate_latest(context.metrics.registry)
    read(context, KeyedRecord(SUMMARY.key, b""))
    assert line not in generate_latest(context.metrics.registry)
