"""Fold of the log stream ``usage`` into totals that count each report once."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime
from enum import StrEnum

from cardamomdyke.metering.chains import add_sequence, contain_sequence, find_prefix
from cardamomdyke.metering.records import (
    ChainRow,
    DayRow,
    PricedReport,
    StoredRecord,
    Summary,
    TotalRow,
    UsageBatch,
    UsageRecord,
    decode_usage_record,
)

# The current month and the two before it stay correctable by late reports.
RETAINED_MONTHS = 3
# The forecast looks at no more days than this.
RETAINED_DAYS = 62


class Phase(StrEnum):
    """How a fold stands to the history of the stream.

    ``SEEKING`` looks for a summary that covers the records no longer kept.
    ``INCOMPLETE`` found none: its totals may miss records.
    """

    COMPLETE = "complete"
    SEEKING = "seeking"
    INCOMPLETE = "incomplete"


@dataclass(frozen=True, slots=True)
class TotalKey:
    """What a total is kept for: month, client account and pool."""

    month: str
    client_account: str
    pool: str


@dataclass(frozen=True, slots=True)
class DayKey:
    """What a daily cost is kept for: day and client account."""

    day: str
    client_account: str


@dataclass(frozen=True, slots=True)
class BootKey:
    """One boot of one backend server."""

    server: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class UsageState:
    """Result of folding the stream up to an offset.

    Attributes
    ----------
    next_offset : int
        First offset not yet folded; adopting a summary sets it back to the
        offset that the summary covers.
    phase : Phase
        Whether all history is counted.
    counted_until : int
        All records before this offset that were not missed are in the totals.
    first_kept : int
        Oldest offset that the log kept when last read.
    totals : dict of TotalKey to TotalRow
        Sums; never changed in place.
    days : dict of DayKey to DayRow
        Cost by day; never changed in place.
    chains : dict of BootKey to ChainRow
        What is counted; never changed in place.
    summary_at : float
        Unix time of the newest summary seen, in seconds; 0 for none.
    summary_covers : int
        Offset that the newest summary covers.
    repeated : int
        Reports found to be counted already.
    refused : int
        Reports older than the retained months.
    malformed : int
        Records that could not be read.
    """

    next_offset: int = 0
    phase: Phase = Phase.COMPLETE
    counted_until: int = 0
    first_kept: int = 0
    totals: dict[TotalKey, TotalRow] = field(default_factory=dict)
    days: dict[DayKey, DayRow] = field(default_factory=dict)
    chains: dict[BootKey, ChainRow] = field(default_factory=dict)
    summary_at: float = 0.0
    summary_covers: int = 0
    repeated: int = 0
    refused: int = 0
    malformed: int = 0


def update_bounds(state: UsageState, first_kept: int, end: int) -> UsageState:
    """Take in the log's bounds before folding a page.

    Parameters
    ----------
    state : UsageState
        Fold so far.
    first_kept : int
        Oldest offset that the log still keeps.
    end : int
        Offset that the next append will get.

    Returns
    -------
    UsageState
        Unchanged without a gap. With a gap it seeks a summary; a state that
        sought one up to the end without success goes on as incomplete.
    """
    state = replace(state, first_kept=first_kept)
    if state.next_offset < first_kept:
        return replace(state, phase=Phase.SEEKING, next_offset=first_kept)
    if state.phase is Phase.SEEKING and state.next_offset >= end:
        return replace(state, phase=Phase.INCOMPLETE, next_offset=first_kept)
    return state


def fold_page(
    state: UsageState, first_kept: int, end: int, records: Iterable[StoredRecord]
) -> UsageState:
    """Fold one page of the log, read from the state's ``next_offset`` on.

    Parameters
    ----------
    state : UsageState
        Fold so far.
    first_kept : int
        Oldest offset that the log still keeps.
    end : int
        Offset that the next append will get.
    records : iterable of StoredRecord
        In offset order.

    Returns
    -------
    UsageState
        Read on at its ``next_offset``. The fold is up to date when that is the
        end and the phase is not ``SEEKING``.
    """
    state = update_bounds(state, first_kept, end)
    for record in records:
        if record.offset < state.next_offset:
            continue
        decoded = decode_usage_record(record.data)
        if decoded.is_error():
            state = replace(
                state, next_offset=record.offset + 1, malformed=state.malformed + 1
            )
            continue
        state = fold_usage(state, record.offset, decoded.ok)
        if state.next_offset <= record.offset:
            # An adopted summary set the fold back; the rest is read again.
            return state
    return update_bounds(state, first_kept, end)


def fold_usage(state: UsageState, offset: int, record: UsageRecord) -> UsageState:
    """Fold one record.

    Parameters
    ----------
    state : UsageState
        Fold of everything before the offset.
    offset : int
        Offset of the record; one already folded changes nothing.
    record : UsageRecord
        The record.

    Returns
    -------
    UsageState
        Read on at its ``next_offset``.
    """
    if offset < state.next_offset:
        return state
    if isinstance(record, Summary):
        return fold_summary(state, offset, record)
    if state.phase is Phase.SEEKING:
        return replace(state, next_offset=offset + 1)
    state = replace(state, next_offset=offset + 1, counted_until=offset + 1)
    return count_reports(state, record)


def fold_summary(state: UsageState, offset: int, summary: Summary) -> UsageState:
    """Adopt a summary when history is missing; else only note it.

    A complete state already counts everything that a summary covers, so a
    summary that comes twice or late changes none of its totals.
    """
    noted = replace(state, next_offset=offset + 1)
    if summary.covers_until > offset:
        return noted
    if not summary.incomplete or state.phase is not Phase.COMPLETE:
        noted = replace(
            noted,
            summary_at=max(state.summary_at, summary.written_at),
            summary_covers=max(state.summary_covers, summary.covers_until),
        )
    whole = summary.covers_until >= state.first_kept
    if state.phase is Phase.COMPLETE:
        return noted
    if state.phase is Phase.INCOMPLETE and (summary.incomplete or not whole):
        return noted
    if whole:
        phase = Phase.INCOMPLETE if summary.incomplete else Phase.COMPLETE
        return adopt_summary(noted, summary, phase, summary.covers_until)
    if summary.covers_until <= state.counted_until:
        return noted
    # Records between the summary and the oldest kept one are missing, but the
    # summary is the best start if no better one follows.
    return adopt_summary(noted, summary, Phase.SEEKING, offset + 1)


def adopt_summary(
    state: UsageState, summary: Summary, phase: Phase, next_offset: int
) -> UsageState:
    """Replace all totals by those of a summary."""
    return replace(
        state,
        next_offset=next_offset,
        phase=phase,
        counted_until=summary.covers_until,
        totals={TotalKey(r.month, r.client_account, r.pool): r for r in summary.totals},
        days={DayKey(row.day, row.client_account): row for row in summary.days},
        chains={BootKey(row.server, row.boot_id): row for row in summary.chains},
    )


def count_reports(state: UsageState, batch: UsageBatch) -> UsageState:
    """Add the reports that are not counted yet."""
    totals, days = dict(state.totals), dict(state.days)
    chains = dict(state.chains)
    oldest = find_oldest_month(key.month for key in totals)
    repeated = refused = 0
    for report in batch.reports:
        boot = BootKey(report.server, report.boot_id)
        month = name_month(report.ended_at)
        chain = chains.get(boot) or ChainRow(boot.server, boot.boot_id, month, ())
        if contain_sequence(chain.spans, report.sequence):
            repeated += 1
            continue
        chains[boot] = replace(
            chain,
            month=max(chain.month, month),
            spans=add_sequence(chain.spans, report.sequence),
        )
        if month < oldest:
            refused += 1
            continue
        add_total(totals, month, report)
        add_day(days, report)
    state = replace(
        state,
        totals=totals,
        days=days,
        chains=chains,
        repeated=state.repeated + repeated,
        refused=state.refused + refused,
    )
    return drop_old(state)


def add_total(
    totals: dict[TotalKey, TotalRow], month: str, report: PricedReport
) -> None:
    """Add a report to the total of its month, client account and pool."""
    key = TotalKey(month, report.client_account, report.pool)
    row = totals.get(key) or TotalRow(month, key.client_account, key.pool, 0, 0, 0)
    totals[key] = replace(
        row,
        accelerator_ms=row.accelerator_ms + report.accelerator_ms,
        requests=row.requests + report.requests,
        cost_micros=row.cost_micros + report.cost_micros,
    )


def add_day(days: dict[DayKey, DayRow], report: PricedReport) -> None:
    """Add a report's cost to its day."""
    key = DayKey(name_day(report.ended_at), report.client_account)
    row = days.get(key) or DayRow(key.day, key.client_account, 0)
    days[key] = replace(row, cost_micros=row.cost_micros + report.cost_micros)


