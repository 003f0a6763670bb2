"""Outcomes of a request, as reported to callers."""

from dataclasses import dataclass

from cardamomdyke.model.errors import Problem


@dataclass(frozen=True, slots=True)
class Finished:
    """The request ran, and its answer is complete.

    Attributes
    ----------
    body : bytes
        Answer of the backend server, unchanged.
    content_type : str
        Media type of the answer.
    """

    body: bytes
    content_type: str = "application/octet-stream"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run.

    Attributes
    ----------
    problem : Problem
        Reason and remedy.
    """

    problem: Problem


@dataclass(frozen=True, slots=True)
class NotKnown:
    """The request may have run.

    Attributes
    ----------
    problem : Problem
        Reason and remedy.
    """

    problem: Problem


Outcome = Finished | NotRun | NotKnown


def describe_outcome(outcome: Outcome) -> str:
    """Return an outcome for the timeline, with the kind of its problem."""
    if isinstance(outcome, Finished):
        return "finished"
    name = "not_run" if isinstance(outcome, NotRun) else "not_known"
    return f"{name} {outcome.problem.kind.value}"
