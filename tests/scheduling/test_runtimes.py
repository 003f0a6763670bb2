"""Run times learned from completions."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.scheduling.runtimes import (
    MAX_FACTOR,
    MAX_QUEUES,
    WINDOW_ENDS,
    RuntimeBook,
)

SECONDS = st.floats(0.001, 1e5)


def test_error_of_a_queue_is_learned_despite_stragglers() -> None:
    """Guards against declared times that are believed for ever."""
    random = Random(1)
    book = RuntimeBook()
    for _ in range(100):
        declared = random.uniform(1.0, 20.0)
        measured = 1.6 * declared * random.uniform(0.7, 1.3)
        measured *= 7.0 if random.random() < 0.03 else 1.0
        book.observe("late", declared, measured)
    estimate = book.estimate("late", 10.0)
    assert estimate.seconds == pytest.approx(16.0, rel=0.1)
    assert 1.0 < estimate.spread < 8.0
    assert book.estimate("other", 10.0).seconds == 10.0


@given(st.lists(st.tuples(SECONDS, SECONDS), max_size=400), SECONDS)
def test_estimates_are_bounded(
    ends: list[tuple[float, float]], declared: float
) -> None:
    """Guards against a window that loses its order, and against absurd estimates."""
    book = RuntimeBook()
    for item in ends:
        book.observe("q", *item)
    estimate = book.estimate("q", declared)
    tolerance = 1.0 + 1e-9
    assert declared / MAX_FACTOR <= estimate.seconds * tolerance
    assert estimate.seconds <= declared * MAX_FACTOR * tolerance
    assert estimate.spread >= 0.0
    for errors in book.errors.values():
        assert errors.ordered == sorted(errors.recent)
        assert len(errors.ordered) <= WINDOW_ENDS


def test_undeclared_times_teach_nothing_and_queues_are_bounded() -> None:
    """Guards against a division by zero, and a book that grows with queue names."""
    book = RuntimeBook()
    book.observe("q", 0.0, 5.0)
    assert book.estimate("q", 0.0).seconds == 0.0
    for number in range(MAX_QUEUES + 50):
        book.observe(f"q{number}", 1.0, 2.0)
    assert len(book.errors) == MAX_QUEUES
