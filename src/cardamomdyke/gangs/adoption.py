"""Decisions of a new planner about a previous planner's members."""

from collections.abc import Sequence
from enum import StrEnum

from cardamomdyke.gangs.members import RUNNING_STATES
from cardamomdyke.gangs.state import Adopted, AnswerKind, Gang, ObservedMember, Phase

ACTIVE_STATES = frozenset({AnswerKind.RESERVED, AnswerKind.RUNNING})


class Verdict(StrEnum):
    """What a new planner does with a queued job's members."""

    NOTHING = "nothing"
    WAIT = "wait"
    ADOPT = "adopt"
    COUNTED = "counted"
    CLEAR = "clear"


def classify_members(
    gang: Gang, observed: Sequence[ObservedMember], complete: bool, now: float
) -> Verdict:
    """Classify a queued job by the members that inventories show.

    Parameters
    ----------
    gang : Gang
        The job at its new planner.
    observed : sequence of ObservedMember
        All members of the job that inventories show.
    complete : bool
        True when all backend servers that may hold a member were read after the
        takeover wait.
    now : float
        Steady-clock time, in seconds.

    Returns
    -------
    Verdict
        ``ADOPT`` when the whole gang runs or finished and was extended; ``COUNTED`` for
        only a part of an extended gang; ``CLEAR`` when the rest may be released and the
        job started again.
    """
    uncertain = bool(gang.suspect_servers) or gang.unknown_history
    if gang.phase is not Phase.QUEUED or not uncertain:
        return Verdict.NOTHING
    if check_whole(gang, observed):
        return Verdict.ADOPT
    if gang.epoch == 0 or gang.fenced:
        return Verdict.WAIT
    if not complete or now < gang.not_before:
        return Verdict.WAIT
    if any(m.confirmed for m in observed) and not gang.was_extended:
        return Verdict.COUNTED
    if any(m.state in ACTIVE_STATES for m in observed):
        return Verdict.WAIT
    return Verdict.CLEAR


def check_whole(gang: Gang, observed: Sequence[ObservedMember]) -> bool:
    """Return whether each member runs or finished once and the gang was extended."""
    running = [m for m in observed if m.state in RUNNING_STATES]
    whole = {m.member for m in running} == set(range(gang.size))
    return whole and len(running) == gang.size and any(m.confirmed for m in running)


def adopt_members(observed: Sequence[ObservedMember]) -> Adopted:
    """Return the event that adopts a whole gang."""
    ordered = sorted(observed, key=lambda member: member.member)
    return Adopted(
        placements=tuple(member.placement for member in ordered),
        borrowed=any(member.borrowed for member in ordered),
        epoch=max(member.epoch for member in ordered),
    )
