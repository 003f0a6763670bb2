"""What a new planner does with the members that inventories show."""

from collections.abc import Sequence
from enum import StrEnum

from cardamomdyke.gangs.members import RUNNING_STATES
from cardamomdyke.gangs.state import Adopted, AnswerKind, Gang, ObservedMember, Phase

ACTIVE_STATES = frozenset({AnswerKind.RESERVED, AnswerKind.RUNNING})


class Verdict(StrEnum):
    """What a new planner does about a queued job's remnants."""

    NOTHING = "nothing"
    WAIT = "wait"
    ADOPT = "adopt"
    COUNTED = "counted"
    CLEAR = "clear"


def classify_members(
    gang: Gang, observed: Sequence[ObservedMember], complete: bool, now: float
) -> Verdict:
    """Judge what inventories show of a queued job.

    Parameters
    ----------
    gang : Gang
        The job at its new planner.
    observed : sequence of ObservedMember
        All members of the job that were seen.
    complete : bool
        True when all backend servers that may hold one were read after the
        takeover wait.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    Verdict
        ``ADOPT`` when the whole gang is there and was extended; ``COUNTED`` when
        only a part of an extended gang is; ``CLEAR`` when the rest may be
        released and the job started again.
    """
    uncertain = bool(gang.suspect_servers) or gang.unknown_history
    if gang.phase is not Phase.QUEUED or not uncertain:
        return Verdict.NOTHING
    if check_whole(gang, observed):
        return Verdict.ADOPT
    if gang.epoch == 0 or not complete or now < gang.not_before:
        return Verdict.WAIT
    if any(r.confirmed for r in observed) and not gang.was_extended:
        return Verdict.COUNTED
    if any(r.state in ACTIVE_STATES for r in observed):
        return Verdict.WAIT
    return Verdict.CLEAR


def check_whole(gang: Gang, observed: Sequence[ObservedMember]) -> bool:
    """Tell whether every member runs or finished and the gang was extended."""
    alive = [r for r in observed if r.state in RUNNING_STATES]
    whole = {r.member for r in alive} == set(range(gang.size))
    return whole and len(alive) == gang.size and any(r.confirmed for r in alive)


def adopt_members(observed: Sequence[ObservedMember]) -> Adopted:
    """Return the event of a whole gang's adoption."""
    ordered = sorted(observed, key=lambda remnant: remnant.member)
    return Adopted(
        placements=tuple(remnant.placement for remnant in ordered),
        borrowed=any(remnant.borrowed for remnant in ordered),
        epoch=max(remnant.epoch for remnant in ordered),
    )
