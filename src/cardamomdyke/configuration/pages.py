"""Fold of pages read from the log."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from cardamomdyke.configuration.fold import FoldState, fold_record, mark_gap
from cardamomdyke.configuration.records import Verdict


class StreamRecord(Protocol):
    """One record of the stream."""

    @property
    def offset(self) -> int:
        """Position in the stream."""

    @property
    def data(self) -> bytes:
        """Encoded record."""


class StreamPage(Protocol):
    """Records that one read returned, and the log's bounds at that time."""

    @property
    def first(self) -> int:
        """Oldest offset that the log keeps."""

    @property
    def end(self) -> int:
        """Offset of the next append."""

    @property
    def records(self) -> Sequence[StreamRecord]:
        """Records in offset order."""


@dataclass(frozen=True, slots=True)
class RecordVerdict:
    """Result of `fold_record` for one record."""

    offset: int
    verdict: Verdict
    detail: str


@dataclass(frozen=True, slots=True)
class PageResult:
    """Result of folding a page.

    Attributes
    ----------
    state : FoldState
        State after the page.
    verdicts : tuple of RecordVerdict
        For each folded record.
    at_end : bool
        True if the log held no further record.
    """

    state: FoldState
    verdicts: tuple[RecordVerdict, ...]
    at_end: bool


def fold_page(state: FoldState, page: StreamPage) -> PageResult:
    """Fold the records of one page.

    Parameters
    ----------
    state : FoldState
        State before the page.
    page : StreamPage
        Answer to a read from ``state.next_offset`` on.

    Returns
    -------
    PageResult
        An unchanged state with ``at_end`` False if the log contradicts earlier
        reads, for example with an end below the folded offset.
    """
    if page.end < state.next_offset:
        return PageResult(state, (), at_end=False)
    if not page.records:
        state = mark_gap(state, page.first)
    verdicts = []
    for record in page.records:
        if record.offset < state.next_offset:
            continue
        state, verdict, detail = fold_record(state, record.offset, record.data)
        verdicts.append(RecordVerdict(record.offset, verdict, detail))
        if state.next_offset <= record.offset:
            # An adopted snapshot moved the next offset back.
            break
    return PageResult(state, tuple(verdicts), state.next_offset >= page.end)


def check_current(state: FoldState, result: PageResult) -> bool:
    """Check that a read proves the version in force to be current.

    Parameters
    ----------
    state : FoldState
        State after the read.
    result : PageResult
        Last page of the read.

    Returns
    -------
    bool
        True if all records up to the log's end were folded and none is missing.
    """
    return result.at_end and not state.behind and state.configuration is not None
