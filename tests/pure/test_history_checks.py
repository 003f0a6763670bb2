"""Each history check reports its violation, and only that."""

from collections.abc import Iterator

import pytest

from cardamomdyke_standins.history import (
    Attempt,
    OutPeriod,
    ServerEvent,
    VersionSample,
    Violation,
    find_double_runs,
    find_false_refusals,
    find_late_starts,
    find_partial_gangs,
    find_version_regressions,
    find_wrong_answers,
)


def make_attempt(outcome: str, body: bytes = b"marker=m end") -> Attempt:
    return Attempt("m", outcome, body, sent_at=1.0, ended_at=2.0)


def make_event(
    at: float, kind: str, member: int = 0, subject: str = "m"
) -> ServerEvent:
    return ServerEvent(at, kind, subject, member, "gent")


RUN = make_event(1.5, "request")
PARTIAL = [make_event(0.0, "start"), make_event(3.0, "stopped")]
COMPLETE = [
    make_event(0.0, "start", 0),
    make_event(1.0, "start", 1),
    make_event(5.0, "failed", 0),
]


@pytest.mark.parametrize(
    ("found", "expected"),
    [
        (find_double_runs([make_attempt("lost")], [RUN, RUN]), 1),
        (find_double_runs([make_attempt("lost")], [RUN]), 0),
        (find_false_refusals([make_attempt("not_run")], [RUN]), 1),
        (find_false_refusals([make_attempt("not_known")], [RUN]), 0),
        (find_wrong_answers([make_attempt("finished", b"marker=other end")]), 1),
        (find_wrong_answers([make_attempt("finished", b"marker=m e")]), 1),
        (find_wrong_answers([make_attempt("finished")]), 0),
        (find_late_starts([OutPeriod("gent", -4.0)], [RUN]), 1),
        (find_late_starts([OutPeriod("gent", -3.0)], [RUN]), 0),
        (find_late_starts([OutPeriod("gent", -4.0, 1.0)], [RUN]), 0),
        (find_late_starts([OutPeriod("lokeren", -4.0)], [RUN]), 0),
        (find_partial_gangs(PARTIAL, {"m": 2}), 1),
        (find_partial_gangs(PARTIAL, {"m": 1}), 0),
        (find_partial_gangs([*COMPLETE, make_event(14.0, "stopped", 1)], {"m": 2}), 0),
        (find_partial_gangs([*COMPLETE, make_event(16.0, "stopped", 1)], {"m": 2}), 1),
        (
            find_version_regressions(
                [VersionSample("a", 1.0, 5), VersionSample("a", 2.0, 4)]
            ),
            1,
        ),
        (
            find_version_regressions(
                [VersionSample("a", 1.0, 5), VersionSample("b", 2.0, 4)]
            ),
            0,
        ),
    ],
)
def test_check_finds_its_violation(found: Iterator[Violation], expected: int) -> None:
    """Guards against a check that reports nothing, or reports a valid history."""
    assert len(list(found)) == expected