def drop_old(state: UsageState) -> UsageState:
    """Forget months, days and boots that are too old to change."""
    oldest_month = find_oldest_month(key.month for key in state.totals)
    day_names = sorted({key.day for key in state.days})
    if len(day_names) <= RETAINED_DAYS and all(
        key.month >= oldest_month for key in state.totals
    ):
        return state
    kept_days = set(day_names[-RETAINED_DAYS:])
    return replace(
        state,
        totals={k: row for k, row in state.totals.items() if k.month >= oldest_month},
        days={key: row for key, row in state.days.items() if key.day in kept_days},
        chains={k: row for k, row in state.chains.items() if row.month >= oldest_month},
    )


def find_oldest_month(months: Iterable[str]) -> str:
    """Return the oldest month to keep, given all months seen."""
    newest = max(months, default="")
    if not newest:
        return ""
    number = int(newest[:4]) * 12 + int(newest[5:]) - 1 - (RETAINED_MONTHS - 1)
    return f"{number // 12:04d}-{number % 12 + 1:02d}"


def make_summary(state: UsageState, author: str, written_at: float) -> Summary:
    """Build the summary of a state that is not seeking one itself."""
    return Summary(
        covers_until=state.next_offset,
        written_at=written_at,
        author=author,
        incomplete=state.phase is not Phase.COMPLETE,
        totals=tuple(state.totals.values()),
        days=tuple(state.days.values()),
        chains=tuple(state.chains.values()),
    )


def find_counted_prefix(state: UsageState, server: str, boot_id: str) -> int:
    """Return up to which sequence number all reports of a boot are counted."""
    chain = state.chains.get(BootKey(server, boot_id))
    return find_prefix(chain.spans) if chain else 0


def check_counted(state: UsageState, report: PricedReport) -> bool:
    """Tell whether a report is counted."""
    chain = state.chains.get(BootKey(report.server, report.boot_id))
    return chain is not None and contain_sequence(chain.spans, report.sequence)


def name_month(unix_seconds: float) -> str:
    """Return the month of a time as ``YYYY-MM``, in UTC."""
    return datetime.fromtimestamp(unix_seconds, UTC).strftime("%Y-%m")


def name_day(unix_seconds: float) -> str:
    """Return the day of a time as ``YYYY-MM-DD``, in UTC."""
    return datetime.fromtimestamp(unix_seconds, UTC).strftime("%Y-%m-%d")
