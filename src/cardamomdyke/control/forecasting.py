"""Summaries of pools: appended with the planner's heartbeat, and read back."""

from cardamomdyke.control.context import Context
from cardamomdyke.control.supervision import log_crash
from cardamomdyke.planner.forecasts import SummaryPublisher
from cardamomdyke.planner.state import PlannerState
from cardamomdyke.platform.records import KeyedRecord


def list_summaries(
    context: Context, publisher: SummaryPublisher, state: PlannerState, now: float
) -> list[KeyedRecord]:
    """Return the records of summaries that are due.

    An unexpected error does not end the term, since all work goes on without summaries.
    They are withdrawn, as the next heartbeat would confirm them.
    """
    try:
        known_pools = list(context.admission.summaries.summaries)
        entries = publisher.list_records(state, known_pools, now)
    except Exception as error:
        log_crash(context.journal, "forecast", error)
        entries = publisher.list_withdrawals()
    if entries:
        context.journal.count("forecast.published", len(entries))
    return [KeyedRecord(key, value) for key, value in entries]


def apply_summary(context: Context, record: KeyedRecord) -> None:
    """Apply the summary of a pool that was read from the store."""
    fault = context.admission.summaries.apply(
        record.key, record.value, context.work_feed.current_since
    )
    if fault:
        context.journal.write("record.malformed", record.key, detail=fault)


def confirm_summaries(context: Context) -> None:
    """Apply the heartbeat of a planner to the summaries of its term."""
    context.admission.summaries.confirm(
        context.heartbeat_fence, context.work_feed.current_since
    )
