"""Fold of the log stream ``usage`` into totals that count each report once.

Days and months are in UTC.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime
from enum import StrEnum

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
from cardamomdyke.metering.spans import add_sequence, contains_sequence, find_prefix

# Late reports count in the newest month and the two before.
RETAINED_MONTHS = 3
# Days with costs that are kept; the forecast uses no more.
RETAINED_DAYS = 62


class Phase(StrEnum):
    """Whether a fold has counted the whole stream.

    ``SEEKING`` looks for a summary that covers the trimmed records. ``INCOMPLETE``
    found none: its totals may lack records.
    """

    COMPLETE = "complete"
    SEEKING = "seeking"
    INCOMPLETE = "incomplete"


@dataclass(frozen=True, slots=True)
class TotalKey:
    """Key of a total: month, client account and pool."""

    month: str
    client_account: str
    pool: str


@dataclass(frozen=True, slots=True)
class DayKey:
    """Key of a daily cost: day and client account."""

    day: str
    client_account: str


@dataclass(frozen=True, slots=True)
class BootKey:
    """Key of one boot of one backend server."""

    server: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class UsageState:
    """Result of folding the stream up to an offset.

    Attributes
    ----------
    next_offset : int
        First offset not yet folded; an adopted summary sets it back to the offset
        that it covers.
    phase : Phase
        Whether the whole stream is counted.
    counted_until : int
        All records before this offset that were not missed are counted.
    first_kept : int
        Oldest offset in the log at the last read.
    totals : dict of TotalKey to TotalRow
        Usage and cost; never changed in place.
    days : dict of DayKey to DayRow
        Cost by day; never changed in place.
    chains : dict of BootKey to ChainRow
        Sequence numbers of the counted reports; never changed in place.
    summary_at : float
        Unix time, in seconds, of the newest summary read; 0 for none. A complete
        fold ignores incomplete ones.
    summary_covers : int
        Highest offset that such a summary covers.
    repeated : int
        Reports that were counted before.
    refused : int
        Reports older than the retained months.
    malformed : int
        Records that could not be decoded.
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
    """Update the state to the log's bounds.

    Parameters
    ----------
    state : UsageState
        Fold so far.
    first_kept : int
        Oldest offset that the log keeps.
    end : int
        Offset that the next append will get.

    Returns
    -------
    UsageState
        After a gap, it seeks a summary; if there is none up to the end, it starts
        again at the oldest record as incomplete.
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
        Oldest offset that the log keeps.
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
        state = fold_record(state, record.offset, decoded.ok)
        if state.next_offset <= record.offset:
            # An adopted summary moved the next offset back.
            return state
    return update_bounds(state, first_kept, end)


def fold_record(state: UsageState, offset: int, record: UsageRecord) -> UsageState:
    """Fold one record.

    Parameters
    ----------
    state : UsageState
        Fold of the records before the offset.
    offset : int
        Offset of the record; nothing changes before ``next_offset``.
    record : UsageRecord
        Decoded record.

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
    """Adopt a summary if records are missing; otherwise only record its age.

    A complete state has counted everything that a summary covers, so a repeated or
    late summary changes no total.
    """
    updated = replace(state, next_offset=offset + 1)
    if summary.covers_until > offset:
        return updated
    if not summary.incomplete or state.phase is not Phase.COMPLETE:
        updated = replace(
            updated,
            summary_at=max(state.summary_at, summary.written_at),
            summary_covers=max(state.summary_covers, summary.covers_until),
        )
    closes_gap = summary.covers_until >= state.first_kept
    if state.phase is Phase.COMPLETE:
        return updated
    if state.phase is Phase.INCOMPLETE and (summary.incomplete or not closes_gap):
        return updated
    if closes_gap:
        phase = Phase.INCOMPLETE if summary.incomplete else Phase.COMPLETE
        return adopt_summary(updated, summary, phase, summary.covers_until)
    if summary.covers_until <= state.counted_until:
        return updated
    # Records after the summary are missing, but it is the best start if no later
    # summary closes the gap.
    return adopt_summary(updated, summary, Phase.SEEKING, offset + 1)


def adopt_summary(
    state: UsageState, summary: Summary, phase: Phase, next_offset: int
) -> UsageState:
    """Replace what is counted by the content of a summary."""
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
    """Add the reports that are not counted yet.

    Those older than the retained months only add their sequence number.
    """
    totals, days = dict(state.totals), dict(state.days)
    chains = dict(state.chains)
    oldest = find_oldest_month(key.month for key in totals)
    repeated = refused = 0
    for report in batch.reports:
        boot = BootKey(report.server, report.boot_id)
        month = name_month(report.ended_at)
        chain = chains.get(boot) or ChainRow(boot.server, boot.boot_id, month, ())
        if contains_sequence(chain.spans, report.sequence):
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
    return drop_expired_rows(state)


def add_total(
    totals: dict[TotalKey, TotalRow], month: str, report: PricedReport
) -> None:
    """Add a report to its total, in place."""
    key = TotalKey(month, report.client_account, report.pool)
    row = totals.get(key) or TotalRow(month, key.client_account, key.pool, 0, 0, 0)
    totals[key] = replace(
        row,
        accelerator_ms=row.accelerator_ms + report.accelerator_ms,
        requests=row.requests + report.requests,
        cost_micros=row.cost_micros + report.cost_micros,
    )


def add_day(days: dict[DayKey, DayRow], report: PricedReport) -> None:
    """Add a report's cost to its day, in place."""
    key = DayKey(name_day(report.ended_at), report.client_account)
    row = days.get(key) or DayRow(key.day, key.client_account, 0)
    days[key] = replace(row, cost_micros=row.cost_micros + report.cost_micros)


def drop_expired_rows(state: UsageState) -> UsageState:
    """Drop the months, days and boots past their retention."""
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
    """Return the oldest month to keep, given all months; "" for none."""
    newest = max(months, default="")
    if not newest:
        return ""
    number = int(newest[:4]) * 12 + int(newest[5:]) - 1 - (RETAINED_MONTHS - 1)
    return f"{number // 12:04d}-{number % 12 + 1:02d}"


def make_summary(state: UsageState, author: str, written_at: float) -> Summary:
    """Create the summary of a state that is not ``SEEKING``."""
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
    """Return the sequence number up to which all reports of a boot are counted."""
    chain = state.chains.get(BootKey(server, boot_id))
    return find_prefix(chain.spans) if chain else 0


def check_counted(state: UsageState, report: PricedReport) -> bool:
    """Return True if the report's sequence number is counted."""
    chain = state.chains.get(BootKey(report.server, report.boot_id))
    return chain is not None and contains_sequence(chain.spans, report.sequence)


def name_month(unix_seconds: float) -> str:
    """Return the month of a Unix time as ``YYYY-MM``."""
    return datetime.fromtimestamp(unix_seconds, UTC).strftime("%Y-%m")


def name_day(unix_seconds: float) -> str:
    """Return the day of a Unix time as ``YYYY-MM-DD``."""
    return datetime.fromtimestamp(unix_seconds, UTC).strftime("%Y-%m-%d")
