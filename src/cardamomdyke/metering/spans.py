"""Sets of sequence numbers, stored as ascending spans."""

from bisect import bisect_left

from cardamomdyke.metering.records import Span


def contains_sequence(spans: tuple[Span, ...], sequence: int) -> bool:
    """Return True if a span includes the sequence number."""
    index = bisect_left(spans, sequence, key=lambda span: span.last)
    return index < len(spans) and spans[index].first <= sequence


def add_sequence(spans: tuple[Span, ...], sequence: int) -> tuple[Span, ...]:
    """Return the set with a sequence number that it must not contain yet."""
    index = bisect_left(spans, sequence, key=lambda span: span.last)
    first = last = sequence
    start, end = index, index
    if index > 0 and spans[index - 1].last == sequence - 1:
        first, start = spans[index - 1].first, index - 1
    if index < len(spans) and spans[index].first == sequence + 1:
        last, end = spans[index].last, index + 1
    return (*spans[:start], Span(first, last), *spans[end:])


def find_prefix(spans: tuple[Span, ...]) -> int:
    """Return the last number before the first gap; 0 if 1 is missing."""
    return spans[0].last if spans and spans[0].first == 1 else 0
