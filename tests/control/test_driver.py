"""Tests of the records that a planner term appends."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from expression import Ok, Result

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.driver import Term
from cardamomdyke.jobs.layout import RecordLimits, measure_append
from cardamomdyke.jobs.ledger import apply_record
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
from cardamomdyke.model.orders import JobOrder, Shape, StepOrder
from cardamomdyke.planner.inputs import Limits
from cardamomdyke.planner.progress import add_job
from cardamomdyke.planner.state import PlannerState
from cardamomdyke.platform.records import KeyedRecord, StoreFault
from cardamomdyke.platform.settings import StoreSettings
from tests.control.fakes import make_context

JOB = "00000000000000a1"
OCCUPYING_JOB = "00000000000000b2"
NEW_JOB = "00000000000000c3"


def make_term() -> Term:
    """Return a term with two jobs past retention, one of them still on a server."""
    context = make_context()
    state = PlannerState(Limits(6.0, 3.0, 0.9), 1, read_clock())
    for job_id in (JOB, OCCUPYING_JOB):
        order = JobOrder("x", ())
        record = JobRecord(job_id, "q", "a", "p", 1, 1, 1.0, 0.0, 0.0, order)
        progress = encode_progress(JobProgress(JobPhase.COMPLETED, True))
        apply_record(context.ledger, JOB_PREFIX + job_id, encode_job(record))
        change = apply_record(context.ledger, PROGRESS_PREFIX + job_id, progress)
        long_ago = read_clock() - context.retention.retention_seconds - 1.0
        context.retention.handle_change(context.ledger, change, long_ago)
    add_job(state, context.ledger.jobs[OCCUPYING_JOB], read_clock())
    leadership = SimpleNamespace(term=1, may_send_orders=True)
    unused = cast(Any, None)
    return Term(context, cast(Any, leadership), unused, unused, unused, state)


def test_job_that_holds_capacity_is_not_removed() -> None:
    """Guards against a new planner that counts a silent server's capacity as free."""
    removals = make_term().list_removals()
    assert removals == [
        KeyedRecord(JOB_PREFIX + JOB, b""),
        KeyedRecord(PROGRESS_PREFIX + JOB, b""),
    ]


def test_counters_of_the_planner_reach_the_metrics() -> None:
    """Guards against counters of decisions that no operator sees."""
    term = make_term()
    term.state.count("preemption.lost_core_seconds", 40)
    term.state.count("preemption.lost_core_seconds", 2)
    term.perform_actions()
    assert term.context.journal.counts["preemption.lost_core_seconds"] == 42


@dataclass
class RecordingStore:
    """Takes the place of a term's recorder, and keeps what it appends."""

    appends: list[dict[str, list[KeyedRecord]]] = field(default_factory=list)

    async def record(
        self, groups: dict[str, list[KeyedRecord]]
    ) -> Result[dict[str, str], StoreFault]:
        self.appends.append(groups)
        return Ok({})


def test_many_changes_are_appended_in_parts() -> None:
    """Guards against an append that fills a narrow link longer than a term lasts.

    Each append has at most the size of the largest record, which has to pass anyway.
    """

    async def scenario() -> None:
        term = make_term()
        limits = RecordLimits(1024, 1_000_000)
        term.context.settings = cast(
            Any, SimpleNamespace(store=StoreSettings("10.0.0.1:80", limits))
        )
        store = RecordingStore()
        term.recorder = cast(Any, store)
        jobs = [f"{number:016x}" for number in range(200)]
        for job_id in jobs:
            order = JobOrder("x", (StepOrder(1, Shape(1)),))
            record = JobRecord(job_id, "q", "a", "p", 1, 1, 1.0, 0.0, 0.0, order)
            add_job(term.state, record, read_clock())
            term.state.mark_changed(term.state.jobs[job_id])
        while term.state.changed or term.state.writes:
            term.start_recording()
            await asyncio.gather(*term.tasks)
        recorded = [name for groups in store.appends for name in groups if name]
        assert sorted(recorded) == jobs
        for groups in store.appends:
            records = [record for group in groups.values() for record in group]
            assert measure_append([(item.key, item.value) for item in records]) <= 1028

    asyncio.run(scenario())


def test_job_that_is_read_after_its_cancellation_starts_nothing() -> None:
    """Guards against a cancelled job that runs after a planner read the store anew.

    The newest records come in the order of their keys, cancellations first.
    """
    term = make_term()
    ledger = term.context.ledger
    record = JobRecord(NEW_JOB, "q", "a", "p", 1, 1, 1.0, 0.0, 0.0, JobOrder("x", ()))
    for key, value in (
        (CANCELLATION_PREFIX + NEW_JOB, b"1"),
        (JOB_PREFIX + NEW_JOB, encode_job(record)),
    ):
        term.handle_change(apply_record(ledger, key, value))
    assert term.state.jobs[NEW_JOB].phase is JobPhase.CANCELLED
