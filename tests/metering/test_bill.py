"""Prices, forecasts, and folds that miss history."""

from dataclasses import replace

from cardamomdyke.metering.bill import (
    PriceHistory,
    find_quantile,
    forecast_bill,
    price_usage,
    record_prices,
)
from cardamomdyke.metering.fold import Phase, UsageState, fold_page, make_summary
from cardamomdyke.metering.records import (
    PricedReport,
    StoredRecord,
    UsageBatch,
    UsageRecord,
    encode_usage_record,
)
from cardamomdyke.model.tables import Pool, Tables

HOUR_MS = 3_600_000
REPORT = PricedReport("w1", "b1", 1, "a", "p", HOUR_MS, 0, 1_790_000_000.0, 2_000_000)


def store(offset: int, record: UsageRecord) -> StoredRecord:
    return StoredRecord(offset, encode_usage_record(record))


def test_usage_costs_the_price_of_its_time() -> None:
    """Guards against charging late reports at the price of the time of reading."""
    pool = Pool("p", "gent", "s", (), price_per_accelerator_hour=2.0)
    history = record_prices(PriceHistory({}), Tables(pools=(pool,)), 100.0)
    dearer = replace(pool, price_per_accelerator_hour=3.0, price_per_request=0.5)
    history = record_prices(history, Tables(pools=(dearer,)), 200.0)
    assert price_usage(history, "p", HOUR_MS, 0, 150.0) == 2_000_000
    assert price_usage(history, "p", HOUR_MS, 2, 200.0) == 4_000_000
    assert price_usage(history, "p", HOUR_MS, 0, 50.0) == 2_000_000
    assert price_usage(history, "other", HOUR_MS, 0, 50.0) == 0


def test_lost_history_is_reported_and_filled_by_a_complete_summary() -> None:
    """Guards against a bill that misses records but looks complete."""
    batch = UsageBatch("vm1", 0.0, (REPORT,))
    whole = fold_page(UsageState(), 0, 1, [store(0, batch)])
    lost = fold_page(UsageState(), 1, 1, [])
    assert (lost.phase, lost.totals) == (Phase.INCOMPLETE, {})
    summary = make_summary(whole, "vm2", 1.0)
    filled = fold_page(lost, 1, 2, [store(1, summary)])
    assert (filled.phase, filled.totals) == (Phase.COMPLETE, whole.totals)


def test_old_summary_is_the_start_when_no_better_one_is_kept() -> None:
    """Guards against dropping a partial bill because its summary leaves a gap."""
    batch = UsageBatch("vm1", 0.0, (REPORT,))
    whole = fold_page(UsageState(), 0, 1, [store(0, batch)])
    summary = make_summary(whole, "vm2", 1.0)
    late = UsageBatch("vm1", 0.0, (REPORT, replace(REPORT, sequence=3)))
    state = UsageState()
    page = [store(2, summary), store(3, late)]
    for _ in range(3):
        kept = [record for record in page if record.offset >= state.next_offset]
        state = fold_page(state, 2, 4, kept)
    assert state.phase is Phase.INCOMPLETE
    assert [row.accelerator_ms for row in state.totals.values()] == [2 * HOUR_MS]


def test_malformed_record_changes_no_total() -> None:
    """Guards against a malformed record that stops the fold permanently."""
    state = fold_page(UsageState(), 0, 1, [StoredRecord(0, b"{}")])
    assert (state.malformed, state.next_offset, state.totals) == (1, 1, {})


def test_forecast_of_even_usage_is_exact() -> None:
    """Guards against days counted twice or left out where settled days end."""
    costs = {f"2026-11-{day:02d}": 1_000_000 for day in range(1, 11)}
    forecast = forecast_bill(costs, 1_794_398_400.0)
    assert (forecast.expected, forecast.low, forecast.high) == (30.0, 30.0, 30.0)
    assert forecast.days_used == 10


def test_quantile_matches_the_published_table() -> None:
    """Guards against an interval that is too narrow if there are few days."""
    for degrees, exact in ((4, 2.132), (9, 1.833), (27, 1.703)):
        assert abs(find_quantile(degrees) - exact) < 0.01 * exact
