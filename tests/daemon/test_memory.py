"""Memory bound of the timeline and the usage state at the target size."""

import tracemalloc
from dataclasses import replace

from cardamomdyke.daemon.usage import MAX_UNSENT_REPORTS, ReportKey
from cardamomdyke.metering.fold import UsageState, count_reports, make_summary
from cardamomdyke.metering.records import (
    PricedReport,
    UsageBatch,
    encode_usage_record,
)
from cardamomdyke.observability.events import RETAINED_EVENTS, Timeline

STATE_LIMIT_BYTES = 32 * 1024 * 1024
SERVERS = 740
ACCOUNTS = 26
POOLS = 14
DAYS = 92
START = 1_790_812_800.0
DAY_SECONDS = 86_400.0


def make_report(number: int) -> PricedReport:
    return PricedReport(
        server=f"server-{number % SERVERS}",
        boot_id="0123456789ab",
        sequence=number // SERVERS + 1,
        client_account=f"account-{number % ACCOUNTS}",
        pool=f"pool-{number % POOLS}",
        accelerator_ms=1000,
        requests=1,
        ended_at=START + number % DAYS * DAY_SECONDS,
        cost_micros=number,
    )


def test_full_state_is_within_the_target() -> None:
    """Guards against lists that grow without bound over months."""
    tracemalloc.start()
    try:
        timeline = Timeline("gent-e1", lambda: START)
        for number in range(2 * RETAINED_EVENTS):
            timeline.record("request.started", f"{number:032x}", f"server-{number}")
        unsent = {}
        for number in range(MAX_UNSENT_REPORTS):
            report = make_report(number)
            key = ReportKey(report.server, report.boot_id, report.sequence)
            unsent[key] = report
        state = UsageState()
        for day in range(DAYS):
            moment = START + day * DAY_SECONDS
            batch = tuple(
                replace(make_report(day * SERVERS + n), ended_at=moment)
                for n in range(SERVERS)
            )
            state = count_reports(state, UsageBatch("vm", moment, batch))
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(timeline.events) == RETAINED_EVENTS
    summary = encode_usage_record(make_summary(state, "vm", START))
    print(f"state {size / 1e6:.1f} MB, summary {len(summary) / 1e3:.0f} KB")
    assert size < STATE_LIMIT_BYTES
